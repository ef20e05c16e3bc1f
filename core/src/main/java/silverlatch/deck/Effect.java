package silverlatch.deck;

import java.util.List;
import silverlatch.ledger.Note;
import silverlatch.wire.Msg;

/** What a core wants done in the world outside. */
public sealed interface Effect {
    /** Send to the daemon that listens at this address. */
    record Send(String to, Msg body) implements Effect {
    }

    /** Write to the ledger and sync, then report the token. */
    record Keep(long token, List<Note> notes) implements Effect {
    }

    /** An asked-for outcome is known. */
    record Answer(long token, Object reply) implements Effect {
    }

    /** A numbered event for the log. */
    record Log(Event event, String text) implements Effect {
    }
}
