package silverlatch.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import silverlatch.clock.Stamp;
import silverlatch.safeguard.Safeguard;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Entry;
import silverlatch.state.Evaluation;
import silverlatch.wire.ChainClientMessage;

/**
 * The admission of writes at the head of the chain: evaluates each command against the committed and the pending state, appends an entry
 * where it changes something, and replies once all that the reply rests on is committed.
 *
 * <p>Invariants: nothing is evaluated without a lease, and stamps of entries only rise. A write without a lease waits for one for no
 * longer than a lease lasts; one that can't be admitted now is dropped, and its client sends it again.
 */
final class WriteAdmission {
    private static final int MAX_PENDING_ENTRIES = 4_096;
    private static final int MAX_WRITES_AWAITING_LEASE = 64;
    private static final int CONFLICT = 409;
    private final ReplicaSettings settings;
    private final ReplicaRole role;
    private final HeldLease lease;
    private final ReplicaLog log;
    private final PendingWrites pendingWrites;
    private final Supplier<Stamp> stamps;
    private final List<WriteAwaitingLease> writesAwaitingLease = new ArrayList<>();

    WriteAdmission(
            final ReplicaSettings settings,
            final ReplicaRole role,
            final HeldLease lease,
            final ReplicaLog log,
            final PendingWrites pendingWrites,
            final Supplier<Stamp> stamps) {
        this.settings = settings;
        this.role = role;
        this.lease = lease;
        this.log = log;
        this.pendingWrites = pendingWrites;
        this.stamps = stamps;
    }

    /** Admits a write, or keeps it until the lease is granted. */
    void handleWriteRequest(final ChainClientMessage.WriteRequest request, final long now) {
        if (!role.isActive() || !role.isHead()) {
            return;
        }
        if (lease.isHeld(now)) {
            admit(request, now);
        } else if (writesAwaitingLease.size() < MAX_WRITES_AWAITING_LEASE) {
            writesAwaitingLease.add(new WriteAwaitingLease(now, request));
        }
    }

    /** A voter has granted the lease: the writes that wait for it are admitted where that makes a majority. */
    void onLeaseGranted(final long now) {
        if (writesAwaitingLease.isEmpty() || !lease.isHeld(now)) {
            return;
        }
        final List<WriteAwaitingLease> ready = List.copyOf(writesAwaitingLease);
        writesAwaitingLease.clear();
        ready.stream()
                .filter(write -> now - write.receivedAt() < settings.leaseMicros())
                .forEach(write -> handleWriteRequest(write.request(), now));
    }

    private void admit(final ChainClientMessage.WriteRequest request, final long now) {
        final Stamp stamp = stamps.get();
        if (!role.hasRequiredCopies()
                || log.pendingCount() >= MAX_PENDING_ENTRIES
                || stamp.bits() <= log.highestStamp()) {
            return;
        }
        if (hasStaleFencingToken(request.command())) {
            final CommandResult rejection = new CommandResult.Rejected(
                    CONFLICT, List.of("the duty has another holder"), log.committedSequence());
            pendingWrites.replyWithoutLogging(request, rejection);
            return;
        }
        final long sequence = log.lastSequence() + 1;
        switch (log.stateMachine().evaluate(request.command(), log.pendingValues(), sequence, stamp)) {
            case Evaluation.Reply reply -> replyEvaluated(request, reply.result(), stamp);
            case Evaluation.Write write -> {
                pendingWrites.replyWhenCommitted(sequence, request);
                log.append(List.of(new LogEntry(sequence, role.view().number(), stamp, write.entries())), now);
            }
        }
    }

    private boolean hasStaleFencingToken(final Command command) {
        final long fencingToken = role.view().number();
        return switch (command) {
            case Command.AdvanceEpoch epoch -> epoch.fencingToken() != fencingToken;
            case Command.Scheduled scheduled -> scheduled.fencingToken() != fencingToken;
            case Command.CloseUsageWindow close -> close.fencingToken() != fencingToken;
            case Command.MarkUsageReported mark -> mark.fencingToken() != fencingToken;
            default -> false;
        };
    }

    /** Replies to a write that needs no entry of its own, once all that the reply rests on is committed. */
    private void replyEvaluated(
            final ChainClientMessage.WriteRequest request, final CommandResult result, final Stamp stamp) {
        final Optional<Entry> pendingOutcome = Optional.ofNullable(log.pendingValues()
                .get(PendingWrites.outcomeKey(request.command().id())));
        if (pendingOutcome.isPresent()) {
            pendingWrites.replyWhenCommitted(pendingOutcome.get().sequence(), request);
            return;
        }
        switch (result) {
            case CommandResult.Applied applied -> {
                if (applied.sequence() > log.committedSequence()) {
                    pendingWrites.replyWhenCommitted(applied.sequence(), request);
                } else {
                    pendingWrites.reply(request, applied);
                }
            }
            case CommandResult.Rejected rejected -> replyRejected(request, rejected, stamp);
            case CommandResult.AlreadyClaimed claimed -> replyRejected(request, claimed, stamp);
            case CommandResult.Unknown unknown -> pendingWrites.reply(request, unknown);
        }
    }

    /**
     * Rejects a write at once where the committed state alone rejects it. Else the rejection rests on entries that a new view may drop,
     * and waits until the newest of them is committed.
     */
    private void replyRejected(
            final ChainClientMessage.WriteRequest request, final CommandResult rejection, final Stamp stamp) {
        if (log.pendingCount() == 0 || !settings.safeguards().isEnabled(Safeguard.COMMITTED_REFUSAL)) {
            pendingWrites.reply(request, rejection);
            return;
        }
        final Evaluation committed =
                log.stateMachine().evaluate(request.command(), Map.of(), log.lastSequence() + 1, stamp);
        if (committed instanceof Evaluation.Reply reply && isRejection(reply.result())) {
            pendingWrites.reply(request, reply.result());
        } else {
            pendingWrites.rejectWhenCommitted(log.lastSequence(), request, rejection);
        }
    }

    private static boolean isRejection(final CommandResult result) {
        return result instanceof CommandResult.Rejected || result instanceof CommandResult.AlreadyClaimed;
    }

    private record WriteAwaitingLease(long receivedAt, ChainClientMessage.WriteRequest request) {}
}
