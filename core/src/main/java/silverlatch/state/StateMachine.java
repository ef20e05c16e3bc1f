package silverlatch.state;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import silverlatch.clock.Stamp;
import silverlatch.safeguard.Safeguards;

/**
 * The replicated state of the control plane. A command is evaluated once, at the head of the chain, into the entries
 * that it writes; every replica applies these entries in the order of their sequences. For each kind of state there is
 * a manager that evaluates its commands; all of them are functions of the entries alone.
 *
 * <p>Not thread-safe: it belongs to the event loop of its replica.
 */
public final class StateMachine {
    /** How many rows a table may have. */
    public static final int MAX_ROWS = 20_000;
    /** How many claims are kept at once. */
    public static final int MAX_CLAIMS = 200_000;
    /** For how many epochs a claim is kept: 7 days of ten minutes each. */
    public static final int CLAIM_RETENTION_EPOCHS = 7 * 144;

    private final EntryTable entries = new EntryTable();
    private final TenantManager tenants;
    private final TableManager table;
    private final EvacuationManager evacuations;
    private final ScheduleManager schedules;
    private final ClaimManager claims;
    private final EpochManager epochs;
    private final RoutingConfigurationManager configurations;
    private final UsageManager usage = new UsageManager();

    /** An empty state. */
    public StateMachine() {
        this(Safeguards.ALL);
    }

    /** An empty state under the safeguards that are enabled. */
    public StateMachine(final Safeguards safeguards) {
        final CompareAndSet compareAndSet = new CompareAndSet(safeguards);
        this.tenants = new TenantManager(compareAndSet);
        this.table = new TableManager(compareAndSet);
        this.evacuations = new EvacuationManager(compareAndSet, safeguards);
        this.schedules = new ScheduleManager(compareAndSet);
        this.claims = new ClaimManager(safeguards);
        this.epochs = new EpochManager();
        this.configurations = new RoutingConfigurationManager(compareAndSet, safeguards);
    }

    /** The newest sequence applied. */
    public long sequence() {
        return entries.sequence();
    }

    /** The newest sequence that changed what the data plane follows. */
    public long policyRevision() {
        return entries.policyRevision();
    }

    /** The epoch: how often it was advanced. */
    public long epoch() {
        return get(EntryKeys.EPOCH)
                .map(entry -> ((Value.Epoch) entry.value().get(0)).number())
                .orElse(0L);
    }

    /** Applies the entries of one committed change. */
    public void apply(final long newSequence, final Collection<Entry> writes) {
        entries.apply(newSequence, writes);
    }

    /** Replaces everything, as a snapshot does. */
    public void reset(final long newSequence, final Collection<Entry> newEntries) {
        entries.reset(newSequence, newEntries);
    }

    /** Replaces the entries of one range of digests; {@link #completeRepair} must follow once all ranges are in. */
    public void replaceRange(final int range, final int rangeCount, final Collection<Entry> rangeEntries) {
        entries.replaceRange(range, rangeCount, rangeEntries);
    }

    /** Ends a repair: the entries are now those of this sequence. */
    public void completeRepair(final long newSequence) {
        entries.completeRepair(newSequence);
    }

    /** All entries, in the order of their keys. */
    public List<Entry> allEntries() {
        return entries.all();
    }

    /** What the data plane follows and was written after the given revision, oldest first. */
    public List<Entry> policySince(final long revision) {
        return entries.policySince(revision);
    }

    /** One digest for each range of keys. */
    public long[] digests(final int rangeCount) {
        return entries.digests(rangeCount);
    }

    /** The entries of one range. */
    public List<Entry> entriesInRange(final int range, final int rangeCount) {
        return entries.inRange(range, rangeCount);
    }

    /** The entry of a key, if it is there and not deleted. */
    public Optional<Entry> get(final String key) {
        return entries.find(key).filter(entry -> !entry.isDeleted());
    }

    /** All entries whose keys start so, deleted ones of policy too; a view of this state. */
    public SortedMap<String, Entry> entriesWithPrefix(final String prefix) {
        return entries.withPrefix(prefix);
    }

    /** The key of a row. */
    public static String rowKey(final String tenant, final String kind) {
        return EntryKeys.ROWS + tenant + "/" + kind;
    }

    /**
     * Evaluates a command: either the entries that it writes, or a result without a write. A rejection that could turn
     * out otherwise later is written too, so that a duplicate of the command that comes late finds it.
     *
     * @param command       the command
     * @param overlay       the entries by key that were accepted and are not applied yet
     * @param writeSequence the sequence of the command's own writes
     * @param stamp         the stamp of the command's own writes
     */
    public Evaluation evaluate(
            final Command command, final Map<String, Entry> overlay, final long writeSequence, final Stamp stamp) {
        final EvaluationContext context = new EvaluationContext(entries, overlay, writeSequence, stamp);
        final Optional<CommandResult> earlier = CommandOutcomes.find(context, command.id());
        if (earlier.isPresent()) {
            return new Evaluation.Reply(earlier.get());
        }
        final Evaluation evaluation = evaluateNew(command, context);
        return evaluation instanceof Evaluation.Reply reply
                        && reply.result() instanceof CommandResult.Rejected rejected
                        && mustPersistRejection(command, rejected)
                ? CommandOutcomes.writeRejection(context, command.id(), rejected)
                : evaluation;
    }

    /** Conflicts are final, and claims and epochs are known by their own entries. */
    private static boolean mustPersistRejection(final Command command, final CommandResult.Rejected rejected) {
        return rejected.code() != RejectionCause.CONFLICT.code()
                && !(command instanceof Command.Claim)
                && !(command instanceof Command.CompleteClaim)
                && !(command instanceof Command.AdvanceEpoch);
    }

    private Evaluation evaluateNew(final Command command, final EvaluationContext context) {
        return switch (command) {
            case Command.PatchTable patch -> table.patch(patch, context);
            case Command.PutTable put -> table.replace(put, context);
            case Command.PutTenant put -> tenants.put(put, context);
            case Command.RemoveTenant remove -> tenants.remove(remove, context);
            case Command.SetEvacuation set -> evacuations.set(set, context);
            case Command.Claim claim -> claims.claim(claim, context);
            case Command.CompleteClaim complete -> claims.complete(complete, context);
            case Command.PutSchedule put -> schedules.put(put, context);
            case Command.RemoveSchedule remove -> schedules.remove(remove, context);
            case Command.Scheduled scheduled -> evaluateNew(scheduled.command(), context);
            case Command.AdvanceEpoch advance -> epochs.advance(advance, context);
            case Command.PutConfiguration put -> configurations.put(Command.PutFullConfiguration.of(put), context);
            case Command.PutFullConfiguration put -> configurations.put(put, context);
            case Command.CloseUsageWindow close -> usage.close(close, context);
            case Command.MarkUsageReported mark -> usage.markReported(mark, context);
        };
    }
}
