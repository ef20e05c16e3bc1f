package silverlatch.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.membership.Member;
import silverlatch.state.Entry;
import silverlatch.state.Policy;
import silverlatch.state.Value;

final class RouterTest {
    private static final long MILLISECOND = 1_000;
    private static final long SECOND = 1_000_000;
    private final Map<String, Worker> workers = new HashMap<>();
    private final List<Member> peers = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private long revision = 1;
    private long now = 100 * SECOND;
    private long lastCallId;
    private final Router router =
            new Router(Router.Settings.DEFAULT, clusterSnapshot(), () -> new Stamp(1), new SplittableRandom(7));

    RouterTest() {
        entries.add(new Entry(
                "p/charter", 1, List.of(new Value.RoutingConfiguration(1, 16_384, 1 << 20, 3 * SECOND, 15 * SECOND))));
        entries.add(new Entry(
                "b/pool", 1, List.of(new Value.BackendPool("pool", "/health", 100, 3 * SECOND, 9, 128, 100_000, 5))));
        entries.add(new Entry("u/a|/once/", 1, List.of(route("once", "/once/", true, false, 2, List.of()))));
        entries.add(new Entry("u/a|/again/", 1, List.of(route("again", "/again/", true, true, 2, List.of("west")))));
        entries.add(new Entry("u/a|/", 1, List.of(route("all", "/", true, false, 1, List.of()))));
    }

    private static Value.Route route(
            final String name,
            final String path,
            final boolean once,
            final boolean resume,
            final int tries,
            final List<String> homes) {
        return new Value.Route(
                name,
                "a",
                path,
                once,
                true,
                resume,
                true,
                15 * SECOND,
                600 * MILLISECOND,
                400 * MILLISECOND,
                0,
                tries,
                homes,
                List.of(new Value.WeightedBackend("pool", 1)));
    }

    private static Member gateway(final String id) {
        return new Member(id, "gateway", "w1", "west", "10.0.0.1:1", "10.0.0.1:2", 1, 0, "up", true);
    }

    private ClusterSnapshot clusterSnapshot() {
        final Map<String, Gossip.ObservedWorker> heard = new HashMap<>();
        workers.forEach((k, w) -> heard.put(k, new Gossip.ObservedWorker(w, Optional.of(now))));
        return new ClusterSnapshot(gateway("me"), revision, Optional.of(now), Policy.of(entries), heard, peers);
    }

    private void worker(
            final String id, final String region, final long cold, final boolean leaving, final long sequence) {
        workers.put(
                id,
                new Worker(
                        id,
                        id + ":1",
                        region + "1",
                        region,
                        1,
                        sequence,
                        0,
                        0,
                        128,
                        List.of(),
                        leaving,
                        0,
                        "pool",
                        cold,
                        0));
        refreshReports();
    }

    private void refreshReports() {
        revision++;
        router.update(clusterSnapshot(), now);
    }

    private List<RoutingEffect> arrive(final String path, final List<RoutedRequest.PromptPart> parts) {
        router.requestArrived(
                new RoutedRequest(++lastCallId, "A:80", path, "t" + lastCallId, 15 * SECOND, parts, 100, 100), now);
        return router.drainEffects();
    }

    private RoutingEffect.StartAttempt attemptIn(final List<RoutingEffect> effects) {
        return effects.stream()
                .filter(RoutingEffect.StartAttempt.class::isInstance)
                .map(RoutingEffect.StartAttempt.class::cast)
                .findFirst()
                .orElseThrow();
    }

