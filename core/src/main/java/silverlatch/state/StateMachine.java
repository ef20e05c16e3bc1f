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
import java.util.TreeSet;
import silverlatch.clock.Stamp;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/** The shared books of the control plane: what they hold, and the one function that judges a wish against them. */
public final class StateMachine {
    /** How many rows a table may have. */
    public static final int ROWS = 20_000;
    /** How many claims are kept at once. */
    public static final int CLAIMS = 200_000;
    /** A claim is kept for so many turns of the glass: 7 days of ten minutes each. */
    public static final int TURNS = 7 * 144;

    private static final int SWEPT = 5_000;
    private static final String GLASS = "h/glass";
    private static final String RUNNING = "running";
    private static final String REJECTED = "rejected";
    private static final int DEEDS = 1_000;
    private final TreeMap<String, Entry> entries = new TreeMap<>();
    private final TreeSet<Entry> newest =
            new TreeSet<>(Comparator.comparingLong(Entry::sequence).thenComparing(Entry::key));
    private final Safeguards guards;
    private long sequence;
    private long page;
    private long table;
    private int claims;

    /** Empty books. */
    public StateMachine() {
        this(Safeguards.ALL);
    }

    /** Empty books under the guards that stand. */
    public StateMachine(final Safeguards guards) {
        this.guards = guards;
    }

    /** The newest sequence applied. */
    public long sequence() {
        return sequence;
    }

    /** The newest sequence that changed what the data plane follows. */
    public long page() {
        return page;
    }

    /** Applies the entries of one change. */
    public void apply(final long seq, final Collection<Entry> puts) {
        sequence = Math.max(sequence, seq);
        for (final Entry put : puts) {
            if (put.policy()) {
                page = Math.max(page, put.sequence());
            }
            if (put.gone() && !put.policy()) {
                Optional.ofNullable(entries.remove(put.key())).ifPresent(this::unlist);
            } else {
                final Optional<Entry> old = Optional.ofNullable(entries.get(put.key()));
                if (old.map(o -> put.sequence() >= o.sequence()).orElse(true)) {
                    old.ifPresent(this::unlist);
                    entries.put(put.key(), put);
                    list(put);
                }
            }
        }
    }

    private void list(final Entry e) {
        claims += e.key().startsWith("c/") ? 1 : 0;
        if (e.policy()) {
            newest.add(e);
            if (e.key().startsWith("r/")) {
                table = Math.max(table, e.sequence());
            }
        }
    }

    private void unlist(final Entry e) {
        claims -= e.key().startsWith("c/") ? 1 : 0;
        if (e.policy()) {
            newest.remove(e);
        }
    }

    /** Replaces everything, as a repair or a picture does. */
    public void reset(final long seq, final Collection<Entry> all) {
        entries.clear();
        newest.clear();
        sequence = 0;
        page = 0;
        table = 0;
        claims = 0;
        apply(seq, all);
    }

    /** Replaces all keys of one range of digests by the given ones. */
    public void mend(final int range, final int ranges, final Collection<Entry> all) {
        entries.values().removeIf(e -> slot(e.key(), ranges) == range);
        all.forEach(e -> entries.put(e.key(), e));
    }

    /** Sets the sequences after a repair. */
    public void level(final long seq) {
        sequence = seq;
        newest.clear();
        table = 0;
        claims = 0;
        entries.values().forEach(this::list);
        page = newest.isEmpty() ? 0 : newest.last().sequence();
    }

    /** Everything. */
    public List<Entry> all() {
        return List.copyOf(entries.values());
    }

    /** What the data plane follows and was written after the given page. */
    public List<Entry> since(final long old) {
        return List.copyOf(newest.tailSet(new Entry("", old + 1, List.of())));
    }

    /** One digest for each range of keys. */
    public long[] digests(final int ranges) {
        final long[] sums = new long[ranges];
        for (final Entry e : entries.values()) {
            sums[slot(e.key(), ranges)] += mix(name(e.key()) + e.sequence() * 0x9E3779B97F4A7C15L);
        }
        return sums;
    }

    /** The entries of one range. */
    public List<Entry> range(final int range, final int ranges) {
        return entries.values().stream()
                .filter(e -> slot(e.key(), ranges) == range)
                .toList();
    }

    /** The entry of a key, if it is held and not gone. */
    public Optional<Entry> get(final String key) {
        return Optional.ofNullable(entries.get(key)).filter(e -> !e.gone());
    }

    /** All entries whose key starts so. */
    public SortedMap<String, Entry> part(final String start) {
        return entries.subMap(start, start + Character.MAX_VALUE);
    }

