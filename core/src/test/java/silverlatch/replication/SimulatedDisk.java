package silverlatch.replication;

import java.util.List;
import silverlatch.log.LogRecord;
import silverlatch.wire.Codec;

/** A model of a disk with a sync duration and a capacity, which tests can fill or stall. */
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
    private boolean failsFromNextSnapshot;

    /** Creates a disk with this sync duration in microseconds and this capacity in bytes. */
    SimulatedDisk(final long syncMicros, final long capacity) {
        this.syncMicros = syncMicros;
        this.capacity = capacity;
    }

    /** Returns when a write that begins now will be synced; a write with a snapshot takes four times as long. */
    long syncedAt(final long now, final List<LogRecord> records) {
        final boolean snapshot = records.stream().anyMatch(LogRecord.Snapshot.class::isInstance);
        freeAt = Math.max(Math.max(freeAt, stalledUntil), now) + (snapshot ? 4 * syncMicros : syncMicros);
        return freeAt;
    }

    /**
     * Accounts for a write; returns false if the disk is full. As in the real log, a snapshot needs space in addition to the
     * older files, which are deleted only once it is synced.
     */
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
        full |= failsFromNextSnapshot && snapshot > 0;
        failsFromNextSnapshot &= snapshot == 0;
        if (full || total > capacity) {
            return false;
        }
        peakBytes = Math.max(peakBytes, total);
        logBytes = snapshot > 0 ? others : logBytes + others;
        snapshotBytes = snapshot > 0 ? snapshot : snapshotBytes;
        return true;
    }

    /** Returns the largest number of bytes that was on the disk at once. */
    long peakBytes() {
        return peakBytes;
    }

    /** Sets whether all writes fail. */
    void setFull(final boolean isFull) {
        full = isFull;
    }

    /** Returns whether all writes fail. */
    boolean isFull() {
        return full;
    }

    /** Makes all writes fail from the next snapshot on. */
    void failFromNextSnapshot() {
        failsFromNextSnapshot = true;
    }

    /** Sets the duration of a sync from now on, in microseconds. */
    void setSyncMicros(final long spanMicros) {
        syncMicros = spanMicros;
    }

    /** Delays all syncs until this time. */
    void stallUntil(final long until) {
        stalledUntil = until;
    }
}
