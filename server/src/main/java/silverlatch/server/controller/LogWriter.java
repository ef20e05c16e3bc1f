package silverlatch.server.controller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.LinkedBlockingQueue;
import java.util.concurrent.TimeUnit;
import silverlatch.log.LogRecord;
import silverlatch.log.WriteAheadLog;
import silverlatch.node.Effect;
import silverlatch.util.Threads;

/**
 * The thread that writes the log: all that waits goes in one batch with one sync. After a failed write it drops what
 * waits, as none of it was promised to anybody, and opens the folder again until the disk takes writes.
 */
public final class LogWriter {
    private static final int MAX_BATCH_WRITES = 1_024;
    private static final long MAX_BATCH_BYTES = 4L << 20;
    private static final long INITIAL_BACKOFF_MS = 1_000;
    private static final long MAX_BACKOFF_MS = 8_000;
    private static final long STABLE_NANOS = TimeUnit.SECONDS.toNanos(30);
    private final BlockingQueue<Effect.Persist> queue = new LinkedBlockingQueue<>(16_384);
    private final Listener listener;
    private final long initialBackoffMs;
    private WriteAheadLog log;
    private long backoffMs;
    private long recoveredAt;
    private volatile boolean overflowed;

    /** Who is told; all calls but that of an overflow come from the writer's thread. */
    public interface Listener {
        /** These tokens are synced. */
        void synced(List<Long> tokens);

        /** The disk failed; {@code fenced} is to be run once no more writes come that were made before. */
        void failed(String why, Runnable fenced);

        /** The disk takes writes again, and this is what the log holds; writes made from now on are taken. */
        void recovered(List<LogRecord> records);
    }

    /** A writer of a log. */
    public LogWriter(final WriteAheadLog log, final Listener listener) {
        this(log, listener, INITIAL_BACKOFF_MS);
    }

    LogWriter(final WriteAheadLog log, final Listener listener, final long initialBackoffMs) {
        this.log = log;
        this.listener = listener;
        this.initialBackoffMs = initialBackoffMs;
        this.backoffMs = initialBackoffMs;
    }

    /** Starts the thread. */
    public void start() {
        recoveredAt = System.nanoTime();
        Threads.startDaemon("log-writer", this::run);
    }

    /** Takes a write. */
    public void write(final Effect.Persist request) {
        if (!queue.offer(request)) {
            overflowed = true;
        }
    }

    private void run() {
        while (true) {
            try {
                writeBatches();
            } catch (final InterruptedException e) {
                return;
            } catch (final IOException | RuntimeException e) {
                try {
                    recover(e.getClass().getSimpleName() + " " + e.getMessage());
                } catch (final InterruptedException stopped) {
                    return;
                }
            }
        }
    }

    private void writeBatches() throws IOException, InterruptedException {
        while (true) {
            final List<Effect.Persist> batch = nextBatch();
            final List<LogRecord> records = new ArrayList<>();
            batch.forEach(k -> records.addAll(k.records()));
            log.write(records);
            if (overflowed) {
                throw new IOException("too many writes wait");
            }
            listener.synced(batch.stream().map(Effect.Persist::token).toList());
        }
    }

    private List<Effect.Persist> nextBatch() throws InterruptedException {
        final List<Effect.Persist> batch = new ArrayList<>();
        batch.add(queue.take());
        long batchBytes = sizeOf(batch.get(0));
        while (batch.size() < MAX_BATCH_WRITES
                && !queue.isEmpty()
                && batchBytes + sizeOf(queue.peek()) <= MAX_BATCH_BYTES) {
            batchBytes += sizeOf(queue.peek());
            batch.add(queue.take());
        }
        return batch;
    }

    private static long sizeOf(final Effect.Persist request) {
        return request.records().stream()
                .mapToLong(n -> n instanceof LogRecord.Appended d ? d.entry().estimatedBytes() : 64)
                .sum();
    }

    private void recover(final String why) throws InterruptedException {
        final CountDownLatch fenced = new CountDownLatch(1);
        listener.failed(why, fenced::countDown);
        fenced.await();
        queue.clear();
        overflowed = false;
        backoffMs = System.nanoTime() - recoveredAt > STABLE_NANOS
                ? initialBackoffMs
                : Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        while (true) {
            TimeUnit.MILLISECONDS.sleep(backoffMs);
            if (log.reopen() instanceof WriteAheadLog.OpenResult.Success good) {
                log = good.log();
                recoveredAt = System.nanoTime();
                listener.recovered(good.records());
                return;
            }
        }
    }
}
