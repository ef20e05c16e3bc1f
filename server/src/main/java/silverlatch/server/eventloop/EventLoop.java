package silverlatch.server.eventloop;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.LongSupplier;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;
import silverlatch.node.Event;
import silverlatch.util.Threads;

/**
 * A thread that runs tasks from a bounded queue in order, and periodically a tick. State that only this thread accesses needs no locks.
 * If a task throws an exception, it is logged and the loop continues; an {@link Error} ends the process, because state may have been
 * changed only partly.
 *
 * <p>The tick interval may depend on what is pending. It is read at each tick and after each task, and the next tick follows within that
 * interval from then on. An idle loop therefore wakes up rarely, and a busy one as often as it needs to.
 */
public final class EventLoop {
    private static final long NANOS_PER_MICRO = 1_000;
    private static final int ERROR_EXIT_CODE = 3;
    private final MpscBlockingConsumerArrayQueue<Runnable> queue;
    private final Thread thread;
    private final LongSupplier tickInterval;
    private final AtomicLong rejectedTasks = new AtomicLong();

    /**
     * Creates an event loop with a fixed tick interval that isn't started yet.
     *
     * @param name       the thread's name
     * @param capacity   how many tasks may be queued
     * @param tickMicros the time from one tick to the next
     * @param onTick     is run at each tick, on the loop's thread
     */
    public EventLoop(final String name, final int capacity, final long tickMicros, final Runnable onTick) {
        this(name, capacity, () -> tickMicros, onTick);
    }

    /**
     * Creates an event loop with a variable tick interval that isn't started yet.
     *
     * @param name         the thread's name
     * @param capacity     how many tasks may be queued
     * @param tickInterval returns the time within which the next tick is needed, in microseconds; called on the loop's thread
     * @param onTick       is run at each tick, on the loop's thread
     */
    public EventLoop(final String name, final int capacity, final LongSupplier tickInterval, final Runnable onTick) {
        this.queue = new MpscBlockingConsumerArrayQueue<>(capacity);
        this.tickInterval = tickInterval;
        this.thread = Threads.daemon(name, () -> run(onTick));
    }

    /** Returns the monotonic clock of the process, in microseconds from an arbitrary origin. */
    public static long nowMicros() {
        return System.nanoTime() / NANOS_PER_MICRO;
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Queues a task; returns false if the queue is full. Callable from any thread; doesn't block. */
    public boolean post(final Runnable task) {
        if (!queue.offer(task)) {
            rejectedTasks.incrementAndGet();
            return false;
        }
        return true;
    }

    /** Returns how many tasks were rejected because the queue was full. */
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
