package silverlatch.drill.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import silverlatch.carry.Act;
import silverlatch.carry.Line;
import silverlatch.carry.permit.Seals;
import silverlatch.deck.Deck;
import silverlatch.deck.Effect;
import silverlatch.deck.Ship;
import silverlatch.drill.fleet.Plan;
import silverlatch.quay.Clerk;
import silverlatch.tariff.Entry;
import silverlatch.tariff.Leaf;
import silverlatch.tariff.Tariff;
import silverlatch.tariff.Verdict;
import silverlatch.tariff.Wish;
import silverlatch.wire.Codec;
import silverlatch.wire.Frame;

/** A whole deployment on one fake clock: daemons of the shipping code, workers, consumers, operators, and the observer. */
public final class World {
    private static final long SECOND = 1_000_000L;
    private final Engine engine;
    private final Net net;
    private final Watch watch = new Watch();
    private final Plan plan;
    private final Guards guards;
    private final Map<String, Node> nodes = new LinkedHashMap<>();
    private final Map<String, Mill> mills = new LinkedHashMap<>();
    private final Map<String, Known> known = new HashMap<>();
    private final List<Person> people = new ArrayList<>();
    private final List<Sort> sorts = new ArrayList<>();
    private final List<String> story = new ArrayList<>();
    private final Codec codec = new Codec();
    private final boolean loud;
    private long arrivals;
    private long turns;
    private long rate;
    private int tilt;
    private boolean roam;
    private long values = 1_000;
    private boolean quiet;
    private long losing;
    private final List<Long> backs = new ArrayList<>();

    record Person(String name, String secret, List<String> homes) {
    }

    record Sort(String kind, int weight, int pieces, int prefix, boolean once) {
    }

    private record Known(Person person, String key, int tries) {
    }

    /** A world of a plan, driven by a seed, with so many tickets a second. */
    public World(final Plan plan, final long seed, final long rate, final Guards guards, final boolean loud) {
        this.engine = new Engine(seed);
        this.net = new Net(engine);
        this.plan = plan;
        this.rate = rate;
        this.guards = guards;
        this.loud = loud;
        final List<String> seeds = new ArrayList<>();
        for (int i = 1; i <= plan.regions().size(); i++) {
            seeds.add("harbor-" + i);
        }
        int h = 0;
        int p = 0;
        int w = 0;
        for (final Plan.Region r : plan.regions()) {
            h++;
            add(new Node(this, "harbor-" + h, r.zone(), r.region(), "harbor-" + h, seeds, true));
            final List<Node> near = new ArrayList<>();
            for (int i = 0; i < r.pursers(); i++) {
                p++;
                near.add(add(new Node(this, "purser-" + p, r.zone(), r.region(), "purser-" + p, seeds, false)));
            }
            for (int i = 0; i < r.workers(); i++) {
                w++;
                final Mill m = new Mill(this, "worker-" + w, r.zone(), r.region(), near, 12);
                mills.put(m.name(), m);
                net.put(m.name(), r.region());
            }
            net.put("consumers-" + r.region(), r.region());
        }
        plan.tenants().forEach(t -> people.add(new Person(t.name(), t.key(), t.homes())));
        plan.kinds().forEach(k -> sorts.add(new Sort(k.kind(), k.weight(), k.pieces(), k.prefix(), k.once())));
    }

    /** The engine. */
    public Engine engine() {
        return engine;
    }

    /** The network. */
    public Net net() {
        return net;
    }

    /** The observer. */
    public Watch watch() {
        return watch;
    }

    /** What was done to this world, in order. */
    public List<String> story() {
        return List.copyOf(story);
    }

    Guards guards() {
        return guards;
    }

    Plan plan() {
        return plan;
    }

    /** Waits until the harbors stand in one chain again, so that a machine may be lost for good. */
    void settle() {
        for (int i = 0; i < 90 && (engine.now() < losing || !settled()); i++) {
            engine.run(engine.now() + SECOND);
        }
    }

    /** Whether all harbors stand in one chain. */
    boolean settled() {
        return harbors().stream().allMatch(n -> n.ready()
                && n.deck().map(d -> d.view().chain().size() == plan.regions().size()).orElse(false));
    }

    /** Machines go on being lost until then. */
    void losing(final long span) {
        losing = engine.now() + span;
    }

    /** When regions came back. */
    List<Long> backs() {
        return backs;
    }

    /** The value of a marked cell. */
    static String value(final double rate) {
        return "" + rate;
    }

