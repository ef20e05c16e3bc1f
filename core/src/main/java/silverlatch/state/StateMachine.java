package silverlatch.state;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SortedMap;
import java.util.TreeMap;
import silverlatch.clock.Stamp;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/** The shared books of the control plane: what they hold, and the one function that judges a wish against them. */
public final class StateMachine {
    /** How many rows a table may have. */
    public static final int MAX_ROWS = 20_000;
    /** How many claims are kept at once. */
    public static final int MAX_CLAIMS = 200_000;
    /** A claim is kept for so many turns of the glass: 7 days of ten minutes each. */
    public static final int CLAIM_RETENTION_EPOCHS = 7 * 144;

    private static final int MAX_EXPIRED_PER_EPOCH = 5_000;
    private static final String EPOCH_KEY = "h/glass";
    private static final String RUNNING = "running";
    private static final String REJECTED = "rejected";
    private static final int MAX_OUTCOMES = 1_000;
    private final EntryTable entries = new EntryTable();
    private final Safeguards safeguards;

    /** Empty books. */
    public StateMachine() {
        this(Safeguards.ALL);
    }

    /** Empty books under the guards that stand. */
    public StateMachine(final Safeguards safeguards) {
        this.safeguards = safeguards;
    }

    /** The newest sequence applied. */
    public long sequence() {
        return entries.sequence();
    }

    /** The newest sequence that changed what the data plane follows. */
    public long policyRevision() {
        return entries.policyRevision();
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
        return "r/" + tenant + "/" + kind;
    }

    /**
     * Judges a wish: either the entries it writes at the given sequence, or a verdict. A rejection that could turn out
     * otherwise later is written too, so that a copy of the wish that comes late finds it.
     * The overlay holds what was let in but is not applied yet.
     */
    public Evaluation evaluate(
            final Command command, final Map<String, Entry> overlay, final long writeSequence, final Stamp stamp) {
        final Map<String, Entry> overlayCopy = new HashMap<>(overlay);
        final OverlaidState view = new OverlaidState(overlayCopy);
        final Optional<Entry> outcome = view.find("o/" + command.id());
        if (outcome.isPresent() && outcome.get().value().get(0) instanceof Value.CommandOutcome d) {
            return new Evaluation.Reply(
                    d.code() == 0
                            ? new CommandResult.Applied(outcome.get().sequence())
                            : new CommandResult.Rejected(d.code(), d.faults(), d.sequence()));
        }
        final Evaluation evaluation = evaluateNew(command, view, writeSequence, stamp);
        final boolean lasting = command instanceof Command.Claim
                || command instanceof Command.CompleteClaim
                || command instanceof Command.AdvanceEpoch;
        return evaluation instanceof Evaluation.Reply reply
                        && reply.result() instanceof CommandResult.Rejected r
                        && r.code() != 409
                        && !lasting
                ? writeWithOutcome(
                        view,
                        List.of(),
                        command.id(),
                        writeSequence,
                        new Value.CommandOutcome(r.sequence(), r.code(), r.faults()))
                : evaluation;
    }

    private Evaluation evaluateNew(
            final Command command, final OverlaidState view, final long writeSequence, final Stamp stamp) {
        return switch (command) {
            case Command.PatchTable w -> patchTable(w, view, writeSequence);
            case Command.PutTable w -> table(w, view, writeSequence);
            case Command.PutTenant w ->
                writeIfCurrent(
                        view,
                        "t/" + w.tenant().name(),
                        w.expectedRevision(),
                        () -> TableRules.faults(w.tenant()),
                        w.id(),
                        writeSequence,
                        w.tenant());
            case Command.RemoveTenant w ->
                view.find("t/" + w.tenant()).isEmpty()
                        ? reject(404, "no tenant " + w.tenant(), 0)
                        : writeIfCurrent(
                                view, "t/" + w.tenant(), w.expectedRevision(), List::of, w.id(), writeSequence);
            case Command.SetEvacuation w ->
                writeIfCurrent(
                        view,
                        "z/" + w.zone(),
                        safeguards.isEnabled(Safeguard.NEWEST) ? w.expectedRevision() : -1,
                        () -> TableRules.nameFaults("zone", w.zone()),
                        w.id(),
                        writeSequence,
                        new Value.Evacuation(w.zone(), w.active(), stamp));
            case Command.Claim w -> claim(w, view, writeSequence);
            case Command.CompleteClaim w -> completeClaim(w, view, writeSequence);
            case Command.PutSchedule w ->
                writeIfCurrent(
                        view,
                        "k/" + w.schedule().name(),
                        w.expectedRevision(),
                        () -> TableRules.nameFaults("name", w.schedule().name()),
                        w.id(),
                        writeSequence,
                        w.schedule());
            case Command.RemoveSchedule w ->
                view.find("k/" + w.name()).isEmpty()
                        ? reject(404, "no calendar " + w.name(), 0)
                        : writeIfCurrent(view, "k/" + w.name(), w.expectedRevision(), List::of, w.id(), writeSequence);
            case Command.Scheduled w -> evaluateNew(w.command(), view, writeSequence, stamp);
            case Command.AdvanceEpoch w -> advanceEpoch(w, view, writeSequence);
            case Command.PutConfiguration w -> putConfiguration(w, view, writeSequence);
        };
    }