    private static RoutingEffect.Reject rejectionIn(final List<RoutingEffect> effects) {
        return effects.stream()
                .filter(RoutingEffect.Reject.class::isInstance)
                .map(RoutingEffect.Reject.class::cast)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void theLongestPathWinsAndNoRouteIs404() {
        worker("w", "west", 0, false, 1);
        assertThat(attemptIn(arrive("/once/x", List.of())).once(), is(true));
        assertThat(attemptIn(arrive("/again/x", List.of())).once(), is(false));
        router.requestArrived(new RoutedRequest(99, "b", "/once/x", "t", SECOND, List.of(), 1, 1), now);
        assertThat(rejectionIn(router.drainEffects()).statusCode(), is(404));
    }

    @Test
    void workersOutsideTheHomesDrainingOrInEvacuatedZonesAreNeverUsed() {
        worker("e", "east", 0, false, 1);
        assertThat(rejectionIn(arrive("/again/x", List.of())).statusCode(), is(503));
        worker("w", "west", 0, false, 1);
        assertThat(attemptIn(arrive("/again/x", List.of())).worker(), is("w"));
        worker("w", "west", 0, true, 2);
        assertThat(rejectionIn(arrive("/again/x", List.of())).statusCode(), is(503));
        assertThat(attemptIn(arrive("/once/x", List.of())).worker(), is("e"));
        entries.add(new Entry("z/east1", 2, List.of(new Value.Evacuation("east1", true, new Stamp(1)))));
        refreshReports();
        assertThat(rejectionIn(arrive("/once/x", List.of())).statusCode(), is(503));
    }

    @Test
    void aRequestThatMayHaveRunIsNeverRetriedNorCalledRejected() {
        worker("w", "west", 0, false, 1);
        worker("v", "west", 0, false, 1);
        final RoutingEffect.StartAttempt first = attemptIn(arrive("/once/x", List.of()));
        router.attemptFailed(first.attemptId(), FailurePoint.SENT, now);
        final List<RoutingEffect> effects = router.drainEffects();
        assertThat(
                effects.stream()
                        .filter(RoutingEffect.StartAttempt.class::isInstance)
                        .toList(),
                is(empty()));
        assertThat(
                effects.stream()
                        .filter(RoutingEffect.Fail.class::isInstance)
                        .map(m -> ((RoutingEffect.Fail) m).statusCode())
                        .toList(),
                is(List.of(502)));
        router.attemptFailed(first.attemptId(), FailurePoint.NOT_RUN, now);
        assertThat(router.drainEffects(), is(empty()));
    }

    @Test
    void aRequestThatMayHaveRunEarlierIsNeverCalledRejectedAfterALaterRefusal() {
        worker("w", "west", 0, false, 1);
        worker("v", "west", 0, false, 1);
        final RoutingEffect.StartAttempt first = attemptIn(arrive("/again/x", List.of()));
        router.attemptFailed(first.attemptId(), FailurePoint.SENT, now);
        final RoutingEffect.StartAttempt second = attemptIn(router.drainEffects());
        router.attemptFailed(second.attemptId(), FailurePoint.NOT_RUN, now);
        final List<RoutingEffect> effects = router.drainEffects();
        assertThat(
                effects.stream().filter(RoutingEffect.Reject.class::isInstance).toList(), is(empty()));
        assertThat(
                effects.stream()
                        .filter(RoutingEffect.Fail.class::isInstance)
                        .map(e -> ((RoutingEffect.Fail) e).statusCode())
                        .toList(),
                is(List.of(502)));
    }

    @Test
    void aWorkerThatFailedARequestIsNotSentItAgain() {
        worker("w", "west", 0, false, 1);
        final RoutingEffect.StartAttempt only = attemptIn(arrive("/again/x", List.of()));
        router.errorResponse(only.attemptId(), 500, Optional.empty(), now);
        assertThat(
                router.drainEffects(), is(List.of(new RoutingEffect.ForwardResponse(only.callId(), only.attemptId()))));
        worker("v", "west", 0, false, 1);
        for (int i = 0; i < 20; i++) {
            final RoutingEffect.StartAttempt first = attemptIn(arrive("/again/x", List.of()));
            router.errorResponse(first.attemptId(), 500, Optional.empty(), now);
            router.drainEffects().stream()
                    .filter(RoutingEffect.StartAttempt.class::isInstance)
                    .forEach(e -> assertThat(((RoutingEffect.StartAttempt) e).worker(), not(first.worker())));
        }
    }

    @Test
    void theLimitsOfTheConfigurationInForceAreShown() {
        assertThat(router.limits().isPresent(), is(false));
        worker("w", "west", 0, false, 1);
        assertThat(
                router.limits()
                        .map(Value.RoutingConfiguration::idleTimeoutMicros)
                        .orElse(0L),
                is(15 * SECOND));
    }

    @Test
    void aRequestThatSurelyDidNotRunGoesToAnotherWorkerOrIsRejected() {
        worker("w", "west", 0, false, 1);
        worker("v", "west", 0, false, 1);
        final RoutingEffect.StartAttempt first = attemptIn(arrive("/once/x", List.of()));
        router.attemptFailed(first.attemptId(), FailurePoint.NOT_RUN, now);
        final RoutingEffect.StartAttempt second = attemptIn(router.drainEffects());
        assertThat(second.worker().equals(first.worker()), is(false));
        router.attemptFailed(second.attemptId(), FailurePoint.STRANGER, now);
        final RoutingEffect.Reject rejection = rejectionIn(router.drainEffects());
        assertThat(rejection.statusCode(), is(503));
        assertThat(rejection.retryAfter(), greaterThan(0L));
    }

    @Test
    void aBrokenStreamResumesElsewhereWhereTheRouteSaysSo() {
        worker("w", "west", 0, false, 1);
        worker("v", "west", 0, false, 1);
        final RoutingEffect.StartAttempt first = attemptIn(arrive("/again/x", List.of()));
        router.responseStarted(first.attemptId(), Optional.empty(), now);
        router.eventForwarded(first.attemptId(), now);
        router.attemptFailed(first.attemptId(), FailurePoint.BEGUN, now);
        final RoutingEffect.StartAttempt second = attemptIn(router.drainEffects());
        assertThat(second.worker().equals(first.worker()), is(false));
        router.attemptFailed(second.attemptId(), FailurePoint.SENT, now);
        assertThat(router.drainEffects().stream().anyMatch(RoutingEffect.Fail.class::isInstance), is(true));
    }

    @Test
    void aSilentWorkerIsAbandonedWhereTheRequestIsIdempotent() {
        worker("w", "west", 0, false, 1);
        worker("v", "west", 0, false, 1);
        final RoutingEffect.StartAttempt first = attemptIn(arrive("/again/x", List.of()));
        final RoutingEffect.StartAttempt still = attemptIn(arrive("/once/x", List.of()));
        now += SECOND;
        router.tick(now);
        final List<RoutingEffect> effects = router.drainEffects();
        assertThat(effects.contains(new RoutingEffect.CancelAttempt(first.attemptId())), is(true));
        assertThat(attemptIn(effects).worker().equals(first.worker()), is(false));
        assertThat(effects.contains(new RoutingEffect.CancelAttempt(still.attemptId())), is(false));
    }

    @Test
    void retriesStayWithinATenthOfTheRequests() {
        for (int i = 0; i < 6; i++) {
            worker("w" + i, "west", 0, false, 1);
        }
        int again = 0;
        final int all = 300;
        for (int i = 0; i < all; i++) {
            now += 20 * MILLISECOND;
            final RoutingEffect.StartAttempt first = attemptIn(arrive("/once/x", List.of()));
            router.attemptFailed(first.attemptId(), FailurePoint.NOT_RUN, now);
            final List<RoutingEffect> next = router.drainEffects();
            final Optional<RoutingEffect.StartAttempt> second = next.stream()
                    .filter(RoutingEffect.StartAttempt.class::isInstance)
                    .map(RoutingEffect.StartAttempt.class::cast)
                    .findFirst();
            if (second.isPresent()) {
                again++;
                router.eventForwarded(second.get().attemptId(), now);
                router.responseCompleted(second.get().attemptId(), true, now);
                router.drainEffects();
            }
        }
        assertThat(again, lessThanOrEqualTo(all / 10 + 3));
        assertThat(again, greaterThan(all / 20));
    }

    @Test
    void allGatewaysTogetherKeepToTheRateOfAWorkerThatWarmsUp() {
        for (int i = 0; i < 19; i++) {
            peers.add(gateway("p" + i));
        }
        final Map<Long, Integer> seconds = new HashMap<>();
        final List<Router> gateways = new ArrayList<>();
        final Set<String> names = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            final Router gateway =
                    new Router(Router.Settings.DEFAULT, clusterSnapshot(), () -> new Stamp(1), new SplittableRandom(i));
            gateways.add(gateway);
            names.add(i == 19 ? "me" : "p" + i);
        }
        worker("w", "west", 60 * SECOND, false, 1);
        for (int ms = 0; ms < 20_000; ms += 10) {
            now += 10 * MILLISECOND;
            for (int i = 0; i < gateways.size(); i++) {
                final String id = i == 19 ? "me" : "p" + i;
                final ClusterSnapshot snapshot = clusterSnapshot();
                final List<Member> others = new ArrayList<>(names.stream()
                        .filter(n -> !n.equals(id))
                        .map(RouterTest::gateway)
                        .toList());
                if (ms == 0) {
                    gateways.get(i)
                            .update(
                                    new ClusterSnapshot(
                                            gateway(id),
                                            snapshot.revision(),
                                            snapshot.confirmedAt(),
                                            snapshot.policy(),
                                            snapshot.workers(),
                                            others),
                                    now);
                }
                if ((ms / 10 + i) % 5 == 0) {
                    gateways.get(i)
                            .requestArrived(
                                    new RoutedRequest(ms * 100L + i, "a", "/once/x", "t", SECOND, List.of(), 1, 1),
                                    now);
                    final int sends = (int) gateways.get(i).drainEffects().stream()
                            .filter(RoutingEffect.StartAttempt.class::isInstance)
                            .count();
                    seconds.merge(now / SECOND, sends, Integer::sum);
                }
            }
        }
        assertThat(seconds.values().stream().max(Integer::compare).orElseThrow(), lessThanOrEqualTo(18));
        assertThat(seconds.values().stream().mapToInt(Integer::intValue).sum(), greaterThan(40));
    }