    List<Node> pursers() {
        return nodes.values().stream().filter(n -> !n.harbor()).toList();
    }

    List<Node> harbors() {
        return nodes.values().stream().filter(Node::harbor).toList();
    }

    List<Mill> mills() {
        return List.copyOf(mills.values());
    }

    Optional<Node> node(final String name) {
        return Optional.ofNullable(nodes.get(name));
    }

    <T> T some(final List<T> list) {
        return list.get(engine.luck().nextInt(list.size()));
    }

    void tell(final String what) {
        story.add(engine.now() / 1000 + " ms " + what);
        if (loud) {
            System.out.println(engine.now() / 1000 + " ms " + what);
        }
    }

    void log(final Node n, final Effect.Log l) {
        if (loud) {
            System.out.println(engine.now() / 1000 + " ms " + n.name() + " " + l.event() + " " + l.text());
        }
    }

    /** Replaces a harbor by an empty machine at a new address. */
    Node swap(final Node old) {
        old.kill();
        nodes.remove(old.name());
        final String fresh = "harbor-" + (char) ('a' + nodes.size() % 26) + engine.luck().nextInt(1_000);
        final List<String> seeds = harbors().stream().map(Node::address).limit(2).collect(java.util.stream.Collectors.toCollection(ArrayList::new));
        seeds.add(old.address());
        final Node n = add(new Node(this, fresh, old.zone(), old.region(), fresh, seeds, true));
        n.start();
        return n;
    }

    /** Starts everything, waits until it stands, and gives it its tenants and its table. */
    public void open() {
        nodes.values().forEach(Node::start);
        mills.values().forEach(Mill::start);
        for (int i = 0; i < 200 && !harbors().stream().allMatch(Node::ready); i++) {
            engine.run(engine.now() + 100_000);
        }
        load();
        for (int i = 0; i < 300 && !pursers().stream().allMatch(n -> n.ready() && n.facts().map(f -> f.row("*", sorts.getFirst().kind()).isPresent()).orElse(false)); i++) {
            engine.run(engine.now() + 100_000);
        }
        if (!pursers().stream().allMatch(Node::ready)) {
            watch.stream("none", "the fleet did not stand up");
        }
        engine.run(engine.now() + 2 * SECOND);
        arrive();
        operate();
        gaze();
    }

    /** No new ticket and no new order from now on. */
    public void hush() {
        quiet = true;
    }

    /** Sets the tickets a second, and how far the mix leans to long prompts (or, below 0, to long replies). */
    void crowd(final long more, final int lean) {
        rate = more;
        tilt = lean;
    }

    void roaming(final boolean on) {
        roam = on;
    }

    long rate() {
        return rate;
    }

    void travel(final Traveller t) {
        t.go();
    }

    void known(final Traveller t, final String ticket, final Person person, final String key, final int tries) {
        known.put(ticket, new Known(person, key, tries));
    }

    void ship(final Node from, final Ship s) {
        final Optional<Node> to = nodes.values().stream().filter(n -> n.address().equals(s.to())).findFirst();
        to.ifPresent(t -> {
            final long life = t.epoch();
            final Frame f = engine.luck().nextInt(50) == 0 ? again(s.frame()) : s.frame();
            net.frame(from.name(), t.name(), () -> {
                if (life == t.epoch()) {
                    t.frame(f);
                }
            });
        });
    }

    private Frame again(final Frame f) {
        return codec.read(codec.write(f), Frame.class) instanceof Codec.Read.Good<Frame> good ? good.thing() : f;
    }

    void heard(final Node n, final Frame f, final Deck d) {
        if (!d.parked() && d.tally().getOrDefault("far", 0L) == 0 && !f.stamp().before(d.keeper().last())) {
            watch.stamp(n.name() + " took a frame of " + f.from() + " and is not above it");
        }
    }

