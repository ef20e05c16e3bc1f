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
 * Admits writes at the head of the chain: evaluates each command against the committed and the pending state, appends an entry if the
 * command changes something, and replies once all entries that the reply depends on are committed.
 *
 * <p>Invariants: no command is evaluated without a lease, and the timestamps of entries only increase. A write that arrives while no
 * lease is held is queued, and admitted if a lease is granted within the duration of a lease. Any other write that can't be admitted is
 * dropped without a reply, and its client retries it.
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

    /** Admits a write, or queues it until a lease is held; ignores it if this replica is not an active head or the queue is full. */
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

    /** Admits the queued writes after a voter granted a lease, if the grants are now from a majority. */
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

    /** Replies to a write that needs no entry of its own, once all entries that the reply depends on are committed. */
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
     * Rejects a write at once if the committed state alone is reason enough. Otherwise the rejection depends on pending entries, which a
     * new view may drop, and is delayed until the newest of them is committed.
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
