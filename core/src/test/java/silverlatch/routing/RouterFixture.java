package silverlatch.routing;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.membership.Member;
import silverlatch.state.Entry;
import silverlatch.state.Policy;
import silverlatch.state.Value;

/** A router of one gateway with scripted workers and a fake clock. */
abstract class RouterFixture {
    static final long MILLISECOND = 1_000;
    static final long SECOND = 1_000_000;
    final Map<String, Worker> workers = new HashMap<>();
    final List<Member> peers = new ArrayList<>();
    final List<Entry> entries = new ArrayList<>();
    long revision = 1;
    long now = 100 * SECOND;
    long lastCallId;
    final Router router =
            new Router(Router.Settings.DEFAULT, clusterSnapshot(), () -> new Stamp(1), new SplittableRandom(7));

    RouterFixture() {
        entries.add(new Entry(
                "p/charter", 1, List.of(new Value.RoutingConfiguration(1, 16_384, 1 << 20, 3 * SECOND, 15 * SECOND))));
        entries.add(new Entry(
                "b/pool", 1, List.of(new Value.BackendPool("pool", "/health", 100, 3 * SECOND, 9, 128, 100_000, 5))));
        entries.add(new Entry("u/a|/once/", 1, List.of(route("once", "/once/", true, false, 2, List.of()))));
        entries.add(new Entry("u/a|/again/", 1, List.of(route("again", "/again/", true, true, 2, List.of("west")))));
        entries.add(new Entry("u/a|/", 1, List.of(route("all", "/", true, false, 1, List.of()))));
    }

    /** Whether a controller has confirmed the gateway's configuration. */
    boolean isConfirmed = true;

    static Value.Route route(
            final String name,
            final String path,
            final boolean atMostOnce,
            final boolean resumable,
            final int maxAttempts,
            final List<String> homeRegions) {
        return new Value.Route(
                name,
                "a",
                path,
                atMostOnce,
                true,
                resumable,
                true,
                15 * SECOND,
                600 * MILLISECOND,
                400 * MILLISECOND,
                0,
                maxAttempts,
                homeRegions,
                List.of(new Value.WeightedBackend("pool", 1)));
    }

    static Member gateway(final String id) {
        return new Member(id, "gateway", "w1", "west", "10.0.0.1:1", "10.0.0.1:2", 1, 0, "up", true);
    }

    ClusterSnapshot clusterSnapshot() {
        final Map<String, Gossip.ObservedWorker> reports = new HashMap<>();
        workers.forEach((k, w) -> reports.put(k, new Gossip.ObservedWorker(w, Optional.of(now))));
        return new ClusterSnapshot(
                gateway("me"),
                revision,
                isConfirmed ? Optional.of(now) : Optional.empty(),
                Policy.of(entries),
                reports,
                peers);
    }

    void worker(
            final String id,
            final String region,
            final long warmupRemaining,
            final boolean draining,
            final long sequence) {
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
                        draining,
                        0,
                        "pool",
                        warmupRemaining,
                        0));
        refreshReports();
    }

    void refreshReports() {
        revision++;
        router.update(clusterSnapshot(), now);
    }

    List<RoutingEffect> arrive(final String path, final List<RoutedRequest.PromptPart> parts) {
        router.requestArrived(
                new RoutedRequest(++lastCallId, "A:80", path, "t" + lastCallId, 15 * SECOND, parts, 100, 100), now);
        return router.drainEffects();
    }

    RoutingEffect.StartAttempt attemptIn(final List<RoutingEffect> effects) {
        return effects.stream()
                .filter(RoutingEffect.StartAttempt.class::isInstance)
                .map(RoutingEffect.StartAttempt.class::cast)
                .findFirst()
                .orElseThrow();
    }

    static RoutingEffect.Reject rejectionIn(final List<RoutingEffect> effects) {
        return effects.stream()
                .filter(RoutingEffect.Reject.class::isInstance)
                .map(RoutingEffect.Reject.class::cast)
                .findFirst()
                .orElseThrow();
    }
}
