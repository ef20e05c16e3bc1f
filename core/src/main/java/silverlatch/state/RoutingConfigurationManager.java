package silverlatch.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/**
 * Evaluates routing configurations. Each has a number of the operators' own, which only rises; the expected revision of
 * a command is the number it builds on. A command that is sent again, under whatever id, gets the result of its first
 * acceptance or refusal; where neither is remembered any more, the result is unknown.
 */
final class RoutingConfigurationManager {
    private final CompareAndSet compareAndSet;
    private final Safeguards safeguards;

    RoutingConfigurationManager(final CompareAndSet compareAndSet, final Safeguards safeguards) {
        this.compareAndSet = compareAndSet;
        this.safeguards = safeguards;
    }

    Evaluation put(final Command.PutFullConfiguration full, final EvaluationContext context) {
        final Command.PutConfiguration command = full.base();
        final long currentNumber = currentNumber(context);
        final Optional<CommandResult> earlier = findEarlierResult(command, context, currentNumber);
        if (earlier.isPresent()) {
            final List<Entry> missing = earlier.get() instanceof CommandResult.Applied
                    ? missingParts(full, context, currentNumber)
                    : List.of();
            return missing.isEmpty()
                    ? new Evaluation.Reply(earlier.get())
                    : CommandOutcomes.writeAcceptance(context, missing, command.id());
        }
        final Map<String, Entry> retained = context.withPrefix(AcceptedConfigurations.KEY_PREFIX);
        if (mayHaveBeenEvicted(full, retained, currentNumber)) {
            return new Evaluation.Reply(new CommandResult.Unknown(command.id()));
        }
        if (compareAndSet.isConflict(command.expectedRevision(), currentNumber)) {
            return rejectConflict(command, context, currentNumber);
        }
        final List<String> faults = ConfigurationValidator.faults(full, currentNumber);
        if (!faults.isEmpty()) {
            return RejectionCause.INVALID.reply(faults, currentNumber);
        }
        final List<Entry> writes = new ArrayList<>(ConfigurationWrites.of(full, context));
        final List<String> sizeFaults = ConfigurationWrites.sizeFaults(full, writes);
        if (!sizeFaults.isEmpty()) {
            return RejectionCause.INVALID.reply(sizeFaults, currentNumber);
        }
        writes.addAll(AcceptedConfigurations.writes(command, retained, currentNumber, context.writeSequence()));
        return CommandOutcomes.writeAcceptance(context, writes, command.id());
    }

    /** The number in force, 0 where there is none. */
    private static long currentNumber(final EvaluationContext context) {
        return context.value(ConfigurationValidator.CONFIGURATION_KEY, Value.RoutingConfiguration.class)
                .map(Value.RoutingConfiguration::number)
                .orElse(0L);
    }

    /** The result of an earlier copy of the command, if one is remembered. */
    private Optional<CommandResult> findEarlierResult(
            final Command.PutConfiguration command, final EvaluationContext context, final long currentNumber) {
        return findFirstAcceptance(command, context, currentNumber)
                .map(entry -> (CommandResult) new CommandResult.Applied(entry.sequence()))
                .or(() -> findRejection(command, context));
    }

    /**
     * What a repeat of the configuration in force writes of the parts that came with a later version: all that is missing where a
     * process of an older version, which passed them over, had it accepted. A command of such a process takes nothing away.
     */
    private static List<Entry> missingParts(
            final Command.PutFullConfiguration full, final EvaluationContext context, final long currentNumber) {
        final Command.PutConfiguration command = full.base();
        final boolean isInForce =
                command.configuration().number() == currentNumber && isDocumentInForce(command.document(), context);
        if (!isInForce
                || full.equals(Command.PutFullConfiguration.of(command))
                || !ConfigurationWrites.changesParts(full, context)
                || !ConfigurationValidator.faults(full, 0).isEmpty()) {
            return List.of();
        }
        final List<Entry> writes = new ArrayList<>(ConfigurationWrites.of(full, context));
        context.find(AcceptedConfigurations.key(currentNumber))
                .ifPresent(accepted -> writes.add(
                        context.write(accepted.key(), accepted.value().get(0))));
        return writes;
    }

    /**
     * The entry of a command's first acceptance, if it was accepted. The configuration in force is known by its own text
     * where a folder of an older version does not remember it.
     */
    private Optional<Entry> findFirstAcceptance(
            final Command.PutConfiguration command, final EvaluationContext context, final long currentNumber) {
        final long number = command.configuration().number();
        final Optional<Entry> retained = safeguards.isEnabled(Safeguard.ACCEPTED_REMEMBERED)
                ? context.find(AcceptedConfigurations.key(number))
                : Optional.empty();
        if (retained.isPresent()) {
            return retained.filter(
                    entry -> AcceptedConfigurations.isSameCommand(AcceptedConfigurations.value(entry), command));
        }
        final boolean mayBeInForce = number == currentNumber && command.expectedRevision() < currentNumber;
        return mayBeInForce && isDocumentInForce(command.document(), context)
                ? context.find(ConfigurationValidator.CONFIGURATION_KEY)
                : Optional.empty();
    }

    private static boolean isDocumentInForce(final String document, final EvaluationContext context) {
        return context.value(ConfigurationValidator.DOCUMENT_KEY, Value.ConfigurationDocument.class)
                .filter(current -> current.text().equals(document))
                .isPresent();
    }

    /** The refusal that was written for a copy of the command. */
    private static Optional<CommandResult> findRejection(
            final Command.PutConfiguration command, final EvaluationContext context) {
        return context.value(AcceptedConfigurations.rejectionKey(command), Value.CommandOutcome.class)
                .map(outcome -> new CommandResult.Rejected(outcome.code(), outcome.faults(), outcome.sequence()));
    }

    /** Whether a command that isn't remembered may have been accepted, so that a refusal could be wrong. */
    private boolean mayHaveBeenEvicted(
            final Command.PutFullConfiguration full, final Map<String, Entry> retained, final long currentNumber) {
        final long number = full.base().configuration().number();
        return safeguards.isEnabled(Safeguard.ACCEPTED_REMEMBERED)
                && full.base().expectedRevision() < number
                && number <= AcceptedConfigurations.highestEvictedNumber(new TreeMap<>(retained), currentNumber)
                && ConfigurationValidator.faults(full, 0).isEmpty();
    }

    /**
     * Rejects a command that builds on another number than the one in force. A conflict with a higher number is final,
     * as numbers only rise. A command on top of a number that isn't in force yet could be accepted later, so its refusal
     * is written, and each copy of it finds that.
     */
    private static Evaluation rejectConflict(
            final Command.PutConfiguration command, final EvaluationContext context, final long currentNumber) {
        final String fault = "the configuration in force is number " + currentNumber;
        if (command.expectedRevision() < currentNumber) {
            return RejectionCause.CONFLICT.reply(fault, currentNumber);
        }
        final Value.CommandOutcome rejection =
                new Value.CommandOutcome(currentNumber, RejectionCause.CONFLICT.code(), List.of(fault));
        final Entry write = context.write(AcceptedConfigurations.rejectionKey(command), rejection);
        return CommandOutcomes.write(context, List.of(write), command.id(), rejection);
    }
}
