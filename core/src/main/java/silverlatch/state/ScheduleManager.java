package silverlatch.state;

/** Evaluates commands that write or delete schedules. There is one entry for each schedule, under its name. */
final class ScheduleManager {
    private final CompareAndSet compareAndSet;

    ScheduleManager(final CompareAndSet compareAndSet) {
        this.compareAndSet = compareAndSet;
    }

    Evaluation put(final Command.PutSchedule command, final EvaluationContext context) {
        final String name = command.schedule().name();
        return compareAndSet.put(
                context,
                command.id(),
                EntryKeys.SCHEDULES + name,
                command.expectedRevision(),
                command.schedule(),
                () -> TableRules.nameFaults("name", name));
    }

    Evaluation remove(final Command.RemoveSchedule command, final EvaluationContext context) {
        final String key = EntryKeys.SCHEDULES + command.name();
        return context.find(key).isEmpty()
                ? RejectionCause.NOT_FOUND.reply("no calendar " + command.name(), 0)
                : compareAndSet.delete(context, command.id(), key, command.expectedRevision());
    }
}