    private Evaluation patchTable(
            final Command.PatchTable command, final OverlaidState view, final long writeSequence) {
        final long currentRevision = view.tableRevision();
        if (isConflict(command.expectedRevision(), currentRevision)) {
            return reject(409, "the table is at sequence " + currentRevision, currentRevision);
        }
        final List<String> faults = new ArrayList<>();
        final Map<String, Value.Row> rows = new HashMap<>();
        for (int i = 0; i < command.cells().size(); i++) {
            final Command.Cell cell = command.cells().get(i);
            final String key = rowKey(cell.tenant(), cell.kind());
            final Value.Row previous = rows.computeIfAbsent(
                    key,
                    k -> view.find(k)
                            .map(e -> (Value.Row) e.value().get(0))
                            .orElseGet(() -> view.find(rowKey("*", cell.kind()))
                                    .map(e -> (Value.Row) e.value().get(0))
                                    .map(r -> TableRules.withTenant(r, cell.tenant()))
                                    .orElse(TableRules.defaultRow(cell.tenant(), cell.kind()))));
            switch (TableRules.withCell(previous, cell.field(), cell.value())) {
                case TableRules.CellChange.Changed changed -> rows.put(key, changed.row());
                case TableRules.CellChange.Invalid invalid -> faults.add("$.cells[" + i + "]: " + invalid.fault());
            }
        }
        rows.values().forEach(r -> {
            faults.addAll(TableRules.faults(r));
            faults.addAll(view.tenantFaults(r));
        });
        if (!faults.isEmpty() || rows.isEmpty()) {
            return new Evaluation.Reply(new CommandResult.Rejected(
                    422, rows.isEmpty() ? List.of("$.cells: none given") : faults, currentRevision));
        }
        final long addedRows =
                rows.keySet().stream().filter(k -> view.find(k).isEmpty()).count();
        if (addedRows > 0 && view.rowKeys().size() + addedRows > MAX_ROWS) {
            return reject(507, "the table would have more than " + MAX_ROWS + " rows", currentRevision);
        }
        final List<Entry> writes = new ArrayList<>();
        rows.forEach((k, r) -> writes.add(new Entry(k, writeSequence, List.of(r))));
        return writeWithOutcome(view, writes, command.id(), writeSequence);
    }

    private Evaluation table(final Command.PutTable command, final OverlaidState view, final long writeSequence) {
        final long currentRevision = view.tableRevision();
        if (isConflict(command.expectedRevision(), currentRevision)) {
            return reject(409, "the table is at sequence " + currentRevision, currentRevision);
        }
        if (command.rows().size() > MAX_ROWS) {
            return reject(413, "a table has at most " + MAX_ROWS + " rows", currentRevision);
        }
        final List<String> faults = new ArrayList<>();
        final Set<String> keys = new HashSet<>();
        final List<Entry> writes = new ArrayList<>();
        for (int i = 0; i < command.rows().size(); i++) {
            final Value.Row row = command.rows().get(i);
            final String path = "$.rows[" + i + "]";
            TableRules.faults(row).forEach(f -> faults.add(path + "." + f));
            view.tenantFaults(row).forEach(f -> faults.add(path + "." + f));
            if (!keys.add(rowKey(row.tenant(), row.kind()))) {
                faults.add(path + ": a second row for " + row.tenant() + " and " + row.kind());
            }
            writes.add(new Entry(rowKey(row.tenant(), row.kind()), writeSequence, List.of(row)));
        }
        if (command.rows().isEmpty()) {
            faults.add("$.rows: a table needs a row");
        }
        if (!faults.isEmpty()) {
            return new Evaluation.Reply(
                    new CommandResult.Rejected(422, faults.subList(0, Math.min(50, faults.size())), currentRevision));
        }
        view.rowKeys().stream()
                .filter(k -> !keys.contains(k))
                .forEach(k -> writes.add(new Entry(k, writeSequence, List.of())));
        return writeWithOutcome(view, writes, command.id(), writeSequence);
    }

