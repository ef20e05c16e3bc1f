package silverlatch.server.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.InputStream;
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
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicReference;
import java.util.function.Function;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.membership.Member;
import silverlatch.routing.Router;
import silverlatch.routing.RoutingEffect;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.web.ApiServer;
import silverlatch.server.web.MultiListenerServer;
import silverlatch.state.Entry;
import silverlatch.state.Policy;
import silverlatch.state.Value;
import silverlatch.util.Threads;

/** The gate between scripted consumers and scripted workers. */
final class ProxyServerTest {
    private static final String CHUNKED = "Transfer-Encoding: chunked\r\nContent-Type: text/event-stream\r\n";
    private final ExecutorService routerLoop = Executors.newSingleThreadExecutor();
    private final List<StubWorker> stubWorkers = new ArrayList<>();
    private final AtomicInteger postedEvents = new AtomicInteger();
    private final AtomicReference<Runnable> beforeThirdEvent = new AtomicReference<>(() -> {});
    private final AtomicReference<ProxyServer> proxy = new AtomicReference<>();
    private WorkerHttpClient workerClient;
    private MultiListenerServer doors;
    private Router router;
    private int port;

    /** A worker that replies by a script: bytes, and then it closes where the script ends with a bar. */
    private final class StubWorker {
        private final ServerSocket server;
        private final List<String> received = new CopyOnWriteArrayList<>();
        private final AtomicInteger connections = new AtomicInteger();
        private final Function<String, String> script;

        StubWorker(final Function<String, String> script) throws IOException {
            this.script = script;
            this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
            Threads.startDaemon("scripted-peer", this::run);
        }

        private void run() {
            while (!server.isClosed()) {
                try {
                    final Socket socket = server.accept();
                    connections.incrementAndGet();
                    Threads.startDaemon("scripted-peer", () -> serve(socket));
                } catch (final IOException failure) {
                    return;
                }
            }
        }

        private void serve(final Socket socket) {
            try (Socket connection = socket) {
                while (true) {
                    final String request = read(connection.getInputStream());
                    received.add(request);
                    final String reply = script.apply(request);
                    final boolean close = reply.endsWith("|");
                    connection
                            .getOutputStream()
                            .write((close ? reply.substring(0, reply.length() - 1) : reply)
                                    .getBytes(StandardCharsets.ISO_8859_1));
                    connection.getOutputStream().flush();
                    if (close) {
                        return;
                    }
                }
            } catch (final IOException failure) {
                Thread.yield();
            }
        }
    }

    private static String read(final InputStream in) throws IOException {
        final ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (!all.toString(StandardCharsets.ISO_8859_1).contains("\r\n\r\n")) {
            final int next = in.read();
            if (next < 0) {
                throw new IOException("gone");
            }
            all.write(next);
        }
        final String head = all.toString(StandardCharsets.ISO_8859_1);
        final Optional<Integer> size = head.lines()
                .filter(l -> l.toLowerCase(java.util.Locale.ROOT).startsWith("content-length:"))
                .map(l -> Integer.parseInt(l.substring(15).strip()))
                .findFirst();
        return head + new String(in.readNBytes(size.orElse(0)), StandardCharsets.ISO_8859_1);
    }

    private static String header(final String request, final String name) {
        return request.lines()
                .filter(l ->
                        l.toLowerCase(java.util.Locale.ROOT).startsWith(name.toLowerCase(java.util.Locale.ROOT) + ":"))
                .map(l -> l.substring(name.length() + 1).strip())
                .findFirst()
                .orElse("");
    }

    private static String good(final String request) {
        return "HTTP/1.1 200 OK\r\nSilverlatch-Ticket: " + header(request, "Silverlatch-Ticket")
                + "\r\nSilverlatch-Seal: s\r\n";
    }

    private static String chunk(final String text) {
        return Integer.toHexString(text.length()) + "\r\n" + text + "\r\n";
    }

    private static String event(final int id) {
        return chunk("id: " + id + "\ndata: piece " + id + "\n\n");
    }

