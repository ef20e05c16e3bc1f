package silverlatch.state;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Outcomes of commands by command id. They are replicated together with the commands' writes, so that a command takes
 * effect once even if it is sent several times. Only the newest {@link #MAX_OUTCOMES} are kept.
 */
final class CommandOutcomes {
    private static final int MAX_OUTCOMES = 1_000;
    private static final int ACCEPTED = 0;
    private static final Comparator<Entry> OLDEST_FIRST =
            Comparator.comparingLong(Entry::sequence).thenComparing(Entry::key);

    private CommandOutcomes() {}

    /** Returns the result of the command with this id, if its outcome is stored. */
    static Optional<CommandResult> find(final EvaluationContext context, final String id) {
        return context.find(EntryKeys.OUTCOMES + id)
                .filter(entry -> entry.value().get(0) instanceof Value.CommandOutcome)
                .map(entry -> result(
                        entry.sequence(), (Value.CommandOutcome) entry.value().get(0)));
    }

    private static CommandResult result(final long sequence, final Value.CommandOutcome outcome) {
        return outcome.code() == ACCEPTED
                ? new CommandResult.Applied(sequence)
                : new CommandResult.Rejected(outcome.code(), outcome.faults(), outcome.sequence());
    }

    /** Returns the writes of an accepted command together with its outcome. */
    static Evaluation writeAcceptance(final EvaluationContext context, final List<Entry> writes, final String id) {
        return write(context, writes, id, new Value.CommandOutcome(context.writeSequence(), ACCEPTED, List.of()));
    }

    /** Returns the write of a rejected command's outcome, so that a duplicate that arrives later finds it. */
    static Evaluation writeRejection(
            final EvaluationContext context, final String id, final CommandResult.Rejected rejected) {
        return write(
                context,
                List.of(),
                id,
                new Value.CommandOutcome(rejected.sequence(), rejected.code(), rejected.faults()));
    }

    /**
     * Returns the writes of a command together with its outcome, and deletions of the oldest outcomes over the limit.
     */
    static Evaluation write(
            final EvaluationContext context,
            final List<Entry> writes,
            final String id,
            final Value.CommandOutcome outcome) {
        final List<Entry> all = new ArrayList<>(writes);
        all.add(context.write(EntryKeys.OUTCOMES + id, outcome));
        final Map<String, Entry> outcomes = context.withPrefix(EntryKeys.OUTCOMES);
        final long added = all.stream()
                .filter(entry -> entry.key().startsWith(EntryKeys.OUTCOMES))
                .count();
        outcomes.values().stream()
                .sorted(OLDEST_FIRST)
                .limit(Math.max(0, outcomes.size() + added - MAX_OUTCOMES))
                .forEach(entry -> all.add(context.delete(entry.key())));
        return new Evaluation.Write(all);
    }
}
