package silverlatch.replication;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.safeguard.Safeguard;
import silverlatch.wire.ReplicationMessage;

/**
 * Repairs other replicas from the state of an active member: keeps a {@link RepairSource} for each one under repair and sends it piece by
 * piece, as it is asked for.
 *
 * <p>Invariant: all pieces of a repair stand for one sequence of one view; a new comparison replaces the source.
 */
final class RepairResponder {
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final ReplicaLog log;
    private final EffectQueue effects;
    private final Map<String, RepairSource> sources = new HashMap<>();

    RepairResponder(
            final ReplicaSettings settings, final ReplicaRole role, final ReplicaLog log, final EffectQueue effects) {
        this.settings = settings;
        this.role = role;
        this.log = log;
        this.effects = effects;
    }

    /** A view was installed: repairs under the one before end. */
    void installView() {
        sources.clear();
    }

    /** Begins a repair with the ranges in which the state here differs, and sends the first piece. */
    void handleCompareDigests(final ReplicationMessage.CompareDigests request, final long now) {
        if (request.view() != role.view().number()
                || !role.isActive()
                || request.digests().length != ReplicaLog.DIGEST_RANGES) {
            return;
        }
        if (request.sequence() > log.committedSequence()) {
            log.commit(request.sequence(), now);
        }
        final RepairSource source = RepairSource.of(log.stateMachine(), request.digests(), syncedPending());
        sources.put(request.sender().id(), source);
        sendPiece(request.sender(), source, 0);
    }

    /**
     * The entries that are synced here but not known to be committed. One of them may have been acknowledged before this replica
     * restarted, so a replica that is repaired from here keeps them too.
     */
    private List<LogEntry> syncedPending() {
        return settings.safeguards().isEnabled(Safeguard.REPAIR_PENDING) ? log.syncedPendingEntries() : List.of();
    }

    /** The replica under repair asks for a piece of the repair under way. */
    void handleRepairNext(final ReplicationMessage.RepairNext request) {
        if (request.view() != role.view().number() || request.piece() < 0) {
            return;
        }
        Optional.ofNullable(sources.get(request.sender().id()))
                .filter(source -> source.sequence() == request.sequence())
                .filter(source -> request.piece() < source.pieces().size())
                .ifPresent(source -> sendPiece(request.sender(), source, request.piece()));
    }

    private void sendPiece(final Replica receiver, final RepairSource source, final int piece) {
        effects.send(receiver.address(), source.message(role.view().number(), piece));
        if (source.pieces().size() == 1) {
            sources.remove(receiver.id());
        }
    }
}
