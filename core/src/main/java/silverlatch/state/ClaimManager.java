package silverlatch.state;

import java.util.List;
import java.util.Optional;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/**
 * Evaluates claims: a client's key is bound to the one request that may run under it. A claim goes from running to
 * completed or rejected; it stays for {@link StateMachine#CLAIM_RETENTION_EPOCHS} epochs, so that a retry of the
 * client finds it. Claims have no outcomes by id: the claim itself is what a duplicate finds.
 */
final class ClaimManager {
    private static final int MAX_EXPIRED_PER_EPOCH = 5_000;
    private final Safeguards safeguards;

    ClaimManager(final Safeguards safeguards) {
        this.safeguards = safeguards;
    }

    /** Binds a key to a request, unless another one has it. */
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

    /** A claim that ended as rejected never ran: a request that claims later may have its key, and none other. */
    private static boolean isAvailableTo(final Value.Claim existing, final Command.Claim command) {
        return existing.state().equals(Value.Claim.REJECTED)
                && !isHeldBy(existing, command.requestId())
                && command.claimedAt() > existing.claimedAt();
    }

    /**
     * Ends a running claim of the command's request. A rejection that overtakes its claim is written, so that the claim
     * finds its key taken.
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

    /** The deletions of claims that are older than is kept in an epoch; at most a number of them, the rest go later. */
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