    @BeforeEach
    void open() throws Exception {
        workerClient = new WorkerHttpClient(WorkerHttpClient.Settings.DEFAULT);
        workerClient.start();
        router = new Router(Router.Settings.DEFAULT, facts(1), () -> new Stamp(1), new SplittableRandom(5));
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
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = socket.getLocalPort();
        }
        doors = new MultiListenerServer(8);
        doors.addListener("127.0.0.1:" + port, 8_192, 5_000, proxy.get());
        doors.start();
    }

    @AfterEach
    void shut() throws ApiServer.HttpServerException, WorkerHttpClient.WorkerHttpClientException, IOException {
        doors.stop();
        workerClient.stop();
        routerLoop.shutdownNow();
        for (final StubWorker worker : stubWorkers) {
            worker.server.close();
        }
    }

    private StubWorker startWorker(final Function<String, String> script) throws IOException {
        final StubWorker started = new StubWorker(script);
        stubWorkers.add(started);
        final ClusterSnapshot next = facts(stubWorkers.size() + 1);
        routerLoop.execute(() -> router.update(next, EventLoop.nowMicros()));
        return started;
    }

    private ClusterSnapshot facts(final long revision) {
        final Map<String, Gossip.ObservedWorker> heard = new HashMap<>();
        for (int i = 0; i < stubWorkers.size(); i++) {
            heard.put(
                    "w" + i,
                    new Gossip.ObservedWorker(
                            new Worker(
                                    "w" + i,
                                    "127.0.0.1:" + stubWorkers.get(i).server.getLocalPort(),
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
        final List<Entry> all = List.of(
                new Entry(
                        "p/charter", 1, List.of(new Value.RoutingConfiguration(1, 8_192, 4_096, 1_000_000, 1_000_000))),
                new Entry("b/pool", 1, List.of(new Value.BackendPool("pool", "/health", 10, 0, 9, 8, 1_000, 5))),
                new Entry("u/a|/once/", 1, List.of(route("/once/", false))),
                new Entry("u/a|/again/", 1, List.of(route("/again/", true))));
        return new ClusterSnapshot(
                new Member("me", "gateway", "z", "r", "127.0.0.1:1", "127.0.0.1:2", 1, 0, "up", true),
                revision,
                Optional.of(1L),
                Policy.of(all),
                heard,
                List.of());
    }

    private static Value.Route route(final String path, final boolean resumable) {
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

    private String post(final String path, final String more, final String body) throws IOException {
        return sendRaw("POST " + path
                + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nSilverlatch-Ticket: t-1\r\nSilverlatch-Expiry-Ms: 4000\r\n"
                + more + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private String sendRaw(final String request) throws IOException {
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

    @Test
    void aRequestAndItsResponsePassUnchanged() throws IOException {
        final StubWorker worker =
                startWorker(r -> good(r) + CHUNKED + "X-Own: 1\r\n\r\n" + event(1) + event(2) + "0\r\n\r\n");
        final String reply =
                post("/once/a%20b?q=1&r=%2F", "X-Other: kept\r\nSilverlatch-Worker: forged\r\n", "the body");
        assertThat(reply, startsWith("HTTP/1.1 200"));
        assertThat(reply, containsString("Silverlatch-Seal: s"));
        assertThat(reply, containsString("X-Own: 1"));
        assertThat(reply, containsString("piece 2"));
        assertThat(reply.endsWith("0\r\n\r\n"), is(true));
        final String asked = worker.received.get(0);
        assertThat(asked, startsWith("POST /once/a%20b?q=1&r=%2F HTTP/1.1\r\n"));
        assertThat(header(asked, "Host"), is("a"));
        assertThat(header(asked, "X-Other"), is("kept"));
        assertThat(header(asked, "Silverlatch-Worker"), is("w0"));
        assertThat(header(asked, "Silverlatch-Rank"), is("0"));
        assertThat(Integer.parseInt(header(asked, "Silverlatch-Expiry-Ms")) <= 4_000, is(true));
        assertThat(asked.endsWith("\r\n\r\nthe body"), is(true));
    }

    @Test
    void anotherRequestsResponseIsNotForwarded() throws IOException {
        startWorker(
                r ->
                        "HTTP/1.1 200 OK\r\nSilverlatch-Ticket: other\r\nSilverlatch-Seal: s\r\nContent-Length: 6\r\n\r\nsecret");
        final String reply = post("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 502"));
        assertThat(reply, not(containsString("secret")));
    }

    @Test
    void aSuccessWithoutASealIsNotForwarded() throws IOException {
        startWorker(r -> "HTTP/1.1 200 OK\r\nSilverlatch-Ticket: t-1\r\nContent-Length: 6\r\n\r\nforged");
        assertThat(post("/once/x", "", "b"), startsWith("HTTP/1.1 502"));
    }

    @Test
    void aTruncatedResponseNeverLooksComplete() throws IOException {
        startWorker(r -> good(r) + CHUNKED + "\r\n" + event(1) + "|");
        final String reply = post("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 200"));
        assertThat(reply, not(containsString("\r\n0\r\n\r\n")));
    }

    @Test
    void aResumableStreamResumesAtAnotherWorkerAfterTheLastCompleteEvent() throws IOException {
        final Function<String, String> script = r -> header(r, "Last-Event-Id").isEmpty()
                ? good(r).replace("Seal: s", "Seal: first") + CHUNKED + "\r\n" + event(1) + event(2)
                        + chunk("id: 3\ndata: torn") + "|"
                : good(r) + CHUNKED + "\r\n" + event(3) + event(4) + "0\r\n\r\n";
        final StubWorker one = startWorker(script);
        final StubWorker two = startWorker(script);
        final String reply = post("/again/x", "", "b");
        assertThat(reply, containsString("Silverlatch-Seal: first"));
        assertThat(reply.split("piece", -1).length - 1, is(4));
        assertThat(reply, not(containsString("torn")));
        assertThat(reply.endsWith("0\r\n\r\n"), is(true));
        final List<String> all = new ArrayList<>(one.received);
        all.addAll(two.received);
        assertThat(all.stream().map(r -> header(r, "Last-Event-Id")).sorted().toList(), is(List.of("", "2")));
    }

    @Test
    void aCancelledExchangeForwardsNothingMore() throws IOException {
        final StubWorker one = startWorker(r -> good(r) + CHUNKED + "\r\n" + event(1) + event(2) + "0\r\n\r\n");
        final StubWorker other =
                new StubWorker(r -> good(r) + CHUNKED + "\r\n" + event(1) + event(2) + event(3) + "0\r\n\r\n");
        stubWorkers.add(other);
        beforeThirdEvent.set(() -> proxy.get()
                .apply(new RoutingEffect.StartAttempt(
                        1, 99, "w1", "127.0.0.1:" + other.server.getLocalPort(), 3_000_000, 0, false, true)));
        final String reply = post("/again/x", "", "b");
        assertThat(one.received.size(), is(1));
        assertThat(header(other.received.get(0), "Last-Event-Id"), is(""));
        assertThat(reply.split("piece 1\n", -1).length - 1, is(1));
        assertThat(reply.split("piece 2\n", -1).length - 1, is(1));
        assertThat(reply.split("piece 3\n", -1).length - 1, is(1));
        assertThat(reply.endsWith("0\r\n\r\n"), is(true));
    }

    @Test
    void aRequestThatWasNotExecutedIsRetriedElsewhereAndRejectedAfterThat() throws IOException {
        final StubWorker full = startWorker(r -> "HTTP/1.1 503 Full\r\nSilverlatch-Ticket: "
                + header(r, "Silverlatch-Ticket") + "\r\nSilverlatch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        final String rejection = post("/once/x", "", "b");
        assertThat(rejection, startsWith("HTTP/1.1 503"));
        assertThat(header(rejection, "Retry-After").isEmpty(), is(false));
        assertThat(full.received.size(), is(1));
        final StubWorker other = startWorker(r -> "HTTP/1.1 421 Other\r\nSilverlatch-Ticket: "
                + header(r, "Silverlatch-Ticket") + "\r\nContent-Length: 0\r\n\r\n");
        assertThat(post("/once/x", "", "b"), startsWith("HTTP/1.1 503"));
        assertThat(full.received.size() + other.received.size() <= 3, is(true));
    }

    @Test
    void aWorkersOwnFailureIsForwardedUnchanged() throws IOException {
        startWorker(r -> "HTTP/1.1 500 Broken\r\nSilverlatch-Ticket: t-1\r\nX-Own: 7\r\nContent-Length: 4\r\n\r\nwhy?");
        final String reply = post("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 500"));
        assertThat(reply, containsString("X-Own: 7"));
        assertThat(reply.endsWith("why?"), is(true));
    }

    @Test
    void bytesThatAreNoHttpAreNotForwarded() throws IOException {
        startWorker(r -> "this is no HTTP\r\n\r\n|");
        final String reply = post("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 502"));
        assertThat(reply, not(containsString("no HTTP")));
    }

    @Test
    void badRequestsEndTheirConnectionAndReachNoWorker() throws IOException {
        final StubWorker worker = startWorker(r -> good(r) + "Content-Length: 0\r\n\r\n");
        assertThat(
                sendRaw("POST /once/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"),
                startsWith("HTTP/1.1 400"));
        assertThat(
                sendRaw(
                        "POST /once/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
                startsWith("HTTP/1.1 400"));
        assertThat(
                sendRaw("POST /once/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\n\r\n"),
                startsWith("HTTP/1.1 400"));
        assertThat(
                sendRaw("POST /once/x HTTP/1.1\r\nHost: a\r\nX-Bad: a\0b\r\nContent-Length: 0\r\n\r\n"),
                startsWith("HTTP/1.1 400"));
        assertThat(
                sendRaw("POST /once/x HTTP/1.1\r\nHost: a\r\nX-Long: " + "x".repeat(9_000) + "\r\n\r\n"),
                startsWith("HTTP/1.1 431"));
        assertThat(post("/once/x", "", "x".repeat(5_000)), startsWith("HTTP/1.1 413"));
        assertThat(post("/nowhere/x", "", "b"), startsWith("HTTP/1.1 404"));
        assertThat(worker.received.size(), is(0));
    }

    private static String failure(final String request, final String status, final String more) {
        return "HTTP/1.1 " + status + "\r\nSilverlatch-Ticket: " + header(request, "Silverlatch-Ticket")
                + "\r\nSilverlatch-Seal: s\r\n" + more + "Content-Length: 0\r\n\r\n";
    }

    @Test
    void aRejectionWithoutTheRequestIdIsNotTrusted() throws IOException {
        final StubWorker worker =
                startWorker(request -> "HTTP/1.1 503 Full\r\nSilverlatch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        assertThat(post("/once/x", "", "b"), startsWith("HTTP/1.1 502"));
        assertThat(worker.received.size(), is(1));
    }

    @Test
    void aMisdirectedResponseWithoutTheRequestIdIsNotTrusted() throws IOException {
        final Function<String, String> script = request -> "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n";
        final StubWorker first = startWorker(script);
        final StubWorker second = startWorker(script);
        assertThat(post("/once/x", "", "b"), startsWith("HTTP/1.1 502"));
        assertThat(first.received.size() + second.received.size(), is(1));
    }

    @Test
    void aResponseWithTwoRequestIdsIsNotForwarded() throws IOException {
        startWorker(request -> good(request) + "Silverlatch-Ticket: other\r\nContent-Length: 6\r\n\r\nsecret");
        final String reply = post("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 502"));
        assertThat(reply, not(containsString("secret")));
    }

    @Test
    void aRequestWithoutARequestIdReachesNoWorker() throws IOException {
        final StubWorker worker = startWorker(request -> good(request) + "Content-Length: 0\r\n\r\n");
        assertThat(
                sendRaw("POST /once/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
                startsWith("HTTP/1.1 400"));
        assertThat(worker.received.size(), is(0));
    }

    @Test
    void aRetryableStatusWithoutNotExecutedIsNotForwarded() throws IOException {
        for (final String status : List.of("503 Ill", "429 Ill", "408 Ill")) {
            startWorker(request -> failure(request, status, ""));
            final String reply = post("/once/x", "", "b");
            assertThat(reply, startsWith("HTTP/1.1 502"));
            assertThat(reply, not(containsString("Silverlatch-Seal")));
        }
    }

    @Test
    void aResponseThatBreaksBeforeItsFirstByteIsAFailureWithoutASeal() throws IOException {
        startWorker(request -> good(request) + "Content-Length: 6\r\n\r\n|");
        final String reply = post("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 502"));
        assertThat(reply, not(containsString("Silverlatch-Seal")));
    }

    @Test
    void aResponseThatBreaksBeforeItsFirstByteIsReplacedWithTheNextWorkersSeal() throws IOException {
        final AtomicInteger runs = new AtomicInteger();
        final Function<String, String> script = request -> runs.incrementAndGet() == 1
                ? good(request).replace("Seal: s", "Seal: first") + CHUNKED + "\r\n" + chunk("id: 1\ndata: torn") + "|"
                : good(request).replace("Seal: s", "Seal: second") + CHUNKED + "\r\n" + event(1) + "0\r\n\r\n";
        startWorker(script);
        startWorker(script);
        final String reply = post("/again/x", "", "b");
        assertThat(reply, containsString("Silverlatch-Seal: second"));
        assertThat(reply, not(containsString("Silverlatch-Seal: first")));
        assertThat(reply.endsWith("0\r\n\r\n"), is(true));
    }

    @Test
    void aStreamWithoutEventIdsIsNotResumed() throws IOException {
        final Function<String, String> script =
                request -> good(request) + CHUNKED + "\r\n" + chunk("data: piece 1\n\n") + "|";
        final StubWorker first = startWorker(script);
        final StubWorker second = startWorker(script);
        final String reply = post("/again/x", "", "b");
        assertThat(reply.split("piece", -1).length - 1, is(1));
        assertThat(reply, not(containsString("\r\n0\r\n\r\n")));
        assertThat(first.received.size() + second.received.size(), is(1));
    }

    @Test
    void aSuccessDelimitedByConnectionCloseIsNotForwarded() throws IOException {
        startWorker(request -> good(request) + "Connection: close\r\n\r\nhalf a bo|");
        final String reply = post("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 502"));
        assertThat(reply, not(containsString("half")));
    }

    @Test
    void aSuccessWithTwoFramingsIsNotForwarded() throws IOException {
        startWorker(request ->
                good(request) + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
        assertThat(post("/once/x", "", "b"), startsWith("HTTP/1.1 502"));
    }

    @Test
    void aFailureWithATooLargeBodyIsReplaced() throws IOException {
        startWorker(request ->
                "HTTP/1.1 500 Broken\r\nSilverlatch-Ticket: t-1\r\nSilverlatch-Seal: s\r\nContent-Length: 400000\r\n\r\n"
                        + "x".repeat(400_000));
        final String reply = post("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 502"));
        assertThat(reply, not(containsString("Silverlatch-Seal")));
    }

    @Test
    void interimResponsesAreNotForwarded() throws IOException {
        startWorker(request -> "HTTP/1.1 100 Continue\r\nSilverlatch-Ticket: t-1\r\n\r\n" + good(request)
                + "Content-Length: 4\r\n\r\nbody");
        final String reply = post("/once/x", "", "b");
        assertThat(reply.startsWith("HTTP/1.1 200") || reply.startsWith("HTTP/1.1 502"), is(true));
        startWorker(request -> "HTTP/1.1 101 Switching Protocols\r\nSilverlatch-Ticket: t-1\r\nUpgrade: x\r\n\r\n|");
        assertThat(post("/again/x", "", "b"), not(containsString("HTTP/1.1 101")));
    }

    @Test
    void bytesAfterAResponseCloseItsConnection() throws IOException {
        final StubWorker worker =
                startWorker(request -> good(request) + "Content-Length: 2\r\n\r\nok" + "HTTP/1.1 200 OK\r\nSilver");
        assertThat(post("/once/x", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(post("/once/y", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(worker.connections.get(), is(2));
    }

    @Test
    void aConnectionWithoutLeftoverBytesIsReused() throws IOException {
        final StubWorker worker = startWorker(request -> good(request) + "Content-Length: 2\r\n\r\nok");
        assertThat(post("/once/x", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(post("/once/y", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(worker.connections.get(), is(1));
    }

    @Test
    void aConnectionWithoutLeftoverBytesIsReusedAfterChunks() throws IOException {
        final StubWorker worker = startWorker(request -> good(request) + CHUNKED + "\r\n" + event(1) + "0\r\n\r\n");
        assertThat(post("/once/x", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(post("/once/y", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(worker.connections.get(), is(1));
    }

    @Test
    void aConnectionThatTheWorkerClosedIsNoReasonToRetry() throws IOException {
        final StubWorker worker = startWorker(request ->
                header(request, "Content-Length").equals("1") ? good(request) + "Content-Length: 2\r\n\r\nok" : "|");
        final StubWorker other = startWorker(request -> good(request) + "Content-Length: 2\r\n\r\nok");
        for (int i = 0; i < 4; i++) {
            post("/once/x", "", "b");
        }
        final int before = worker.received.size() + other.received.size();
        for (int i = 0; i < 4; i++) {
            final String reply = post("/once/x", "", "bb");
            assertThat(reply.startsWith("HTTP/1.1 502") || reply.startsWith("HTTP/1.1 200"), is(true));
        }
        assertThat(worker.received.size() + other.received.size() - before, is(4));
    }

    @Test
    void aSlowWorkerDoesNotCloseTheClientsConnection() throws Exception {
        doors.stop();
        doors = new MultiListenerServer(8);
        doors.addListener("127.0.0.1:" + port, 8_192, 300, proxy.get());
        doors.start();
        startWorker(request -> {
            try {
                Thread.sleep(900);
            } catch (final InterruptedException failure) {
                Thread.currentThread().interrupt();
            }
            return good(request) + "Content-Length: 2\r\n\r\nok";
        });
        assertThat(post("/once/x", "", "b"), startsWith("HTTP/1.1 200"));
    }

    @Test
    void aConnectionMayBeIdleAsLongAsTheLimitInForceAllows() throws Exception {
        doors.stop();
        doors = new MultiListenerServer(8);
        proxy.get().setListener(doors.addListener("127.0.0.1:" + port, 8_192, 200, proxy.get()));
        doors.start();
        startWorker(request -> good(request) + "Content-Length: 2\r\n\r\nok");
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(10_000);
            assertThat(exchange(socket, "t-1"), startsWith("HTTP/1.1 200"));
            proxy.get().updateLimits(new Value.RoutingConfiguration(2, 8_192, 4_096, 1_000_000, 4_000_000));
            Thread.sleep(1_500);
            assertThat(exchange(socket, "t-2"), startsWith("HTTP/1.1 200"));
            proxy.get().updateLimits(new Value.RoutingConfiguration(3, 8_192, 4_096, 1_000_000, 100_000));
            Thread.sleep(80);
            assertThat(exchange(socket, "t-3"), startsWith("HTTP/1.1 200"));
            assertThat(socket.getInputStream().read(), is(-1));
        }
    }

    private static String exchange(final Socket socket, final String requestId) throws IOException {
        final String request = "POST /once/x HTTP/1.1\r\nHost: a\r\nSilverlatch-Ticket: " + requestId
                + "\r\nSilverlatch-Expiry-Ms: 4000\r\nContent-Length: 1\r\n\r\nb";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        return read(socket.getInputStream());
    }

    @Test
    void aRequestThatWasReadIsServedWhileStoppingAndLaterOnesAreRejected() throws Exception {
        final CountDownLatch asked = new CountDownLatch(1);
        final CountDownLatch stopping = new CountDownLatch(1);
        final StubWorker worker = startWorker(request -> {
            asked.countDown();
            await(stopping);
            return good(request) + "Content-Length: 2\r\n\r\nok";
        });
        final CompletableFuture<String> first = CompletableFuture.supplyAsync(() -> unchecked("/once/x"));
        await(asked);
        proxy.get().close();
        routerLoop.execute(router::stopAccepting);
        final String second = unchecked("/once/y");
        assertThat(second, startsWith("HTTP/1.1 503"));
        assertThat(header(second, "Connection"), is("close"));
        stopping.countDown();
        final String reply = first.get(10, TimeUnit.SECONDS);
        assertThat(reply, startsWith("HTTP/1.1 200"));
        assertThat(header(reply, "Connection"), is("close"));
        assertThat(worker.received.size(), is(1));
        assertThat(proxy.get().openRequests(), is(0));
    }

    private static void await(final CountDownLatch latch) {
        try {
            latch.await(10, TimeUnit.SECONDS);
        } catch (final InterruptedException failure) {
            Thread.currentThread().interrupt();
        }
    }

    private String unchecked(final String path) {
        try {
            return post(path, "", "b");
        } catch (final IOException failure) {
            throw new java.io.UncheckedIOException(failure);
        }
    }

    @Test
    void headNoContentAndNotModifiedAreFramedAsTheWorkerMeant() throws IOException {
        final StubWorker worker = startWorker(request -> request.startsWith("HEAD")
                ? good(request) + "Content-Length: 40\r\n\r\n"
                : request.startsWith("GET")
                        ? failure(request, "304 Same", "").replace("Content-Length: 0", "Content-Length: 40")
                        : good(request).replace("200 OK", "204 None") + "\r\n");
        final String rest = " /once/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nSilverlatch-Ticket: t-1\r\n"
                + "Silverlatch-Expiry-Ms: 2000\r\nContent-Length: 0\r\n\r\n";
        final String head = sendRaw("HEAD" + rest);
        assertThat(head, startsWith("HTTP/1.1 200"));
        assertThat(header(head, "Content-Length"), is("40"));
        assertThat(head.endsWith("\r\n\r\n"), is(true));
        final String same = sendRaw("GET" + rest);
        assertThat(same, startsWith("HTTP/1.1 304"));
        assertThat(same.endsWith("\r\n\r\n"), is(true));
        final String none = sendRaw("POST" + rest);
        assertThat(none, startsWith("HTTP/1.1 204"));
        assertThat(none.endsWith("\r\n\r\n"), is(true));
        assertThat(worker.received.size(), is(3));
    }
}
