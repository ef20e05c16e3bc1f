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
import silverlatch.replication.Replica;
import silverlatch.replication.ReplicaSettings;
import silverlatch.state.Command;
import silverlatch.util.Numbers;
import silverlatch.wire.Codec;
import silverlatch.wire.Frame;

/** Decks without processes: a fleet on one fake clock whose frames are turned into bytes and back, and counted. */
final class HollowCluster {
    static final int CONTROLLERS = 6;
    static final long SECOND = 1_000_000L;
    private static final long TICK_INTERVAL = 50_000L;
    private static final long REPORT_INTERVAL = 1_200_000L;
    private static final long REGION_DELAY = 1_000L;
    private static final long CROSS_REGION_DELAY = 35_000L;
    private static final int NODES_OF_REGION = 12;
    private static final int MAX_REGIONS = 14;
    private static final int ZONES_OF_REGION = 3;
    private static final int WORKER_SLOTS = 16;
    private static final int STAMP_LOW_BITS = 7;
    private static final long MAX_CLOCK_SKEW = 50_000L;
    private static final int CHAIN_MEMBERS = 3;
    private final List<HollowNode> nodes = new ArrayList<>();
    private final Map<String, HollowNode> byAddress = new HashMap<>();
    private final List<HollowWorker> hollowWorkers = new ArrayList<>();
    private final PriorityQueue<ScheduledTask> tasks = new PriorityQueue<>(
            (a, b) -> a.time() != b.time() ? Long.compare(a.time(), b.time()) : Long.compare(a.number(), b.number()));
    private final SplittableRandom random;
    private final Codec codec = new Codec();
    private final ThreadMXBean threads = ManagementFactory.getThreadMXBean();
    private final Map<Long, Consumer<Object>> pendingAnswers = new HashMap<>();
    private Optional<Propagation> propagation = Optional.empty();
    private long now = 1_000 * SECOND;
    private long countedSince = now;
    private long nextNumber;

    /** What daemons of one role sent and how long they worked. */
    record ResourceUsage(long nodes, long frames, long bytes, long cpuNanos) {}

    /** When the first and the last daemon knew. */
    record Propagation(Predicate<Node> reached, Set<HollowNode> waiting, long[] lastReachedAt) {}

    private record ScheduledTask(long time, long number, Runnable task) {}

    /** One node and what it did since the counts were last cleared. */
    static final class HollowNode {
        private final Member member;
        private final Node node;
        private long frames;
        private long bytes;
        private long cpuNanos;

        HollowNode(final Member member, final Node node) {
            this.member = member;
            this.node = node;
        }
    }

    /** A worker: the controller that it reports to, and its last report. */
    private static final class HollowWorker {
        private final int controllerIndex;
        private Worker lastReport;

        HollowWorker(final int controllerIndex, final Worker firstReport) {
            this.controllerIndex = controllerIndex;
            this.lastReport = firstReport;
        }
    }

    /** A cluster of so many nodes, three of them controllers with a data folder, and so many workers. */
    HollowCluster(final int nodeCount, final int workerCount, final long seed) {
        random = new SplittableRandom(seed);
        final int regions = Numbers.clamp(nodeCount / NODES_OF_REGION, 1, MAX_REGIONS);
        final List<String> seeds = List.of(address(0), address(1), address(2));
        for (int i = 0; i < nodeCount; i++) {
            addNode(i, regions, seeds);
        }
        for (int i = 0; i < workerCount; i++) {
            addWorker(i, regions);
        }
    }

    private static String region(final int index, final int regions) {
        return "region-" + index % regions;
    }

    private static String zone(final int index, final int regions) {
        return region(index, regions) + "-" + index / regions % ZONES_OF_REGION;
    }

    private void addNode(final int index, final int regions, final List<String> seeds) {
        final Member member = member(index, regions);
        final Optional<ReplicaSettings> chain = index < CHAIN_MEMBERS
                ? Optional.of(ReplicaSettings.of(new Replica("disk-" + index, address(index)), seeds))
                : Optional.empty();
        final Node node = new Node(
                new Node.Settings(
                        member,
                        seeds,
                        STAMP_LOW_BITS,
                        MAX_CLOCK_SKEW,
                        Membership.Settings.LARGE_FLEET,
                        Gossip.Settings.LARGE_FLEET),
                chain,
                List.of(),
                new PhysicalClock(wallClock(), now, 0),
                random.split(),
                now);
        final HollowNode hollow = new HollowNode(member, node);
        nodes.add(hollow);
        byAddress.put(member.address(), hollow);
        schedule(random.nextLong(TICK_INTERVAL), () -> scheduleTick(hollow));
    }

