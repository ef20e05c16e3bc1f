package silverlatch.wire;

import java.util.List;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Entry;

/** Messages between a client of the replicated state and the chain: writes to its head, reads from its tail. */
public sealed interface ChainClientMessage extends Message {
    /**
     * Asks the head to apply a command.
     *
     * @param requestId the number of the request at the client, echoed in the reply
     * @param replyTo the address at which the client takes frames
     * @param command the command; sent again under the same id it takes effect once
     */
    record WriteRequest(long requestId, String replyTo, Command command) implements ChainClientMessage {}

    /**
     * What became of a command.
     *
     * @param requestId the request's number
     * @param result the result
     */
    record WriteReply(long requestId, CommandResult result) implements ChainClientMessage {}

    /**
     * Asks the tail for entries.
     *
     * @param requestId the number of the request at the client, echoed in the reply
     * @param replyTo the address at which the client takes frames
     * @param keyPrefix how the keys of the entries begin
     */
    record ReadRequest(long requestId, String replyTo, String keyPrefix) implements ChainClientMessage {}

    /**
     * The entries asked for.
     *
     * @param requestId the request's number
     * @param answered whether the replier could answer; it can't unless it is the tail, caught up and under a lease
     * @param sequence the sequence that the entries stand for
     * @param entries the entries; empty where it couldn't answer
     */
    record ReadReply(long requestId, boolean answered, long sequence, List<Entry> entries)
            implements ChainClientMessage {
        /** Copies the list. */
        public ReadReply {
            entries = List.copyOf(entries);
        }
    }
}
