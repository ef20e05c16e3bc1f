package silverlatch.server.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.ArrayList;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.membership.Member;
import silverlatch.routing.Router;
import silverlatch.routing.RoutingEffect;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.web.MultiListenerServer;
import silverlatch.state.Entry;
import silverlatch.state.Policy;
import silverlatch.state.Value;
import silverlatch.util.Threads;

/**
 * Scripted clients and workers around the proxy, drawn by seed, and a checker that knows what each of them sent. More seeds
 * run with {@code -Dsilverlatch.scripted.seeds=N}, from another one on with {@code -Dsilverlatch.scripted.first=N}.
 */
final class ScriptedWorkersTest {
    private static final int WORKERS = 6;
    private static final int CLIENTS = 12;
    private static final int ROUNDS = 12;
    private static final int MAX_ATTEMPTS = 2;
    private static final int FIRST_SEED = Integer.getInteger("silverlatch.scripted.first", 1);
    private static final int SEEDS = Integer.getInteger("silverlatch.scripted.seeds", 3);
    private static final int MUTANT_SEEDS = 20;

    @Test
    void noResponseReachesAnotherCallerAndNothingRunsTwice() throws Exception {
        final Set<ScriptedWorker.Behaviour> met = EnumSet.noneOf(ScriptedWorker.Behaviour.class);
        for (int seed = FIRST_SEED; seed < FIRST_SEED + SEEDS; seed++) {
            final ExchangeLog log = play(seed, ProxySafeguard.NONE_DISABLED);
            assertThat("seed " + seed, new ExchangeChecker(log, MAX_ATTEMPTS).check(), is(empty()));
            assertThat("successes of seed " + seed, successes(log), greaterThan(log.attempts.size() / 5L));
            log.runs.forEach(run -> met.add(run.behaviour()));
        }
        assertThat(met, is(EnumSet.allOf(ScriptedWorker.Behaviour.class)));
    }

    @ParameterizedTest
    @CsvSource({
        "REQUEST_ID_ECHO, MIXED",
        "SENT_MAY_BE_EXECUTED, TWICE",
        "LEFTOVER_BYTES, REUSED",
        "SELF_DELIMITED_BODY, MIXED",
        "NOT_EXECUTED_STATEMENT, REFUSED",
        "HEAD_RESET, MIXED",
        "SEAL, MIXED"
    })
    void theCheckerDetectsADisabledSafeguard(final ProxySafeguard safeguard, final String rule) throws Exception {
        boolean noticed = false;
        for (int seed = 1; seed <= MUTANT_SEEDS && !noticed; seed++) {
            noticed = new ExchangeChecker(play(seed, Set.of(safeguard)), MAX_ATTEMPTS)
                    .check().stream().anyMatch(broken -> broken.startsWith(rule + ":"));
        }
        assertThat(noticed, is(true));
    }

    private static long successes(final ExchangeLog log) {
        return log.responses.stream()
                .map(ExchangeLog.Received::message)
                .filter(m -> m.end() == HttpResponseReader.End.COMPLETE && m.status() == 200)
                .count();
    }

    private static ExchangeLog play(final long seed, final Set<ProxySafeguard> disabledSafeguards) throws Exception {
        final ExchangeLog log = new ExchangeLog();
        final List<ScriptedWorker> workers = new ArrayList<>();
        for (int i = 0; i < WORKERS; i++) {
            workers.add(new ScriptedWorker("w" + i, seed, log));
        }
        final WorkerHttpClient client = new WorkerHttpClient(WorkerHttpClient.Settings.DEFAULT, disabledSafeguards);
        client.start();
        final int port = freePort();
        final MultiListenerServer httpServer = new MultiListenerServer(16);
        try (RoutedProxy routed = new RoutedProxy(seed, facts(workers), client, disabledSafeguards)) {
            httpServer.addListener("127.0.0.1:" + port, 8_192, 5_000, routed.proxy);
            httpServer.start();
            try {
                clients(port, seed, log);
            } finally {
                httpServer.stop();
                client.stop();
            }
        } finally {
            for (final ScriptedWorker worker : workers) {
                worker.close();
            }
        }
        return log;
    }

    /** A router on a thread of its own, and the proxy that carries out what it decides. */
    private static final class RoutedProxy implements AutoCloseable {
        private static final long TICK_MS = 10;
        private final ScheduledExecutorService loop = Executors.newSingleThreadScheduledExecutor();
        private final Router router;
        private final ProxyServer proxy;

        RoutedProxy(
                final long seed,
                final ClusterSnapshot snapshot,
                final WorkerHttpClient client,
                final Set<ProxySafeguard> disabledSafeguards) {
            router = new Router(
                    new Router.Settings(2_048, 1, Long.MAX_VALUE),
                    snapshot,
                    () -> new Stamp(1),
                    new SplittableRandom(seed));
            router.update(snapshot, EventLoop.nowMicros());
            proxy = new ProxyServer(ProxyHeaderNames.DEFAULT, client, this::post, disabledSafeguards);
            loop.scheduleAtFixedRate(this::tick, TICK_MS, TICK_MS, TimeUnit.MILLISECONDS);
        }

        private boolean post(final Consumer<Router> event) {
            loop.execute(() -> {
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

        @Override
        public void close() {
            loop.shutdownNow();
        }
    }

    private static void clients(final int port, final long seed, final ExchangeLog log) throws InterruptedException {
        final SplittableRandom random = new SplittableRandom(seed);
        final List<Thread> threads = new ArrayList<>();
        for (int i = 0; i < CLIENTS; i++) {
            threads.add(Threads.startDaemon(
                    "scripted-client", new ScriptedClient("s" + seed + "c" + i, port, ROUNDS, random.nextLong(), log)));
        }
        for (final Thread thread : threads) {
            thread.join();
        }
    }

    private static int freePort() throws Exception {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    private static ClusterSnapshot facts(final List<ScriptedWorker> workers) {
        final Map<String, Gossip.ObservedWorker> heard = new HashMap<>();
        for (final ScriptedWorker worker : workers) {
            heard.put(
                    worker.id,
                    new Gossip.ObservedWorker(
                            new Worker(
                                    worker.id,
                                    "127.0.0.1:" + worker.port(),
                                    "z",
                                    "r",
                                    1,
                                    1,
                                    0,
                                    0,
                                    8,
                                    List.of(),
                                    false,
                                    0,
                                    "pool",
                                    0,
                                    0),
                            Optional.of(EventLoop.nowMicros())));
        }
        final List<Entry> entries = new ArrayList<>();
        entries.add(new Entry(
                "p/charter", 1, List.of(new Value.RoutingConfiguration(1, 8_192, 65_536, 1_000_000, 4_000_000))));
        entries.add(new Entry("b/pool", 1, List.of(new Value.BackendPool("pool", "/health", 99, 0, 9, 8, 1_000, 5))));
        for (final ExchangeLog.Kind kind : ExchangeLog.Kind.values()) {
            entries.add(new Entry("u/a|" + kind.prefix, 1, List.of(route(kind))));
        }
        return new ClusterSnapshot(
                new Member("me", "gateway", "z", "r", "127.0.0.1:1", "127.0.0.1:2", 1, 0, "up", true),
                1,
                Optional.of(1L),
                Policy.of(entries),
                heard,
                List.of());
    }

    private static Value.Route route(final ExchangeLog.Kind kind) {
        return new Value.Route(
                kind.prefix,
                "a",
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
                List.of(new Value.WeightedBackend("pool", 1)));
    }
}
