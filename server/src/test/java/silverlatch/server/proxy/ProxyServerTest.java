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
    private final ExecutorService duty = Executors.newSingleThreadExecutor();
    private final List<Peer> peers = new ArrayList<>();
    private final AtomicInteger told = new AtomicInteger();
    private final AtomicReference<Runnable> third = new AtomicReference<>(() -> {});
    private final AtomicReference<ProxyServer> gate = new AtomicReference<>();
    private WorkerHttpClient lighter;
    private MultiListenerServer doors;
    private Router passage;
    private int port;

    /** A worker that replies by a script: bytes, and then it closes where the script ends with a bar. */
    private final class Peer {
        private final ServerSocket server;
        private final List<String> asked = new CopyOnWriteArrayList<>();
        private final AtomicInteger connections = new AtomicInteger();
        private final Function<String, String> script;

        Peer(final Function<String, String> script) throws IOException {
            this.script = script;
            this.server = new ServerSocket(0, 50, InetAddress.getByName("127.0.0.1"));
            Threads.startDaemon("scripted-peer", this::run);
        }

        private void run() {
            while (!server.isClosed()) {
                try {
                    final Socket s = server.accept();
                    connections.incrementAndGet();
                    Threads.startDaemon("scripted-peer", () -> talk(s));
                } catch (final IOException e) {
                    return;
                }
            }
        }

        private void talk(final Socket socket) {
            try (Socket s = socket) {
                while (true) {
                    final String request = read(s.getInputStream());
                    asked.add(request);
                    final String reply = script.apply(request);
                    final boolean close = reply.endsWith("|");
                    s.getOutputStream()
                            .write((close ? reply.substring(0, reply.length() - 1) : reply)
                                    .getBytes(StandardCharsets.ISO_8859_1));
                    s.getOutputStream().flush();
                    if (close) {
                        return;
                    }
                }
            } catch (final IOException e) {
                Thread.yield();
            }
        }
    }

    private static String read(final InputStream in) throws IOException {
        final ByteArrayOutputStream all = new ByteArrayOutputStream();
        while (!all.toString(StandardCharsets.ISO_8859_1).contains("\r\n\r\n")) {
            final int b = in.read();
            if (b < 0) {
                throw new IOException("gone");
            }
            all.write(b);
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
        lighter = new WorkerHttpClient(WorkerHttpClient.Setup.PLAIN);
        lighter.start();
        passage = new Router(Router.Settings.DEFAULT, facts(1), () -> new Stamp(1), new SplittableRandom(5));
        gate.set(new ProxyServer(Fields.PLAIN, lighter, job -> {
            if (told.incrementAndGet() == 3) {
                third.get().run();
            }
            duty.execute(() -> {
                job.accept(passage);
                passage.drainEffects().forEach(gate.get()::apply);
            });
            return true;
        }));
        gate.get().maxBodyBytes(4_096);
        try (ServerSocket s = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
            port = s.getLocalPort();
        }
        doors = new MultiListenerServer(8);
        doors.addListener("127.0.0.1:" + port, 8_192, 5_000, gate.get());
        doors.start();
    }

    @AfterEach
    void shut() throws ApiServer.HttpServerException, WorkerHttpClient.WorkerHttpClientFault, IOException {
        doors.stop();
        lighter.stop();
        duty.shutdownNow();
        for (final Peer p : peers) {
            p.server.close();
        }
    }

    private Peer worker(final Function<String, String> script) throws IOException {
        final Peer p = new Peer(script);
        peers.add(p);
        final ClusterSnapshot next = facts(peers.size() + 1);
        duty.execute(() -> passage.clusterSnapshot(next, EventLoop.nowMicros()));
        return p;
    }

    private ClusterSnapshot facts(final long page) {
        final Map<String, Gossip.ObservedWorker> heard = new HashMap<>();
        for (int i = 0; i < peers.size(); i++) {
            heard.put(
                    "w" + i,
                    new Gossip.ObservedWorker(
                            new Worker(
                                    "w" + i,
                                    "127.0.0.1:" + peers.get(i).server.getLocalPort(),
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
                new Entry("u/a|/once/", 1, List.of(rule("/once/", false))),
                new Entry("u/a|/again/", 1, List.of(rule("/again/", true))));
        return new ClusterSnapshot(
                new Member("me", "gateway", "z", "r", "127.0.0.1:1", "127.0.0.1:2", 1, 0, "up", true),
                page,
                Optional.of(1L),
                Policy.of(all),
                heard,
                List.of());
    }

    private static Value.Route rule(final String path, final boolean again) {
        return new Value.Route(
                path,
                "a",
                path,
                true,
                true,
                again,
                true,
                5_000_000,
                600_000,
                400_000,
                0,
                2,
                List.of(),
                List.of(new Value.WeightedBackend("pool", 1)));
    }

    private String ask(final String path, final String more, final String body) throws IOException {
        return raw("POST " + path
                + " HTTP/1.1\r\nHost: a\r\nConnection: close\r\nSilverlatch-Ticket: t-1\r\nSilverlatch-Expiry-Ms: 4000\r\n"
                + more + "Content-Length: " + body.length() + "\r\n\r\n" + body);
    }

    private String raw(final String request) throws IOException {
        try (Socket s = new Socket()) {
            s.connect(new InetSocketAddress("127.0.0.1", port), 1_000);
            s.setSoTimeout(10_000);
            final OutputStream out = s.getOutputStream();
            out.write(request.getBytes(StandardCharsets.ISO_8859_1));
            out.flush();
            final ByteArrayOutputStream all = new ByteArrayOutputStream();
            try {
                s.getInputStream().transferTo(all);
            } catch (final IOException e) {
                all.writeBytes("RESET".getBytes(StandardCharsets.ISO_8859_1));
            }
            return all.toString(StandardCharsets.ISO_8859_1);
        }
    }

    @Test
    void aTicketAndItsReplyPassUnchanged() throws IOException {
        final Peer w = worker(r -> good(r) + CHUNKED + "X-Own: 1\r\n\r\n" + event(1) + event(2) + "0\r\n\r\n");
        final String reply =
                ask("/once/a%20b?q=1&r=%2F", "X-Other: kept\r\nSilverlatch-Worker: forged\r\n", "the body");
        assertThat(reply, startsWith("HTTP/1.1 200"));
        assertThat(reply, containsString("Silverlatch-Seal: s"));
        assertThat(reply, containsString("X-Own: 1"));
        assertThat(reply, containsString("piece 2"));
        assertThat(reply.endsWith("0\r\n\r\n"), is(true));
        final String asked = w.asked.get(0);
        assertThat(asked, startsWith("POST /once/a%20b?q=1&r=%2F HTTP/1.1\r\n"));
        assertThat(header(asked, "Host"), is("a"));
        assertThat(header(asked, "X-Other"), is("kept"));
        assertThat(header(asked, "Silverlatch-Worker"), is("w0"));
        assertThat(header(asked, "Silverlatch-Rank"), is("0"));
        assertThat(Integer.parseInt(header(asked, "Silverlatch-Expiry-Ms")) <= 4_000, is(true));
        assertThat(asked.endsWith("\r\n\r\nthe body"), is(true));
    }

    @Test
    void anotherTicketsReplyReachesNobody() throws IOException {
        worker(
                r ->
                        "HTTP/1.1 200 OK\r\nSilverlatch-Ticket: other\r\nSilverlatch-Seal: s\r\nContent-Length: 6\r\n\r\nsecret");
        final String reply = ask("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 502"));
        assertThat(reply, not(containsString("secret")));
    }

    @Test
    void aSuccessWithoutASealIsNone() throws IOException {
        worker(r -> "HTTP/1.1 200 OK\r\nSilverlatch-Ticket: t-1\r\nContent-Length: 6\r\n\r\nforged");
        assertThat(ask("/once/x", "", "b"), startsWith("HTTP/1.1 502"));
    }

    @Test
    void aBrokenReplyNeverLooksComplete() throws IOException {
        worker(r -> good(r) + CHUNKED + "\r\n" + event(1) + "|");
        final String reply = ask("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 200"));
        assertThat(reply, not(containsString("\r\n0\r\n\r\n")));
    }

    @Test
    void aResumableStreamGoesOnElsewhereAfterTheLastWholeEvent() throws IOException {
        final Function<String, String> script = r -> header(r, "Last-Event-Id").isEmpty()
                ? good(r).replace("Seal: s", "Seal: first") + CHUNKED + "\r\n" + event(1) + event(2)
                        + chunk("id: 3\ndata: torn") + "|"
                : good(r) + CHUNKED + "\r\n" + event(3) + event(4) + "0\r\n\r\n";
        final Peer one = worker(script);
        final Peer two = worker(script);
        final String reply = ask("/again/x", "", "b");
        assertThat(reply, containsString("Silverlatch-Seal: first"));
        assertThat(reply.split("piece", -1).length - 1, is(4));
        assertThat(reply, not(containsString("torn")));
        assertThat(reply.endsWith("0\r\n\r\n"), is(true));
        final List<String> all = new ArrayList<>(one.asked);
        all.addAll(two.asked);
        assertThat(all.stream().map(r -> header(r, "Last-Event-Id")).sorted().toList(), is(List.of("", "2")));
    }

    @Test
    void aRunThatWasLeftPassesNothingMoreOn() throws IOException {
        final Peer one = worker(r -> good(r) + CHUNKED + "\r\n" + event(1) + event(2) + "0\r\n\r\n");
        final Peer other = new Peer(r -> good(r) + CHUNKED + "\r\n" + event(1) + event(2) + event(3) + "0\r\n\r\n");
        peers.add(other);
        third.set(() -> gate.get()
                .apply(new RoutingEffect.StartAttempt(
                        1, 99, "w1", "127.0.0.1:" + other.server.getLocalPort(), 3_000_000, 0, false, true)));
        final String reply = ask("/again/x", "", "b");
        assertThat(one.asked.size(), is(1));
        assertThat(header(other.asked.get(0), "Last-Event-Id"), is(""));
        assertThat(reply.split("piece 1\n", -1).length - 1, is(1));
        assertThat(reply.split("piece 2\n", -1).length - 1, is(1));
        assertThat(reply.split("piece 3\n", -1).length - 1, is(1));
        assertThat(reply.endsWith("0\r\n\r\n"), is(true));
    }

    @Test
    void whatAWorkerDidNotRunGoesToAnotherAndElseComesBackAsAPromise() throws IOException {
        final Peer full = worker(r -> "HTTP/1.1 503 Full\r\nSilverlatch-Ticket: " + header(r, "Silverlatch-Ticket")
                + "\r\nSilverlatch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        final String no = ask("/once/x", "", "b");
        assertThat(no, startsWith("HTTP/1.1 503"));
        assertThat(header(no, "Retry-After").isEmpty(), is(false));
        assertThat(full.asked.size(), is(1));
        final Peer other = worker(r -> "HTTP/1.1 421 Other\r\nSilverlatch-Ticket: " + header(r, "Silverlatch-Ticket")
                + "\r\nContent-Length: 0\r\n\r\n");
        assertThat(ask("/once/x", "", "b"), startsWith("HTTP/1.1 503"));
        assertThat(full.asked.size() + other.asked.size() <= 3, is(true));
    }

    @Test
    void aWorkersOwnFailurePassesUnchanged() throws IOException {
        worker(r -> "HTTP/1.1 500 Broken\r\nSilverlatch-Ticket: t-1\r\nX-Own: 7\r\nContent-Length: 4\r\n\r\nwhy?");
        final String reply = ask("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 500"));
        assertThat(reply, containsString("X-Own: 7"));
        assertThat(reply.endsWith("why?"), is(true));
    }

    @Test
    void garbageOfAWorkerIsNotPassedOn() throws IOException {
        worker(r -> "this is no HTTP\r\n\r\n|");
        final String reply = ask("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 502"));
        assertThat(reply, not(containsString("no HTTP")));
    }

    @Test
    void badRequestsEndTheirConnectionAndReachNoWorker() throws IOException {
        final Peer w = worker(r -> good(r) + "Content-Length: 0\r\n\r\n");
        assertThat(
                raw("POST /once/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nContent-Length: 4\r\n\r\nabcd"),
                startsWith("HTTP/1.1 400"));
        assertThat(
                raw(
                        "POST /once/x HTTP/1.1\r\nHost: a\r\nContent-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n"),
                startsWith("HTTP/1.1 400"));
        assertThat(
                raw("POST /once/x HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\nZZ\r\n\r\n"),
                startsWith("HTTP/1.1 400"));
        assertThat(
                raw("POST /once/x HTTP/1.1\r\nHost: a\r\nX-Bad: a\0b\r\nContent-Length: 0\r\n\r\n"),
                startsWith("HTTP/1.1 400"));
        assertThat(
                raw("POST /once/x HTTP/1.1\r\nHost: a\r\nX-Long: " + "x".repeat(9_000) + "\r\n\r\n"),
                startsWith("HTTP/1.1 431"));
        assertThat(ask("/once/x", "", "x".repeat(5_000)), startsWith("HTTP/1.1 413"));
        assertThat(ask("/nowhere/x", "", "b"), startsWith("HTTP/1.1 404"));
        assertThat(w.asked.size(), is(0));
    }

    private static String failure(final String request, final String status, final String more) {
        return "HTTP/1.1 " + status + "\r\nSilverlatch-Ticket: " + header(request, "Silverlatch-Ticket")
                + "\r\nSilverlatch-Seal: s\r\n" + more + "Content-Length: 0\r\n\r\n";
    }

    @Test
    void anAnswerWithoutTheAttemptIdIsNoPromise() throws IOException {
        final Peer worker =
                worker(request -> "HTTP/1.1 503 Full\r\nSilverlatch-Not-Run: 1\r\nContent-Length: 0\r\n\r\n");
        assertThat(ask("/once/x", "", "b"), startsWith("HTTP/1.1 502"));
        assertThat(worker.asked.size(), is(1));
    }

    @Test
    void aMisdirectedAnswerWithoutTheAttemptIdIsNoPromise() throws IOException {
        final Function<String, String> script = request -> "HTTP/1.1 421 Other\r\nContent-Length: 0\r\n\r\n";
        final Peer first = worker(script);
        final Peer second = worker(script);
        assertThat(ask("/once/x", "", "b"), startsWith("HTTP/1.1 502"));
        assertThat(first.asked.size() + second.asked.size(), is(1));
    }

    @Test
    void anAnswerThatBearsTwoAttemptIdsBelongsToNobody() throws IOException {
        worker(request -> good(request) + "Silverlatch-Ticket: other\r\nContent-Length: 6\r\n\r\nsecret");
        final String reply = ask("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 502"));
        assertThat(reply, not(containsString("secret")));
    }

    @Test
    void aRequestWithoutAnAttemptIdReachesNoWorker() throws IOException {
        final Peer worker = worker(request -> good(request) + "Content-Length: 0\r\n\r\n");
        assertThat(
                raw("POST /once/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 0\r\n\r\n"),
                startsWith("HTTP/1.1 400"));
        assertThat(worker.asked.size(), is(0));
    }

    @Test
    void aRetryStatusWithoutNotExecutedIsNotPassedOn() throws IOException {
        for (final String status : List.of("503 Ill", "429 Ill", "408 Ill")) {
            worker(request -> failure(request, status, ""));
            final String reply = ask("/once/x", "", "b");
            assertThat(reply, startsWith("HTTP/1.1 502"));
            assertThat(reply, not(containsString("Silverlatch-Seal")));
        }
    }

    @Test
    void anAnswerThatBreaksBeforeItsFirstByteIsAFailureWithoutASeal() throws IOException {
        worker(request -> good(request) + "Content-Length: 6\r\n\r\n|");
        final String reply = ask("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 502"));
        assertThat(reply, not(containsString("Silverlatch-Seal")));
    }

    @Test
    void anAnswerThatBreaksBeforeItsFirstByteGivesWayToTheNextWorkersSeal() throws IOException {
        final AtomicInteger runs = new AtomicInteger();
        final Function<String, String> script = request -> runs.incrementAndGet() == 1
                ? good(request).replace("Seal: s", "Seal: first") + CHUNKED + "\r\n" + chunk("id: 1\ndata: torn") + "|"
                : good(request).replace("Seal: s", "Seal: second") + CHUNKED + "\r\n" + event(1) + "0\r\n\r\n";
        worker(script);
        worker(script);
        final String reply = ask("/again/x", "", "b");
        assertThat(reply, containsString("Silverlatch-Seal: second"));
        assertThat(reply, not(containsString("Silverlatch-Seal: first")));
        assertThat(reply.endsWith("0\r\n\r\n"), is(true));
    }

    @Test
    void aStreamWhoseEventsBearNoIdIsNotTakenUpElsewhere() throws IOException {
        final Function<String, String> script =
                request -> good(request) + CHUNKED + "\r\n" + chunk("data: piece 1\n\n") + "|";
        final Peer first = worker(script);
        final Peer second = worker(script);
        final String reply = ask("/again/x", "", "b");
        assertThat(reply.split("piece", -1).length - 1, is(1));
        assertThat(reply, not(containsString("\r\n0\r\n\r\n")));
        assertThat(first.asked.size() + second.asked.size(), is(1));
    }

    @Test
    void aSuccessThatEndsWithItsConnectionIsNone() throws IOException {
        worker(request -> good(request) + "Connection: close\r\n\r\nhalf a bo|");
        final String reply = ask("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 502"));
        assertThat(reply, not(containsString("half")));
    }

    @Test
    void aSuccessWithTwoFramingsIsNone() throws IOException {
        worker(request ->
                good(request) + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
        assertThat(ask("/once/x", "", "b"), startsWith("HTTP/1.1 502"));
    }

    @Test
    void aFailureWhoseBodyIsTooLargeIsReplacedWhole() throws IOException {
        worker(request ->
                "HTTP/1.1 500 Broken\r\nSilverlatch-Ticket: t-1\r\nSilverlatch-Seal: s\r\nContent-Length: 400000\r\n\r\n"
                        + "x".repeat(400_000));
        final String reply = ask("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 502"));
        assertThat(reply, not(containsString("Silverlatch-Seal")));
    }

    @Test
    void interimAnswersAreNoAnswer() throws IOException {
        worker(request -> "HTTP/1.1 100 Continue\r\nSilverlatch-Ticket: t-1\r\n\r\n" + good(request)
                + "Content-Length: 4\r\n\r\nbody");
        final String reply = ask("/once/x", "", "b");
        assertThat(reply.startsWith("HTTP/1.1 200") || reply.startsWith("HTTP/1.1 502"), is(true));
        worker(request -> "HTTP/1.1 101 Switching Protocols\r\nSilverlatch-Ticket: t-1\r\nUpgrade: x\r\n\r\n|");
        assertThat(ask("/again/x", "", "b"), not(containsString("HTTP/1.1 101")));
    }

    @Test
    void bytesBehindAnAnswerEndItsConnection() throws IOException {
        final Peer worker =
                worker(request -> good(request) + "Content-Length: 2\r\n\r\nok" + "HTTP/1.1 200 OK\r\nSilver");
        assertThat(ask("/once/x", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(ask("/once/y", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(worker.connections.get(), is(2));
    }

    @Test
    void aConnectionWithoutLeftoversIsUsedAgain() throws IOException {
        final Peer worker = worker(request -> good(request) + "Content-Length: 2\r\n\r\nok");
        assertThat(ask("/once/x", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(ask("/once/y", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(worker.connections.get(), is(1));
    }

    @Test
    void aConnectionWithoutLeftoversIsUsedAgainAfterChunks() throws IOException {
        final Peer worker = worker(request -> good(request) + CHUNKED + "\r\n" + event(1) + "0\r\n\r\n");
        assertThat(ask("/once/x", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(ask("/once/y", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(worker.connections.get(), is(1));
    }

    @Test
    void aForgottenConnectionIsNoReasonToSendAgain() throws IOException {
        final Peer worker = worker(request ->
                header(request, "Content-Length").equals("1") ? good(request) + "Content-Length: 2\r\n\r\nok" : "|");
        final Peer other = worker(request -> good(request) + "Content-Length: 2\r\n\r\nok");
        for (int i = 0; i < 4; i++) {
            ask("/once/x", "", "b");
        }
        final int before = worker.asked.size() + other.asked.size();
        for (int i = 0; i < 4; i++) {
            final String reply = ask("/once/x", "", "bb");
            assertThat(reply.startsWith("HTTP/1.1 502") || reply.startsWith("HTTP/1.1 200"), is(true));
        }
        assertThat(worker.asked.size() + other.asked.size() - before, is(4));
    }

    @Test
    void aWorkersSilenceDoesNotEndTheClientsConnection() throws Exception {
        doors.stop();
        doors = new MultiListenerServer(8);
        doors.addListener("127.0.0.1:" + port, 8_192, 300, gate.get());
        doors.start();
        worker(request -> {
            try {
                Thread.sleep(900);
            } catch (final InterruptedException e) {
                Thread.currentThread().interrupt();
            }
            return good(request) + "Content-Length: 2\r\n\r\nok";
        });
        assertThat(ask("/once/x", "", "b"), startsWith("HTTP/1.1 200"));
    }

    @Test
    void aConnectionMayRestAsLongAsTheLimitInForceAllows() throws Exception {
        doors.stop();
        doors = new MultiListenerServer(8);
        gate.get().door(doors.addListener("127.0.0.1:" + port, 8_192, 200, gate.get()));
        doors.start();
        worker(request -> good(request) + "Content-Length: 2\r\n\r\nok");
        try (Socket socket = new Socket("127.0.0.1", port)) {
            socket.setSoTimeout(10_000);
            assertThat(exchange(socket, "t-1"), startsWith("HTTP/1.1 200"));
            gate.get().limits(new Value.RoutingConfiguration(2, 8_192, 4_096, 1_000_000, 4_000_000));
            Thread.sleep(1_500);
            assertThat(exchange(socket, "t-2"), startsWith("HTTP/1.1 200"));
            gate.get().limits(new Value.RoutingConfiguration(3, 8_192, 4_096, 1_000_000, 100_000));
            Thread.sleep(80);
            assertThat(exchange(socket, "t-3"), startsWith("HTTP/1.1 200"));
            assertThat(socket.getInputStream().read(), is(-1));
        }
    }

    private static String exchange(final Socket socket, final String attemptId) throws IOException {
        final String request = "POST /once/x HTTP/1.1\r\nHost: a\r\nSilverlatch-Ticket: " + attemptId
                + "\r\nSilverlatch-Expiry-Ms: 4000\r\nContent-Length: 1\r\n\r\nb";
        socket.getOutputStream().write(request.getBytes(StandardCharsets.ISO_8859_1));
        return read(socket.getInputStream());
    }

    @Test
    void aRequestThatWasReadGetsItsAnswerWhileStoppingAndLaterOnesAreRefused() throws Exception {
        final CountDownLatch asked = new CountDownLatch(1);
        final CountDownLatch stopping = new CountDownLatch(1);
        final Peer worker = worker(request -> {
            asked.countDown();
            await(stopping);
            return good(request) + "Content-Length: 2\r\n\r\nok";
        });
        final CompletableFuture<String> first = CompletableFuture.supplyAsync(() -> unchecked("/once/x"));
        await(asked);
        gate.get().close();
        duty.execute(passage::close);
        final String second = unchecked("/once/y");
        assertThat(second, startsWith("HTTP/1.1 503"));
        assertThat(header(second, "Connection"), is("close"));
        stopping.countDown();
        final String reply = first.get(10, TimeUnit.SECONDS);
        assertThat(reply, startsWith("HTTP/1.1 200"));
        assertThat(header(reply, "Connection"), is("close"));
        assertThat(worker.asked.size(), is(1));
        assertThat(gate.get().open(), is(0));
    }

    private static void await(final CountDownLatch latch) {
        try {
            latch.await(10, TimeUnit.SECONDS);
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private String unchecked(final String path) {
        try {
            return ask(path, "", "b");
        } catch (final IOException e) {
            throw new java.io.UncheckedIOException(e);
        }
    }

    @Test
    void headNoContentAndNotModifiedAreFramedAsTheWorkerMeant() throws IOException {
        final Peer worker = worker(request -> request.startsWith("HEAD")
                ? good(request) + "Content-Length: 40\r\n\r\n"
                : request.startsWith("GET")
                        ? failure(request, "304 Same", "").replace("Content-Length: 0", "Content-Length: 40")
                        : good(request).replace("200 OK", "204 None") + "\r\n");
        final String rest = " /once/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nSilverlatch-Ticket: t-1\r\n"
                + "Silverlatch-Expiry-Ms: 2000\r\nContent-Length: 0\r\n\r\n";
        final String head = raw("HEAD" + rest);
        assertThat(head, startsWith("HTTP/1.1 200"));
        assertThat(header(head, "Content-Length"), is("40"));
        assertThat(head.endsWith("\r\n\r\n"), is(true));
        final String same = raw("GET" + rest);
        assertThat(same, startsWith("HTTP/1.1 304"));
        assertThat(same.endsWith("\r\n\r\n"), is(true));
        final String none = raw("POST" + rest);
        assertThat(none, startsWith("HTTP/1.1 204"));
        assertThat(none.endsWith("\r\n\r\n"), is(true));
        assertThat(worker.asked.size(), is(3));
    }
}