    private Evaluation writeIfCurrent(
            final OverlaidState view,
            final String key,
            final long expectedRevision,
            final java.util.function.Supplier<List<String>> check,
            final String id,
            final long writeSequence,
            final Value... value) {
        final long currentRevision = view.sequenceOf(key);
        if (isConflict(expectedRevision, currentRevision)) {
            return reject(409, key.substring(2) + " is at sequence " + currentRevision, currentRevision);
        }
        final List<String> faults = check.get();
        if (!faults.isEmpty()) {
            return new Evaluation.Reply(new CommandResult.Rejected(422, faults, currentRevision));
        }
        return writeWithOutcome(view, List.of(new Entry(key, writeSequence, List.of(value))), id, writeSequence);
    }

    private boolean isConflict(final long expectedRevision, final long currentRevision) {
        return expectedRevision >= 0 && expectedRevision != currentRevision && safeguards.isEnabled(Safeguard.MATCH);
    }

    private Evaluation claim(final Command.Claim command, final OverlaidState view, final long writeSequence) {
        final Optional<Value.Claim> existing = view.find("c/" + command.key())
                .map(e -> (Value.Claim) e.value().get(0))
                .filter(c -> safeguards.isEnabled(Safeguard.CLAIM));
        if (existing.map(c ->
                        c.requestId().equals(command.requestId()) && c.state().equals(RUNNING))
                .orElse(false)) {
            return new Evaluation.Reply(new CommandResult.Applied(view.sequenceOf("c/" + command.key())));
        }
        if (existing.isPresent() && !canReclaim(existing.get(), command)) {
            return new Evaluation.Reply(new CommandResult.AlreadyClaimed(existing.get()));
        }
        if (existing.isEmpty() && entries.claimCount() + view.overlayCount("c/") >= MAX_CLAIMS) {
            return reject(507, "the space for claims is full", entries.sequence());
        }
        return writeClaim(
                command.key(),
                writeSequence,
                new Value.Claim(command.requestId(), command.gatewayId(), RUNNING, command.claimedAt(), view.epoch()));
    }

    /** A claim that ended as rejected never ran: a ticket that was claimed later may have its key, and none other. */
    private static boolean canReclaim(final Value.Claim existing, final Command.Claim command) {
        return existing.state().equals(REJECTED)
                && !existing.requestId().equals(command.requestId())
                && command.claimedAt() > existing.claimedAt();
    }

    private Evaluation completeClaim(
            final Command.CompleteClaim command, final OverlaidState view, final long writeSequence) {
        final Optional<Value.Claim> existing =
                view.find("c/" + command.key()).map(e -> (Value.Claim) e.value().get(0));
        if (existing.isEmpty() && command.state().equals(REJECTED)) {
            return writeClaim(
                    command.key(),
                    writeSequence,
                    new Value.Claim(
                            command.requestId(),
                            command.gatewayId(),
                            command.state(),
                            command.claimedAt(),
                            view.epoch()));
        }
        if (existing.isEmpty() || !existing.get().requestId().equals(command.requestId())) {
            return reject(409, "the claim is not this ticket's", entries.sequence());
        }
        if (!existing.get().state().equals(RUNNING)) {
            return new Evaluation.Reply(new CommandResult.Applied(view.sequenceOf("c/" + command.key())));
        }
        return writeClaim(
                command.key(),
                writeSequence,
                new Value.Claim(
                        existing.get().requestId(),
                        existing.get().gatewayId(),
                        command.state(),
                        existing.get().claimedAt(),
                        existing.get().epoch()));
    }

    private static Evaluation writeClaim(final String key, final long writeSequence, final Value.Claim claim) {
        return new Evaluation.Write(List.of(new Entry("c/" + key, writeSequence, List.of(claim))));
    }

    private Evaluation writeWithOutcome(
            final OverlaidState view, final List<Entry> writes, final String id, final long writeSequence) {
        return writeWithOutcome(view, writes, id, writeSequence, new Value.CommandOutcome(writeSequence, 0, List.of()));
    }