    void run(final Node n, final Act.Run r, final Map<Long, Consumer<String>> jobs) {
        final Mill m = mills.get(r.worker());
        final long page = n.facts().map(f -> f.page()).orElse(0L);
        watch.tried(!r.run().endsWith(".1") || known.containsKey(r.ticket()) && known.get(r.ticket()).tries() > 0);
        if (!net.open(n.name(), m.name())) {
            engine.in(SECOND, () -> fail(n, r.job(), false, "no connection in time"));
            return;
        }
        final long[] exchange = {0};
        final boolean[] over = {false};
        jobs.put(r.job(), why -> {
            over[0] = true;
            m.hang(exchange[0]);
        });
        final String lane = n.name() + ">" + m.name() + "/" + r.run();
        final long life = n.epoch();
        net.bytes(lane, n.name(), m.name(), () -> {
            if (over[0]) {
                return;
            }
            if (!m.alive()) {
                fail(n, r.job(), false, "connection refused");
                return;
            }
            final BiConsumer<Line, Boolean> out = (line, last) -> net.bytes(lane + "<", m.name(), n.name(), () -> {
                if (over[0] || life != n.epoch()) {
                    return;
                }
                if (last) {
                    fail(n, r.job(), true, "the connection ended");
                } else {
                    n.carrying(c -> c.line(r.job(), guards.stream() ? line : mended(line, n, r), n.now()));
                }
            });
            exchange[0] = m.take(r, out);
            if (exchange[0] < 0) {
                net.bytes(lane + "<", m.name(), n.name(), () -> fail(n, r.job(), false, "not started"));
                return;
            }
            net.bytes(lane + "<", m.name(), n.name(), () -> n.carrying(c -> c.begun(r.job())));
            final Known k = known.getOrDefault(r.ticket(), new Known(people.getFirst(), "", 0));
            watch.started(r.ticket(), r.tenant(), k.key(), k.person().homes(), m.name(), m.zone(), m.region(), n.region(), page, engine.now());
            follow(n, m, r, over, life);
        });
    }

    private Line mended(final Line line, final Node n, final Act.Run r) {
        return line instanceof Line.Piece p ? new Line.Piece(r.ticket(), r.run(), next.merge(r.run(), 1L, Long::sum) - 1, p.text()) : line;
    }

    private final Map<String, Long> next = new HashMap<>();

    private void follow(final Node n, final Mill m, final Act.Run r, final boolean[] over, final long life) {
        engine.in(200_000, () -> {
            if (over[0] || life != n.epoch()) {
                return;
            }
            if (!m.alive()) {
                over[0] = true;
                fail(n, r.job(), true, "the connection broke");
            } else {
                follow(n, m, r, over, life);
            }
        });
    }

    private void fail(final Node n, final long job, final boolean started, final String why) {
        final long life = n.epoch();
        n.carrying(c -> {
            if (life == n.epoch()) {
                c.failed(job, started, why, n.now());
            }
        });
    }

    private Node add(final Node n) {
        nodes.put(n.name(), n);
        net.put(n.name(), n.region());
        return n;
    }

    private void load() {
        final Node h = harbors().getFirst();
        int i = 0;
        for (final Person p : people) {
            final double share = plan.tenants().get(i++).share();
            h.wish(new Wish.Person("load-" + p.name(), new Leaf.Tenant(p.name(), p.homes(), share, Seals.hash(p.secret()), "salt" + i), -1),
                    4 * SECOND, v -> {
                    });
        }
        engine.run(engine.now() + 2 * SECOND);
        final List<Leaf.Row> rows = sorts.stream().map(s -> row(s, 900)).toList();
        h.wish(new Wish.Table("load-table", rows, -1), 4 * SECOND, v -> {
            if (v instanceof Verdict.Kept k) {
                watch.change(value(900), "kept", k.sequence(), -1, engine.now());
            }
        });
        engine.run(engine.now() + 2 * SECOND);
    }

    private static Leaf.Row row(final Sort s, final double rate) {
        final Leaf.Row r = Tariff.plain("*", s.kind());
        return new Leaf.Row("*", s.kind(), s.prefix() > 8 ? 3 : 1, r.load(), r.cold(), r.cross(), rate, 2_000, 400, 600, 3_000_000, s.once(), s.once() ? 9 : 1);
    }

    /** A number for each traveller. */
    long turn() {
        return ++turns;
    }

    /** One tenant sends so many times as much as each other. */
    void greedy(final int times) {
        for (int i = 1; i < times; i++) {
            people.add(people.getFirst());
        }
    }

    private void arrive() {
        if (quiet) {
            return;
        }
        final Person who = some(people);
        int pick = engine.luck().nextInt(sorts.stream().mapToInt(Sort::weight).sum());
        Sort sort = sorts.getFirst();
        for (final Sort s : sorts) {
            pick -= s.weight();
            if (pick < 0) {
                sort = s;
                break;
            }
        }
        arrivals++;
        final String key = sort.once() ? "key-" + arrivals : "";
        final int pieces = 1 + engine.luck().nextInt(sort.pieces() * (tilt < 0 ? 3 : 1));
        final List<String> prefix = new ArrayList<>();
        final int book = engine.luck().nextInt(tilt > 0 ? 60 : 5);
        for (int i = 0; i < sort.prefix() * (tilt > 0 ? 2 : 1); i++) {
            prefix.add(sort.kind() + book + "/" + i);
        }
        final String prompt = pieces + " " + who.name() + " " + arrivals;
        final String place = "consumers-" + some(plan.regions()).region();
        travel(new Traveller(this, who, sort, key, place, 0, prompt, prefix, roam && engine.luck().nextInt(3) == 0));
        if (sort.once() && engine.luck().nextInt(5) == 0) {
            travel(new Traveller(this, who, sort, key, place, 1, prompt, prefix, false));
        }
        engine.in(1 + engine.luck().nextLong(2 * SECOND / rate), this::arrive);
    }

