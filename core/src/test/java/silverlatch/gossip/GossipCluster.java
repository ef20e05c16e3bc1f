package silverlatch.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.IntStream;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.node.Effect;
import silverlatch.safeguard.Safeguards;
import silverlatch.wire.GossipMessage;
import silverlatch.wire.Message;

/**
 * Runs the gossip of several nodes on a simulated clock, in microseconds. The nodes c0, c1 and c2 are controllers,
 * each in its own zone and region; the others are gateways. A message takes 1 ms within a region and 35 ms to another
 * region. Workers announce themselves to a controller. Every node ticks every 50 ms; everything runs on the test's
 * thread.
 */
final class GossipCluster {
    private static final long SECOND = 1_000_000;
    private static final long STEP_MICROS = 10_000;
    private static final long TICK_MICROS = 50_000;
    private static final long HEARTBEAT_MICROS = 1_200_000;
    private static final long LOCAL_DELAY_MICROS = 1_000;
    private static final long EXTRA_DELAY_MICROS = 34_000;
    private static final int CONTROLLERS = 3;
    private static final int REGIONS = 3;

    private final Map<String, Gossip> nodes = new LinkedHashMap<>();
    private final Set<String> partitioned = new HashSet<>();
    private final Set<String> dead = new HashSet<>();
    private final PriorityQueue<InFlightMessage> inFlight = new PriorityQueue<>(
            Comparator.comparingLong(InFlightMessage::deliverAt).thenComparingLong(InFlightMessage::order));
    private final List<Message> sent = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(5);
    private long now = 100 * SECOND;
    private long sendOrder;

    /** Starts nodes that know each other, and runs them for six seconds. */
    GossipCluster(final int size) {
        final List<Member> members =
                IntStream.range(0, size).mapToObj(GossipCluster::member).toList();
        for (final Member self : members) {
            final Membership membership = new Membership(self, List.of("c0", "c1", "c2"), Membership.Settings.DEFAULTS);
            members.forEach(member -> membership.applyUpdate(member, now));
            membership.drainUpdates();
            membership.drain();
            nodes.put(self.id(), new Gossip(membership, random.split(), Gossip.Settings.LARGE_FLEET, Safeguards.ALL));
        }
        advance(6 * SECOND);
    }

    private record InFlightMessage(long deliverAt, long order, String from, String to, Message message) {}

    private static Member member(final int index) {
        final boolean isController = index < CONTROLLERS;
        final String id = (isController ? "c" : "g") + index;
        final String role = isController ? "controller" : "gateway";
        final int region = index % REGIONS;
        return new Member(id, role, "z" + region, "r" + region, id, id, 1, 0, "up", true);
    }

    /** Returns the worker "w" with the given state. */
    static Worker worker(
            final long incarnation, final long sequence, final boolean draining, final long warmupRemaining) {
        return new Worker(
                "w",
                "10.0.0.9:1",
                "z0",
                "r0",
                incarnation,
                sequence,
                3,
                1,
                8,
                List.of(4L),
                draining,
                0,
                "pool",
                warmupRemaining,
                0);
    }

    long now() {
        return now;
    }

    /** Returns the ids of all nodes. */
    Set<String> ids() {
        return nodes.keySet();
    }

    /** Returns all nodes by id. */
    Map<String, Gossip> nodes() {
        return nodes;
    }

    Gossip node(final String id) {
        return nodes.get(id);
    }

    /** Returns the messages sent since the test last cleared this list. */
    List<Message> sent() {
        return sent;
    }

    /** Returns the ids of the nodes that don't run; the test may change the set. */
    Set<String> dead() {
        return dead;
    }

    /** Returns the ids of the nodes on one side of a partition; the test may change the set. */
    Set<String> partitioned() {
        return partitioned;
    }

    /** Advances the time; meanwhile nodes tick, and messages that become due are delivered. */
    void advance(final long durationMicros) {
        for (final long end = now + durationMicros; now < end; now += STEP_MICROS) {
            if (now % TICK_MICROS == 0) {
                nodes.keySet().stream().filter(id -> !dead.contains(id)).forEach(this::tick);
            }
            while (!inFlight.isEmpty() && inFlight.peek().deliverAt() <= now) {
                deliver(inFlight.poll());
            }
        }
    }

    /** Makes the worker "w" announce itself to a controller. */
    void announce(final String at, final long sequence) {
        announce(at, worker(1, sequence, false, 0));
    }

    /** Makes a worker announce itself to a controller. */
    void announce(final String at, final Worker worker) {
        nodes.get(at).onAnnouncement(worker, 0, now);
        deliverEffects(at);
    }

    /** Makes the worker "w" announce itself {@code count} times, every 1.2 seconds. */
    void sendHeartbeats(final String at, final long firstSequence, final int count) {
        for (int i = 0; i < count; i++) {
            announce(at, firstSequence + i);
            advance(HEARTBEAT_MICROS);
        }
    }

    /** Returns the worker "w" as a node knows it. */
    Optional<Gossip.ObservedWorker> observedAt(final String id) {
        return Optional.ofNullable(nodes.get(id).workers().get("w"));
    }

    /** Returns how many of the sent messages can carry worker reports or their versions. */
    long reportMessageCount() {
        return sent.stream()
                .filter(message -> message instanceof GossipMessage.GossipPush
                        || message instanceof GossipMessage.ReportVersions
                        || message instanceof GossipMessage.MissingReports)
                .count();
    }

    /** Sends the pending messages of a node. */
    void deliverEffects(final String id) {
        for (final Effect effect : nodes.get(id).drain()) {
            if (effect instanceof Effect.Send send) {
                sent.add(send.message());
                final long deliverAt = now + delayMicros(id, send.to());
                inFlight.add(new InFlightMessage(deliverAt, sendOrder++, id, send.to(), send.message()));
            }
        }
    }

    private static long delayMicros(final String from, final String to) {
        final boolean isSameRegion = from.charAt(1) % REGIONS == to.charAt(1) % REGIONS;
        return isSameRegion ? LOCAL_DELAY_MICROS : LOCAL_DELAY_MICROS + EXTRA_DELAY_MICROS;
    }

    private void tick(final String id) {
        nodes.get(id).tick(now);
        deliverEffects(id);
    }

    private void deliver(final InFlightMessage next) {
        final boolean isConnected = partitioned.contains(next.from()) == partitioned.contains(next.to());
        if (!dead.contains(next.to()) && isConnected) {
            nodes.get(next.to()).onMessage(next.message(), next.from(), now);
            deliverEffects(next.to());
        }
    }
}