    private Evaluation writeWithOutcome(
            final OverlaidState view,
            final List<Entry> writes,
            final String id,
            final long writeSequence,
            final Value.CommandOutcome outcome) {
        final List<Entry> all = new ArrayList<>(writes);
        all.add(new Entry("o/" + id, writeSequence, List.of(outcome)));
        final Map<String, Entry> outcomes = view.liveWithPrefix("o/");
        final int added =
                (int) all.stream().filter(e -> e.key().startsWith("o/")).count();
        outcomes.values().stream()
                .sorted(Comparator.comparingLong(Entry::sequence).thenComparing(Entry::key))
                .limit(Math.max(0, outcomes.size() + added - MAX_OUTCOMES))
                .forEach(e -> all.add(new Entry(e.key(), writeSequence, List.of())));
        return new Evaluation.Write(all);
    }

    private Evaluation putConfiguration(
            final Command.PutConfiguration command, final OverlaidState view, final long writeSequence) {
        final long currentNumber = view.find(ConfigurationValidator.CONFIGURATION_KEY)
                .map(e -> ((Value.RoutingConfiguration) e.value().get(0)).number())
                .orElse(0L);
        final Optional<Entry> accepted = firstAcceptance(command, view, currentNumber);
        if (accepted.isPresent()) {
            return new Evaluation.Reply(new CommandResult.Applied(accepted.get().sequence()));
        }
        final String refusalKey = AcceptedConfigurations.refusalKey(command);
        final Optional<Value.CommandOutcome> refusal =
                view.find(refusalKey).map(e -> (Value.CommandOutcome) e.value().get(0));
        if (refusal.isPresent()) {
            return new Evaluation.Reply(new CommandResult.Rejected(
                    refusal.get().code(), refusal.get().faults(), refusal.get().sequence()));
        }
        final Map<String, Entry> remembered = view.liveWithPrefix(AcceptedConfigurations.KEY_PREFIX);
        if (mayBeForgotten(command, remembered, currentNumber)) {
            return new Evaluation.Reply(new CommandResult.Unknown(command.id()));
        }
        if (isConflict(command.expectedRevision(), currentNumber)) {
            return rejectConflict(command, view, refusalKey, currentNumber, writeSequence);
        }
        final List<String> faults = ConfigurationValidator.faults(command, currentNumber);
        if (!faults.isEmpty()) {
            return new Evaluation.Reply(new CommandResult.Rejected(422, faults, currentNumber));
        }
        final Map<String, Entry> current = view.liveWithPrefix(ConfigurationValidator.ROUTE_PREFIX);
        current.putAll(view.liveWithPrefix(ConfigurationValidator.POOL_PREFIX));
        final List<Entry> writes = new ArrayList<>(ConfigurationValidator.writes(command, current, writeSequence));
        writes.addAll(AcceptedConfigurations.writes(command, remembered, currentNumber, writeSequence));
        return writeWithOutcome(view, writes, command.id(), writeSequence);
    }

    /**
     * The entry of an order's first acceptance, if it was accepted. The configuration in force is known by its own text
     * where a folder of an older version holds no memory of it.
     */
    private Optional<Entry> firstAcceptance(
            final Command.PutConfiguration command, final OverlaidState view, final long currentNumber) {
        final Optional<Entry> remembered = safeguards.isEnabled(Safeguard.TAKEN)
                ? view.find(AcceptedConfigurations.key(command.configuration().number()))
                : Optional.empty();
        if (remembered.isPresent()) {
            return remembered.filter(e -> AcceptedConfigurations.isSame(AcceptedConfigurations.value(e), command));
        }
        final boolean inForce = currentNumber == command.configuration().number()
                && command.expectedRevision() < currentNumber
                && view.find(ConfigurationValidator.DOCUMENT_KEY)
                        .map(e -> ((Value.ConfigurationDocument) e.value().get(0))
                                .text()
                                .equals(command.document()))
                        .orElse(false);
        return view.find(ConfigurationValidator.CONFIGURATION_KEY).filter(e -> inForce);
    }

    /** Whether an order that isn't remembered may have been accepted, so that a refusal could be wrong. */
    private boolean mayBeForgotten(
            final Command.PutConfiguration command, final Map<String, Entry> remembered, final long currentNumber) {
        final long number = command.configuration().number();
        return safeguards.isEnabled(Safeguard.TAKEN)
                && command.expectedRevision() < number
                && number <= AcceptedConfigurations.highestForgotten(new TreeMap<>(remembered), currentNumber)
                && ConfigurationValidator.faults(command, 0).isEmpty();
    }