    /** The key of a row. */
    public static String row(final String tenant, final String kind) {
        return "r/" + tenant + "/" + kind;
    }

    /**
     * Judges a wish: either the entries it writes at the given sequence, or a verdict. A rejection that could turn out
     * otherwise later is written too, so that a copy of the wish that comes late finds it.
     * The overlay holds what was let in but is not applied yet.
     */
    public Judged judge(final Command wish, final Map<String, Entry> overlay, final long seq, final Stamp stamp) {
        final Map<String, Entry> seen = new HashMap<>(overlay);
        final Look look = new Look(seen);
        final Optional<Entry> done = look.at("o/" + wish.id());
        if (done.isPresent() && done.get().leaf().get(0) instanceof Value.CommandOutcome d) {
            return new Judged.Over(
                    d.code() == 0
                            ? new CommandResult.Applied(done.get().sequence())
                            : new CommandResult.Rejected(d.code(), d.faults(), d.sequence()));
        }
        final Judged judged = judged(wish, look, seq, stamp);
        final boolean lasting = wish instanceof Command.Claim
                || wish instanceof Command.CompleteClaim
                || wish instanceof Command.AdvanceEpoch;
        return judged instanceof Judged.Over over
                        && over.verdict() instanceof CommandResult.Rejected r
                        && r.code() != 409
                        && !lasting
                ? let(look, List.of(), wish.id(), seq, new Value.CommandOutcome(r.sequence(), r.code(), r.faults()))
                : judged;
    }

    private Judged judged(final Command wish, final Look look, final long seq, final Stamp stamp) {
        return switch (wish) {
            case Command.PatchTable w -> cells(w, look, seq);
            case Command.PutTable w -> table(w, look, seq);
            case Command.PutTenant w ->
                matched(
                        look,
                        "t/" + w.tenant().name(),
                        w.match(),
                        () -> TableRules.faults(w.tenant()),
                        w.id(),
                        seq,
                        w.tenant());
            case Command.RemoveTenant w ->
                look.at("t/" + w.tenant()).isEmpty()
                        ? rejected(404, "no tenant " + w.tenant(), 0)
                        : matched(look, "t/" + w.tenant(), w.match(), List::of, w.id(), seq);
            case Command.SetEvacuation w ->
                matched(
                        look,
                        "z/" + w.zone(),
                        guards.stands(Safeguard.NEWEST) ? w.match() : -1,
                        () -> TableRules.word("zone", w.zone()),
                        w.id(),
                        seq,
                        new Value.Evacuation(w.zone(), w.on(), stamp));
            case Command.Claim w -> hold(w, look, seq);
            case Command.CompleteClaim w -> end(w, look, seq);
            case Command.PutSchedule w ->
                matched(
                        look,
                        "k/" + w.calendar().name(),
                        w.match(),
                        () -> TableRules.word("name", w.calendar().name()),
                        w.id(),
                        seq,
                        w.calendar());
            case Command.RemoveSchedule w ->
                look.at("k/" + w.name()).isEmpty()
                        ? rejected(404, "no calendar " + w.name(), 0)
                        : matched(look, "k/" + w.name(), w.match(), List::of, w.id(), seq);
            case Command.Scheduled w -> judged(w.wish(), look, seq, stamp);
            case Command.AdvanceEpoch w -> sweep(w, look, seq);
            case Command.PutConfiguration w -> lay(w, look, seq);
        };
    }

    private Judged cells(final Command.PatchTable w, final Look look, final long seq) {
        final long now = look.table();
        if (lost(w.match(), now)) {
            return rejected(409, "the table is at sequence " + now, now);
        }
        final List<String> faults = new ArrayList<>();
        final Map<String, Value.Row> rows = new HashMap<>();
        for (int i = 0; i < w.cells().size(); i++) {
            final Command.Cell c = w.cells().get(i);
            final String key = row(c.tenant(), c.kind());
            final Value.Row old = rows.computeIfAbsent(
                    key,
                    k -> look.at(k)
                            .map(e -> (Value.Row) e.leaf().get(0))
                            .orElseGet(() -> look.at(row("*", c.kind()))
                                    .map(e -> (Value.Row) e.leaf().get(0))
                                    .map(r -> TableRules.renamed(r, c.tenant()))
                                    .orElse(TableRules.plain(c.tenant(), c.kind()))));
            switch (TableRules.set(old, c.field(), c.value())) {
                case TableRules.Cut.Good good -> rows.put(key, good.row());
                case TableRules.Cut.Bad bad -> faults.add("$.cells[" + i + "]: " + bad.fault());
            }
        }
        rows.values().forEach(r -> {
            faults.addAll(TableRules.faults(r));
            faults.addAll(look.person(r));
        });
        if (!faults.isEmpty() || rows.isEmpty()) {
            return new Judged.Over(
                    new CommandResult.Rejected(422, rows.isEmpty() ? List.of("$.cells: none given") : faults, now));
        }
        final long more =
                rows.keySet().stream().filter(k -> look.at(k).isEmpty()).count();
        if (more > 0 && look.rows().size() + more > ROWS) {
            return rejected(507, "the table would have more than " + ROWS + " rows", now);
        }
        final List<Entry> puts = new ArrayList<>();
        rows.forEach((k, r) -> puts.add(new Entry(k, seq, List.of(r))));
        return let(look, puts, w.id(), seq);
    }

