package silverlatch.node;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import silverlatch.clock.PhysicalClock;
import silverlatch.clock.Stamp;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.log.LogRecord;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.replication.ChainReplica;
import silverlatch.replication.Replica;
import silverlatch.routing.Router;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.ConfigurationValidator;
import silverlatch.state.Value;

/**
 * Whole nodes on one simulated clock: controllers named {@code c0, c1, ...} with a disk each, and gateways named
 * {@code g0, g1, ...} with a router each. Links can be cut in one direction, machines frozen, slowed and restarted. Every
 * gateway is observed after each of its steps: the configuration it routes by must never become older within one life.
 */
final class NodeCluster {
    static final long SECOND = 1_000_000L;
    /** How long a caller waits for the answer to an order. */
    static final long ORDER_TIMEOUT = 900_000L;

    private static final long TICK = 20_000L;
    private static final long HOP = 10_000L;
    private static final long SYNC = 2_000L;
    private static final long UNIX_EPOCH = 1_700_000_000_000_000L;
    private final Safeguards safeguards;
    private final Map<String, Machine> machines = new TreeMap<>();
    private final Set<Link> cut = new HashSet<>();
    private final Map<String, Long> slowed = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private final List<Acknowledged> acknowledged = new ArrayList<>();
    private final SplittableRandom random;
    private final PriorityQueue<Scheduled> queue =
            new PriorityQueue<>(Comparator.comparingLong(Scheduled::at).thenComparingLong(Scheduled::order));
    private long now = 100 * SECOND;
    private long scheduled;
    private long token;

    NodeCluster(final int controllers, final int gateways, final long seed) {
        this(controllers, gateways, seed, Safeguards.ALL);
    }

    NodeCluster(final int controllers, final int gateways, final long seed, final Safeguards safeguards) {
        this.random = new SplittableRandom(seed);
        this.safeguards = safeguards;
        for (int i = 0; i < controllers; i++) {
            machines.put("c" + i, new Machine("c" + i, i));
        }
        for (int i = 0; i < gateways; i++) {
            machines.put("g" + i, new Machine("g" + i, i));
        }
        machines.values().forEach(m -> m.start(controllers()));
        pass(5 * SECOND);
    }

    /** What an operator learnt of an order. */
    static final class Order {
        private final long sent;
        private Optional<CommandResult> result = Optional.empty();
        private long ended;

        Order(final long sent) {
            this.sent = sent;
        }

        boolean acknowledged() {
            return result.filter(r -> r instanceof CommandResult.Applied).isPresent();
        }

        boolean refused() {
            return result.filter(r -> r instanceof CommandResult.Rejected).isPresent();
        }

        long ended() {
            return ended;
        }

        long sent() {
            return sent;
        }
    }

    long now() {
        return now;
    }

    List<String> violations() {
        return List.copyOf(violations);
    }

    List<String> controllers() {
        return machines.keySet().stream().filter(n -> n.startsWith("c")).toList();
    }

    List<String> gateways() {
        return machines.keySet().stream().filter(n -> n.startsWith("g")).toList();
    }

    Node node(final String name) {
        return machines.get(name).node.orElseThrow();
    }

    /** The revision by which a gateway routes requests; 0 while it takes none. */
    long served(final String gateway) {
        return machines.get(gateway).served();
    }

    boolean ready(final String gateway) {
        return machines.get(gateway).router.orElseThrow().unready().isEmpty();
    }

    /** How long ago the configuration of a machine was surely the newest. */
    long age(final String name) {
        return node(name).rumor().age(now);
    }

    /** Cuts all links between the two groups, in both directions. */
    void cut(final List<String> group, final List<String> others) {
        cutOneWay(group, others);
        cutOneWay(others, group);
    }

    /** Cuts all links from one group to the other; frames the other way still pass. */
    void cutOneWay(final List<String> from, final List<String> to) {
        from.forEach(f -> to.stream().filter(t -> !t.equals(f)).forEach(t -> cut.add(new Link(f, t))));
    }

    void heal() {
        cut.clear();
        slowed.clear();
    }

    /** Each frame from and to the machine takes so much longer. */
    void slow(final String name, final long delay) {
        slowed.put(name, delay);
    }

    /** All frames under way from and to the machine are lost. */
    void reset(final String name) {
        machines.get(name).connection++;
    }

    /** The process stands still; what it had sent but not delivered yet, and what comes in, waits until it is thawed. */
    void freeze(final String name) {
        machines.get(name).frozen = true;
    }

    void thaw(final String name) {
        machines.get(name).thaw();
    }

    /** The process ends; what wasn't synced is lost. */
    void kill(final String name) {
        machines.get(name).kill();
    }

