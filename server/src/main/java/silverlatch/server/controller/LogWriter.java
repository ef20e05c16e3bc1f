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
 * Writes the log on a thread of its own: all pending writes go in one batch with one sync. After a failed write it drops the
 * pending ones, of which none was acknowledged, and reopens the folder with a growing backoff until the disk takes writes.
 */
public final class LogWriter {
    private static final int MAX_BATCH_WRITES = 1_024;
    private static final long MAX_BATCH_BYTES = 4L << 20;
    private static final long INITIAL_BACKOFF_MS = 1_000;
    private static final long MAX_BACKOFF_MS = 8_000;

    /** A disk that took writes for so long starts over with the initial backoff. */
    private static final long STABLE_NANOS = TimeUnit.SECONDS.toNanos(30);

    private static final int MAX_PENDING_WRITES = 16_384;

    /** What a record other than an entry weighs in a batch. */
    private static final long SMALL_RECORD_BYTES = 64;

    private final BlockingQueue<Effect.Persist> queue = new LinkedBlockingQueue<>(MAX_PENDING_WRITES);
    private final Listener listener;
    private final long initialBackoffMs;
    private WriteAheadLog log;
    private long backoffMs;
    private long writableSince;
    private volatile boolean overflowed;

    /** Is notified of what became of writes, on the writer's thread. */
    public interface Listener {
        /** The writes of these tokens are on disk. */
        void onSynced(List<Long> tokens);

        /** The disk failed; {@code onWritesStopped} is to be run once no more writes come that were submitted before. */
        void onFailed(String reason, Runnable onWritesStopped);

        /** The disk takes writes again, and this is what the log holds; writes submitted from now on are taken. */
        void onRecovered(List<LogRecord> records);
    }

    /** A writer of an open log, of which it is the only one. */
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

    /** Submits a write; one too many counts as a failure of the disk. Callable from any thread. */
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
                throw new IOException("too many writes wait");
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
