package silverlatch.state;

/** Evaluates commands that write or delete tenants. There is one entry for each tenant, under its name. */
final class TenantManager {
    private final CompareAndSet compareAndSet;

    TenantManager(final CompareAndSet compareAndSet) {
        this.compareAndSet = compareAndSet;
    }

    Evaluation put(final Command.PutTenant command, final EvaluationContext context) {
        return compareAndSet.put(
                context,
                command.id(),
                EntryKeys.TENANTS + command.tenant().name(),
                command.expectedRevision(),
                command.tenant(),
                () -> TableRules.faults(command.tenant()));
    }

    Evaluation remove(final Command.RemoveTenant command, final EvaluationContext context) {
        final String key = EntryKeys.TENANTS + command.tenant();
        return context.find(key).isEmpty()
                ? RejectionCause.NOT_FOUND.reply("no tenant " + command.tenant(), 0)
                : compareAndSet.delete(context, command.id(), key, command.expectedRevision());
    }
}
