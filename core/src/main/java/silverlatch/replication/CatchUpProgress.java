package silverlatch.replication;

import java.util.List;
import java.util.Optional;
import silverlatch.log.LogRecord;
import silverlatch.wire.ReplicationMessage;

/**
 * How a member that a view put into the chain comes to hold all that its predecessor held when the view began. Until then it neither
 * commits nor answers.
 *
 * <p>Legal transitions: waiting for the target, below the target, caught up; another view, or a repair, begins it anew.
 */
final class CatchUpProgress {
    /** For how long entries are fetched before a repair is asked for, in microseconds. */
    private static final long FETCH_MICROS = 4 * ReplicaSettings.RETRY_MICROS;

    private final ReplicaRole role;
    private final ReplicaLog log;
    private final EffectQueue effects;
    /** How far the predecessor's log went. */
    private Optional<Long> target = Optional.empty();

    private long startedAt;

    CatchUpProgress(final ReplicaRole role, final ReplicaLog log, final EffectQueue effects) {
        this.role = role;
        this.log = log;
        this.effects = effects;
    }

    /** A view was installed. */
    void installView(final long now) {
        target = Optional.empty();
        restartTimer(now);
    }

    /** The time in which entries are fetched begins anew. */
    void restartTimer(final long now) {
        startedAt = now;
    }

    /** Whether fetching entries has taken so long that a repair is asked for. */
    boolean needsRepair(final long now) {
        return now - startedAt > FETCH_MICROS;
    }

    /** The predecessor says how far its log goes; true where this member waited for that. */
    boolean handleTarget(final ReplicationMessage.CatchUpTarget message) {
        if (message.view() != role.view().number() || !role.isInChain() || role.isCaughtUp()) {
            return false;
        }
        target = Optional.of(message.sequence());
        return true;
    }

    /** Ends the catch-up where the target is synced, and writes that to the log. */
    void finishIfReached(final long now) {
        final boolean reached =
                target.map(sequence -> log.syncedSequence() >= sequence).orElse(false);
        if (!role.isCaughtUp() && reached) {
            role.markCaughtUp();
            effects.persist(List.of(new LogRecord.ViewInstalled(role.view(), true)), now);
        }
    }
}
