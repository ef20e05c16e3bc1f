package silverlatch.server.proxy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;
import static silverlatch.server.proxy.HttpText.EVENT_STREAM_HEADERS;
import static silverlatch.server.proxy.HttpText.chunk;
import static silverlatch.server.proxy.HttpText.event;
import static silverlatch.server.proxy.HttpText.failure;
import static silverlatch.server.proxy.HttpText.header;
import static silverlatch.server.proxy.HttpText.successHead;

import java.io.IOException;
import java.util.List;
import java.util.function.Function;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Checks the headers that the second worker receives if the first one didn't finish a request. Guards against a retry with the full
 * deadline, which would run longer than the client waits, and against a stream that is resumed with other model weights.
 */
final class RetriedRequestTest extends ProxyFixture {
    private static final int CLIENT_DEADLINE_MS = 4_000;
    private static final int FIRST_ATTEMPT_MS = 700;
    private static final String WEIGHTS = "Silverlatch-Weights: ";

    /** How the first attempt fails, after a while. */
    private enum FirstAttemptOutcome {
        REFUSED(request -> failure(request, "503 Full", "Silverlatch-Not-Run: 1\r\n")),
        MISDIRECTED(request -> failure(request, "421 Other", "")),
        BROKEN_STREAM(request -> successHead(request) + EVENT_STREAM_HEADERS + WEIGHTS + "7\r\n\r\n" + event(1) + "|");

        private final Function<String, String> reply;

        FirstAttemptOutcome(final Function<String, String> reply) {
            this.reply = reply;
        }
    }

    private static void pause() {
        try {
            Thread.sleep(FIRST_ATTEMPT_MS);
        } catch (final InterruptedException failure) {
            Thread.currentThread().interrupt();
        }
    }

    private static boolean isFirst(final List<String> received) {
        return received.size() <= 1;
    }

    private static String resumedReply(final String request, final String version) {
        return successHead(request) + EVENT_STREAM_HEADERS + WEIGHTS + version + "\r\n\r\n" + event(2) + event(3)
                + "0\r\n\r\n";
    }

    /** Starts two workers; whichever receives the first request sends the first reply to it, later requests get the second reply. */
    private List<StubWorker> startPair(final Function<String, String> first, final Function<String, String> second)
            throws IOException {
        final List<String> received = new java.util.concurrent.CopyOnWriteArrayList<>();
        final Function<String, String> script = request -> {
            received.add(request);
            return isFirst(received) ? first.apply(request) : second.apply(request);
        };
        return List.of(startWorker(script), startWorker(script));
    }

    private static List<String> requests(final List<StubWorker> workers) {
        return workers.stream()
                .flatMap(worker -> worker.received.stream())
                .sorted((a, b) -> Integer.compare(deadline(b), deadline(a)))
                .toList();
    }

    private static int deadline(final String request) {
        return Integer.parseInt(header(request, "Silverlatch-Expiry-Ms"));
    }

    @ParameterizedTest
    @EnumSource(FirstAttemptOutcome.class)
    void theSecondWorkerGetsTheRemainingDeadline(final FirstAttemptOutcome outcome) throws IOException {
        final List<StubWorker> workers = startPair(
                request -> {
                    pause();
                    return outcome.reply.apply(request);
                },
                request -> resumedReply(request, "7"));
        assertThat(post("/again/x", "", "b"), startsWith("HTTP/1.1 200"));
        final List<String> requests = requests(workers);
        assertThat(requests.size(), is(2));
        assertThat(deadline(requests.get(0)), is(lessThanOrEqualTo(CLIENT_DEADLINE_MS)));
        assertThat(
                deadline(requests.get(1)),
                is(both(lessThanOrEqualTo(CLIENT_DEADLINE_MS - FIRST_ATTEMPT_MS))
                        .and(greaterThan(0))));
    }

    @Test
    void aStreamIsResumedWithTheWeightVersionThatStartedIt() throws IOException {
        final List<StubWorker> workers =
                startPair(FirstAttemptOutcome.BROKEN_STREAM.reply, request -> resumedReply(request, "7"));
        final String response = post("/again/x", "", "b");
        assertThat(response, containsString("piece 3"));
        final String resumed = resumed(workers);
        assertThat(header(resumed, "Last-Event-Id"), is("1"));
        assertThat(header(resumed, "Silverlatch-Expected-Weights"), is("7"));
    }

    @Test
    void aStreamIsResumedWithTheLatestWeightVersionOfItsEvents() throws IOException {
        final String changed = chunk("silverlatch-weights: 9\nid: 1\ndata: piece 1\n\n");
        final List<StubWorker> workers = startPair(
                request -> successHead(request) + EVENT_STREAM_HEADERS + WEIGHTS + "7\r\n\r\n" + changed + "|",
                request -> resumedReply(request, "9"));
        assertThat(post("/again/x", "", "b"), containsString("piece 3"));
        assertThat(header(resumed(workers), "Silverlatch-Expected-Weights"), is("9"));
    }

    @Test
    void aStreamIsAbortedIfNoWorkerHasItsWeightVersion() throws IOException {
        startPair(FirstAttemptOutcome.BROKEN_STREAM.reply, request -> failure(request, "421 Other weights", ""));
        final String response = post("/again/x", "", "b");
        assertThat(response, containsString("piece 1"));
        assertThat("it doesn't look complete", response, not(containsString("\r\n0\r\n\r\n")));
    }

    @Test
    void aRetryBeforeTheFirstEventExpectsNoWeightVersion() throws IOException {
        final List<StubWorker> workers =
                startPair(FirstAttemptOutcome.REFUSED.reply, request -> resumedReply(request, "8"));
        assertThat(post("/again/x", "", "b"), startsWith("HTTP/1.1 200"));
        assertThat(
                requests(workers).stream()
                        .allMatch(r -> header(r, "Silverlatch-Expected-Weights").isEmpty()),
                is(true));
    }

    private static String resumed(final List<StubWorker> workers) {
        return workers.stream()
                .flatMap(worker -> worker.received.stream())
                .filter(request -> !header(request, "Last-Event-Id").isEmpty())
                .findFirst()
                .orElse("");
    }
}