    @Test
    void gatewaysComeToTheSameWorkerForALargePrefix() {
        for (int i = 0; i < 6; i++) {
            worker("w" + i, "west", 0, false, 1);
        }
        final Set<String> used = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            now += SECOND;
            final RoutingEffect.StartAttempt attempt = attemptIn(arrive(
                    "/once/x",
                    List.of(
                            new RoutedRequest.PromptPart(5, 2_500),
                            new RoutedRequest.PromptPart(6, 3_700),
                            new RoutedRequest.PromptPart(100 + i, 800))));
            used.add(attempt.worker());
            router.eventForwarded(attempt.attemptId(), now);
            router.responseCompleted(attempt.attemptId(), true, now);
            router.drainEffects();
        }
        assertThat(used, hasSize(1));
    }

    @Test
    void aRequestPastItsDeadlineFailsAtOnce() {
        worker("w", "west", 0, false, 1);
        final RoutingEffect.StartAttempt first = attemptIn(arrive("/once/x", List.of()));
        now += 16 * SECOND;
        router.tick(now);
        final List<RoutingEffect> effects = router.drainEffects();
        assertThat(effects.contains(new RoutingEffect.CancelAttempt(first.attemptId())), is(true));
        assertThat(
                effects.stream()
                        .filter(RoutingEffect.Fail.class::isInstance)
                        .map(m -> ((RoutingEffect.Fail) m).statusCode())
                        .toList(),
                is(List.of(504)));
        assertThat(router.openRequests(), is(0));
    }

    @Test
    void aLongPromptIsKeptAwayFromAWorkerThatDecodesManyStreams() {
        for (int i = 0; i < 4; i++) {
            worker("w" + i, "west", 0, false, 1);
        }
        final Set<String> writers = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            final RoutingEffect.StartAttempt attempt = attemptIn(arrive("/once/x", List.of()));
            writers.add(attempt.worker());
            router.responseStarted(attempt.attemptId(), Optional.of(new Router.ReportedLoad(10, 0, 128)), now);
            router.eventForwarded(attempt.attemptId(), now);
            router.requestArrived(
                    new RoutedRequest(
                            ++lastCallId,
                            "a",
                            "/once/x",
                            "t" + lastCallId,
                            15 * SECOND,
                            List.of(
                                    new RoutedRequest.PromptPart(i, 5_000),
                                    new RoutedRequest.PromptPart(1_000 + i, 20_000)),
                            25_000,
                            50),
                    now);
            final RoutingEffect.StartAttempt longAttempt = attemptIn(router.drainEffects());
            assertThat(i < 4 || !writers.contains(longAttempt.worker()), is(true));
            router.responseStarted(longAttempt.attemptId(), Optional.empty(), now);
            router.eventForwarded(longAttempt.attemptId(), now);
            router.responseCompleted(longAttempt.attemptId(), true, now);
            router.drainEffects();
            now += 100 * MILLISECOND;
        }
        assertThat(writers.size(), lessThanOrEqualTo(3));
    }

    @Test
    void anUnreachableRegionGetsNothingMoreUntilAWorkerThereAnswers() {
        for (int i = 0; i < 3; i++) {
            worker("e" + i, "east", 0, false, 1);
        }
        final RoutingEffect.StartAttempt first = attemptIn(arrive("/once/x", List.of()));
        assertThat(first.worker().startsWith("e"), is(true));
        worker("w", "west", 0, false, 1);
        worker("v", "west", 0, false, 1);
        now += 600 * MILLISECOND;
        for (int i = 0; i < 20; i++) {
            final RoutingEffect.StartAttempt attempt = attemptIn(arrive("/once/x", List.of()));
            assertThat(attempt.worker().startsWith("e"), is(false));
            router.responseStarted(attempt.attemptId(), Optional.empty(), now);
            router.eventForwarded(attempt.attemptId(), now);
        }
        router.responseStarted(first.attemptId(), Optional.empty(), now);
        worker("w", "west", 0, true, 2);
        worker("v", "west", 0, true, 2);
        assertThat(attemptIn(arrive("/once/x", List.of())).worker().startsWith("e"), is(true));
    }

    @Test
    void withoutAConfigurationNothingIsAccepted() {
        final Router bare = new Router(
                Router.Settings.DEFAULT,
                new ClusterSnapshot(gateway("me"), 0, Optional.empty(), Policy.NONE, Map.of(), List.of()),
                () -> new Stamp(1),
                new SplittableRandom(1));
        bare.requestArrived(new RoutedRequest(1, "a", "/once/x", "t", SECOND, List.of(), 1, 1), now);
        assertThat(rejectionIn(bare.drainEffects()).statusCode(), is(503));
        assertThat(bare.unreadyReason().isPresent(), is(true));
    }
}
