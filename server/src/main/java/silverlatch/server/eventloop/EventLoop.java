package silverlatch.server.eventloop;

import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jctools.queues.MpscBlockingConsumerArrayQueue;
import silverlatch.node.Event;
import silverlatch.util.Threads;

/** A thread that takes continuations from a bounded ring, and beats at a steady period. */
public final class EventLoop {
    private final MpscBlockingConsumerArrayQueue<Runnable> ring;
    private final Thread thread;
    private final long period;
    private final AtomicLong full = new AtomicLong();
    private volatile boolean over;

    /** An event loop with a ring of so many places and a beat each so many microseconds. */
    public EventLoop(final String name, final int size, final long period, final Runnable beat) {
        this.ring = new MpscBlockingConsumerArrayQueue<>(size);
        this.period = period;
        this.thread = Threads.daemon(name, () -> run(beat));
    }

    /** The monotonic clock in whole microseconds. */
    public static long now() {
        return System.nanoTime() / 1000;
    }

    /** Starts the thread. */
    public void start() {
        thread.start();
    }

    /** Hands over a continuation; false when the ring is full. */
    public boolean post(final Runnable next) {
        if (over || !ring.offer(next)) {
            full.incrementAndGet();
            return false;
        }
        return true;
    }

    /** How often the ring was full. */
    public long full() {
        return full.get();
    }

    /** Ends the thread. */
    public void stop() {
        over = true;
        thread.interrupt();
    }

    private void run(final Runnable beat) {
        long next = now();
        while (!over) {
            try {
                final long span = next - now();
                if (span <= 0) {
                    next = now() + period;
                    beat.run();
                    continue;
                }
                Optional.ofNullable(ring.poll(span, TimeUnit.MICROSECONDS)).ifPresent(Runnable::run);
            } catch (final InterruptedException e) {
                return;
            } catch (final RuntimeException e) {
                Logs.write(Event.FAULT, thread.getName(), e);
            } catch (final Error e) {
                Logs.write(Event.FAULT, thread.getName() + " ends the process", e);
                Runtime.getRuntime().halt(3);
            }
        }
    }
}