    private Judged table(final Command.PutTable w, final Look look, final long seq) {
        final long now = look.table();
        if (lost(w.match(), now)) {
            return rejected(409, "the table is at sequence " + now, now);
        }
        if (w.rows().size() > ROWS) {
            return rejected(413, "a table has at most " + ROWS + " rows", now);
        }
        final List<String> faults = new ArrayList<>();
        final Set<String> keys = new HashSet<>();
        final List<Entry> puts = new ArrayList<>();
        for (int i = 0; i < w.rows().size(); i++) {
            final Value.Row r = w.rows().get(i);
            final String at = "$.rows[" + i + "]";
            TableRules.faults(r).forEach(f -> faults.add(at + "." + f));
            look.person(r).forEach(f -> faults.add(at + "." + f));
            if (!keys.add(row(r.tenant(), r.kind()))) {
                faults.add(at + ": a second row for " + r.tenant() + " and " + r.kind());
            }
            puts.add(new Entry(row(r.tenant(), r.kind()), seq, List.of(r)));
        }
        if (w.rows().isEmpty()) {
            faults.add("$.rows: a table needs a row");
        }
        if (!faults.isEmpty()) {
            return new Judged.Over(
                    new CommandResult.Rejected(422, faults.subList(0, Math.min(50, faults.size())), now));
        }
        look.rows().stream().filter(k -> !keys.contains(k)).forEach(k -> puts.add(new Entry(k, seq, List.of())));
        return let(look, puts, w.id(), seq);
    }

    private Judged matched(
            final Look look,
            final String key,
            final long match,
            final java.util.function.Supplier<List<String>> check,
            final String id,
            final long seq,
            final Value... leaf) {
        final long now = look.sequence(key);
        if (lost(match, now)) {
            return rejected(409, key.substring(2) + " is at sequence " + now, now);
        }
        final List<String> faults = check.get();
        if (!faults.isEmpty()) {
            return new Judged.Over(new CommandResult.Rejected(422, faults, now));
        }
        return let(look, List.of(new Entry(key, seq, List.of(leaf))), id, seq);
    }

    private boolean lost(final long match, final long now) {
        return match >= 0 && match != now && guards.stands(Safeguard.MATCH);
    }

    private Judged hold(final Command.Claim w, final Look look, final long seq) {
        final Optional<Value.Claim> old = look.at("c/" + w.key())
                .map(e -> (Value.Claim) e.leaf().get(0))
                .filter(c -> guards.stands(Safeguard.CLAIM));
        if (old.map(c -> c.ticket().equals(w.ticket()) && c.state().equals(RUNNING))
                .orElse(false)) {
            return new Judged.Over(new CommandResult.Applied(look.sequence("c/" + w.key())));
        }
        if (old.isPresent() && !taken(old.get(), w)) {
            return new Judged.Over(new CommandResult.AlreadyClaimed(old.get()));
        }
        if (old.isEmpty() && claims + look.fresh("c/") >= CLAIMS) {
            return rejected(507, "the space for claims is full", sequence);
        }
        return claimed(w.key(), seq, new Value.Claim(w.ticket(), w.carrier(), RUNNING, w.at(), look.turn()));
    }

    /** A claim that ended as rejected never ran: a ticket that was claimed later may have its key, and none other. */
    private static boolean taken(final Value.Claim old, final Command.Claim w) {
        return old.state().equals(REJECTED) && !old.ticket().equals(w.ticket()) && w.at() > old.at();
    }

