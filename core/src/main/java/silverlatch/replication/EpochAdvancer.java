package silverlatch.replication;

import java.util.Optional;
import silverlatch.state.Command;
import silverlatch.wire.ChainClientMessage;

/**
 * Advances the replicated epoch, by which the age of claims is measured, every ten minutes of the monotonic clock of the singleton owner.
 * A new owner waits for a full interval first, so an epoch may be longer when the owner changes, but never shorter.
 */
final class EpochAdvancer {
    private static final long INTERVAL_MICROS = 600_000_000L;
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final ReplicaLog log;
    private final EffectQueue effects;
    private long advancedAt;

    EpochAdvancer(
            final ReplicaSettings settings,
            final ReplicaRole role,
            final ReplicaLog log,
            final EffectQueue effects,
            final long now) {
        this.settings = settings;
        this.role = role;
        this.log = log;
        this.effects = effects;
        this.advancedAt = now;
    }

    /**
     * Sends the head a write that advances the epoch, if the interval has passed.
     *
     * @param fencingToken the fencing token of the singleton owner; empty on all other replicas
     * @param now          the time in microseconds
     */
    void tick(final Optional<Long> fencingToken, final long now) {
        if (fencingToken.isEmpty()) {
            advancedAt = now;
        } else if (now - advancedAt >= INTERVAL_MICROS) {
            advancedAt = now;
            advance(fencingToken.get());
        }
    }

    private void advance(final long fencingToken) {
        final long nextEpoch = log.stateMachine().epoch() + 1;
        final Command command = new Command.AdvanceEpoch("sweep-" + nextEpoch, nextEpoch, fencingToken);
        role.view()
                .head()
                .ifPresent(head -> effects.send(
                        head.address(),
                        new ChainClientMessage.WriteRequest(0, settings.self().address(), command)));
    }
}
