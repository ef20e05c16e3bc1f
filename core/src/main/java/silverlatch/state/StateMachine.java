package silverlatch.state;

import java.util.Collection;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SortedMap;
import silverlatch.clock.Stamp;
import silverlatch.safeguard.Safeguards;

/**
 * The replicated state of the control plane. A command is evaluated once, at the head of the chain, and gives the
 * entries that it writes; every replica applies these entries in the order of their sequences. Each kind of state has a
 * manager that evaluates its commands. Evaluation depends only on the entries, the command, and the sequence and stamp
 * that are passed in.
 *
 * <p>Not thread-safe: confined to the event loop of its replica.
 */
public final class StateMachine {
    /** Maximum number of rows of the table. */
    public static final int MAX_ROWS = 20_000;
    /** Maximum number of claims that are stored at the same time. */
    public static final int MAX_CLAIMS = 200_000;
    /** Number of epochs for which a claim is kept: 7 days of 144 epochs of ten minutes each. */
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

    /** Creates an empty state with all safeguards enabled. */
    public StateMachine() {
        this(Safeguards.ALL);
    }

    /** Creates an empty state with the given safeguards. */
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

    /** Returns the newest sequence applied. */
    public long sequence() {
        return entries.sequence();
    }

    /** Returns the newest sequence that wrote a policy entry, i.e. one that gateways receive. */
    public long policyRevision() {
        return entries.policyRevision();
    }

    /** Returns the epoch, which is the number of times it has been advanced. */
    public long epoch() {
        return get(EntryKeys.EPOCH)
                .map(entry -> ((Value.Epoch) entry.value().get(0)).number())
                .orElse(0L);
    }

    /** Applies the entries of one committed change. */
    public void apply(final long newSequence, final Collection<Entry> writes) {
        entries.apply(newSequence, writes);
    }

    /** Replaces all entries by those of a snapshot. */
    public void reset(final long newSequence, final Collection<Entry> newEntries) {
        entries.reset(newSequence, newEntries);
    }

    /**
     * Replaces the entries of one digest range. {@link #completeRepair} must be called after all ranges have been
     * replaced.
     */
    public void replaceRange(final int range, final int rangeCount, final Collection<Entry> rangeEntries) {
        entries.replaceRange(range, rangeCount, rangeEntries);
    }

    /** Completes a repair: the entries are now those of the given sequence. */
    public void completeRepair(final long newSequence) {
        entries.completeRepair(newSequence);
    }

    /** Returns all entries, sorted by key. */
    public List<Entry> allEntries() {
        return entries.all();
    }

    /** Returns the policy entries that were written after a revision, including tombstones, oldest first. */
    public List<Entry> policySince(final long revision) {
        return entries.policySince(revision);
    }

    /** Returns the digest of each key range. */
    public long[] digests(final int rangeCount) {
        return entries.digests(rangeCount);
    }

    /** Returns the entries of one digest range. */
    public List<Entry> entriesInRange(final int range, final int rangeCount) {
        return entries.inRange(range, rangeCount);
    }

    /** Returns the entry of a key, if it exists and is not deleted. */
    public Optional<Entry> get(final String key) {
        return entries.find(key).filter(entry -> !entry.isDeleted());
    }

    /**
     * Returns the entries whose keys start with a prefix, including tombstones of policy entries, as a view of this
     * state.
     */
    public SortedMap<String, Entry> entriesWithPrefix(final String prefix) {
        return entries.withPrefix(prefix);
    }

    /** Returns the key of a row's entry. */
    public static String rowKey(final String tenant, final String kind) {
        return EntryKeys.ROWS + tenant + "/" + kind;
    }

    /**
     * Evaluates a command. The result is either the entries that it writes, or a reply without a write. A rejection
     * that could become an acceptance later is also written, so that a late duplicate of the command finds it.
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

    /**
     * Returns whether a rejection must be written, so that duplicates find it. Conflicts need not be, as they are
     * final; nor need rejected commands on claims and epochs, whose duplicates are recognized by the entries of the
     * claims and the epoch.
     */
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
