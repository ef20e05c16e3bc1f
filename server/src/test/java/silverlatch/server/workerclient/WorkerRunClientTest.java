package silverlatch.server.workerclient;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.StreamRecord;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.web.ApiServer;
import silverlatch.server.web.HttpExchange;

/**
 * Guards against runs that are reported as not started although the worker may execute them, which would let the dispatcher repeat
 * them, and against runs that are sent too late. Runs the client against a scripted worker on a free port.
 */
final class WorkerRunClientTest {
    private final BlockingQueue<String> events = new ArrayBlockingQueue<>(100);
    private final AtomicInteger callCount = new AtomicInteger();
    private String address = "";
    private ApiServer apiServer;
    private WorkerRunClient client;

    @BeforeEach
    void open() throws Exception {
        try (ServerSocket socket = new ServerSocket(0)) {
            address = "127.0.0.1:" + socket.getLocalPort();
        }
        apiServer = new ApiServer(address, 1 << 20, this::serveRun);
        apiServer.start();
        client = new WorkerRunClient(1_024, "the-workers-key", new WorkerRunClient.Listener() {
            @Override
            public void onStarted(final long operationId) {
                events.add("started");
            }

            @Override
            public void onRecord(final long operationId, final StreamRecord record) {
                events.add(record.toString());
            }

            @Override
            public void onEnded(final long operationId, final boolean started, final String reason) {
                events.add("ended, started: " + started);
            }
        });
        client.start();
    }

    @AfterEach
    void close() throws Exception {
        client.stop();
        apiServer.stop();
    }

    private void serveRun(final HttpExchange exchange) {
        callCount.incrementAndGet();
        final String body = new String(exchange.body(), StandardCharsets.UTF_8);
        if (!exchange.bearerToken().equals("the-workers-key")) {
            exchange.reply(401, Map.of());
        } else if (body.contains("deny")) {
            exchange.reply(503, Map.of(), Map.of("X-Started", "no"));
        } else if (body.contains("trouble")) {
            exchange.reply(503, Map.of());
        } else if (body.contains("long")) {
            exchange.writeLines("{\"text\":\"" + "x".repeat(2_000) + "\"}\n", true, () -> {}, () -> {});
        } else {
            exchange.writeLines(
                    "",
                    false,
                    () -> exchange.writeLines(
                            StreamRecordEncoder.encode(new StreamRecord.Chunk("t", "t.1", 0, "hi")),
                            true,
                            () -> {},
                            () -> {}),
                    () -> {});
        }
    }

    private void startRun(final String prompt, final String address, final long deadline) {
        client.startRun(new DispatchEffect.StartAttempt(
                1, deadline, "w", address, "t", "t.1", "who", "ask", List.of(5L), prompt));
    }

    private String nextEvent() throws InterruptedException {
        return String.valueOf(events.poll(20, TimeUnit.SECONDS));
    }

    @Test
    void anAcceptedRunIsStreamedAndThenReportedAsEnded() throws InterruptedException {
        startRun("hello", address, EventLoop.nowMicros() + 60_000_000);
        assertThat(nextEvent(), is("started"));
        assertThat(nextEvent(), is(new StreamRecord.Chunk("t", "t.1", 0, "hi").toString()));
        assertThat(nextEvent(), is("ended, started: true"));
    }

    @Test
    void onlyARejectionOrAFailedConnectionCountsAsNotStarted() throws InterruptedException {
        startRun("deny", address, EventLoop.nowMicros() + 60_000_000);
        assertThat(nextEvent(), is("ended, started: false"));
        startRun("trouble", address, EventLoop.nowMicros() + 60_000_000);
        assertThat(nextEvent(), is("ended, started: true"));
        startRun("hello", "127.0.0.1:1", EventLoop.nowMicros() + 60_000_000);
        assertThat(nextEvent(), is("ended, started: false"));
    }

    @Test
    void aRunIsNotSentAfterItsSendDeadline() throws InterruptedException {
        startRun("hello", address, EventLoop.nowMicros() - 1);
        assertThat(nextEvent(), is("ended, started: false"));
        startRun("deny", address, EventLoop.nowMicros() + 60_000_000);
        assertThat(nextEvent(), is("ended, started: false"));
        assertThat(callCount.get(), is(1));
    }

    @Test
    void aLineAboveTheLengthLimitIsReportedAsLost() throws InterruptedException {
        startRun("long", address, EventLoop.nowMicros() + 60_000_000);
        assertThat(nextEvent(), is("started"));
        assertThat(nextEvent(), is(new StreamRecord.Lost("", "a line longer than 1024 bytes").toString()));
    }
}