    private Judged end(final Command.CompleteClaim w, final Look look, final long seq) {
        final Optional<Value.Claim> old =
                look.at("c/" + w.key()).map(e -> (Value.Claim) e.leaf().get(0));
        if (old.isEmpty() && w.state().equals(REJECTED)) {
            return claimed(w.key(), seq, new Value.Claim(w.ticket(), w.carrier(), w.state(), w.at(), look.turn()));
        }
        if (old.isEmpty() || !old.get().ticket().equals(w.ticket())) {
            return rejected(409, "the claim is not this ticket's", sequence);
        }
        if (!old.get().state().equals(RUNNING)) {
            return new Judged.Over(new CommandResult.Applied(look.sequence("c/" + w.key())));
        }
        return claimed(
                w.key(),
                seq,
                new Value.Claim(
                        old.get().ticket(),
                        old.get().carrier(),
                        w.state(),
                        old.get().at(),
                        old.get().turn()));
    }

    private static Judged claimed(final String key, final long seq, final Value.Claim claim) {
        return new Judged.Let(List.of(new Entry("c/" + key, seq, List.of(claim))));
    }

    private Judged let(final Look look, final List<Entry> puts, final String id, final long seq) {
        return let(look, puts, id, seq, new Value.CommandOutcome(seq, 0, List.of()));
    }

    private Judged let(
            final Look look, final List<Entry> puts, final String id, final long seq, final Value.CommandOutcome deed) {
        final List<Entry> all = new ArrayList<>(puts);
        all.add(new Entry("o/" + id, seq, List.of(deed)));
        final Map<String, Entry> outcomes = look.under("o/");
        final int fresh =
                (int) all.stream().filter(e -> e.key().startsWith("o/")).count();
        outcomes.values().stream()
                .sorted(Comparator.comparingLong(Entry::sequence).thenComparing(Entry::key))
                .limit(Math.max(0, outcomes.size() + fresh - DEEDS))
                .forEach(e -> all.add(new Entry(e.key(), seq, List.of())));
        return new Judged.Let(all);
    }

    private Judged lay(final Command.PutConfiguration w, final Look look, final long seq) {
        final long now = look.at(ConfigurationValidator.CHARTER)
                .map(e -> ((Value.RoutingConfiguration) e.leaf().get(0)).number())
                .orElse(0L);
        final Optional<Entry> accepted = accepted(w, look, now);
        if (accepted.isPresent()) {
            return new Judged.Over(new CommandResult.Applied(accepted.get().sequence()));
        }
        final String refusalKey = AcceptedConfigurations.refusalKey(w);
        final Optional<Value.CommandOutcome> refusal =
                look.at(refusalKey).map(e -> (Value.CommandOutcome) e.leaf().get(0));
        if (refusal.isPresent()) {
            return new Judged.Over(new CommandResult.Rejected(
                    refusal.get().code(), refusal.get().faults(), refusal.get().sequence()));
        }
        final Map<String, Entry> remembered = look.under(AcceptedConfigurations.KEYS);
        if (forgotten(w, remembered, now)) {
            return new Judged.Over(new CommandResult.Unknown(w.id()));
        }
        if (lost(w.match(), now)) {
            return lostRace(w, look, refusalKey, now, seq);
        }
        final List<String> faults = ConfigurationValidator.faults(w, now);
        if (!faults.isEmpty()) {
            return new Judged.Over(new CommandResult.Rejected(422, faults, now));
        }
        final Map<String, Entry> old = look.under(ConfigurationValidator.RULES);
        old.putAll(look.under(ConfigurationValidator.POOLS));
        final List<Entry> puts = new ArrayList<>(ConfigurationValidator.puts(w, old, seq));
        puts.addAll(AcceptedConfigurations.puts(w, remembered, now, seq));
        return let(look, puts, w.id(), seq);
    }

    /**
     * The entry of an order's first acceptance, if it was accepted. The configuration in force is known by its own text
     * where a folder of an older version holds no memory of it.
     */
    private Optional<Entry> accepted(final Command.PutConfiguration w, final Look look, final long now) {
        final Optional<Entry> remembered = guards.stands(Safeguard.TAKEN)
                ? look.at(AcceptedConfigurations.key(w.charter().number()))
                : Optional.empty();
        if (remembered.isPresent()) {
            return remembered.filter(e -> AcceptedConfigurations.same(AcceptedConfigurations.value(e), w));
        }
        final boolean inForce = now == w.charter().number()
                && w.match() < now
                && look.at(ConfigurationValidator.PAPER)
                        .map(e -> ((Value.ConfigurationDocument) e.leaf().get(0))
                                .text()
                                .equals(w.paper()))
                        .orElse(false);
        return look.at(ConfigurationValidator.CHARTER).filter(e -> inForce);
    }

    /** Whether an order that isn't remembered may have been accepted, so that a refusal could be wrong. */
    private boolean forgotten(final Command.PutConfiguration w, final Map<String, Entry> remembered, final long now) {
        final long number = w.charter().number();
        return guards.stands(Safeguard.TAKEN)
                && w.match() < number
                && number <= AcceptedConfigurations.forgotten(new TreeMap<>(remembered), now)
                && ConfigurationValidator.faults(w, 0).isEmpty();
    }

