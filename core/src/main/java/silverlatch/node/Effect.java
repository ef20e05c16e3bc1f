package silverlatch.node;

import java.util.List;
import silverlatch.log.LogRecord;
import silverlatch.wire.Message;

/** What a core wants done in the world outside. */
public sealed interface Effect {
    /** Send to the daemon that listens at this address. */
    record Send(String to, Message message) implements Effect {}

    /** Write to the ledger and sync, then report the token. */
    record Persist(long token, List<LogRecord> records) implements Effect {}

    /** An asked-for outcome is known. */
    record Respond(long token, Object response) implements Effect {}

    /** A numbered event for the log. */
    record Log(Event event, String text) implements Effect {}
}
