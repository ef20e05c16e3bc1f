package silverlatch.server.workerclient;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.net.ServerSocket;
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

/** The client for workers against a scripted worker on a free port. */
final class BackTest {
    private final BlockingQueue<String> heard = new ArrayBlockingQueue<>(100);
    private final AtomicInteger calls = new AtomicInteger();
    private String door = "";
    private ApiServer web;
    private Back back;

    @BeforeEach
    void open() throws Exception {
        try (ServerSocket s = new ServerSocket(0)) {
            door = "127.0.0.1:" + s.getLocalPort();
        }
        web = new ApiServer(door, 1 << 20, this::worker);
        web.start();
        back = new Back(1_024, "the-workers-key", new Back.Sink() {
            @Override
            public void begun(final long job) {
                heard.add("begun");
            }

            @Override
            public void line(final long job, final StreamRecord line) {
                heard.add(line.toString());
            }

            @Override
            public void failed(final long job, final boolean started, final String why) {
                heard.add("failed " + started);
            }
        });
        back.start();
    }

    @AfterEach
    void close() throws Exception {
        web.stop();
    }

    private void worker(final HttpExchange c) {
        calls.incrementAndGet();
        final String body = new String(c.body(), java.nio.charset.StandardCharsets.UTF_8);
        if (!c.bearerToken().equals("the-workers-key")) {
            c.reply(401, Map.of());
        } else if (body.contains("deny")) {
            c.reply(503, Map.of(), Map.of("X-Started", "no"));
        } else if (body.contains("trouble")) {
            c.reply(503, Map.of());
        } else if (body.contains("long")) {
            c.writeLines("{\"text\":\"" + "x".repeat(2_000) + "\"}\n", true, () -> {}, () -> {});
        } else {
            c.writeLines(
                    "",
                    false,
                    () -> c.writeLines(
                            Lines.write(new StreamRecord.Chunk("t", "t.1", 0, "hi")), true, () -> {}, () -> {}),
                    () -> {});
        }
    }

    private void run(final String prompt, final String address, final long due) {
        back.run(new DispatchEffect.StartAttempt(1, due, "w", address, "t", "t.1", "who", "ask", List.of(5L), prompt));
    }

    private String next() throws InterruptedException {
        return String.valueOf(heard.poll(20, TimeUnit.SECONDS));
    }

    @Test
    void aRunIsTakenStreamedAndEnds() throws InterruptedException {
        run("hello", door, EventLoop.nowMicros() + 60_000_000);
        assertThat(next(), is("begun"));
        assertThat(next(), is(new StreamRecord.Chunk("t", "t.1", 0, "hi").toString()));
        assertThat(next(), is("failed true"));
    }

    @Test
    void onlyADenialOrNoConnectionCountsAsNotStarted() throws InterruptedException {
        run("deny", door, EventLoop.nowMicros() + 60_000_000);
        assertThat(next(), is("failed false"));
        run("trouble", door, EventLoop.nowMicros() + 60_000_000);
        assertThat(next(), is("failed true"));
        run("hello", "127.0.0.1:1", EventLoop.nowMicros() + 60_000_000);
        assertThat(next(), is("failed false"));
    }

    @Test
    void aRunThatWouldLeaveTooLateNeverLeaves() throws InterruptedException {
        run("hello", door, EventLoop.nowMicros() - 1);
        assertThat(next(), is("failed false"));
        run("deny", door, EventLoop.nowMicros() + 60_000_000);
        assertThat(next(), is("failed false"));
        assertThat(calls.get(), is(1));
    }

    @Test
    void aLineBeyondTheBoundIsAFaultOfTheWorker() throws InterruptedException {
        run("long", door, EventLoop.nowMicros() + 60_000_000);
        assertThat(next(), is("begun"));
        assertThat(next(), is(new StreamRecord.Lost("", "a line longer than 1024 bytes").toString()));
    }
}
