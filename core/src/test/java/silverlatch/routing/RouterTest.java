package silverlatch.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

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
import silverlatch.state.Entry;
import silverlatch.state.Policy;
import silverlatch.state.Value;

/** Which worker a router selects, and which requests it rejects. */
final class RouterTest extends RouterFixture {
    @Test
    void anUnconfirmedGatewaySendsNothingToAWarmingUpWorker() {
        worker("cold", "west", 10 * SECOND, false, 1);
        isConfirmed = false;
        refreshReports();
        assertThat(rejectionIn(arrive("/once/x", List.of())).statusCode(), is(503));
        isConfirmed = true;
        refreshReports();
        assertThat(attemptIn(arrive("/once/x", List.of())).worker(), is("cold"));
    }

    @Test
    void theRouteWithTheLongestPathIsUsedAndNoRouteGives404() {
        worker("w", "west", 0, false, 1);
        assertThat(attemptIn(arrive("/once/x", List.of())).executeAtMostOnce(), is(true));
        assertThat(attemptIn(arrive("/again/x", List.of())).executeAtMostOnce(), is(false));
        router.requestArrived(new RoutedRequest(99, "b", "/once/x", "t", SECOND, List.of(), 1, 1), now);
        assertThat(rejectionIn(router.drainEffects()).statusCode(), is(404));
    }

    @Test
    void workersOutsideHomeRegionsDrainingOrInEvacuatedZonesAreNeverUsed() {
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
    void theLimitsOfTheConfigurationInForceAreReturned() {
        assertThat(router.limits().isPresent(), is(false));
        worker("w", "west", 0, false, 1);
        assertThat(
                router.limits()
                        .map(Value.RoutingConfiguration::idleTimeoutMicros)
                        .orElse(0L),
                is(15 * SECOND));
    }

    @Test
    void allGatewaysTogetherRespectTheRateOfAWarmingUpWorker() {
        for (int i = 0; i < 19; i++) {
            peers.add(gateway("p" + i));
        }
        final List<Router> gateways = new ArrayList<>();
        final List<String> ids = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            gateways.add(new Router(
                    Router.Settings.DEFAULT, clusterSnapshot(), () -> new Stamp(1), new SplittableRandom(i)));
            ids.add(i == 19 ? "me" : "p" + i);
        }
        worker("w", "west", 60 * SECOND, false, 1);
        final Map<Long, Integer> seconds = new HashMap<>();
        for (int ms = 0; ms < 20_000; ms += 10) {
            now += 10 * MILLISECOND;
            for (int i = 0; i < gateways.size(); i++) {
                if (ms == 0) {
                    gateways.get(i).update(clusterSnapshot(ids.get(i), ids), now);
                }
                if ((ms / 10 + i) % 5 == 0) {
                    seconds.merge(now / SECOND, sendsOfOneRequest(gateways.get(i), ms * 100L + i), Integer::sum);
                }
            }
        }
        assertThat(seconds.values().stream().max(Integer::compare).orElseThrow(), lessThanOrEqualTo(18));
        assertThat(seconds.values().stream().mapToInt(Integer::intValue).sum(), greaterThan(40));
    }

    /** Returns the cluster as seen by one of the gateways. */
    private ClusterSnapshot clusterSnapshot(final String self, final List<String> gateways) {
        final ClusterSnapshot snapshot = clusterSnapshot();
        return new ClusterSnapshot(
                gateway(self),
                snapshot.revision(),
                snapshot.confirmedAt(),
                snapshot.policy(),
                snapshot.workers(),
                gateways.stream()
                        .filter(id -> !id.equals(self))
                        .map(RouterFixture::gateway)
                        .toList());
    }

    private int sendsOfOneRequest(final Router gateway, final long callId) {
        gateway.requestArrived(new RoutedRequest(callId, "a", "/once/x", "t", SECOND, List.of(), 1, 1), now);
        return (int) gateway.drainEffects().stream()
                .filter(RoutingEffect.StartAttempt.class::isInstance)
                .count();
    }

    @Test
    void requestsWithTheSameLargePrefixAreSentToTheSameWorker() {
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
    void aLongPromptIsNotSentToAWorkerThatDecodesManyStreams() {
        for (int i = 0; i < 4; i++) {
            worker("w" + i, "west", 0, false, 1);
        }
        final Set<String> decoders = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            final RoutingEffect.StartAttempt attempt = attemptIn(arrive("/once/x", List.of()));
            decoders.add(attempt.worker());
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
            assertThat(i < 4 || !decoders.contains(longAttempt.worker()), is(true));
            router.responseStarted(longAttempt.attemptId(), Optional.empty(), now);
            router.eventForwarded(longAttempt.attemptId(), now);
            router.responseCompleted(longAttempt.attemptId(), true, now);
            router.drainEffects();
            now += 100 * MILLISECOND;
        }
        assertThat(decoders.size(), lessThanOrEqualTo(3));
    }

    @Test
    void anUnreachableRegionGetsNoRequestsUntilAWorkerThereResponds() {
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
    void withoutAConfigurationRequestsAreRejected() {
        final Router unconfigured = new Router(
                Router.Settings.DEFAULT,
                new ClusterSnapshot(gateway("me"), 0, Optional.empty(), Policy.NONE, Map.of(), List.of()),
                () -> new Stamp(1),
                new SplittableRandom(1));
        unconfigured.requestArrived(new RoutedRequest(1, "a", "/once/x", "t", SECOND, List.of(), 1, 1), now);
        assertThat(rejectionIn(unconfigured.drainEffects()).statusCode(), is(503));
        assertThat(unconfigured.unreadyReason().isPresent(), is(true));
    }

    @Test
    void beforeTheFirstConfigurationClientsAreToldToRetryAfterOneToOneAndAHalfSeconds() {
        final Router unconfigured = new Router(
                Router.Settings.DEFAULT,
                new ClusterSnapshot(gateway("me"), 0, Optional.empty(), Policy.NONE, Map.of(), List.of()),
                () -> new Stamp(1),
                new SplittableRandom(1));
        for (int i = 1; i <= 50; i++) {
            unconfigured.requestArrived(new RoutedRequest(i, "a", "/once/x", "t" + i, SECOND, List.of(), 1, 1), now);
            final long retryAfter = rejectionIn(unconfigured.drainEffects()).retryAfter();
            assertThat(retryAfter, is(greaterThanOrEqualTo(SECOND)));
            assertThat(retryAfter, is(lessThan(3 * SECOND / 2)));
        }
    }
}
