package silverlatch.server.eventloop;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;
import silverlatch.node.Event;
import silverlatch.util.Threads;

/** A thread that takes continuations from a bounded ring, and beats at a steady period. */
public final class EventLoop {
    private final MpscBlockingConsumerArrayQueue<Runnable> queue;
    private final Thread thread;
    private final long tickMicros;
    private final AtomicLong rejectedTasks = new AtomicLong();
    private volatile boolean stopped;

    /** An event loop with a ring of so many places and a beat each so many microseconds. */
    public EventLoop(final String name, final int capacity, final long tickMicros, final Runnable onTick) {
        this.queue = new MpscBlockingConsumerArrayQueue<>(capacity);
        this.tickMicros = tickMicros;
        this.thread = Threads.daemon(name, () -> run(onTick));
    }

    /** The monotonic clock in whole microseconds. */
    public static long nowMicros() {
        return System.nanoTime() / 1000;
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Hands over a continuation; false when the ring is full. */
    public boolean post(final Runnable task) {
        if (stopped || !queue.offer(task)) {
            rejectedTasks.incrementAndGet();
            return false;
        }
        return true;
    }

    /** How often the ring was full. */
    public long rejectedTasks() {
        return rejectedTasks.get();
    }

    /** Ends the thread. */
    public void stop() {
        stopped = true;
        thread.interrupt();
    }

    private void run(final Runnable onTick) {
        long nextTickAt = nowMicros();
        while (!stopped) {
            try {
                final long untilTick = nextTickAt - nowMicros();
                if (untilTick <= 0) {
                    nextTickAt = nowMicros() + tickMicros;
                    onTick.run();
                    continue;
                }
                Optional.ofNullable(queue.poll(untilTick, TimeUnit.MICROSECONDS))
                        .ifPresent(Runnable::run);
            } catch (final InterruptedException e) {
                return;
            } catch (final RuntimeException e) {
                EventLog.write(Event.FAULT, thread.getName(), e);
            } catch (final Error e) {
                EventLog.write(Event.FAULT, thread.getName() + " ends the process", e);
                Runtime.getRuntime().halt(3);
            }
        }
    }
}