    /**
     * A race lost to a higher number is lost for good, as numbers only rise. An order on top of a number that isn't in
     * force yet could be accepted later, so its refusal is written: each copy that comes finds it.
     */
    private Judged lostRace(
            final Command.PutConfiguration w,
            final Look look,
            final String refusalKey,
            final long now,
            final long seq) {
        final List<String> faults = List.of("the charter in force is number " + now);
        if (w.match() < now) {
            return new Judged.Over(new CommandResult.Rejected(409, faults, now));
        }
        final Value.CommandOutcome refused = new Value.CommandOutcome(now, 409, faults);
        return let(look, List.of(new Entry(refusalKey, seq, List.of(refused))), w.id(), seq, refused);
    }

    private static Judged rejected(final int code, final String why, final long now) {
        return new Judged.Over(new CommandResult.Rejected(code, List.of(why), now));
    }

    /** How often the glass was turned. */
    public long turn() {
        return get(GLASS).map(e -> ((Value.Epoch) e.leaf().get(0)).turn()).orElse(0L);
    }

    private Judged sweep(final Command.AdvanceEpoch w, final Look look, final long seq) {
        final long now = look.turn();
        if (w.turn() != now + 1) {
            return w.turn() <= now
                    ? new Judged.Over(new CommandResult.Applied(look.sequence(GLASS)))
                    : rejected(409, "the glass was turned " + now + " times", now);
        }
        final List<Entry> puts = new ArrayList<>(List.of(new Entry(GLASS, seq, List.of(new Value.Epoch(w.turn())))));
        part("c/").values().stream()
                .map(e -> look.at(e.key()))
                .flatMap(Optional::stream)
                .filter(e -> e.leaf().get(0) instanceof Value.Claim c && c.turn() + TURNS < w.turn())
                .limit(SWEPT)
                .forEach(e -> puts.add(new Entry(e.key(), seq, List.of())));
        return new Judged.Let(puts);
    }

    private static int slot(final String key, final int ranges) {
        return Math.floorMod(key.hashCode() * 0x9E3779B9, ranges);
    }

    private static long name(final String key) {
        long sum = 0xCBF29CE484222325L;
        for (int i = 0; i < key.length(); i++) {
            sum = (sum ^ key.charAt(i)) * 0x100000001B3L;
        }
        return sum;
    }

    private static long mix(final long seed) {
        final long a = (seed ^ seed >>> 30) * 0xBF58476D1CE4E5B9L;
        final long b = (a ^ a >>> 27) * 0x94D049BB133111EBL;
        return b ^ b >>> 31;
    }

    /** What judging a wish gives. */
    public sealed interface Judged {
        /** It is let in and writes these entries. */
        record Let(List<Entry> puts) implements Judged {}

        /** It is decided without a write. */
        record Over(CommandResult verdict) implements Judged {}
    }

    private final class Look {
        private final Map<String, Entry> seen;

        Look(final Map<String, Entry> seen) {
            this.seen = seen;
        }

        Optional<Entry> at(final String key) {
            return Optional.ofNullable(seen.get(key))
                    .or(() -> Optional.ofNullable(entries.get(key)))
                    .filter(e -> !e.gone());
        }

        long sequence(final String key) {
            return Optional.ofNullable(seen.get(key))
                    .or(() -> Optional.ofNullable(entries.get(key)))
                    .map(Entry::sequence)
                    .orElse(0L);
        }

        long table() {
            long most = table;
            for (final Entry e : seen.values()) {
                most = e.key().startsWith("r/") ? Math.max(most, e.sequence()) : most;
            }
            return most;
        }

        long turn() {
            return at(GLASS).map(e -> ((Value.Epoch) e.leaf().get(0)).turn()).orElse(0L);
        }

        Set<String> rows() {
            return under("r/").keySet();
        }

        Map<String, Entry> under(final String start) {
            final Map<String, Entry> all = new HashMap<>(part(start));
            seen.values().stream().filter(e -> e.key().startsWith(start)).forEach(e -> all.put(e.key(), e));
            all.values().removeIf(Entry::gone);
            return all;
        }

        long fresh(final String start) {
            return seen.keySet().stream().filter(k -> k.startsWith(start)).count();
        }

        List<String> person(final Value.Row r) {
            return r.tenant().equals("*") || at("t/" + r.tenant()).isPresent()
                    ? List.of()
                    : List.of("tenant: there is no tenant " + r.tenant());
        }
    }
}
