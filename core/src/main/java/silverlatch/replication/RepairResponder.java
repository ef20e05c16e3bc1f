package silverlatch.replication;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.safeguard.Safeguard;
import silverlatch.wire.ReplicationMessage;

/**
 * Repairs other replicas from the state of an active member: keeps a {@link RepairPayload} for each replica under repair and sends it one
 * piece per request.
 *
 * <p>Invariant: all pieces of a repair belong to one sequence number and one view; a new comparison of digests replaces the payload.
 */
final class RepairResponder {
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final ReplicaLog log;
    private final EffectQueue effects;
    private final Map<String, RepairPayload> payloads = new HashMap<>();

    RepairResponder(
            final ReplicaSettings settings, final ReplicaRole role, final ReplicaLog log, final EffectQueue effects) {
        this.settings = settings;
        this.role = role;
        this.log = log;
        this.effects = effects;
    }

    /** Ends all repairs after a view was installed, as they belong to the previous view. */
    void installView() {
        payloads.clear();
    }

    /** Starts a repair with the key ranges whose digests differ from those here, and sends the first piece. */
    void handleCompareDigests(final ReplicationMessage.CompareDigests request, final long now) {
        if (request.view() != role.view().number()
                || !role.isActive()
                || request.digests().length != ReplicaLog.DIGEST_RANGES) {
            return;
        }
        // Entries that the other replica has committed are known to be committed.
        if (request.sequence() > log.committedSequence()) {
            log.commit(request.sequence(), now);
        }
        final RepairPayload payload = RepairPayload.of(log.stateMachine(), request.digests(), syncedPending());
        payloads.put(request.sender().id(), payload);
        sendPiece(request.sender(), payload, 0);
    }

    /**
     * Returns the entries that are synced here but not known to be committed. Any of them may have been acknowledged before this replica
     * restarted, so a replica that is repaired from here must keep them too.
     */
    private List<LogEntry> syncedPending() {
        return settings.safeguards().isEnabled(Safeguard.REPAIR_PENDING) ? log.syncedPendingEntries() : List.of();
    }

    /** Handles the request of a replica under repair for a further piece; ignores one that doesn't belong to the current payload. */
    void handleRepairNext(final ReplicationMessage.RepairPieceRequest request) {
        if (request.view() != role.view().number() || request.piece() < 0) {
            return;
        }
        Optional.ofNullable(payloads.get(request.sender().id()))
                .filter(source -> source.sequence() == request.sequence())
                .filter(source -> request.piece() < source.pieces().size())
                .ifPresent(source -> sendPiece(request.sender(), source, request.piece()));
    }

    private void sendPiece(final Replica receiver, final RepairPayload payload, final int piece) {
        effects.send(receiver.address(), payload.message(role.view().number(), piece));
        if (payload.pieces().size() == 1) {
            payloads.remove(receiver.id());
        }
    }
}
