package silverlatch.server.eventloop;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;
import silverlatch.node.Event;
import silverlatch.util.Threads;

/**
 * A thread that runs tasks from a bounded queue in their order, and a tick from time to time. What it owns needs no locks. A task
 * that fails is logged and the loop goes on; an {@link Error} ends the process, as state may be half changed.
 *
 * <p>The interval of the ticks may depend on what the loop has to do: it is asked for after each tick and each task, and the next
 * tick comes no later than that from then on. So an idle loop wakes up seldom, and a busy one is as precise as it needs to be.
 */
public final class EventLoop {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final int ERROR_EXIT_CODE = 3;
    private final MpscBlockingConsumerArrayQueue<Runnable> queue;
    private final Thread thread;
    private final LongSupplier tickInterval;
    private final AtomicLong rejectedTasks = new AtomicLong();

    /**
     * An event loop that isn't started yet.
     *
     * @param name       the thread's name
     * @param capacity   how many tasks may be queued
     * @param tickMicros the time from one tick to the next
     * @param onTick     what is run at each tick, on the loop's thread
     */
    public EventLoop(final String name, final int capacity, final long tickMicros, final Runnable onTick) {
        this(name, capacity, () -> tickMicros, onTick);
    }

    /**
     * An event loop that isn't started yet, whose interval varies.
     *
     * @param name         the thread's name
     * @param capacity     how many tasks may be queued
     * @param tickInterval the microseconds to the next tick as things stand; called on the loop's thread
     * @param onTick       what is run at each tick, on the loop's thread
     */
    public EventLoop(final String name, final int capacity, final LongSupplier tickInterval, final Runnable onTick) {
        this.queue = new MpscBlockingConsumerArrayQueue<>(capacity);
        this.tickInterval = tickInterval;
        this.thread = Threads.daemon(name, () -> run(onTick));
    }

    /** The monotonic clock of the process, in microseconds from an arbitrary origin. */
    public static long nowMicros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Queues a task; false where the queue is full. Callable from any thread; doesn't block. */
    public boolean post(final Runnable task) {
        if (!queue.offer(task)) {
            rejectedTasks.incrementAndGet();
            return false;
        }
        return true;
    }

    /** How many tasks were not accepted. */
    public long rejectedTasks() {
        return rejectedTasks.get();
    }

    private void run(final Runnable onTick) {
        long nextTickAt = nowMicros();
        while (true) {
            try {
                final long untilTick = nextTickAt - nowMicros();
                if (untilTick <= 0) {
                    nextTickAt = nowMicros() + tickInterval.getAsLong();
                    onTick.run();
                    continue;
                }
                final Optional<Runnable> task = Optional.ofNullable(queue.poll(untilTick, TimeUnit.MICROSECONDS));
                if (task.isPresent()) {
                    task.get().run();
                    nextTickAt = Math.min(nextTickAt, nowMicros() + tickInterval.getAsLong());
                }
            } catch (final InterruptedException interrupted) {
                return;
            } catch (final RuntimeException failure) {
                EventLog.write(Event.FAULT, thread.getName(), failure);
            } catch (final Error error) {
                EventLog.write(Event.FAULT, thread.getName() + " ends the process", error);
                Runtime.getRuntime().halt(ERROR_EXIT_CODE);
            }
        }
    }
}
