package silverlatch.server.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;
import static silverlatch.server.proxy.HttpText.failure;
import static silverlatch.server.proxy.HttpText.successHead;

import java.io.IOException;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;

/**
 * Checks which responses of workers the proxy accepts. Guards against forwarding a response of another request, an unsealed or
 * truncated one, or a rejection by a worker that may have executed the request.
 */
final class WorkerResponseTest extends ProxyFixture {
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
    void bytesThatAreNotHttpAreNotForwarded() throws IOException {
        startWorker(r -> "this is no HTTP\r\n\r\n|");
        final String reply = post("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 502"));
        assertThat(reply, not(containsString("no HTTP")));
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
        startWorker(request -> successHead(request) + "Silverlatch-Ticket: other\r\nContent-Length: 6\r\n\r\nsecret");
        final String reply = post("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 502"));
        assertThat(reply, not(containsString("secret")));
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
    void aResponseThatBreaksBeforeItsBodyIsReplacedByAFailureWithoutASeal() throws IOException {
        startWorker(request -> successHead(request) + "Content-Length: 6\r\n\r\n|");
        final String reply = post("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 502"));
        assertThat(reply, not(containsString("Silverlatch-Seal")));
    }

    @Test
    void aSuccessDelimitedByConnectionCloseIsNotForwarded() throws IOException {
        startWorker(request -> successHead(request) + "Connection: close\r\n\r\nhalf a bo|");
        final String reply = post("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 502"));
        assertThat(reply, not(containsString("half")));
    }

    @Test
    void aSuccessWithTwoFramingsIsNotForwarded() throws IOException {
        startWorker(request ->
                successHead(request) + "Content-Length: 3\r\nTransfer-Encoding: chunked\r\n\r\n3\r\nabc\r\n0\r\n\r\n");
        assertThat(post("/once/x", "", "b"), startsWith("HTTP/1.1 502"));
    }

    @Test
    void aWorkerFailureWithATooLargeBodyIsReplacedByABadGateway() throws IOException {
        startWorker(request ->
                "HTTP/1.1 500 Broken\r\nSilverlatch-Ticket: t-1\r\nSilverlatch-Seal: s\r\nContent-Length: 400000\r\n\r\n"
                        + "x".repeat(400_000));
        final String reply = post("/once/x", "", "b");
        assertThat(reply, startsWith("HTTP/1.1 502"));
        assertThat(reply, not(containsString("Silverlatch-Seal")));
    }

    @Test
    void interimResponsesAreNotForwarded() throws IOException {
        startWorker(request -> "HTTP/1.1 100 Continue\r\nSilverlatch-Ticket: t-1\r\n\r\n" + successHead(request)
                + "Content-Length: 4\r\n\r\nbody");
        final String reply = post("/once/x", "", "b");
        assertThat(reply.startsWith("HTTP/1.1 200") || reply.startsWith("HTTP/1.1 502"), is(true));
        startWorker(request -> "HTTP/1.1 101 Switching Protocols\r\nSilverlatch-Ticket: t-1\r\nUpgrade: x\r\n\r\n|");
        assertThat(post("/again/x", "", "b"), not(containsString("HTTP/1.1 101")));
    }
}
