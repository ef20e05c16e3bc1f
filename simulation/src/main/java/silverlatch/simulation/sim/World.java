package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.StreamRecord;
import silverlatch.node.Effect;
import silverlatch.node.OutgoingFrame;
import silverlatch.safeguard.Safeguards;
import silverlatch.simulation.fleet.Plan;
import silverlatch.wire.Codec;
import silverlatch.wire.Frame;

/** A whole deployment on one fake clock: daemons of the shipping code, workers, consumers, operators, and the observer. */
public final class World {
    private static final long SECOND = 1_000_000L;
    private final Engine engine;
    private final Net net;
    private final Watch watch;
    private final Office office;
    private final Plan plan;
    private final Safeguards guards;
    private final Map<String, SimulatedNode> nodes = new LinkedHashMap<>();
    private final Map<String, Mill> mills = new LinkedHashMap<>();
    private final Map<String, Known> known = new HashMap<>();
    private final Map<String, Frame> newest = new HashMap<>();
    private final Map<String, String> sources = new HashMap<>();
    private final Map<Step, Consumer<SimulatedNode>> aims = new EnumMap<>(Step.class);
    private final List<Person> people = new ArrayList<>();
    private final List<Sort> sorts = new ArrayList<>();
    private final List<String> story = new ArrayList<>();
    private final Codec codec = new Codec();
    private final boolean loud;
    private final WorldListener listener;
    private long arrivals;
    private long turns;
    private long rate;
    private int tilt;
    private boolean roam;
    private boolean quiet;
    private long losing;
    private final List<Back> backs = new ArrayList<>();
    private long stirred;
    private long due;
    private long dragged = Long.MIN_VALUE / 2;

    record Person(String name, String secret, double share, List<String> homes) {}

    /** Something came back: a region, or all when the name is empty. */
    record Back(String region, long at) {}

    record Sort(String kind, int weight, int pieces, int prefix, boolean once) {}

    private record Known(Person person, String key, int tries) {}

    /** A world of a plan, driven by a seed, with so many tickets a second. */
    public World(final Plan plan, final long seed, final long rate, final Safeguards guards, final boolean loud) {
        this(plan, seed, rate, guards, loud, WorldListener.NONE);
    }

