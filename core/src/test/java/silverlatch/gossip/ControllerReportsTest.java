package silverlatch.gossip;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.node.Effect;
import silverlatch.replication.View;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.state.TableRules;
import silverlatch.wire.GossipMessage;
import silverlatch.wire.Message;

/** The gossip of many nodes on a fake clock; workers announce to controllers c0, c1, c2, each in its own zone and region. */
final class ControllerReportsTest {
    private static final long SECOND = 1_000_000;
    private final Map<String, Gossip> nodes = new LinkedHashMap<>();
    private final Set<String> partitioned = new HashSet<>();
    private final Set<String> dead = new HashSet<>();
    private final PriorityQueue<InFlightMessage> inFlight = new PriorityQueue<>((a, b) -> a.deliverAt() != b.deliverAt()
            ? Long.compare(a.deliverAt(), b.deliverAt())
            : Long.compare(a.order(), b.order()));
    private final List<Message> sent = new ArrayList<>();
    private final SplittableRandom random = new SplittableRandom(5);
    private long now = 100 * SECOND;
    private long sendOrder;

    private record InFlightMessage(long deliverAt, long order, String from, String to, Message message) {}

    private void startFleet(final int size) {
        final List<Member> all = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            final String id = (i < 3 ? "c" : "g") + i;
            all.add(new Member(
                    id, i < 3 ? "controller" : "gateway", "z" + i % 3, "r" + i % 3, id, id, 1, 0, "up", true));
        }
        all.forEach(m -> {
            final Membership membership = new Membership(m, List.of("c0", "c1", "c2"), Membership.Settings.DEFAULTS);
            all.forEach(x -> membership.learn(x, now));
            membership.drainUpdates();
            membership.drain();
            nodes.put(m.id(), new Gossip(membership, random.split(), Gossip.Settings.LARGE_FLEET, Safeguards.ALL));
        });
        advance(6 * SECOND);
    }

    private void advance(final long duration) {
        for (final long end = now + duration; now < end; now += 10_000) {
            if (now % 50_000 == 0) {
                nodes.forEach((id, r) -> {
                    if (!dead.contains(id)) {
                        r.tick(now);
                        deliverEffects(id);
                    }
                });
            }
            while (!inFlight.isEmpty() && inFlight.peek().deliverAt() <= now) {
                final InFlightMessage next = inFlight.poll();
                if (!dead.contains(next.to()) && partitioned.contains(next.from()) == partitioned.contains(next.to())) {
                    nodes.get(next.to()).onMessage(next.message(), next.from(), now);
                    deliverEffects(next.to());
                }
            }
        }
    }

    private void deliverEffects(final String id) {
        for (final Effect effect : nodes.get(id).drain()) {
            if (effect instanceof Effect.Send s) {
                sent.add(s.message());
                inFlight.add(new InFlightMessage(
                        now + 1_000 + (id.charAt(1) % 3 == s.to().charAt(1) % 3 ? 0 : 34_000),
                        sendOrder++,
                        id,
                        s.to(),
                        s.message()));
            }
        }
    }

    private static Worker worker(
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

    private void announce(final String at, final long sequence) {
        announce(at, worker(1, sequence, false, 0));
    }

    private void announce(final String at, final Worker worker) {
        nodes.get(at).onAnnouncement(worker, 0, now);
        deliverEffects(at);
    }

    private void sendHeartbeats(final String at, final long from, final int count) {
        for (int i = 0; i < count; i++) {
            announce(at, from + i);
            advance(1_200_000);
        }
    }

    private Optional<Gossip.ObservedWorker> observedAt(final String id) {
        return Optional.ofNullable(nodes.get(id).workers().get("w"));
    }

    private long reportMessageCount() {
        return sent.stream()
                .filter(m -> m instanceof GossipMessage.GossipPush
                        || m instanceof GossipMessage.ReportVersions
                        || m instanceof GossipMessage.MissingReports)
                .count();
    }

    @Test
    void repeatedAnnouncementsAreNotForwardedAndRenewTheAge() {
        startFleet(12);
        announce("c0", 1);
        advance(3 * SECOND);
        sent.clear();
        sendHeartbeats("c0", 2, 20);
        assertThat(
                sent.stream()
                        .filter(m ->
                                !(m instanceof GossipMessage.GossipPull || m instanceof GossipMessage.GossipPullReply))
                        .toList(),
                empty());
        assertThat(observedAt("c0").orElseThrow().age(now), lessThanOrEqualTo(1_300_000L));
        nodes.keySet().forEach(id -> {
            assertThat(observedAt(id).orElseThrow().worker().sequence(), is(1L));
            assertThat(observedAt(id).orElseThrow().silent(), is(false));
        });
    }

    @Test
    void drainingWorkerIsKnownEverywhereWithinASecondThoughItsControllerDies() {
        startFleet(12);
        announce("c0", 1);
        advance(2 * SECOND);
        announce("c0", worker(1, 2, true, 0));
        dead.add("c0");
        advance(SECOND);
        nodes.keySet().stream()
                .filter(id -> !id.equals("c0"))
                .forEach(id ->
                        assertThat(id, observedAt(id).orElseThrow().worker().draining(), is(true)));
    }

    @Test
    void lateAnnouncementDoesNotUndoDraining() {
        startFleet(5);
        announce("c0", 1);
        announce("c0", worker(1, 9, true, 0));
        advance(SECOND);
        announce("c0", 8);
        announce("c1", 7);
        advance(2 * SECOND);
        nodes.keySet()
                .forEach(id -> assertThat(observedAt(id).orElseThrow().worker().draining(), is(true)));
        announce("c1", 10);
        advance(SECOND);
        nodes.keySet()
                .forEach(id -> assertThat(observedAt(id).orElseThrow().worker().draining(), is(false)));
    }

    @Test
    void goneWorkerStaysGoneUntilANewIncarnationAndIsForgottenAfterAMinute() {
        startFleet(5);
        announce("c0", 1);
        advance(SECOND);
        assertThat(nodes.get("c1").onWorkerGone("nobody", now), is(false));
        assertThat(nodes.get("c1").onWorkerGone("w", now), is(true));
        deliverEffects("c1");
        assertThat(nodes.get("c1").onWorkerGone("w", now), is(true));
        advance(SECOND);
        announce("c2", 50);
        advance(SECOND);
        nodes.keySet().forEach(id -> assertThat(id, observedAt(id).isPresent(), is(false)));
        announce("c2", worker(2, 1, false, 0));
        advance(SECOND);
        nodes.keySet()
                .forEach(id ->
                        assertThat(id, observedAt(id).orElseThrow().worker().incarnation(), is(2L)));
        nodes.get("c0").onWorkerGone("w", now);
        deliverEffects("c0");
        advance(62 * SECOND);
        sent.clear();
        advance(3 * SECOND);
        assertThat(reportMessageCount(), is(0L));
        announce("c2", worker(2, 2, false, 0));
        advance(SECOND);
        nodes.keySet().forEach(id -> assertThat(id, observedAt(id).isPresent(), is(true)));
    }

    @Test
    void silentWorkerIsReportedAndKeptUntilALaterAnnouncement() {
        startFleet(6);
        sendHeartbeats("c0", 1, 3);
        advance(3_500_000);
        nodes.keySet().forEach(id -> assertThat(id, observedAt(id).orElseThrow().silent(), is(false)));
        advance(3_500_000);
        nodes.keySet().forEach(id -> assertThat(id, observedAt(id).orElseThrow().silent(), is(true)));
        announce("c1", 9);
        advance(SECOND);
        nodes.keySet().forEach(id -> assertThat(id, observedAt(id).orElseThrow().silent(), is(false)));
        advance(8 * SECOND);
        nodes.keySet().forEach(id -> assertThat(id, observedAt(id).orElseThrow().silent(), is(true)));
        advance(60 * SECOND);
        nodes.keySet().forEach(id -> assertThat(id, observedAt(id).isPresent(), is(false)));
    }

    @Test
    void partitionMarksNoWorkerSilentThatMayBeHeardOnTheOtherSide() {
        startFleet(9);
        sendHeartbeats("c0", 1, 3);
        partitioned.addAll(List.of("c0", "g3", "g6"));
        sendHeartbeats("c0", 4, 60);
        nodes.keySet().forEach(id -> assertThat(id, observedAt(id).orElseThrow().silent(), is(false)));
        partitioned.clear();
        sendHeartbeats("c0", 64, 5);
        nodes.keySet().forEach(id -> assertThat(id, observedAt(id).orElseThrow().silent(), is(false)));
    }

    @Test
    void wrongSilenceReportIsRefutedByTheControllerThatHearsTheWorker() {
        startFleet(5);
        sendHeartbeats("c0", 1, 3);
        final WorkerReport wrongReport =
                new WorkerReport(WorkerReport.of(worker(1, 1, false, 0)).worker(), true, false, 5 * SECOND);
        nodes.get("g4")
                .onMessage(new GossipMessage.GossipPush(List.of(), List.of(), List.of(wrongReport), 0), "c1", now);
        advance(SECOND);
        nodes.keySet().forEach(id -> assertThat(id, observedAt(id).orElseThrow().silent(), is(false)));
    }

    @Test
    void warmupRunsOutOnEveryNodeAndItsEndIsNotForwarded() {
        startFleet(12);
        announce("c0", worker(1, 1, false, 9 * SECOND));
        final long start = now;
        for (int i = 2; i < 6; i++) {
            advance(SECOND);
            announce("c0", worker(1, i, false, 9 * SECOND - (now - start)));
        }
        nodes.keySet().forEach(id -> {
            final long remaining = observedAt(id).orElseThrow().warmupRemaining(now);
            assertThat(id, remaining, greaterThan(9 * SECOND - (now - start) - 1));
            assertThat(id, remaining, lessThanOrEqualTo(9 * SECOND - (now - start) + 300_000));
        });
        sent.clear();
        advance(3 * SECOND);
        announce("c0", worker(1, 6, false, 9 * SECOND - (now - start)));
        advance(2_500_000);
        announce("c0", worker(1, 7, false, 0));
        advance(SECOND);
        assertThat(reportMessageCount(), is(0L));
        nodes.keySet().forEach(id -> assertThat(id, observedAt(id).orElseThrow().warmupRemaining(now), is(0L)));
    }

    @Test
    void earlyEndOfWarmupIsForwarded() {
        startFleet(12);
        announce("c0", worker(1, 1, false, 60 * SECOND));
        advance(2 * SECOND);
        announce("c0", 2);
        advance(SECOND);
        nodes.keySet().forEach(id -> assertThat(id, observedAt(id).orElseThrow().warmupRemaining(now), is(0L)));
    }

    @Test
    void equalDigestsTransferNoReportsAndOneDifferenceTransfersOne() {
        startFleet(5);
        for (int i = 0; i < 40; i++) {
            nodes.get("c0")
                    .onAnnouncement(
                            new Worker("w" + i, "a:" + i, "z0", "r0", 1, 1, 0, 0, 8, List.of(), false, 0), 0, now);
        }
        advance(3 * SECOND);
        sent.clear();
        advance(2 * SECOND);
        assertThat(reportMessageCount(), is(0L));
        assertThat(
                sent.stream()
                        .filter(m -> m instanceof GossipMessage.GossipPullReply t
                                && t.content() instanceof GossipMessage.PullContent.DigestContent b
                                && !b.ranges().isEmpty())
                        .toList(),
                empty());
        nodes.get("c0").onAnnouncement(new Worker("w7", "a:7", "z0", "r0", 1, 2, 0, 0, 8, List.of(), true, 0), 0, now);
        nodes.get("c0").drain();
        advance(2 * SECOND);
        sent.forEach(m -> {
            if (m instanceof GossipMessage.MissingReports b) {
                assertThat(b.reports().size(), lessThanOrEqualTo(1));
            }
        });
        nodes.keySet()
                .forEach(id -> assertThat(
                        id, nodes.get(id).workers().get("w7").worker().draining(), is(true)));
    }

    @Test
    void reportsAreConfirmedAtConnectedGatewaysAndAgeBehindAPartition() {
        startFleet(9);
        announce("c0", 1);
        advance(2 * SECOND);
        nodes.keySet().forEach(id -> assertThat(id, nodes.get(id).reportsAge(now), lessThanOrEqualTo(2 * SECOND)));
        partitioned.addAll(List.of("c0", "g3", "g6"));
        advance(5 * SECOND);
        List.of("c0", "g3", "g6").forEach(id -> assertThat(id, nodes.get(id).reportsAge(now), greaterThan(4 * SECOND)));
        List.of("c1", "c2", "g4", "g8")
                .forEach(id -> assertThat(id, nodes.get(id).reportsAge(now), lessThanOrEqualTo(2 * SECOND)));
    }

    @Test
    void deadControllerSuppressesSilenceReportsOfItsOwnZoneOnly() {
        startFleet(9);
        announce("c1", 1);
        nodes.get("c1")
                .onAnnouncement(new Worker("v", "10.0.0.8:1", "z1", "r1", 1, 1, 0, 0, 8, List.of(), false, 0), 0, now);
        deliverEffects("c1");
        advance(SECOND);
        dead.add("c0");
        advance(9 * SECOND);
        nodes.keySet().stream().filter(id -> !id.equals("c0")).forEach(id -> {
            assertThat(id, nodes.get(id).workers().get("v").silent(), is(true));
            assertThat(id, observedAt(id).orElseThrow().silent(), is(false));
        });
    }

    @Test
    void controllerThatWasPausedMarksNoWorkerSilent() {
        startFleet(6);
        sendHeartbeats("c1", 1, 3);
        dead.add("c0");
        sendHeartbeats("c1", 4, 10);
        dead.clear();
        for (int i = 0; i < 8; i++) {
            sendHeartbeats("c1", 20 + i, 1);
            nodes.keySet()
                    .forEach(id -> assertThat(id, observedAt(id).orElseThrow().silent(), is(false)));
        }
    }

    @Test
    void newRevisionReachesNinetySixNodesInASecondAndPullsConfirmIt() {
        startFleet(96);
        final StateMachine stateMachine = new StateMachine();
        stateMachine.apply(1, List.of(new Entry("r/*/chat", 1, List.of(TableRules.defaultRow("*", "chat")))));
        nodes.get("c0").adoptReplicaState(stateMachine, View.NONE, true, now);
        deliverEffects("c0");
        final long start = now;
        while (nodes.values().stream().anyMatch(r -> r.stateMachine().policyRevision() < 1)
                && now - start < 2 * SECOND) {
            advance(50_000);
        }
        assertThat(now - start, lessThanOrEqualTo(700_000L));
        for (int i = 0; i < 40; i++) {
            nodes.get("c0").adoptReplicaState(stateMachine, View.NONE, true, now);
            advance(50_000);
        }
        nodes.forEach((id, r) -> assertThat(id, r.stateAge(now), lessThanOrEqualTo(2 * SECOND)));
    }
}