    /**
     * A race lost to a higher number is lost for good, as numbers only rise. An order on top of a number that isn't in
     * force yet could be accepted later, so its refusal is written: each copy that comes finds it.
     */
    private Evaluation rejectConflict(
            final Command.PutConfiguration command,
            final OverlaidState view,
            final String refusalKey,
            final long currentNumber,
            final long writeSequence) {
        final List<String> faults = List.of("the charter in force is number " + currentNumber);
        if (command.expectedRevision() < currentNumber) {
            return new Evaluation.Reply(new CommandResult.Rejected(409, faults, currentNumber));
        }
        final Value.CommandOutcome refusal = new Value.CommandOutcome(currentNumber, 409, faults);
        return writeWithOutcome(
                view,
                List.of(new Entry(refusalKey, writeSequence, List.of(refusal))),
                command.id(),
                writeSequence,
                refusal);
    }

    private static Evaluation reject(final int code, final String reason, final long currentRevision) {
        return new Evaluation.Reply(new CommandResult.Rejected(code, List.of(reason), currentRevision));
    }

    /** How often the glass was turned. */
    public long epoch() {
        return get(EPOCH_KEY)
                .map(e -> ((Value.Epoch) e.value().get(0)).number())
                .orElse(0L);
    }

    private Evaluation advanceEpoch(
            final Command.AdvanceEpoch command, final OverlaidState view, final long writeSequence) {
        final long currentEpoch = view.epoch();
        if (command.epoch() != currentEpoch + 1) {
            return command.epoch() <= currentEpoch
                    ? new Evaluation.Reply(new CommandResult.Applied(view.sequenceOf(EPOCH_KEY)))
                    : reject(409, "the glass was turned " + currentEpoch + " times", currentEpoch);
        }
        final List<Entry> writes = new ArrayList<>(
                List.of(new Entry(EPOCH_KEY, writeSequence, List.of(new Value.Epoch(command.epoch())))));
        entries.withPrefix("c/").values().stream()
                .map(e -> view.find(e.key()))
                .flatMap(Optional::stream)
                .filter(e -> e.value().get(0) instanceof Value.Claim c
                        && c.epoch() + CLAIM_RETENTION_EPOCHS < command.epoch())
                .limit(MAX_EXPIRED_PER_EPOCH)
                .forEach(e -> writes.add(new Entry(e.key(), writeSequence, List.of())));
        return new Evaluation.Write(writes);
    }

    /** What judging a wish gives. */
    public sealed interface Evaluation {
        /** It is let in and writes these entries. */
        record Write(List<Entry> entries) implements Evaluation {}

        /** It is decided without a write. */
        record Reply(CommandResult result) implements Evaluation {}
    }

    private final class OverlaidState {
        private final Map<String, Entry> overlay;

        OverlaidState(final Map<String, Entry> overlay) {
            this.overlay = overlay;
        }

        Optional<Entry> find(final String key) {
            return Optional.ofNullable(overlay.get(key))
                    .or(() -> entries.find(key))
                    .filter(e -> !e.isDeleted());
        }

        long sequenceOf(final String key) {
            return Optional.ofNullable(overlay.get(key))
                    .or(() -> entries.find(key))
                    .map(Entry::sequence)
                    .orElse(0L);
        }

        long tableRevision() {
            long newest = entries.tableRevision();
            for (final Entry entry : overlay.values()) {
                newest = entry.key().startsWith("r/") ? Math.max(newest, entry.sequence()) : newest;
            }
            return newest;
        }

        long epoch() {
            return find(EPOCH_KEY)
                    .map(e -> ((Value.Epoch) e.value().get(0)).number())
                    .orElse(0L);
        }

        Set<String> rowKeys() {
            return liveWithPrefix("r/").keySet();
        }

        Map<String, Entry> liveWithPrefix(final String prefix) {
            final Map<String, Entry> live = new HashMap<>(entries.withPrefix(prefix));
            overlay.values().stream().filter(e -> e.key().startsWith(prefix)).forEach(e -> live.put(e.key(), e));
            live.values().removeIf(Entry::isDeleted);
            return live;
        }

        long overlayCount(final String prefix) {
            return overlay.keySet().stream().filter(k -> k.startsWith(prefix)).count();
        }

        List<String> tenantFaults(final Value.Row row) {
            return row.tenant().equals("*") || find("t/" + row.tenant()).isPresent()
                    ? List.of()
                    : List.of("tenant: there is no tenant " + row.tenant());
        }
    }
}
