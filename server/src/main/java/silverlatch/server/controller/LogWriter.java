package silverlatch.server.controller;

import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.LinkedBlockingQueue;
import silverlatch.log.LogRecord;
import silverlatch.log.WriteAheadLog;
import silverlatch.node.Effect;
import silverlatch.util.Threads;

/** The duty that writes the ledger: all that waits goes in one batch with one sync. */
public final class LogWriter {
    private static final int MOST = 1_024;
    private static final long HEAVY = 4L << 20;
    private final BlockingQueue<Effect.Keep> ring = new LinkedBlockingQueue<>(16_384);
    private final WriteAheadLog ledger;
    private final Told told;

    /** Who is told. */
    public interface Told {
        /** These tokens are synced. */
        void kept(List<Long> tokens);

        /** The disk failed. */
        void broke(String why);
    }

    /** A scribe for a ledger. */
    public LogWriter(final WriteAheadLog ledger, final Told told) {
        this.ledger = ledger;
        this.told = told;
    }

    /** Starts the duty. */
    public void start() {
        Threads.startDaemon("scribe", this::run);
    }

    /** Takes a write. */
    public void write(final Effect.Keep keep) {
        if (!ring.offer(keep)) {
            told.broke("the ledger's ring is full");
        }
    }

    private static long weight(final Effect.Keep keep) {
        return keep.notes().stream()
                .mapToLong(n -> n instanceof LogRecord.Appended d ? d.change().weight() : 64)
                .sum();
    }

    private void run() {
        final List<Effect.Keep> batch = new ArrayList<>();
        while (true) {
            try {
                batch.clear();
                batch.add(ring.take());
                long sum = weight(batch.get(0));
                while (batch.size() < MOST && !ring.isEmpty() && sum + weight(ring.peek()) <= HEAVY) {
                    sum += weight(ring.peek());
                    batch.add(ring.take());
                }
                final List<LogRecord> notes = new ArrayList<>();
                batch.forEach(k -> notes.addAll(k.notes()));
                ledger.write(notes);
                told.kept(batch.stream().map(Effect.Keep::token).toList());
            } catch (final InterruptedException e) {
                return;
            } catch (final IOException | RuntimeException e) {
                told.broke(e.getClass().getSimpleName() + " " + e.getMessage());
                return;
            }
        }
    }
}
