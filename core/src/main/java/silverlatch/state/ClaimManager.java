package silverlatch.state;

import java.util.List;
import java.util.Optional;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/**
 * Evaluates claims. A claim binds a client's idempotency key to the one request that may run under it. Its state
 * changes from running to completed or rejected. It is kept for {@link StateMachine#CLAIM_RETENTION_EPOCHS} epochs, so
 * that a client's retry finds it. No outcome by command id is stored for claims: a duplicate command finds the claim
 * itself.
 */
final class ClaimManager {
    private static final int MAX_EXPIRED_PER_EPOCH = 5_000;
    private final Safeguards safeguards;

    ClaimManager(final Safeguards safeguards) {
        this.safeguards = safeguards;
    }

    /** Binds a key to a request, unless it is bound to another one. */
    Evaluation claim(final Command.Claim command, final EvaluationContext context) {
        final Optional<Value.Claim> existing =
                safeguards.isEnabled(Safeguard.CLAIM) ? find(command.key(), context) : Optional.empty();
        if (existing.isPresent()) {
            if (isRunning(existing.get()) && isHeldBy(existing.get(), command.requestId())) {
                return alreadyApplied(command.key(), context);
            }
            if (!isAvailableTo(existing.get(), command)) {
                return new Evaluation.Reply(new CommandResult.AlreadyClaimed(existing.get()));
            }
        } else if (context.claimCount() >= StateMachine.MAX_CLAIMS) {
            return RejectionCause.FULL.reply("the space for claims is full", context.committedSequence());
        }
        return write(
                command.key(),
                new Value.Claim(
                        command.requestId(),
                        command.gatewayId(),
                        Value.Claim.RUNNING,
                        command.claimedAt(),
                        context.epoch()),
                context);
    }

    /**
     * Returns whether a later request may take over the key of an existing claim. It may if the claim was rejected, as
     * that request never ran. The request that was rejected can't claim the key again, nor can one whose stamp is not
     * newer.
     */
    private static boolean isAvailableTo(final Value.Claim existing, final Command.Claim command) {
        return existing.state().equals(Value.Claim.REJECTED)
                && !isHeldBy(existing, command.requestId())
                && command.claimedAt() > existing.claimedAt();
    }

    /**
     * Changes the running claim of the command's request to its final state. A rejection that arrives before its claim
     * is written as a rejected claim, so that the claim finds the key taken.
     */
    Evaluation complete(final Command.CompleteClaim command, final EvaluationContext context) {
        final Optional<Value.Claim> existing = find(command.key(), context);
        if (existing.isEmpty() && command.state().equals(Value.Claim.REJECTED)) {
            return write(
                    command.key(),
                    new Value.Claim(
                            command.requestId(),
                            command.gatewayId(),
                            command.state(),
                            command.claimedAt(),
                            context.epoch()),
                    context);
        }
        if (existing.isEmpty() || !isHeldBy(existing.get(), command.requestId())) {
            return RejectionCause.CONFLICT.reply("the claim is not this request's", context.committedSequence());
        }
        return isRunning(existing.get())
                ? write(command.key(), existing.get().withState(command.state()), context)
                : alreadyApplied(command.key(), context);
    }

    /**
     * Returns deletions of the claims whose retention is over in an epoch. At most {@link #MAX_EXPIRED_PER_EPOCH}
     * claims are deleted at once; the rest are deleted in later epochs.
     */
    static List<Entry> expiredClaimDeletions(final long epoch, final EvaluationContext context) {
        return context.committedWithPrefix(EntryKeys.CLAIMS).stream()
                .map(committed -> context.find(committed.key()))
                .flatMap(Optional::stream)
                .filter(entry -> isExpired(entry, epoch))
                .limit(MAX_EXPIRED_PER_EPOCH)
                .map(entry -> context.delete(entry.key()))
                .toList();
    }

    private static boolean isExpired(final Entry entry, final long epoch) {
        return entry.value().get(0) instanceof Value.Claim claim
                && claim.epoch() + StateMachine.CLAIM_RETENTION_EPOCHS < epoch;
    }

    private static Optional<Value.Claim> find(final String key, final EvaluationContext context) {
        return context.value(EntryKeys.CLAIMS + key, Value.Claim.class);
    }

    private static boolean isRunning(final Value.Claim claim) {
        return claim.state().equals(Value.Claim.RUNNING);
    }

    private static boolean isHeldBy(final Value.Claim claim, final String requestId) {
        return claim.requestId().equals(requestId);
    }

    private static Evaluation alreadyApplied(final String key, final EvaluationContext context) {
        return new Evaluation.Reply(new CommandResult.Applied(context.revisionOf(EntryKeys.CLAIMS + key)));
    }

    private static Evaluation write(final String key, final Value.Claim claim, final EvaluationContext context) {
        return new Evaluation.Write(List.of(context.write(EntryKeys.CLAIMS + key, claim)));
    }
}
