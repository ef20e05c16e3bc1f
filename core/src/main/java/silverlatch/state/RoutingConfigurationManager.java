package silverlatch.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/**
 * Evaluates routing configurations. Each has a number chosen by the operators, which must increase with every
 * configuration; the expected revision of a command is the number that it builds on. A command that is sent again,
 * under the same or another id, gets the result of its first acceptance or rejection. If neither is stored any more,
 * the result is {@link CommandResult.Unknown}.
 */
final class RoutingConfigurationManager {
    private final CompareAndSet compareAndSet;
    private final Safeguards safeguards;

    RoutingConfigurationManager(final CompareAndSet compareAndSet, final Safeguards safeguards) {
        this.compareAndSet = compareAndSet;
        this.safeguards = safeguards;
    }

    /** Accepts or rejects a configuration, or returns the result of an earlier copy of the command. */
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

    /** Returns the number in force, 0 if there is none. */
    private static long currentNumber(final EvaluationContext context) {
        return context.value(ConfigurationValidator.CONFIGURATION_KEY, Value.RoutingConfiguration.class)
                .map(Value.RoutingConfiguration::number)
                .orElse(0L);
    }

    /** Returns the result of an earlier copy of the command, if it is stored. */
    private Optional<CommandResult> findEarlierResult(
            final Command.PutConfiguration command, final EvaluationContext context, final long currentNumber) {
        return findFirstAcceptance(command, context, currentNumber)
                .map(entry -> (CommandResult) new CommandResult.Applied(entry.sequence()))
                .or(() -> findRejection(command, context));
    }

    /**
     * Returns the writes of the parts that are missing although the command's configuration is in force. This happens
     * when a process of an older version, which ignores the parts that were added later, submitted it first. Returns
     * nothing for a command of such a process, so that it doesn't remove these parts.
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
     * Returns the entry of a command's first acceptance, if it was accepted. The data directory of an older version may
     * lack the history of accepted configurations; then the configuration in force is recognized by its document.
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

    /** Returns the rejection that was stored for a copy of the command. */
    private static Optional<CommandResult> findRejection(
            final Command.PutConfiguration command, final EvaluationContext context) {
        return context.value(AcceptedConfigurations.rejectionKey(command), Value.CommandOutcome.class)
                .map(outcome -> new CommandResult.Rejected(outcome.code(), outcome.faults(), outcome.sequence()));
    }

    /**
     * Returns whether a command that is not in the history may have been accepted and evicted since, in which case a
     * rejection could be wrong.
     */
    private boolean mayHaveBeenEvicted(
            final Command.PutFullConfiguration full, final Map<String, Entry> retained, final long currentNumber) {
        final long number = full.base().configuration().number();
        return safeguards.isEnabled(Safeguard.ACCEPTED_REMEMBERED)
                && full.base().expectedRevision() < number
                && number <= AcceptedConfigurations.highestEvictedNumber(new TreeMap<>(retained), currentNumber)
                && ConfigurationValidator.faults(full, 0).isEmpty();
    }

    /**
     * Rejects a command that builds on another number than the one in force. If the number in force is higher, the
     * conflict is final, as numbers only increase. A command that builds on a number that is not in force yet could be
     * accepted later, so its rejection is stored, and each copy of the command finds it.
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