    void start(final String name, final List<String> seeds) {
        machines.get(name).start(seeds);
    }

    /** The machine's disk is lost, and with it its identity. */
    void wipe(final String name) {
        machines.get(name).wipe();
    }

    void worker(final String at, final Worker report) {
        machines.get(at).step(n -> n.announced(report, 0, now));
    }

    Order put(final String at, final long number, final long match) {
        return put(at, configuration("order-" + number + "-" + match, number, match));
    }

    Order put(final String at, final Command command) {
        final Order order = new Order(now);
        final long mine = ++token;
        machines.get(at).open.put(mine, r -> {
            order.result = Optional.of((CommandResult) r);
            order.ended = now;
            if (order.acknowledged() && command instanceof Command.PutConfiguration c) {
                acknowledged.add(new Acknowledged(now, c.configuration().number()));
            }
        });
        machines.get(at).step(n -> n.wish(command, mine, now, now + ORDER_TIMEOUT));
        return order;
    }

    /** Reads the number of the newest configuration through a machine; empty where it can't tell within the caller's time. */
    Optional<Long> read(final String at) {
        final List<Object> answers = ask(at);
        pass(SECOND);
        return number(answers);
    }

    /** Starts a read; its answer is added to the list when it comes. */
    List<Object> ask(final String at) {
        final List<Object> answers = new ArrayList<>();
        final long mine = ++token;
        machines.get(at).open.put(mine, answers::add);
        machines.get(at).step(n -> n.read(ConfigurationValidator.CONFIGURATION_KEY, mine, now, now + ORDER_TIMEOUT));
        return answers;
    }

    /** The number that a read was answered, if it was. */
    static Optional<Long> number(final List<Object> answers) {
        return answers.stream()
                .map(a -> (silverlatch.replication.ChainClient.Page) a)
                .filter(p -> p.ok())
                .map(p -> p.entries().stream()
                        .map(e -> ((Value.RoutingConfiguration) e.value().get(0)).number())
                        .findFirst()
                        .orElse(0L))
                .findFirst();
    }

    static Command.PutConfiguration configuration(final String id, final long number, final long match) {
        final Value.BackendPool pool = new Value.BackendPool("pool", "/", 1, 0, 1, 1, 0, 1);
        final Value.Route route = new Value.Route(
                "route",
                "host" + number,
                "/",
                false,
                false,
                false,
                false,
                1,
                0,
                0,
                0,
                1,
                List.of(),
                List.of(new Value.WeightedBackend("pool", 1)));
        return new Command.PutConfiguration(
                id,
                new Value.RoutingConfiguration(number, 1, 1, 1, 1),
                List.of(route),
                List.of(pool),
                "document " + id,
                match);
    }

    void pass(final long span) {
        final long end = now + span;
        while (!queue.isEmpty() && queue.peek().at() <= end) {
            final Scheduled next = queue.poll();
            now = next.at();
            next.job().run();
        }
        now = end;
    }

    /** Passes time until something holds; how long that took, or -1 where it didn't come. */
    long until(final long most, final java.util.function.BooleanSupplier what) {
        final long from = now;
        while (!what.getAsBoolean()) {
            if (now - from > most) {
                return -1;
            }
            pass(10_000);
        }
        return now - from;
    }

    private void at(final long when, final Runnable job) {
        queue.add(new Scheduled(when, scheduled++, job));
    }

    private record Acknowledged(long at, long number) {}

    private record Link(String from, String to) {}

    private record Scheduled(long at, long order, Runnable job) {}

    /** A machine with its disk, its process if one runs, and what waits while that is frozen. */
    private final class Machine {
        private final String name;
        private final int place;
        private final List<LogRecord> disk = new ArrayList<>();
        private final List<Runnable> waiting = new ArrayList<>();
        private final Map<Long, java.util.function.Consumer<Object>> open = new HashMap<>();
        private String identity;
        private Optional<Node> node = Optional.empty();
        private Optional<Router> router = Optional.empty();
        private boolean frozen;
        private boolean bootstrap = true;
        private int life;
        private int connection;
        private long newest;

        Machine(final String name, final int place) {
            this.name = name;
            this.place = place;
            this.identity = "id-" + name;
        }

        boolean controller() {
            return name.startsWith("c");
        }

