package silverlatch.server.proxy;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.membership.Member;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.state.Entry;
import silverlatch.state.Policy;
import silverlatch.state.Value;

/** Creates cluster snapshots for the router in the proxy's tests: one gateway, the host "a" and one backend pool. */
final class ProxySnapshots {
    /** The backend pool of all workers and routes. */
    static final String POOL = "pool";

    /** The host of all routes. */
    static final String HOST = "a";

    private static final int WORKER_SLOTS = 8;

    private ProxySnapshots() {}

    /** Returns a worker of the pool on the loopback interface, whose report was received just now. */
    static Gossip.ObservedWorker observedWorker(final String id, final int port) {
        final Worker worker = new Worker(
                id, "127.0.0.1:" + port, "z", "r", 1, 1, 0, 0, WORKER_SLOTS, List.of(), false, 0, POOL, 0, 0);
        return new Gossip.ObservedWorker(worker, Optional.of(EventLoop.nowMicros()));
    }

    /** Returns the pool with a maximum number of connections to each worker. */
    static Value.BackendPool pool(final int maxConnections) {
        return new Value.BackendPool(POOL, "/health", maxConnections, 0, 9, 8, 1_000, 5);
    }

    /** Returns the snapshot of a gateway with this configuration and these workers by id. */
    static ClusterSnapshot of(
            final long revision,
            final Value.RoutingConfiguration configuration,
            final Value.BackendPool pool,
            final List<Value.Route> routes,
            final Map<String, Gossip.ObservedWorker> workers) {
        return of(revision, configuration, pool, routes, workers, List.of(), 1);
    }

    /** Returns such a snapshot with further entries, whose configuration was confirmed as the newest at a time. */
    static ClusterSnapshot of(
            final long revision,
            final Value.RoutingConfiguration configuration,
            final Value.BackendPool pool,
            final List<Value.Route> routes,
            final Map<String, Gossip.ObservedWorker> workers,
            final List<Entry> furtherEntries,
            final long confirmedAt) {
        final List<Entry> entries = new ArrayList<>(furtherEntries);
        entries.add(new Entry("p/charter", 1, List.of(configuration)));
        entries.add(new Entry("b/" + POOL, 1, List.of(pool)));
        for (final Value.Route route : routes) {
            entries.add(new Entry("u/" + HOST + "|" + route.pathPrefix(), 1, List.of(route)));
        }
        return new ClusterSnapshot(
                new Member("me", "gateway", "z", "r", "127.0.0.1:1", "127.0.0.1:2", 1, 0, "up", true),
                revision,
                Optional.of(confirmedAt),
                Policy.of(entries),
                workers,
                List.of());
    }
}
