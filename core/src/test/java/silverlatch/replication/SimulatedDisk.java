package silverlatch.replication;

import java.util.List;
import silverlatch.log.LogRecord;
import silverlatch.wire.Codec;

/** What a small disk takes: how long a sync is, how many bytes fit; it can be full, or stalled until a time. */
final class SimulatedDisk {
    private static final long HEADER_BYTES = 16;
    private final Codec codec = Codec.forLog();
    private long syncMicros;
    private final long capacity;
    private long logBytes;
    private long snapshotBytes;
    private long peakBytes;
    private long freeAt;
    private long stalledUntil;
    private boolean full;
    private boolean fullAtSnapshot;

    /** A disk with so many microseconds a sync and so many bytes. */
    SimulatedDisk(final long syncMicros, final long capacity) {
        this.syncMicros = syncMicros;
        this.capacity = capacity;
    }

    /** When a write that begins now is synced. */
    long syncedAt(final long now, final List<LogRecord> records) {
        final boolean snapshot = records.stream().anyMatch(LogRecord.Snapshot.class::isInstance);
        freeAt = Math.max(Math.max(freeAt, stalledUntil), now) + (snapshot ? 4 * syncMicros : syncMicros);
        return freeAt;
    }

    /** Takes a write, as the log does: a snapshot stands beside the older files until it is synced; false when full. */
    boolean write(final List<LogRecord> records) {
        long snapshot = 0;
        long others = 0;
        for (final LogRecord record : records) {
            final long bytes = HEADER_BYTES + codec.encode(record, Integer.MAX_VALUE - 8).length;
            if (record instanceof LogRecord.Snapshot) {
                snapshot += bytes;
            } else {
                others += bytes;
            }
        }
        final long total = logBytes + snapshotBytes + snapshot + others;
        full |= fullAtSnapshot && snapshot > 0;
        fullAtSnapshot &= snapshot == 0;
        if (full || total > capacity) {
            return false;
        }
        peakBytes = Math.max(peakBytes, total);
        logBytes = snapshot > 0 ? others : logBytes + others;
        snapshotBytes = snapshot > 0 ? snapshot : snapshotBytes;
        return true;
    }

    /** The most that was on the disk at once. */
    long peakBytes() {
        return peakBytes;
    }

    /** Refuses every write, or takes them again. */
    void full(final boolean on) {
        full = on;
    }

    /** Whether it refuses writes. */
    boolean full() {
        return full;
    }

    /** The disk is full from the next snapshot on. */
    void fullAtSnapshot() {
        fullAtSnapshot = true;
    }

    /** A sync takes so many microseconds from now on. */
    void syncMicros(final long span) {
        syncMicros = span;
    }

    /** Hangs until a time. */
    void stallUntil(final long until) {
        stalledUntil = until;
    }
}