    private void operate() {
        if (quiet) {
            return;
        }
        final List<Node> up = harbors().stream().filter(Node::alive).toList();
        if (!up.isEmpty()) {
            final Node h = some(up);
            final long before = watch.acked();
            h.read("r/", 3 * SECOND, r -> {
                if (r instanceof Clerk.Page p && p.ok()) {
                    final Set<String> seen = new HashSet<>();
                    p.entries().forEach(e -> e.leaf().forEach(l -> seen.add(value(((Leaf.Row) l).rate()))));
                    watch.read(before, p.sequence(), seen);
                    edit(h, some(up), p.entries().stream().mapToLong(Entry::sequence).max().orElse(0));
                }
            });
        }
        engine.in(SECOND / 2 + engine.luck().nextLong(SECOND), this::operate);
    }

    private void edit(final Node one, final Node two, final long match) {
        change(one, match);
        if (engine.luck().nextInt(3) == 0) {
            change(two, match);
        }
        if (engine.luck().nextInt(6) == 0) {
            final double v = ++values;
            final List<Leaf.Row> rows = new ArrayList<>(sorts.stream().map(s -> row(s, v)).toList());
            rows.add(Tariff.plain("nobody-at-all", "quick"));
            one.wish(new Wish.Table("bad-" + (long) v, rows, -1), 3 * SECOND, r -> fate(v, r, -1));
        }
    }

    private void change(final Node h, final long match) {
        final double v = ++values;
        final Wish w = engine.luck().nextInt(4) == 0
                ? new Wish.Table("put-" + (long) v, sorts.stream().map(s -> row(s, v)).toList(), match)
                : new Wish.Cells("set-" + (long) v, List.of(new Wish.Cell("*", some(sorts).kind(), "rate", value(v))), match);
        h.wish(w, 3 * SECOND, r -> fate(v, r, match));
    }

    private void fate(final double v, final Object r, final long match) {
        switch ((Verdict) r) {
            case Verdict.Kept k -> watch.change(value(v), "kept", k.sequence(), match, engine.now());
            case Verdict.Rejected x -> watch.change(value(v), guards.seal() ? "rejected" : "kept", x.sequence(), match, engine.now());
            case Verdict.Unknown u -> watch.change(value(v), "unknown", 0, match, engine.now());
            case Verdict.Stands s -> watch.change(value(v), "stands", 0, match, engine.now());
        }
    }

    /** Orders a zone empty or gives it back, through some harbor. */
    void drain(final String zone, final boolean on) {
        final List<Node> up = harbors().stream().filter(Node::alive).toList();
        if (up.isEmpty()) {
            return;
        }
        final long asked = engine.now();
        if (!on) {
            watch.drained(zone, false, asked);
        }
        tell((on ? "drain " : "undrain ") + zone);
        some(up).wish(new Wish.Zone("zone-" + ++values, zone, on, -1), 3 * SECOND, r -> {
            if (r instanceof Verdict.Kept k) {
                watch.change("zone" + values, "kept", k.sequence(), -1, engine.now());
                if (on) {
                    watch.count("drains");
                    watch.drained(zone, true, asked);
                }
            }
        });
    }

    private void gaze() {
        pursers().stream().filter(Node::ready).forEach(n -> watch.values(n.values(), "is followed by " + n.name()));
        engine.in(SECOND / 4, this::gaze);
    }

    /** Reads the table back through every harbor that is up, at the end of a day. */
    public void last() {
        final long before = watch.acked();
        harbors().stream().filter(Node::alive).forEach(h -> h.read("r/", 4 * SECOND, r -> {
            if (r instanceof Clerk.Page p && p.ok()) {
                watch.count("lastReads");
                watch.read(before, p.sequence(), Set.of());
            }
        }));
        engine.run(engine.now() + 5 * SECOND);
    }
}
