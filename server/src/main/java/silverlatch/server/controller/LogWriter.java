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
 * Writes the write-ahead log on its own thread. Pending writes are combined into batches, each with one sync. After a failed write it
 * drops all pending writes, none of which was acknowledged, and reopens the data directory with exponential backoff until the disk
 * accepts writes again.
 */
public final class LogWriter {
    private static final int MAX_BATCH_WRITES = 1_024;
    private static final long MAX_BATCH_BYTES = 4L << 20;
    private static final long INITIAL_BACKOFF_MS = 1_000;
    private static final long MAX_BACKOFF_MS = 8_000;

    /** If the log was writable for longer than this before a failure, the backoff starts at its initial value again. */
    private static final long STABLE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final int MAX_PENDING_WRITES = 16_384;

    /** Estimated size of a record other than an appended entry. */
    private static final long SMALL_RECORD_BYTES = 64;

    private final BlockingQueue<Effect.Persist> queue = new LinkedBlockingQueue<>(MAX_PENDING_WRITES);
    private final Listener listener;
    private final long initialBackoffMs;
    private WriteAheadLog log;
    private long backoffMs;
    private long writableSince;
    private volatile boolean overflowed;

    /** Is notified of synced writes and of failures and recoveries of the disk, on the writer's thread. */
    public interface Listener {
        /** The writes with these tokens are synced to disk. */
        void onSynced(List<Long> tokens);

        /**
         * A write failed, or too many writes were pending. The listener must run {@code onWritesStopped} once no more writes will be
         * submitted until {@link #onRecovered}.
         */
        void onFailed(String reason, Runnable onWritesStopped);

        /** The log is open again and holds these records; writes submitted from now on are accepted. */
        void onRecovered(List<LogRecord> records);
    }

    /** Creates the only writer of an open log. */
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
        writableSince = System.nanoTime();
        Threads.startDaemon("log-writer", this::run);
    }

    /** Queues a write; a full queue is handled like a failure of the disk. Callable from any thread; doesn't block. */
    public void write(final Effect.Persist request) {
        if (!queue.offer(request)) {
            overflowed = true;
        }
    }

    private void run() {
        while (true) {
            try {
                writeBatches();
            } catch (final InterruptedException interrupted) {
                return;
            } catch (final IOException | RuntimeException failure) {
                try {
                    recover(failure.getClass().getSimpleName() + " " + failure.getMessage());
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
            batch.forEach(write -> records.addAll(write.records()));
            log.write(records);
            if (overflowed) {
                throw new IOException("too many pending writes: the queue is full");
            }
            listener.onSynced(batch.stream().map(Effect.Persist::token).toList());
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
                .mapToLong(record -> record instanceof LogRecord.Appended appended
                        ? appended.entry().estimatedBytes()
                        : SMALL_RECORD_BYTES)
                .sum();
    }

    private void recover(final String reason) throws InterruptedException {
        final CountDownLatch writesStopped = new CountDownLatch(1);
        listener.onFailed(reason, writesStopped::countDown);
        writesStopped.await();
        queue.clear();
        overflowed = false;
        backoffMs = System.nanoTime() - writableSince > STABLE_NANOS
                ? initialBackoffMs
                : Math.min(MAX_BACKOFF_MS, 2 * backoffMs);
        while (true) {
            TimeUnit.MILLISECONDS.sleep(backoffMs);
            if (log.reopen() instanceof WriteAheadLog.OpenResult.Success opened) {
                log = opened.log();
                writableSince = System.nanoTime();
                listener.onRecovered(opened.records());
                return;
            }
        }
    }
}
