package silverlatch.node;

import java.util.List;
import silverlatch.log.LogRecord;
import silverlatch.wire.Message;

/**
 * What the event-driven core of a node wants done outside. The core does no input or output itself: whoever runs it carries
 * out its effects in their order, and reports back by calls of {@link Node}.
 */
public sealed interface Effect {
    /**
     * Send a message.
     *
     * @param to      host and port of the node that it goes to
     * @param message the message
     */
    record Send(String to, Message message) implements Effect {}

    /**
     * Append records to the log and sync them, then report the token by {@link Node#onPersisted}.
     *
     * @param token   which write this is
     * @param records what to append
     */
    record Persist(long token, List<LogRecord> records) implements Effect {}

    /**
     * Answer the caller of {@link Node#submit}, {@link Node#read} or {@link Node#confirmReport}.
     *
     * @param token    the token of that call
     * @param response a {@link silverlatch.state.CommandResult}, a {@link silverlatch.replication.ChainClient.ReadResult} or a Boolean
     */
    record Respond(long token, Object response) implements Effect {}

    /**
     * Write an event to the log of events.
     *
     * @param event which event
     * @param text  what happened, for a reader
     */
    record Log(Event event, String text) implements Effect {}
}
