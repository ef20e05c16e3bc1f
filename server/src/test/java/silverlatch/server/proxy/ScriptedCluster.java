package silverlatch.server.proxy;

import java.io.IOException;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.gossip.Gossip;
import silverlatch.routing.Router;
import silverlatch.routing.RoutingEffect;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.web.MultiListenerServer;
import silverlatch.state.Entry;
import silverlatch.state.Value;
import silverlatch.util.Digests;
import silverlatch.util.Threads;

/**
 * Scripted workers, a proxy whose router ticks every 10 ms on its own thread, and scripted clients, all on real sockets of the
 * loopback interface. One seed determines their behaviour. Closing the cluster stops all threads and workers.
 */
final class ScriptedCluster implements AutoCloseable {
    /** The maximum number of workers that a request is sent to. */
    static final int MAX_ATTEMPTS = 2;

    private static final int WORKERS = 6;
    private static final int CLIENTS = 12;
    private static final int CONNECTIONS_PER_CLIENT = 12;
    private static final int TICK_MILLIS = 10;
    private static final int LISTENER_THREADS = 16;
    private static final int MAX_HEADER_BYTES = 8_192;
    private static final int MAX_BODY_BYTES = 65_536;
    private static final int IDLE_TIMEOUT_MILLIS = 5_000;
    private static final long SHUTDOWN_SECONDS = 10;
    private static final Router.Settings ROUTER_SETTINGS = new Router.Settings(2_048, 1, Long.MAX_VALUE);

    private final long seed;
    private final ExchangeLog log = new ExchangeLog();
    private final List<ScriptedWorker> workers = new ArrayList<>();
    private final ScheduledExecutorService routerLoop =
            Executors.newSingleThreadScheduledExecutor(task -> Threads.daemon("router-loop", task));
    private final WorkerHttpClient workerClient;
    private final Router router;
    private final ProxyServer proxy;
    private final MultiListenerServer server = new MultiListenerServer(LISTENER_THREADS);
    private final int port;

    ScriptedCluster(final long seed, final Set<ProxySafeguard> disabledSafeguards) throws Exception {
        this.seed = seed;
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new ScriptedWorker("w" + i, seed, log));
        }
        workerClient = new WorkerHttpClient(WorkerHttpClient.Settings.DEFAULT, disabledSafeguards);
        workerClient.start();
        router = new Router(ROUTER_SETTINGS, snapshot(), () -> new Stamp(1), new SplittableRandom(seed));
        router.update(snapshot(), EventLoop.nowMicros());
        proxy = new ProxyServer(ProxyHeaderNames.DEFAULT, workerClient, this::post, disabledSafeguards);
        routerLoop.scheduleAtFixedRate(this::tick, TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
        port = ProxyFixture.freePort();
        server.addListener("127.0.0.1:" + port, MAX_HEADER_BYTES, IDLE_TIMEOUT_MILLIS, proxy);
        server.start();
    }

    /** Returns the record of what clients and workers sent and received. */
    ExchangeLog log() {
        return log;
    }

    /** Runs all clients, each on its own thread, and waits until they are done. */
    void runClients() throws InterruptedException {
        final SplittableRandom random = new SplittableRandom(seed);
        final List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            threads.add(Threads.startDaemon(
                    "scripted-client",
                    new ScriptedClient("s" + seed + "c" + i, port, CONNECTIONS_PER_CLIENT, random.nextLong(), log)));
        }
        for (final Thread thread : threads) {
            thread.join();
        }
    }

    @Override
    public void close() throws Exception {
        server.stop();
        workerClient.stop();
        routerLoop.shutdownNow();
        if (!routerLoop.awaitTermination(SHUTDOWN_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException("the router's thread did not end");
        }
        for (final ScriptedWorker worker : workers) {
            worker.close();
        }
    }

    private boolean post(final Consumer<Router> event) {
        routerLoop.execute(() -> {
            event.accept(router);
            applyEffects();
        });
        return true;
    }

    private void tick() {
        router.tick(EventLoop.nowMicros());
        applyEffects();
    }

    private void applyEffects() {
        router.drainEffects().stream()
                .filter(effect -> !(effect instanceof RoutingEffect.Log))
                .forEach(proxy::apply);
    }

    private ClusterSnapshot snapshot() {
        final Map<String, Gossip.ObservedWorker> observed = new HashMap<>();
        for (final ScriptedWorker worker : workers) {
            observed.put(worker.id, ProxySnapshots.observedWorker(worker.id, worker.port()));
        }
        return ProxySnapshots.of(
                1,
                new Value.RoutingConfiguration(1, MAX_HEADER_BYTES, MAX_BODY_BYTES, 1_000_000, 4_000_000),
                ProxySnapshots.pool(99),
                Arrays.stream(ExchangeLog.Kind.values())
                        .map(ScriptedCluster::route)
                        .toList(),
                observed,
                accessEntries(),
                EventLoop.nowMicros());
    }

    /** Returns entries that require keys and give each tenant one. */
    private static List<Entry> accessEntries() {
        final List<Entry> entries = new ArrayList<>();
        entries.add(new Entry("p/access", 1, List.of(new Value.AccessControl(true))));
        for (int i = 0; i < ExchangeLog.TENANTS; i++) {
            final String name = ExchangeLog.TENANT_PREFIX + i;
            final List<String> keyDigests = List.of(Digests.sha256Hex(ExchangeLog.KEY_PREFIX + i));
            entries.add(new Entry(
                    "n/" + name,
                    1,
                    List.of(new Value.TenantAccess(name, keyDigests, Value.TenantAccess.ROUTE_PRIORITY, List.of()))));
        }
        return entries;
    }

    private static Value.Route route(final ExchangeLog.Kind kind) {
        return new Value.Route(
                kind.prefix,
                ProxySnapshots.HOST,
                kind.prefix,
                kind != ExchangeLog.Kind.AGAIN,
                kind.stream,
                kind == ExchangeLog.Kind.RESUMABLE,
                false,
                5_000_000,
                200_000,
                100_000,
                0,
                MAX_ATTEMPTS,
                List.of(),
                List.of(new Value.WeightedBackend(ProxySnapshots.POOL, 1)));
    }
}
