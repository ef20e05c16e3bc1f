package silverlatch.server.controller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.nullValue;

import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import silverlatch.gossip.Worker;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;

/**
 * Announcements to a controller on a running event loop that ticks only when the test triggers it. Guards against acknowledging that a
 * worker is draining or gone before the report is confirmed, which happens at the next tick.
 */
final class WorkerAnnouncementsTest {
    private static final long HOUR_MICROS = 3_600_000_000L;
    private final EventLoopHandle eventLoop = new EventLoopHandle(
            IsolatedNode.create(EventLoop.nowMicros()), HOUR_MICROS, frame -> {}, write -> {}, node -> {});
    private final WorkerAnnouncements announcements = new WorkerAnnouncements(eventLoop, HOUR_MICROS);
    private final BlockingQueue<Boolean> replies = new LinkedBlockingQueue<>();

    private static Worker worker(final long sequence, final boolean isDraining) {
        return new Worker("w", "10.0.0.1:1", "z", "r", 1, sequence, 0, 0, 4, List.of(), isDraining, 0);
    }

    private Boolean nextReply(final long timeoutMillis) throws InterruptedException {
        return replies.poll(timeoutMillis, TimeUnit.MILLISECONDS);
    }

    private void tick() {
        eventLoop.execute(node -> node.tick(EventLoop.nowMicros(), EventLoopHandle.wallClockNanos()));
    }

    @BeforeEach
    void start() {
        eventLoop.start();
    }

    @Test
    void aReportOfServiceIsAcknowledgedAtOnceAndOneOfDrainingAfterTheNextTick() throws Exception {
        announcements.announce(worker(1, false), replies::add);
        assertThat(nextReply(5_000), is(true));
        announcements.announce(worker(2, true), replies::add);
        assertThat(nextReply(200), is(nullValue()));
        tick();
        assertThat(nextReply(5_000), is(true));
        announcements.announce(worker(3, true), replies::add);
        assertThat("the worker's draining was confirmed before", nextReply(5_000), is(true));
    }

    /** A report read after a pause could bring back a worker that had ended and been forgotten meanwhile. */
    @Test
    void aReportThatMayHaveWaitedDuringAPauseIsRejectedUntilEverythingWasRead() throws Exception {
        eventLoop.execute(node -> sleep(1_300));
        announcements.announce(worker(1, false), replies::add);
        assertThat(nextReply(10_000), is(false));
        final long end = EventLoop.nowMicros() + 10_000_000;
        boolean isAccepted = false;
        for (long sequence = 2; !isAccepted && EventLoop.nowMicros() < end; sequence++) {
            TimeUnit.MILLISECONDS.sleep(20);
            announcements.announce(worker(sequence, false), replies::add);
            isAccepted = nextReply(10_000);
        }
        assertThat("accepted again within ten seconds", isAccepted, is(true));
    }

    private static void sleep(final long millis) {
        try {
            TimeUnit.MILLISECONDS.sleep(millis);
        } catch (final InterruptedException interrupted) {
            throw new IllegalStateException(interrupted);
        }
    }

    @Test
    void aGoneWorkerIsAcknowledgedAfterTheNextTickAndAnUnknownOneIsRejected() throws Exception {
        announcements.markWorkerGone("w", replies::add);
        assertThat(nextReply(5_000), is(false));
        announcements.announce(worker(1, false), replies::add);
        assertThat(nextReply(5_000), is(true));
        announcements.markWorkerGone("w", replies::add);
        assertThat(nextReply(200), is(nullValue()));
        tick();
        assertThat(nextReply(5_000), is(true));
    }
}
