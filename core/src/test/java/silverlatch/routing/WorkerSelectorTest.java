package silverlatch.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.is;

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

/** Which workers are eligible for a request, in which order, and which of them is chosen. */
final class WorkerSelectorTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 100 * SECOND;
    private final Map<String, Gossip.ObservedWorker> reports = new HashMap<>();
    private final WorkerTable workers = new WorkerTable(Router.Settings.DEFAULT_PREFIX_LIFETIME);
    private final WorkerSelector selector = new WorkerSelector(
            clusterSnapshot(),
            workers,
            new TrafficStatistics(),
            new WarmupLimiter(new GatewayCountWindow()),
            Router.Settings.DEFAULT,
            new SplittableRandom(5));

    private ClusterSnapshot clusterSnapshot() {
        return new ClusterSnapshot(
                new Member("me", "gateway", "west1", "west", "a", "b", 1, 0, "up", true),
                1,
                Optional.of(NOW),
                Policy.NONE,
                reports,
                List.of());
    }

    private void worker(final String id, final String pool, final long warmupRemaining) {
        final Worker worker = new Worker(
                id, id + ":1", "west1", "west", 1, 1, 0, 0, 8, List.of(), false, 0, pool, warmupRemaining, 0);
        reports.put(id, new Gossip.ObservedWorker(worker, Optional.of(NOW)));
        final Value.BackendPool configured = new Value.BackendPool(pool, "/health", 100, 3 * SECOND, 9, 128, 1, 5);
        final Policy policy = Policy.of(List.of(new Entry("b/" + pool, 1, List.of(configured))));
        workers.update(reports, NOW);
        selector.update(clusterSnapshot(), new RoutingTable(policy));
    }

    private static Value.Route route(final List<Value.WeightedBackend> backends) {
        return new Value.Route(
                "route", "a", "/", false, true, true, true, 15 * SECOND, 600_000, 400_000, 0, 2, List.of(), backends);
    }

    private static OpenRequest open(final String pool) {
        final RoutedRequest request = new RoutedRequest(1, "a", "/", "t", 15 * SECOND, List.of(), 100, 100);
        return new OpenRequest(request, route(List.of()), Optional.empty(), pool, NOW, new Stamp(1));
    }

    @Test
    void poolsAreDrawnByTheirWeights() {
        final Value.Route route = route(List.of(
                new Value.WeightedBackend("large", 70),
                new Value.WeightedBackend("none", 0),
                new Value.WeightedBackend("small", 30)));
        final Map<String, Integer> draws = new HashMap<>();
        for (int i = 0; i < 20_000; i++) {
            draws.merge(selector.drawPool(route), 1, Integer::sum);
        }
        assertThat(draws.keySet(), is(Set.of("large", "small")));
        assertThat(draws.get("small") / 20_000.0, closeTo(0.3, 0.02));
    }

    @Test
    void aRouteWithZeroWeightsUsesItsFirstPoolAndOneWithoutPoolsNone() {
        assertThat(
                selector.drawPool(
                        route(List.of(new Value.WeightedBackend("first", 0), new Value.WeightedBackend("second", 0)))),
                is("first"));
        assertThat(selector.drawPool(route(List.of())), is(""));
    }

    @Test
    void onlyWorkersOfThePoolThatHaveNotFailedTheRequestAreCandidates() {
        worker("other", "b", 0);
        worker("failed", "a", 0);
        worker("good", "a", 0);
        final OpenRequest open = open("a");
        open.startAttempt(1, "failed");
        open.markWorkerFailed();
        assertThat(
                selector.candidates(open, NOW).stream()
                        .map(candidate -> candidate.worker().id())
                        .toList(),
                is(List.of("good")));
        assertThat(selector.choose(open, List.of()), is(Optional.empty()));
    }

    @Test
    void anEjectedWorkerIsRankedLast() {
        worker("one", "a", 0);
        worker("two", "a", 0);
        workers.get("one").recordFailure(NOW);
        final List<Candidate> candidates = selector.candidates(open("a"), NOW);
        assertThat(candidates.get(0).worker().id(), is("two"));
        assertThat(candidates.get(1).isEjected(), is(true));
        for (int i = 0; i < 20; i++) {
            assertThat(
                    selector.choose(open("a"), candidates)
                            .orElseThrow()
                            .worker()
                            .id(),
                    is("two"));
        }
    }

    @Test
    void amongEqualWorkersOneOfTheTwoWithTheFewestAttemptsIsChosen() {
        for (final String id : List.of("idle1", "idle2", "loaded")) {
            worker(id, "a", 0);
        }
        final LatencyPredictor.Prediction prediction =
                new LatencyPredictor.Prediction(SECOND, SECOND, 0, new PoolLatencyModel.Features(1, 0, false, 0));
        workers.get("loaded").startAttempt(1, prediction, NOW);
        final Set<String> chosen = new HashSet<>();
        for (int i = 0; i < 50; i++) {
            chosen.add(selector.choose(open("a"), selector.candidates(open("a"), NOW))
                    .orElseThrow()
                    .worker()
                    .id());
        }
        assertThat(chosen, is(Set.of("idle1", "idle2")));
    }

    @Test
    void aWarmingUpWorkerIsACandidateOnlyAtItsPoolsWarmupRate() {
        worker("new", "a", 60 * SECOND);
        assertThat(selector.candidates(open("a"), NOW).size(), is(1));
        workers.get("new")
                .startAttempt(
                        1,
                        new LatencyPredictor.Prediction(
                                SECOND, SECOND, 0, new PoolLatencyModel.Features(1, 0, false, 0)),
                        NOW);
        assertThat(selector.candidates(open("a"), NOW + SECOND - 1).size(), is(0));
        assertThat(selector.candidates(open("a"), NOW + SECOND).size(), is(1));
    }
}