    private Member member(final int index, final int regions) {
        final String role = index < CONTROLLERS ? "controller" : "gateway";
        return new Member(
                role + "-" + index,
                role,
                zone(index, regions),
                region(index, regions),
                address(index),
                address(index) + "0",
                wallClock() / 1000 + index,
                0,
                "up",
                true);
    }

    private void addWorker(final int index, final int regions) {
        final Worker first = new Worker(
                "worker-" + index,
                "10.200." + index / 200 + "." + index % 200 + ":9001",
                zone(index, regions),
                region(index, regions),
                wallClock() / 1000,
                0,
                0,
                0,
                WORKER_SLOTS,
                List.of(),
                false,
                0,
                "large",
                0,
                0);
        final HollowWorker worker = new HollowWorker(index % CONTROLLERS, first);
        hollowWorkers.add(worker);
        schedule(3 * SECOND + random.nextLong(REPORT_INTERVAL), () -> scheduleReport(worker));
    }

    private static String address(final int index) {
        return "10.100." + index / 200 + "." + (index % 200 + 1) + ":7001";
    }

    /** Lets time pass. */
    void advance(final long duration) {
        final long end = now + duration;
        while (!tasks.isEmpty() && tasks.peek().time() <= end) {
            final ScheduledTask task = tasks.poll();
            now = task.time();
            task.task().run();
        }
        now = end;
    }

    /** Lets a drawn time below half a second pass, so that no beat of the fleet fits the trials. */
    void advanceRandomly() {
        advance(random.nextLong(SECOND / 2));
    }

    /** How long the counts run, in microseconds. */
    long countedMicros() {
        return now - countedSince;
    }

    /** Forgets the counts. */
    void resetUsage() {
        countedSince = now;
        nodes.forEach(node -> {
            node.frames = 0;
            node.bytes = 0;
            node.cpuNanos = 0;
        });
    }

    /** What the daemons of one role did. */
    ResourceUsage usage(final boolean controller) {
        final List<HollowNode> list =
                nodes.stream().filter(n -> n.member.isGateway() != controller).toList();
        return new ResourceUsage(
                list.size(),
                list.stream().mapToLong(n -> n.frames).sum(),
                list.stream().mapToLong(n -> n.bytes).sum(),
                list.stream().mapToLong(n -> n.cpuNanos).sum());
    }

    /** Whether all daemons know so many workers, each other, and the page. */
    boolean isConverged() {
        final long revision = nodes.get(0).node.gossip().stateMachine().policyRevision();
        return nodes.stream()
                .allMatch(node -> node.node.gossip().workers().size() == hollowWorkers.size()
                        && node.node.membership().liveMembers().size() == nodes.size() - 1
                        && node.node.gossip().stateMachine().policyRevision() == revision
                        && node.node.gossip().reportsAge(now) < 2 * SECOND
                        && node.node.gossip().stateAge(now) < 2 * SECOND);
    }

    /** How many daemons are not sure of their words or their page within two seconds. */
    long staleNodes() {
        return nodes.stream()
                .filter(n -> n.node.gossip().reportsAge(now) > 2 * SECOND
                        || n.node.gossip().stateAge(now) > 2 * SECOND)
                .count();
    }

    /** One worker changes what it says, and says it at once; gives how long until all know, or -1 after the span. */
    long propagateWorkerChange(final long timeout) {
        final HollowWorker hand = hollowWorkers.get(random.nextInt(hollowWorkers.size()));
        final boolean leaving = !hand.lastReport.draining();
        hand.lastReport = nextReport(hand.lastReport, leaving);
        report(hand);
        final String id = hand.lastReport.id();
        return awaitPropagation(d -> d.gossip().workers().get(id).worker().draining() == leaving, timeout);
    }

