package silverlatch.server.eventloop;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.concurrent.atomic.AtomicLong;
import org.junit.jupiter.api.Test;

/**
 * Guards against an event loop with a variable tick interval that wakes up too often while it is idle, whose next tick comes too late
 * after a task has shortened the interval, or whose ticks are postponed by a steady stream of tasks.
 */
final class EventLoopTest {
    private static final long SHORT_MICROS = 10_000L;
    private static final long LONG_MICROS = 60_000_000L;

    @Test
    void aTaskThatShortensTheIntervalBringsTheNextTickForward() throws InterruptedException {
        final AtomicLong interval = new AtomicLong(LONG_MICROS);
        final CountDownLatch ticks = new CountDownLatch(4);
        final EventLoop loop = new EventLoop("test-loop", 16, interval::get, ticks::countDown);
        loop.start();
        loop.post(() -> interval.set(SHORT_MICROS));
        assertThat(
                "the first tick and three more come long before the original interval has passed",
                ticks.await(20, TimeUnit.SECONDS),
                is(true));
    }

    @Test
    void anIdleLoopTicksOnceUntilItsLongIntervalHasPassed() throws InterruptedException {
        final AtomicInteger ticks = new AtomicInteger();
        final EventLoop loop = new EventLoop("test-loop", 16, () -> LONG_MICROS, ticks::incrementAndGet);
        loop.start();
        TimeUnit.MILLISECONDS.sleep(200);
        assertThat("at most the tick at the start", ticks.get(), is(lessThanOrEqualTo(1)));
    }

    @Test
    void frequentTasksDoNotDelayTheTicks() throws InterruptedException {
        final AtomicInteger ticks = new AtomicInteger();
        final EventLoop loop = new EventLoop("test-loop", 16, () -> 4 * SHORT_MICROS, ticks::incrementAndGet);
        loop.start();
        final long end = EventLoop.nowMicros() + 100 * SHORT_MICROS;
        while (EventLoop.nowMicros() < end) {
            loop.post(() -> {});
            TimeUnit.MILLISECONDS.sleep(1);
        }
        assertThat(ticks.get(), is(greaterThanOrEqualTo(5)));
        assertThat(ticks.get(), is(lessThan(60)));
    }
}
