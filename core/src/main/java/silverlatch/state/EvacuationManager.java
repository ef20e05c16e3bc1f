package silverlatch.state;

import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/** Evaluates commands that begin or end the evacuation of a zone. There is one entry for each zone, under its name. */
final class EvacuationManager {
    private static final long ANY_REVISION = -1;
    private final CompareAndSet compareAndSet;
    private final Safeguards safeguards;

    EvacuationManager(final CompareAndSet compareAndSet, final Safeguards safeguards) {
        this.compareAndSet = compareAndSet;
        this.safeguards = safeguards;
    }

    Evaluation set(final Command.SetEvacuation command, final EvaluationContext context) {
        return compareAndSet.put(
                context,
                command.id(),
                EntryKeys.EVACUATIONS + command.zone(),
                safeguards.isEnabled(Safeguard.LATEST_EVACUATION) ? command.expectedRevision() : ANY_REVISION,
                new Value.Evacuation(command.zone(), command.active(), context.stamp()),
                () -> TableRules.nameFaults("zone", command.zone()));
    }
}
