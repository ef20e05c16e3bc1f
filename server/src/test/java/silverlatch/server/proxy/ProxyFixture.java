package silverlatch.server.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.net.InetAddress;
import java.net.InetSocketAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.gossip.Gossip;
import silverlatch.routing.Router;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.web.MultiListenerServer;
import silverlatch.state.Entry;
import silverlatch.state.Value;
import silverlatch.util.Threads;

/** Base class of tests with a proxy between stub workers and a client on real sockets; the router has its own thread. */
abstract class ProxyFixture {
    private static final long SHUTDOWN_SECONDS = 10;

    final ExecutorService routerLoop = Executors.newSingleThreadExecutor(task -> Threads.daemon("router-loop", task));
    final List<StubWorker> stubWorkers = new ArrayList<>();
    private final List<Integer> workerPorts = new ArrayList<>();
    final AtomicInteger postedEvents = new AtomicInteger();
    final AtomicReference<Runnable> beforeThirdEvent = new AtomicReference<>(() -> {});
    final AtomicReference<ProxyServer> proxy = new AtomicReference<>();
    WorkerHttpClient workerClient;
    MultiListenerServer httpServer;
    Router router;
    int port;

    @BeforeEach
    void startProxy() throws Exception {
        workerClient = new WorkerHttpClient(WorkerHttpClient.Settings.DEFAULT);
        workerClient.start();
        router = new Router(Router.Settings.DEFAULT, snapshot(1), () -> new Stamp(1), new SplittableRandom(5));
        proxy.set(new ProxyServer(ProxyHeaderNames.DEFAULT, workerClient, event -> {
            if (postedEvents.incrementAndGet() == 3) {
                beforeThirdEvent.get().run();
            }
            routerLoop.execute(() -> {
                event.accept(router);
                router.drainEffects().forEach(proxy.get()::apply);
            });
            return true;
        }));
        proxy.get().setMaxBodyBytes(4_096);
        port = freePort();
        httpServer = new MultiListenerServer(8);
        httpServer.addListener("127.0.0.1:" + port, 8_192, 5_000, proxy.get());
        httpServer.start();
    }

    @AfterEach
    void stopProxy() throws Exception {
        httpServer.stop();
        workerClient.stop();
        routerLoop.shutdownNow();
        if (!routerLoop.awaitTermination(SHUTDOWN_SECONDS, TimeUnit.SECONDS)) {
            throw new IOException("the router's thread did not end");
        }
        for (final StubWorker worker : stubWorkers) {
            worker.close();
        }
    }

    /** Starts a stub worker with a script and adds it to the router's snapshot. */
    StubWorker startWorker(final Function<String, String> script) throws IOException {
        final StubWorker started = new StubWorker(script);
        stubWorkers.add(started);
        addWorker(started.port());
        return started;
    }

    /** Adds a worker that the test runs itself to the router's snapshot. */
    void addWorker(final int workerPort) {
        workerPorts.add(workerPort);
        final ClusterSnapshot next = snapshot(workerPorts.size() + 1);
        routerLoop.execute(() -> router.update(next, EventLoop.nowMicros()));
    }

    ClusterSnapshot snapshot(final long revision) {
        final Map<String, Gossip.ObservedWorker> observed = new HashMap<>();
        for (int i = 0; i < workerPorts.size(); i++) {
            observed.put("w" + i, ProxySnapshots.observedWorker("w" + i, workerPorts.get(i)));
        }
        return ProxySnapshots.of(
                revision,
                new Value.RoutingConfiguration(1, 8_192, 4_096, 1_000_000, 1_000_000),
                ProxySnapshots.pool(10),
                List.of(route("/once/", false), route("/again/", true), plainRoute("/plain/")),
                observed,
                accessEntries(),
                confirmedAt());
    }

    /** Returns the entries for access control; without any, no key is required. */
    List<Entry> accessEntries() {
        return List.of();
    }

    /** Returns the time at which the configuration was confirmed as the newest. */
    long confirmedAt() {
        return 1;
    }

    /**
     * Waits until the proxy has no open request. A request remains open until the write of its response has completed, which may be
     * after the client has read the last byte.
     */
    void awaitNoOpenRequest(final long limitMs) throws InterruptedException {
        final long deadline = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(limitMs);
        while (proxy.get().openRequests() > 0 && System.nanoTime() < deadline) {
            Thread.sleep(1);
        }
        assertThat(proxy.get().openRequests(), is(0));
    }

    /** Returns a currently unused port of the loopback interface. */
    static int freePort() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            return socket.getLocalPort();
        }
    }

    static Value.Route route(final String path, final boolean resumable) {
        return new Value.Route(
                path,
                "a",
                path,
                true,
                true,
                resumable,
                true,
                5_000_000,
                600_000,
                400_000,
                0,
                2,
                List.of(),
                List.of(new Value.WeightedBackend("pool", 1)));
    }

    /** Returns a route whose responses aren't streams and whose requests may not be repeated. */
    static Value.Route plainRoute(final String path) {
        return new Value.Route(
                path,
                "a",
                path,
                true,
                false,
                false,
                true,
                5_000_000,
                600_000,
                400_000,
                0,
                2,
                List.of(),
                List.of(new Value.WeightedBackend("pool", 1)));
    }

    String post(final String path, final String extraHeaders, final String body) throws IOException {
        return sendRaw("POST " + path
                + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nSilverlatch-Ticket: t-1\r\nSilverlatch-Expiry-Ms: 4000\r\n"
                + extraHeaders + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    /** Sends the text of a request and returns all that is received until the connection ends; a reset appends "RESET". */
    String sendRaw(final String request) throws IOException {
        try (Socket socket = new Socket()) {
            socket.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            socket.setSoTimeout(10_000);
            final OutputStream out = socket.getOutputStream();
            out.write(request.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            final ByteArrayOutputStream all = new ByteArrayOutputStream();
            try {
                socket.getInputStream().transferTo(all);
            } catch (final IOException failure) {
                all.writeBytes("RESET".getBytes(StandardCharsets.ISO_8859_1));
            }
            return all.toString(StandardCharsets.ISO_8859_1);
        }
    }
}