    /** A world whose listener is told of all that its processes do. */
    World(
            final Plan plan,
            final long seed,
            final long rate,
            final Safeguards guards,
            final boolean loud,
            final WorldListener listener) {
        this.engine = new Engine(seed);
        this.net = new Net(engine);
        this.watch = new Watch(engine::now);
        this.plan = plan;
        this.rate = rate;
        this.guards = guards;
        this.loud = loud;
        this.listener = listener;
        final List<String> seeds = new ArrayList<>();
        for (int i = 1; i <= plan.regions().size(); i++) {
            seeds.add("controller-" + i);
        }
        int h = 0;
        int p = 0;
        int w = 0;
        for (final Plan.Region r : plan.regions()) {
            h++;
            add(new SimulatedNode(this, "controller-" + h, r.zone(), r.region(), "controller-" + h, seeds, true));
            final List<SimulatedNode> near = new ArrayList<>();
            for (int i = 0; i < r.gateways(); i++) {
                p++;
                near.add(add(
                        new SimulatedNode(this, "gateway-" + p, r.zone(), r.region(), "gateway-" + p, seeds, false)));
            }
            for (int i = 0; i < r.workers(); i++) {
                w++;
                final Mill m = new Mill(this, "worker-" + w, r.zone(), r.region(), near, 12);
                mills.put(m.name(), m);
                net.put(m.name(), r.region());
            }
            net.put("consumers-" + r.region(), r.region());
        }
        plan.tenants().forEach(t -> people.add(new Person(t.name(), t.key(), t.share(), t.homes())));
        plan.kinds().forEach(k -> sorts.add(new Sort(k.kind(), k.weight(), k.pieces(), k.prefix(), k.once())));
        this.office = new Office(this);
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

    WorldListener listener() {
        return listener;
    }

    Safeguards guards() {
        return guards;
    }

    Plan plan() {
        return plan;
    }

    /** Waits until the controllers stand in one chain again, so that a machine may be lost for good. */
    void settle() {
        for (int i = 0; i < 90 && (engine.now() < losing || !settled()); i++) {
            engine.run(engine.now() + SECOND);
        }
    }

    /** Whether all controllers stand in one chain. */
    boolean settled() {
        return controllers().stream()
                .allMatch(n -> n.ready()
                        && n.deck()
                                .map(d -> d.view().chain().size()
                                        == plan.regions().size())
                                .orElse(false));
    }

    /** Machines go on being lost until then. */
    void losing(final long span) {
        losing = engine.now() + span;
    }

    /** What came back, and when. */
    List<Back> backs() {
        return List.copyOf(backs);
    }

    /** A region came back, or all when the name is empty. */
    void back(final String region) {
        backs.add(new Back(region, engine.now()));
        stir();
    }

    /** Something is done to the world or is healed at this moment. */
    void stir() {
        stirred = engine.now();
    }

    /** When something was last done to the world. */
    long stirred() {
        return stirred;
    }

    /** Does something later that stirs the world. */
    void later(final long span, final Runnable job) {
        due++;
        engine.in(span, () -> {
            due--;
            stir();
            job.run();
        });
    }

    /** Whether nothing that was done to the world waits to be healed. */
    boolean calm() {
        return due == 0;
    }

    /** The next daemon that comes to a step is hit there. */
    void aim(final Step step, final Consumer<SimulatedNode> hit) {
        aims.put(step, hit);
    }

    /** A daemon comes to a step. */
    void step(final Step step, final SimulatedNode n) {
        Optional.ofNullable(aims.remove(step)).ifPresent(h -> {
            watch.count("aimed-" + step);
            stir();
            h.accept(n);
        });
    }

    /** A clock is off from now on: stamps are looked at closely. */
    void drags() {
        dragged = engine.now();
    }

    boolean dragging() {
        return engine.now() - dragged < 20 * SECOND;
    }

    Office office() {
        return office;
    }

    List<Person> people() {
        return people.stream().distinct().toList();
    }

    List<Sort> sorts() {
        return sorts;
    }

    List<SimulatedNode> gateways() {
        return nodes.values().stream().filter(n -> !n.controller()).toList();
    }

    List<SimulatedNode> controllers() {
        return nodes.values().stream().filter(SimulatedNode::controller).toList();
    }

    List<Mill> mills() {
        return List.copyOf(mills.values());
    }

    Optional<SimulatedNode> node(final String name) {
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

    void log(final SimulatedNode n, final Effect.Log l) {
        if (loud) {
            System.out.println(engine.now() / 1000 + " ms " + n.name() + " " + l.event() + " " + l.text());
        }
    }

    /** Replaces a controller by an empty machine at a new address. */
    SimulatedNode swap(final SimulatedNode old) {
        old.kill();
        nodes.remove(old.name());
        final String fresh =
                "controller-" + (char) ('a' + nodes.size() % 26) + engine.luck().nextInt(1_000);
        final List<String> seeds = controllers().stream()
                .map(SimulatedNode::address)
                .limit(2)
                .collect(java.util.stream.Collectors.toCollection(ArrayList::new));
        seeds.add(old.address());
        final SimulatedNode n = add(new SimulatedNode(this, fresh, old.zone(), old.region(), fresh, seeds, true));
        n.start();
        return n;
    }

    /** Starts everything, waits until it stands, and gives it its tenants and its table. */
    public void open() {
        nodes.values().forEach(SimulatedNode::start);
        mills.values().forEach(Mill::start);
        for (int i = 0; i < 200 && !controllers().stream().allMatch(SimulatedNode::ready); i++) {
            engine.run(engine.now() + 100_000);
        }
        office.load();
        for (int i = 0;
                i < 300
                        && !gateways().stream()
                                .allMatch(n -> n.ready()
                                        && n.facts()
                                                .map(f -> f.row(
                                                                "*",
                                                                sorts.get(0).kind())
                                                        .isPresent())
                                                .orElse(false));
                i++) {
            engine.run(engine.now() + 100_000);
        }
        if (!gateways().stream().allMatch(SimulatedNode::ready)) {
            watch.fault(Mark.DEAD, "the fleet did not stand up");
        }
        engine.run(engine.now() + 2 * SECOND);
        arrive();
        office.open();
        gaze();
    }

    /** No new ticket and no new order from now on. */
    public void hush() {
        quiet = true;
        office.hush();
    }

    /** Sets the tickets a second, and how far the mix leans to long prompts (or, below 0, to long replies). */
    void crowd(final long more, final int lean) {
        rate = more;
        tilt = lean;
    }

    void roaming(final boolean on) {
        roam = on;
    }

    boolean roams() {
        return roam;
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

    void ship(final SimulatedNode from, final OutgoingFrame s) {
        listener.frameSent(engine.now(), from.name(), s);
        from.spoke(s.frame());
        final Optional<SimulatedNode> to =
                nodes.values().stream().filter(n -> n.address().equals(s.to())).findFirst();
        to.ifPresent(t -> {
            final long life = t.epoch();
            final Frame f = engine.luck().nextInt(50) == 0 ? again(s.frame()) : s.frame();
            net.frame(from.name(), t.name(), () -> {
                if (life == t.epoch()) {
                    if (Optional.ofNullable(newest.get(t.name()))
                            .map(o -> o.stamp().isBefore(f.stamp()))
                            .orElse(true)) {
                        newest.put(t.name(), f);
                    }
                    t.frame(f);
                }
            });
        });
    }

    /** A daemon gets so many copies of the newest frame that another region sent it. */
    void flood(final SimulatedNode n, final int times) {
        Optional.ofNullable(newest.get(n.name())).ifPresent(f -> {
            for (int i = 0; i < times; i++) {
                n.frame(f);
            }
        });
    }

    private Frame again(final Frame f) {
        return codec.decode(codec.encode(f), Frame.class) instanceof Codec.DecodeResult.Decoded<Frame> good
                ? good.value()
                : f;
    }

    void run(final SimulatedNode n, final DispatchEffect.StartAttempt r, final Map<Long, Consumer<String>> jobs) {
        final Mill m = mills.get(r.worker());
        final long page = n.facts().map(f -> f.revision()).orElse(0L);
        final Known who = known.getOrDefault(r.requestId(), new Known(people.get(0), "", 0));
        watch.tried(r.tenant(), who.key(), !r.attemptId().endsWith(".1") || who.tries() > 0, engine.now());
        if (r.kind().equals(Office.GATE)) {
            watch.rules().passed(n.name(), true, "ticket " + r.requestId() + " was sent", engine.now());
        }
        if (!net.open(n.name(), m.name())) {
            engine.in(SECOND, () -> fail(n, r.operationId(), false, "no connection in time"));
            return;
        }
        final long[] exchange = {0};
        final boolean[] over = {false};
        jobs.put(r.operationId(), why -> {
            over[0] = true;
            m.hang(exchange[0]);
        });
        final String lane = n.name() + ">" + m.name() + "/" + r.attemptId();
        final long life = n.epoch();
        net.bytes(lane, n.name(), m.name(), () -> {
            if (over[0]) {
                return;
            }
            if (!m.alive()) {
                fail(n, r.operationId(), false, "connection refused");
                return;
            }
            final BiConsumer<StreamRecord, Boolean> out =
                    (line, last) -> net.bytes(lane + "<", m.name(), n.name(), () -> {
                        if (over[0] || life != n.epoch()) {
                            return;
                        }
                        if (last) {
                            fail(n, r.operationId(), true, "the connection ended");
                        } else {
                            step(Step.PIECE, n);
                            n.carrying(c -> c.recordReceived(r.operationId(), line, n.now()));
                        }
                    });
            exchange[0] = m.take(r, out);
            if (exchange[0] < 0) {
                net.bytes(lane + "<", m.name(), n.name(), () -> fail(n, r.operationId(), false, "not started"));
                return;
            }
            net.bytes(lane + "<", m.name(), n.name(), () -> n.carrying(c -> c.attemptStarted(r.operationId())));
            sources.put(r.attemptId(), m.region());
            watch.started(
                    new Watch.Run(
                            r.requestId(),
                            r.tenant(),
                            r.kind(),
                            who.key(),
                            m.name(),
                            m.zone(),
                            m.region(),
                            n.name(),
                            n.region(),
                            page),
                    engine.now());
            if (r.kind().equals(Office.GATE)) {
                watch.rules().obeyed(n.name(), true, "ticket " + r.requestId() + " ran", engine.now());
            }
            follow(n, m, r, over, life);
        });
    }

    /** The region of the worker that had a run. */
    String source(final String run) {
        return sources.getOrDefault(run, "");
    }

    private void follow(
            final SimulatedNode n,
            final Mill m,
            final DispatchEffect.StartAttempt r,
            final boolean[] over,
            final long life) {
        engine.in(200_000, () -> {
            if (over[0] || life != n.epoch()) {
                return;
            }
            if (!m.alive()) {
                over[0] = true;
                fail(n, r.operationId(), true, "the connection broke");
            } else {
                follow(n, m, r, over, life);
            }
        });
    }

    private void fail(final SimulatedNode n, final long job, final boolean started, final String why) {
        final long life = n.epoch();
        n.carrying(c -> {
            if (life == n.epoch()) {
                c.attemptFailed(job, started, why, n.now());
            }
        });
    }

    private SimulatedNode add(final SimulatedNode n) {
        nodes.put(n.name(), n);
        net.put(n.name(), n.region());
        return n;
    }

    /** A number for each traveller. */
    long turn() {
        return ++turns;
    }

    /** One tenant sends so many times as much as each other. */
    void greedy(final int times) {
        for (int i = 1; i < times; i++) {
            people.add(people.get(0));
        }
    }

    private void arrive() {
        if (quiet) {
            return;
        }
        final Person who = some(people);
        int pick = engine.luck().nextInt(sorts.stream().mapToInt(Sort::weight).sum());
        Sort sort = sorts.get(0);
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
        travel(new Traveller(
                this,
                who,
                sort,
                key,
                place,
                0,
                prompt,
                prefix,
                roam && engine.luck().nextInt(3) == 0));
        if (sort.once() && engine.luck().nextInt(5) == 0) {
            travel(new Traveller(this, who, sort, key, place, engine.luck().nextInt(2), prompt, prefix, false));
            watch.probe(Mark.TWICE);
        }
        if (engine.luck().nextInt(6) == 0) {
            travel(new Traveller(
                    this,
                    who,
                    new Sort(Office.GATE, 0, 3, 1, false),
                    "",
                    place,
                    0,
                    "2 " + who.name() + " t" + arrivals,
                    List.of("trial"),
                    false));
        }
        engine.in(1 + engine.luck().nextLong(2 * SECOND / rate), this::arrive);
    }

    private void gaze() {
        gateways().stream()
                .filter(SimulatedNode::ready)
                .forEach(n -> watch.rules().values(n.values(), "is followed by " + n.name()));
        engine.in(SECOND / 4, this::gaze);
    }
}