        void start(final List<String> seeds) {
            life++;
            newest = 0;
            frozen = false;
            waiting.clear();
            open.clear();
            final Member me = new Member(
                    name,
                    controller() ? "controller" : "gateway",
                    "z" + place,
                    "r" + place,
                    name,
                    name,
                    UNIX_EPOCH + now,
                    0,
                    "up",
                    false);
            final Optional<ChainReplica.Setup> chain = controller()
                    ? Optional.of(ChainReplica.Setup.of(new Replica(identity, name), seeds)
                            .founds(bootstrap))
                    : Optional.empty();
            bootstrap = false;
            node = Optional.of(new Node(
                    new Node.Setup(me, seeds, 7, 50_000, Membership.Times.QUIET, Gossip.Times.QUIET, safeguards),
                    chain,
                    List.copyOf(disk),
                    new PhysicalClock((UNIX_EPOCH + now) * 1000, now, 0),
                    random.split(),
                    now));
            router = controller()
                    ? Optional.empty()
                    : Optional.of(
                            new Router(Router.Setup.PLAIN, node.get().facts(), () -> new Stamp(now), random.split()));
            tick(life);
        }

        void kill() {
            life++;
            node = Optional.empty();
            router = Optional.empty();
            waiting.clear();
        }

        void wipe() {
            disk.clear();
            identity = "id-" + name + "-" + now;
        }

        void thaw() {
            frozen = false;
            final List<Runnable> all = List.copyOf(waiting);
            waiting.clear();
            all.forEach(Runnable::run);
        }

        long served() {
            return router.filter(r -> r.unready().isEmpty())
                    .map(Router::charter)
                    .orElse(0L);
        }

        void step(final java.util.function.Consumer<Node> job) {
            final int mine = life;
            final Runnable guarded = () -> {
                if (mine == life && node.isPresent()) {
                    job.accept(node.get());
                    flush();
                }
            };
            if (frozen) {
                waiting.add(guarded);
            } else {
                guarded.run();
            }
        }

        private void tick(final int mine) {
            at(now + TICK, () -> {
                if (mine == life) {
                    if (!frozen) {
                        step(n -> n.tick(now, (UNIX_EPOCH + now) * 1000));
                    }
                    tick(mine);
                }
            });
        }

        private void flush() {
            final Node n = node.orElseThrow();
            n.drain().forEach(this::effect);
            n.ships().forEach(this::ship);
            confirmed(n);
            router.ifPresent(r -> {
                r.facts(n.facts(), now);
                observe(r);
            });
        }

        /** What a node calls the newest as of a moment holds all that was acknowledged before that moment. */
        private void confirmed(final Node n) {
            final long age = n.rumor().age(now);
            if (age == Long.MAX_VALUE) {
                return;
            }
            final long held = n.rumor()
                    .books()
                    .get(ConfigurationValidator.CONFIGURATION_KEY)
                    .map(e -> ((Value.RoutingConfiguration) e.value().get(0)).number())
                    .orElse(0L);
            acknowledged.stream()
                    .filter(a -> a.at() <= now - age && a.number() > held)
                    .findFirst()
                    .ifPresent(a -> violations.add(name + " calls " + held + " the newest as of " + (now - age)
                            + ", but " + a.number() + " was acknowledged at " + a.at()));
        }

        private void observe(final Router r) {
            final long number = served();
            if (number > 0 && number < newest) {
                violations.add(name + " went back from " + newest + " to " + number + " at " + now);
            }
            newest = Math.max(newest, number);
        }

        private void effect(final Effect effect) {
            final int mine = life;
            switch (effect) {
                case Effect.Keep k ->
                    at(now + SYNC, () -> {
                        if (mine == life) {
                            k.notes().forEach(note -> {
                                if (note instanceof LogRecord.Snapshot) {
                                    disk.clear();
                                }
                                disk.add(note);
                            });
                            step(n -> n.kept(k.token(), now));
                        }
                    });
                case Effect.Answer a ->
                    Optional.ofNullable(open.remove(a.token())).ifPresent(o -> o.accept(a.reply()));
                case Effect.Log l -> {}
                case Effect.Send s -> throw new IllegalStateException("a node stamps what it sends");
            }
        }

        private void ship(final OutgoingFrame outgoing) {
            final Machine to = machines.get(outgoing.to());
            final int here = connection;
            final int there = to.connection;
            final long delay = HOP + slowed.getOrDefault(name, 0L) + slowed.getOrDefault(to.name, 0L);
            at(now + delay, () -> leave(outgoing, to, here, there));
        }

        private void leave(final OutgoingFrame outgoing, final Machine to, final int here, final int there) {
            if (frozen) {
                waiting.add(() -> leave(outgoing, to, here, there));
            } else if (here == connection
                    && there == to.connection
                    && !cut.contains(new Link(name, to.name))
                    && to.node.isPresent()) {
                to.step(n -> n.frame(outgoing.frame(), now));
            }
        }
    }
}