    /** One cell of the table changes; gives how long from the wish until all follow it, or -1 after the span. */
    long propagateTableChange(final Command command, final long timeout) {
        final HollowNode node = nodes.get(random.nextInt(CHAIN_MEMBERS));
        final long token = ++nextNumber;
        final long[] sequence = {Long.MAX_VALUE};
        pendingAnswers.put(
                token,
                v -> sequence[0] = v instanceof silverlatch.state.CommandResult.Applied applied
                        ? applied.sequence()
                        : Long.MAX_VALUE);
        execute(node, () -> node.node.submit(command, token, now, now + 5 * SECOND));
        return awaitPropagation(d -> d.gossip().stateMachine().policyRevision() >= sequence[0], timeout);
    }

    private long awaitPropagation(final Predicate<Node> reached, final long timeout) {
        final long start = now;
        propagation = Optional.of(new Propagation(reached, new HashSet<>(nodes), new long[] {now}));
        while (now - start < timeout && !propagation.get().waiting().isEmpty()) {
            advance(10_000);
            if (propagation.get().waiting().size() == nodes.size()) {
                nodes.forEach(this::checkPropagation);
            }
        }
        final Propagation finished = propagation.get();
        propagation = Optional.empty();
        return finished.waiting().isEmpty() ? finished.lastReachedAt()[0] - start : -1;
    }

    private void checkPropagation(final HollowNode node) {
        propagation
                .filter(current ->
                        current.waiting().contains(node) && current.reached().test(node.node))
                .ifPresent(current -> {
                    current.waiting().remove(node);
                    current.lastReachedAt()[0] = now;
                });
    }

    private void schedule(final long delay, final Runnable task) {
        tasks.add(new ScheduledTask(now + delay, nextNumber++, task));
    }

    private long wallClock() {
        return 1_700_000_000_000_000_000L + now * 1000;
    }

    private void scheduleTick(final HollowNode node) {
        execute(node, () -> node.node.tick(now, wallClock()));
        schedule(TICK_INTERVAL, () -> scheduleTick(node));
    }

    private void scheduleReport(final HollowWorker hand) {
        hand.lastReport = nextReport(hand.lastReport, hand.lastReport.draining());
        report(hand);
        schedule(REPORT_INTERVAL, () -> scheduleReport(hand));
    }

    private static Worker nextReport(final Worker previous, final boolean leaving) {
        return new Worker(
                previous.id(),
                previous.address(),
                previous.zone(),
                previous.region(),
                previous.incarnation(),
                previous.sequence() + 1,
                0,
                0,
                previous.slots(),
                List.of(),
                leaving,
                0,
                previous.pool(),
                0,
                0);
    }

    private void report(final HollowWorker hand) {
        final HollowNode node = nodes.get(hand.controllerIndex);
        execute(node, () -> node.node.onAnnouncement(hand.lastReport, 0, now));
    }

    private void execute(final HollowNode node, final Runnable task) {
        final long start = threads.getCurrentThreadCpuTime();
        task.run();
        final List<EncodedFrame> frames = new ArrayList<>();
        node.node.drainFrames().forEach(s -> frames.add(new EncodedFrame(s.to(), codec.encode(s.frame()))));
        final List<Effect> effects = node.node.drain();
        node.cpuNanos += threads.getCurrentThreadCpuTime() - start;
        frames.forEach(l -> send(node, l));
        effects.forEach(e -> perform(node, e));
        checkPropagation(node);
    }

    private void perform(final HollowNode node, final Effect effect) {
        switch (effect) {
            case Effect.Persist persist ->
                schedule(REGION_DELAY, () -> execute(node, () -> node.node.onPersisted(persist.token(), now)));
            case Effect.Respond a ->
                Optional.ofNullable(pendingAnswers.remove(a.token())).ifPresent(c -> c.accept(a.response()));
            default -> {}
        }
    }

    private void send(final HollowNode from, final EncodedFrame encoded) {
        from.frames++;
        from.bytes += encoded.bytes().length + Integer.BYTES;
        Optional.ofNullable(byAddress.get(encoded.to()))
                .ifPresent(to -> schedule(
                        from.member.region().equals(to.member.region()) ? REGION_DELAY : CROSS_REGION_DELAY,
                        () -> execute(to, () -> {
                            if (codec.decode(encoded.bytes(), Frame.class)
                                    instanceof Codec.DecodeResult.Decoded<Frame> good) {
                                to.node.onFrame(good.value(), now);
                            }
                        })));
    }

    private record EncodedFrame(String to, byte[] bytes) {}
}
