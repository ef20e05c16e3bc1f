package silverlatch.simulation.hollow;

import java.lang.management.ManagementFactory;
import java.lang.management.ThreadMXBean;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import java.util.function.Predicate;
import silverlatch.clock.PhysicalClock;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.node.Effect;
import silverlatch.node.Node;
import silverlatch.replication.ChainReplica;
import silverlatch.replication.Replica;
import silverlatch.state.Command;
import silverlatch.util.Numbers;
import silverlatch.wire.Codec;
import silverlatch.wire.Frame;

/** Decks without processes: a fleet on one fake clock whose frames are turned into bytes and back, and counted. */
final class Hollow {
    static final int HARBORS = 6;
    static final long SECOND = 1_000_000L;
    private static final long BEAT = 50_000L;
    private static final long WORD = 1_200_000L;
    private static final long NEAR = 1_000L;
    private static final long FAR = 35_000L;
    private static final int CHAIN = 3;
    private final List<HollowDaemon> nodes = new ArrayList<>();
    private final Map<String, HollowDaemon> byAddress = new HashMap<>();
    private final List<Hand> hands = new ArrayList<>();
    private final PriorityQueue<Job> jobs = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.turn(), b.turn()));
    private final SplittableRandom luck;
    private final Codec codec = new Codec();
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final Map<Long, Consumer<Object>> asked = new HashMap<>();
    private Optional<Spread> spread = Optional.empty();
    private long now = 1_000 * SECOND;
    private long cleared = now;
    private long turn;

    /** What daemons of one role sent and how long they worked. */
    record Tally(long daemons, long frames, long bytes, long nanos) {}

    /** When the first and the last daemon knew. */
    record Spread(Predicate<Node> known, Set<HollowDaemon> waiting, long[] last) {}

    private record Job(long at, long turn, Runnable work) {}

    /** One deck and what it did since the counts were last cleared. */
    static final class HollowDaemon {
        private final Member me;
        private final Node deck;
        private long frames;
        private long bytes;
        private long nanos;

        HollowDaemon(final Member me, final Node deck) {
            this.me = me;
            this.deck = deck;
        }
    }

    /** A worker: which controller it likes, and what it says. */
    private static final class Hand {
        private final int home;
        private Worker word;

        Hand(final int home, final Worker word) {
            this.home = home;
            this.word = word;
        }
    }

    Hollow(final int daemons, final int workers, final long seed) {
        luck = new SplittableRandom(seed);
        final int regions = Numbers.clamp(daemons / 12, 1, 14);
        final List<String> seeds = List.of(address(0), address(1), address(2));
        for (int i = 0; i < daemons; i++) {
            final boolean controller = i < HARBORS;
            final String region = "region-" + i % regions;
            final Member me = new Member(
                    (controller ? "controller-" : "gateway-") + i,
                    controller ? "controller" : "gateway",
                    region + "-" + i / regions % 3,
                    region,
                    address(i),
                    address(i) + "0",
                    wall() / 1000 + i,
                    0,
                    "up",
                    true);
            final Optional<ChainReplica.ReplicaSettings> chain = i < CHAIN
                    ? Optional.of(ChainReplica.ReplicaSettings.of(new Replica("disk-" + i, address(i)), seeds))
                    : Optional.empty();
            final HollowDaemon node = new HollowDaemon(
                    me,
                    new Node(
                            new Node.Settings(
                                    me, seeds, 7, 50_000, Membership.Settings.LARGE_FLEET, Gossip.Settings.LARGE_FLEET),
                            chain,
                            List.of(),
                            new PhysicalClock(wall(), now, 0),
                            luck.split(),
                            now));
            nodes.add(node);
            byAddress.put(me.address(), node);
            in(luck.nextLong(BEAT), () -> beat(node));
        }
        for (int i = 0; i < workers; i++) {
            final String region = "region-" + i % regions;
            final Hand hand = new Hand(
                    i % HARBORS,
                    new Worker(
                            "worker-" + i,
                            "10.200." + i / 200 + "." + i % 200 + ":9001",
                            region + "-" + i / regions % 3,
                            region,
                            wall() / 1000,
                            0,
                            0,
                            0,
                            16,
                            List.of(),
                            false,
                            0,
                            "large",
                            0,
                            0));
            hands.add(hand);
            in(3 * SECOND + luck.nextLong(WORD), () -> repeat(hand));
        }
    }

    private static String address(final int i) {
        return "10.100." + i / 200 + "." + (i % 200 + 1) + ":7001";
    }

    /** Lets time pass. */
    void pass(final long span) {
        final long end = now + span;
        while (!jobs.isEmpty() && jobs.peek().at() <= end) {
            final Job job = jobs.poll();
            now = job.at();
            job.work().run();
        }
        now = end;
    }

    /** Lets a drawn time below half a second pass, so that no beat of the fleet fits the trials. */
    void drift() {
        pass(luck.nextLong(SECOND / 2));
    }

    /** How long the counts run, in microseconds. */
    long counted() {
        return now - cleared;
    }

    /** Forgets the counts. */
    void clear() {
        cleared = now;
        nodes.forEach(n -> {
            n.frames = 0;
            n.bytes = 0;
            n.nanos = 0;
        });
    }

    /** What the daemons of one role did. */
    Tally tally(final boolean controller) {
        final List<HollowDaemon> list =
                nodes.stream().filter(n -> n.me.isGateway() != controller).toList();
        return new Tally(
                list.size(),
                list.stream().mapToLong(n -> n.frames).sum(),
                list.stream().mapToLong(n -> n.bytes).sum(),
                list.stream().mapToLong(n -> n.nanos).sum());
    }

    /** Whether all daemons know so many workers, each other, and the page. */
    boolean settled() {
        final long page = nodes.get(0).deck.gossip().stateMachine().policyRevision();
        return nodes.stream()
                .allMatch(n -> n.deck.gossip().workers().size() == hands.size()
                        && n.deck.membership().liveMembers().size() == nodes.size() - 1
                        && n.deck.gossip().stateMachine().policyRevision() == page
                        && n.deck.gossip().reportsAge(now) < 2 * SECOND
                        && n.deck.gossip().stateAge(now) < 2 * SECOND);
    }

    /** How many daemons are not sure of their words or their page within two seconds. */
    long unsure() {
        return nodes.stream()
                .filter(n -> n.deck.gossip().reportsAge(now) > 2 * SECOND
                        || n.deck.gossip().stateAge(now) > 2 * SECOND)
                .count();
    }

    /** One worker changes what it says, and says it at once; gives how long until all know, or -1 after the span. */
    long change(final long span) {
        final Hand hand = hands.get(luck.nextInt(hands.size()));
        final boolean leaving = !hand.word.draining();
        hand.word = word(hand.word, leaving);
        say(hand);
        final String id = hand.word.id();
        return until(d -> d.gossip().workers().get(id).worker().draining() == leaving, span);
    }

    /** One cell of the table changes; gives how long from the wish until all follow it, or -1 after the span. */
    long rule(final Command wish, final long span) {
        final HollowDaemon node = nodes.get(luck.nextInt(CHAIN));
        final long token = ++turn;
        final long[] page = {Long.MAX_VALUE};
        asked.put(
                token,
                v -> page[0] = v instanceof silverlatch.state.CommandResult.Applied k ? k.sequence() : Long.MAX_VALUE);
        work(node, () -> node.deck.submit(wish, token, now, now + 5 * SECOND));
        return until(d -> d.gossip().stateMachine().policyRevision() >= page[0], span);
    }

    private long until(final Predicate<Node> known, final long span) {
        final long start = now;
        spread = Optional.of(new Spread(known, new HashSet<>(nodes), new long[] {now}));
        while (now - start < span && !spread.get().waiting().isEmpty()) {
            pass(10_000);
            if (spread.get().waiting().size() == nodes.size()) {
                nodes.forEach(this::check);
            }
        }
        final Spread s = spread.get();
        spread = Optional.empty();
        return s.waiting().isEmpty() ? s.last()[0] - start : -1;
    }

    private void check(final HollowDaemon n) {
        spread.filter(s -> s.waiting().contains(n) && s.known().test(n.deck)).ifPresent(s -> {
            s.waiting().remove(n);
            s.last()[0] = now;
        });
    }

    private void in(final long span, final Runnable work) {
        jobs.add(new Job(now + span, turn++, work));
    }

    private long wall() {
        return 1_700_000_000_000_000_000L + now * 1000;
    }

    private void beat(final HollowDaemon n) {
        work(n, () -> n.deck.tick(now, wall()));
        in(BEAT, () -> beat(n));
    }

    private void repeat(final Hand hand) {
        hand.word = word(hand.word, hand.word.draining());
        say(hand);
        in(WORD, () -> repeat(hand));
    }

    private static Worker word(final Worker w, final boolean leaving) {
        return new Worker(
                w.id(),
                w.address(),
                w.zone(),
                w.region(),
                w.incarnation(),
                w.sequence() + 1,
                0,
                0,
                w.slots(),
                List.of(),
                leaving,
                0,
                w.pool(),
                0,
                0);
    }

    private void say(final Hand hand) {
        final HollowDaemon n = nodes.get(hand.home);
        work(n, () -> n.deck.onAnnouncement(hand.word, 0, now));
    }

    private void work(final HollowDaemon n, final Runnable job) {
        final long start = threads.getCurrentThreadCpuTime();
        job.run();
        final List<Letter> letters = new ArrayList<>();
        n.deck.drainFrames().forEach(s -> letters.add(new Letter(s.to(), codec.encode(s.frame()))));
        final List<Effect> effects = n.deck.drain();
        n.nanos += threads.getCurrentThreadCpuTime() - start;
        letters.forEach(l -> ship(n, l));
        effects.forEach(e -> effect(n, e));
        check(n);
    }

    private void effect(final HollowDaemon n, final Effect e) {
        switch (e) {
            case Effect.Persist k -> in(NEAR, () -> work(n, () -> n.deck.onPersisted(k.token(), now)));
            case Effect.Respond a ->
                Optional.ofNullable(asked.remove(a.token())).ifPresent(c -> c.accept(a.response()));
            default -> {}
        }
    }

    private void ship(final HollowDaemon from, final Letter l) {
        from.frames++;
        from.bytes += l.bytes().length + Integer.BYTES;
        Optional.ofNullable(byAddress.get(l.to()))
                .ifPresent(to -> in(
                        from.me.region().equals(to.me.region()) ? NEAR : FAR,
                        () -> work(to, () -> {
                            if (codec.decode(l.bytes(), Frame.class)
                                    instanceof Codec.DecodeResult.Decoded<Frame> good) {
                                to.deck.onFrame(good.value(), now);
                            }
                        })));
    }

    private record Letter(String to, byte[] bytes) {}
}
