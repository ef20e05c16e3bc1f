package silverlatch.wire;

import java.util.List;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Entry;

/** Messages between clients of the replicated state and the replica chain: writes go to the head, reads to the tail. */
public sealed interface ChainClientMessage extends Message {
    /**
     * Asks the head to apply a command.
     *
     * @param requestId the client's number for the request, echoed in the reply
     * @param replyTo the address at which the client receives frames
     * @param command the command; idempotent: a command that is resent with the same id is applied only once
     */
    record WriteRequest(long requestId, String replyTo, Command command) implements ChainClientMessage {}

    /**
     * The reply to a {@link WriteRequest}.
     *
     * @param requestId the {@code requestId} of the request
     * @param result the result of the command
     */
    record WriteReply(long requestId, CommandResult result) implements ChainClientMessage {}

    /**
     * Asks the tail for all entries with a key prefix.
     *
     * @param requestId the client's number for the request, echoed in the reply
     * @param replyTo the address at which the client receives frames
     * @param keyPrefix the prefix of the keys
     */
    record ReadRequest(long requestId, String replyTo, String keyPrefix) implements ChainClientMessage {}

    /**
     * The reply to a {@link ReadRequest}.
     *
     * @param requestId the {@code requestId} of the request
     * @param answered whether the replica served the read; only the tail may, while it is caught up and holds its lease
     * @param sequence the sequence number of the last log entry that the entries reflect
     * @param entries the entries; empty if the read was not served
     */
    record ReadReply(long requestId, boolean answered, long sequence, List<Entry> entries)
            implements ChainClientMessage {
        /** Copies the list. */
        public ReadReply {
            entries = List.copyOf(entries);
        }
    }
}
