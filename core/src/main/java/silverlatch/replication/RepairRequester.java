package silverlatch.replication;

import java.util.Optional;
import silverlatch.node.Event;
import silverlatch.safeguard.Safeguard;
import silverlatch.wire.ReplicationMessage;

/**
 * Repairs this replica if it isn't in the chain, or can't catch up by fetching entries: sends the digests of its state to a source,
 * receives the key ranges that differ in pieces, and requests to join the chain once the repaired log is synced.
 *
 * <p>Legal transitions: idle, receiving pieces, all pieces received (the state is replaced in one step), joining (only outside the chain);
 * back to idle when another view is installed. The state is unchanged until the last piece is received.
 */
final class RepairRequester {
    private static final long RETRY_MICROS = 900_000L;
    private static final long ABANDON_MICROS = 3 * RETRY_MICROS;
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final ReplicaLog log;
    private final SuccessorLink successorLink;
    private final CatchUpProgress catchUp;
    private final Committer committer;
    private final GracefulLeave gracefulLeave;
    private final EffectQueue effects;
    private Optional<RepairProgress> progress = Optional.empty();
    private long requestedAt;
    private boolean joining;

    RepairRequester(
            final ReplicaSettings settings,
            final ReplicaRole role,
            final ReplicaLog log,
            final SuccessorLink successorLink,
            final CatchUpProgress catchUp,
            final Committer committer,
            final GracefulLeave gracefulLeave,
            final EffectQueue effects) {
        this.settings = settings;
        this.role = role;
        this.log = log;
        this.successorLink = successorLink;
        this.catchUp = catchUp;
        this.committer = committer;
        this.gracefulLeave = gracefulLeave;
        this.effects = effects;
    }

    /** Returns to idle after a view was installed. */
    void installView() {
        progress = Optional.empty();
        requestedAt = 0;
        joining = false;
    }

    /** Returns whether this replica was repaired under the installed view; outside the chain, it then requests to join. */
    boolean isJoining() {
        return joining;
    }

    /** Requests a repair, or the next piece of the current one, if the retry interval has passed since the last request or piece. */
    void request(final String source, final long now) {
        final long lastPieceAt = progress.map(RepairProgress::receivedAt).orElse(0L);
        if (now - Math.max(requestedAt, lastPieceAt) < RETRY_MICROS) {
            return;
        }
        requestedAt = now;
        progress = progress.filter(current -> now - current.receivedAt() <= ABANDON_MICROS);
        if (progress.isPresent()) {
            requestPiece(progress.get(), progress.get().source());
        } else {
            effects.send(source, compareDigests());
        }
    }

    private ReplicationMessage.CompareDigests compareDigests() {
        return new ReplicationMessage.CompareDigests(
                role.view().number(),
                settings.self(),
                log.committedSequence(),
                log.stateMachine().digests(ReplicaLog.DIGEST_RANGES));
    }

    private void requestPiece(final RepairProgress current, final String source) {
        effects.send(source, current.nextRequest(role.view().number(), settings.self()));
    }

    /** Handles a received piece: requests the next one, or replaces the state after the last one. */
    void handleRepairRanges(final ReplicationMessage.RepairRanges piece, final String sender, final long now) {
        if (piece.view() != role.view().number() || role.isActive() || piece.sequence() < log.committedSequence()) {
            return;
        }
        if (matchesRepairedState(piece)) {
            requestJoin();
            return;
        }
        if (piece.piece() == 0) {
            progress = Optional.of(new RepairProgress(piece, sender));
        }
        if (progress.isEmpty() || !progress.get().accept(piece, sender, now)) {
            return;
        }
        final RepairProgress current = progress.get();
        if (current.isComplete()) {
            progress = Optional.empty();
            complete(current, piece, now);
        } else {
            requestPiece(current, sender);
        }
    }

    /** Returns whether the source reports no difference to the repaired and synced state of this replica outside the chain. */
    private boolean matchesRepairedState(final ReplicationMessage.RepairRanges piece) {
        return joining
                && effects.isAllSynced()
                && piece.pieces() == 1
                && piece.ranges().isEmpty()
                && piece.sequence() == log.committedSequence()
                && piece.pending().equals(log.pendingEntries())
                && hasSourceDigests(piece)
                && !role.isInChain();
    }

    /**
     * Returns whether the state here has the digests of the source. It doesn't if a late piece answers a request from before a restart,
     * when this replica had other entries; then it requests a new repair.
     */
    private boolean hasSourceDigests(final ReplicationMessage.RepairRanges lastPiece) {
        return log.hasDigests(lastPiece.digests()) || !settings.safeguards().isEnabled(Safeguard.REPAIR_DIGEST);
    }

    private void complete(
            final RepairProgress received, final ReplicationMessage.RepairRanges lastPiece, final long now) {
        if (settings.safeguards().isEnabled(Safeguard.REPAIR_DIGEST)) {
            log.replaceRanges(received.ranges());
        }
        if (!hasSourceDigests(lastPiece)) {
            return;
        }
        successorLink.reset(lastPiece.sequence(), now);
        catchUp.restartTimer(now);
        joining = true;
        role.markRepaired();
        final long viewNumber = role.view().number();
        log.completeRepair(
                lastPiece.sequence(),
                lastPiece.pending(),
                now,
                syncedAt -> onRepairSynced(lastPiece.sequence(), viewNumber, syncedAt));
    }

    private void onRepairSynced(final long sequence, final long viewNumber, final long now) {
        if (role.isInChain()) {
            catchUp.finishIfReached(now);
            committer.commitAsTail(now);
        } else if (viewNumber == role.view().number()) {
            effects.log(Event.MENDED, "sequence " + sequence);
            requestJoin();
        }
    }

    private void requestJoin() {
        if (gracefulLeave.isLeaving()) {
            return;
        }
        final View view = role.view();
        view.voters()
                .forEach(voter -> effects.send(
                        voter.address(),
                        new ReplicationMessage.JoinRequest(view.number(), settings.self(), log.committedSequence())));
    }
}
