package silverlatch.replication;

import java.util.List;
import java.util.Optional;
import silverlatch.log.LogRecord;
import silverlatch.wire.ReplicationMessage;

/**
 * Tracks the catch-up of a member that a view added to the chain: it must sync all entries that its predecessor had when the view was
 * installed. Until then it neither commits entries nor answers reads.
 *
 * <p>Legal transitions: waiting for the target, below the target, caught up; back to waiting for the target when another view is
 * installed. A repair restarts only the timer.
 */
final class CatchUpProgress {
    /** For how long entries are fetched before a repair is requested, in microseconds. */
    private static final long FETCH_MICROS = 4 * ReplicaSettings.RETRY_MICROS;

    private final ReplicaRole role;
    private final ReplicaLog log;
    private final EffectQueue effects;
    /** The last sequence number of the predecessor's log, once it is known. */
    private Optional<Long> target = Optional.empty();

    private long startedAt;

    CatchUpProgress(final ReplicaRole role, final ReplicaLog log, final EffectQueue effects) {
        this.role = role;
        this.log = log;
        this.effects = effects;
    }

    /** Drops the target and restarts the timer after a view was installed. */
    void installView(final long now) {
        target = Optional.empty();
        restartTimer(now);
    }

    /** Restarts the timer after which a repair is requested. */
    void restartTimer(final long now) {
        startedAt = now;
    }

    /** Returns whether fetching entries has taken so long that a repair should be requested. */
    boolean needsRepair(final long now) {
        return now - startedAt > FETCH_MICROS;
    }

    /** Sets the target that the predecessor sent; returns whether this member is still catching up under the same view. */
    boolean handleTarget(final ReplicationMessage.CatchUpTarget message) {
        if (message.view() != role.view().number() || !role.isInChain() || role.isCaughtUp()) {
            return false;
        }
        target = Optional.of(message.sequence());
        return true;
    }

    /** Marks this member as caught up once the target is synced, and records that in the log. */
    void finishIfReached(final long now) {
        final boolean reached =
                target.map(sequence -> log.syncedSequence() >= sequence).orElse(false);
        if (!role.isCaughtUp() && reached) {
            role.markCaughtUp();
            effects.persist(List.of(new LogRecord.ViewInstalled(role.view(), true)), now);
        }
    }
}
