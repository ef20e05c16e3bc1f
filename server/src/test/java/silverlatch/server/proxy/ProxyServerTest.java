package silverlatch.server.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;
import static silverlatch.server.proxy.HttpText.EVENT_STREAM_HEADERS;
import static silverlatch.server.proxy.HttpText.chunk;
import static silverlatch.server.proxy.HttpText.event;
import static silverlatch.server.proxy.HttpText.failure;
import static silverlatch.server.proxy.HttpText.header;
import static silverlatch.server.proxy.HttpText.successHead;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import silverlatch.routing.RoutingEffect;

/**
 * Checks the proxy between a client and stub workers: forwarding, retries, resumed streams, shutdown. Guards against changed
 * messages, truncated or duplicated streams, and requests that are executed twice.
 */
final class ProxyServerTest extends ProxyFixture {
    private static final long RESPONSE_WRITTEN_LIMIT_MS = 1_000;

    @Test
    void aRequestAndItsResponseAreForwardedUnchanged() throws IOException {
        final StubWorker worker = startWorker(
                r -> successHead(r) + EVENT_STREAM_HEADERS + "X-Own: 1\r\n\r\n" + event(1) + event(2) + "0\r\n\r\n");
        final String reply =
                post("/once/a%20b?q=1&r=%2F", "X-Other: kept\r\nSilverlatch-Worker: forged\r\n", "the body");
        assertThat(reply, startsWith("HTTP/1.1 200"));
        assertThat(reply, containsString("Silverlatch-Seal: s"));
        assertThat(reply, containsString("X-Own: 1"));
        assertThat(reply, containsString("piece 2"));
        assertThat(reply.endsWith("0\r\n\r\n"), is(true));
        final String received = worker.received.get(0);
        assertThat(received, startsWith("POST /once/a%20b?q=1&r=%2F HTTP/1.1\r\n"));
        assertThat(header(received, "Host"), is("a"));
        assertThat(header(received, "X-Other"), is("kept"));
        assertThat(header(received, "Silverlatch-Worker"), is("w0"));
        assertThat(header(received, "Silverlatch-Rank"), is("0"));
        assertThat(Integer.parseInt(header(received, "Silverlatch-Expiry-Ms")) <= 4_000, is(true));
        assertThat(received.endsWith("\r\n\r\nthe body"), is(true));
    }

    @Test
    void theClientsTokenAndPromptHeadersAreForwardedUnchanged() throws IOException {
        final StubWorker worker = startWorker(request -> successHead(request) + "Content-Length: 0\r\n\r\n");
        final String reply = post(
                "/once/x", "Silverlatch-Tokens: 20,5\r\nSilverlatch-Parts: 5c1e:15, 91bd:5\r\nX-Model: m-1\r\n", "b");
        assertThat(reply, startsWith("HTTP/1.1 200"));
        final String received = worker.received.get(0);
        assertThat(header(received, "Silverlatch-Tokens"), is("20,5"));
        assertThat(header(received, "Silverlatch-Parts"), is("5c1e:15, 91bd:5"));
        assertThat(header(received, "X-Model"), is("m-1"));
    }

    @Test
    void theClientsOwnLastEventIdIsForwarded() throws IOException {
        final StubWorker worker =
                startWorker(request -> successHead(request) + EVENT_STREAM_HEADERS + "\r\n" + event(8) + "0\r\n\r\n");
        final String reply = post("/again/x", "Last-Event-Id: 7\r\n", "b");
        assertThat(reply.endsWith("0\r\n\r\n"), is(true));
        assertThat(header(worker.received.get(0), "Last-Event-Id"), is("7"));
    }

    @Test
    void unknownLinesOfAnEventAreForwarded() throws IOException {
        final String events = "id: 1\ndata: a\n\nweights: 2\nid: 2\ndata: b\n\n";
        startWorker(request -> successHead(request) + EVENT_STREAM_HEADERS + "\r\n" + chunk(events) + "0\r\n\r\n");
        assertThat(post("/again/x", "", "b"), containsString(events));
    }

