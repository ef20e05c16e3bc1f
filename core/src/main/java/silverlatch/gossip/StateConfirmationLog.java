package silverlatch.gossip;

import java.util.Optional;
import silverlatch.node.Effect;
import silverlatch.node.Event;

/**
 * Logs when the replicated state of a node hasn't been confirmed to be the newest for a while, and when it is again. A gateway goes on
 * routing by such a state. Only the node's event loop calls this class.
 */
final class StateConfirmationLog {
    /** Longer than the pulls of a node take whose controllers hold a lease. */
    private static final long MAX_AGE_MICROS = 3_000_000L;

    private boolean isUnconfirmed;

    /**
     * Returns the event to log, if the state became unconfirmed or confirmed.
     *
     * @param confirmedAt as of when the state contains every acknowledged change; empty if it was never confirmed
     */
    Optional<Effect.Log> update(final Optional<Long> confirmedAt, final long revision, final long now) {
        if (confirmedAt.isEmpty()) {
            return Optional.empty();
        }
        final long age = now - confirmedAt.get();
        if (age > MAX_AGE_MICROS == isUnconfirmed) {
            return Optional.empty();
        }
        isUnconfirmed = !isUnconfirmed;
        return Optional.of(new Effect.Log(
                isUnconfirmed ? Event.STATE_UNCONFIRMED : Event.STATE_CONFIRMED,
                "revision " + revision + ", confirmed " + age + " us ago"));
    }
}