    @Test
    void aTruncatedResponseNeverLooksComplete() throws IOException {
        startWorker(r -> successHead(r) + EVENT_STREAM_HEADERS + "\r\n" + event(1) + "|");
        final String reply = post("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 200"));
        assertThat(reply, not(containsString("\r\n0\r\n\r\n")));
    }

    @Test
    void aResumableStreamResumesAtAnotherWorkerAfterTheLastCompleteEvent() throws IOException {
        final Function<String, String> script = r -> header(r, "Last-Event-Id").isEmpty()
                ? successHead(r).replace("Seal: s", "Seal: first") + EVENT_STREAM_HEADERS + "\r\n" + event(1) + event(2)
                        + chunk("id: 3\ndata: torn") + "|"
                : successHead(r) + EVENT_STREAM_HEADERS + "\r\n" + event(3) + event(4) + "0\r\n\r\n";
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
        final StubWorker one =
                startWorker(r -> successHead(r) + EVENT_STREAM_HEADERS + "\r\n" + event(1) + event(2) + "0\r\n\r\n");
        final StubWorker other = new StubWorker(
                r -> successHead(r) + EVENT_STREAM_HEADERS + "\r\n" + event(1) + event(2) + event(3) + "0\r\n\r\n");
        stubWorkers.add(other);
        beforeThirdEvent.set(() -> proxy.get()
                .apply(new RoutingEffect.StartAttempt(
                        1, 99, "w1", "127.0.0.1:" + other.port(), 3_000_000, 0, false, true, Optional.empty())));
        final String reply = post("/again/x", "", "b");
        assertThat(one.received.size(), is(1));
        assertThat(header(other.received.get(0), "Last-Event-Id"), is(""));
        assertThat(reply.split("piece 1\n", -1).length - 1, is(1));
        assertThat(reply.split("piece 2\n", -1).length - 1, is(1));
        assertThat(reply.split("piece 3\n", -1).length - 1, is(1));
        assertThat(reply.endsWith("0\r\n\r\n"), is(true));
    }

    @Test
    void aRequestThatWasNotExecutedIsRetriedAtAnotherWorkerAndThenRejected() throws IOException {
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
    void anUncommittedResponseIsReplacedByTheNextWorkersIncludingItsSeal() throws IOException {
        final AtomicInteger runs = new AtomicInteger();
        final Function<String, String> script = request -> runs.incrementAndGet() == 1
                ? successHead(request).replace("Seal: s", "Seal: first") + EVENT_STREAM_HEADERS + "\r\n"
                        + chunk("id: 1\ndata: torn") + "|"
                : successHead(request).replace("Seal: s", "Seal: second") + EVENT_STREAM_HEADERS + "\r\n" + event(1)
                        + "0\r\n\r\n";
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
                request -> successHead(request) + EVENT_STREAM_HEADERS + "\r\n" + chunk("data: piece 1\n\n") + "|";
        final StubWorker first = startWorker(script);
        final StubWorker second = startWorker(script);
        final String reply = post("/again/x", "", "b");
        assertThat(reply.split("piece", -1).length - 1, is(1));
        assertThat(reply, not(containsString("\r\n0\r\n\r\n")));
        assertThat(first.received.size() + second.received.size(), is(1));
    }

    @Test
    void pendingRequestsAreServedDuringShutdownAndNewOnesAreRejected() throws Exception {
        final CountDownLatch requestReceived = new CountDownLatch(1);
        final CountDownLatch newRequestRejected = new CountDownLatch(1);
        final StubWorker worker = startWorker(request -> {
            requestReceived.countDown();
            await(newRequestRejected);
            return successHead(request) + "Content-Length: 2\r\n\r\nok";
        });
        final CompletableFuture<String> first = CompletableFuture.supplyAsync(() -> postUnchecked("/once/x"));
        await(requestReceived);
        proxy.get().closeConnectionsAfterResponses();
        routerLoop.execute(router::stopAccepting);
        final String second = postUnchecked("/once/y");
        assertThat(second, startsWith("HTTP/1.1 503"));
        assertThat(header(second, "Connection"), is("close"));
        newRequestRejected.countDown();
        final String reply = first.get(10, TimeUnit.SECONDS);
        assertThat(reply, startsWith("HTTP/1.1 200"));
        assertThat(header(reply, "Connection"), is("close"));
        assertThat(worker.received.size(), is(1));
        awaitNoOpenRequest(RESPONSE_WRITTEN_LIMIT_MS);
    }

    @Test
    void responsesToHeadAndStatuses204And304HaveNoBody() throws IOException {
        final StubWorker worker = startWorker(request -> request.startsWith("HEAD")
                ? successHead(request) + "Content-Length: 40\r\n\r\n"
                : request.startsWith("GET")
                        ? failure(request, "304 Same", "").replace("Content-Length: 0", "Content-Length: 40")
                        : successHead(request).replace("200 OK", "204 None") + "\r\n");
        final String requestWithoutMethod =
                " /once/x HTTP/1.1\r\nHost: a\r\nConnection: close\r\nSilverlatch-Ticket: t-1\r\n"
                        + "Silverlatch-Expiry-Ms: 2000\r\nContent-Length: 0\r\n\r\n";
        final String head = sendRaw("HEAD" + requestWithoutMethod);
        assertThat(head, startsWith("HTTP/1.1 200"));
        assertThat(header(head, "Content-Length"), is("40"));
        assertThat(head.endsWith("\r\n\r\n"), is(true));
        final String same = sendRaw("GET" + requestWithoutMethod);
        assertThat(same, startsWith("HTTP/1.1 304"));
        assertThat(same.endsWith("\r\n\r\n"), is(true));
        final String none = sendRaw("POST" + requestWithoutMethod);
        assertThat(none, startsWith("HTTP/1.1 204"));
        assertThat(none.endsWith("\r\n\r\n"), is(true));
        assertThat(worker.received.size(), is(3));
    }

    private static void await(final CountDownLatch latch) {
        try {
            latch.await(10, TimeUnit.SECONDS);
        } catch (final InterruptedException failure) {
            Thread.currentThread().interrupt();
        }
    }

    private String postUnchecked(final String path) {
        try {
            return post(path, "", "b");
        } catch (final IOException failure) {
            throw new UncheckedIOException(failure);
        }
    }
}
