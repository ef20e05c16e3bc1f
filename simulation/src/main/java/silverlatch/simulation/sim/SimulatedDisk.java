package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;

/**
 * A simulated disk. Synced records survive a power loss, others may be lost. The disk can stall, be full, slow down, report a
 * sync before it is durable, or be replaced by an empty one. Times are microseconds.
 */
public final class SimulatedDisk {
    private static final long MIN_SYNC = 300L;
    private static final long SYNC_JITTER = 2_000L;
    private static final long ERROR_DELAY = 500L;
    private static final long LYING_DELAY = 3_000_000L;
    private final EventScheduler scheduler;
    private final List<LogRecord> records = new ArrayList<>();
    private final java.util.Deque<Effect.Persist> unsynced = new java.util.ArrayDeque<>();
    private final List<Runnable> stalledWrites = new ArrayList<>();
    private String identity;
    private long generation;
    private long idleAt;
    private boolean stalled;
    private boolean full;
    private boolean lying;
    private long tornWrites;
    private long slowdown = 1;

    /** Creates an empty disk with a random identity. */
    public SimulatedDisk(final EventScheduler scheduler) {
        this.scheduler = scheduler;
        this.identity = randomIdentity();
    }

    /** Returns the identity that was created with the data directory. */
    public String identity() {
        return identity;
    }

    /** Returns the synced records, from the newest snapshot on. */
    public List<LogRecord> records() {
        return List.copyOf(records);
    }

    /**
     * Writes and syncs records, unless the power fails first.
     *
     * @param persist  the records to write
     * @param onSynced receives the write's token when the disk reports the sync
     * @param onFailed receives the reason if the disk is full
     */
    public void write(final Effect.Persist persist, final Consumer<Long> onSynced, final Consumer<String> onFailed) {
        if (full) {
            scheduler.schedule(ERROR_DELAY, whilePowered(() -> onFailed.accept("no space left")));
            return;
        }
        unsynced.add(persist);
        final Runnable sync = whilePowered(() -> sync(persist, onSynced));
        if (stalled) {
            stalledWrites.add(sync);
            return;
        }
        final long duration = (MIN_SYNC + scheduler.random().nextLong(SYNC_JITTER)) * slowdown;
        idleAt = Math.max(idleAt, scheduler.now() + duration);
        scheduler.scheduleAt(idleAt, () -> {
            if (stalled) {
                stalledWrites.add(sync);
            } else {
                sync.run();
            }
        });
    }

    private Runnable whilePowered(final Runnable task) {
        final long current = generation;
        return () -> {
            if (current == generation) {
                task.run();
            }
        };
    }

    private void sync(final Effect.Persist persist, final Consumer<Long> onSynced) {
        final Runnable store = () -> {
            if (unsynced.remove(persist)) {
                append(persist.records());
            }
        };
        if (lying) {
            scheduler.schedule(LYING_DELAY, whilePowered(store));
        } else {
            store.run();
        }
        onSynced.accept(persist.token());
    }

    /** Returns how many power losses left a random prefix of the unsynced writes on the disk. */
    public long tornWrites() {
        return tornWrites;
    }

    /** Sets whether the disk reports a sync at once, while the records stay in a volatile cache for another 3 s. */
    public void setLying(final boolean newLying) {
        lying = newLying;
    }

    /** Simulates a power loss: unsynced writes are lost, or a random prefix of them has become durable all the same. */
    public void losePower() {
        generation++;
        if (!lying && !unsynced.isEmpty() && scheduler.random().nextBoolean()) {
            tornWrites++;
            final List<Effect.Persist> unsyncedWrites = List.copyOf(unsynced);
            unsyncedWrites
                    .subList(0, scheduler.random().nextInt(unsyncedWrites.size() + 1))
                    .forEach(write -> append(write.records()));
        }
        unsynced.clear();
        stalledWrites.clear();
        idleAt = 0;
    }

    /** Stalls all writes, or resumes the stalled ones. */
    public void stall(final boolean stall) {
        stalled = stall;
        if (!stall) {
            final List<Runnable> resumed = List.copyOf(stalledWrites);
            stalledWrites.clear();
            resumed.forEach(r -> scheduler.schedule(100, r));
        }
    }

    /** Sets whether the disk is full, that is, rejects writes. */
    public void setFull(final boolean newFull) {
        full = newFull;
    }

    /** Returns whether the disk is full, that is, rejects writes. */
    public boolean isFull() {
        return full;
    }

    /** Discards the pending writes after a failed one, and returns the synced records. */
    public List<LogRecord> reopen() {
        generation++;
        unsynced.clear();
        stalledWrites.clear();
        return records();
    }

    /** Multiplies the duration of each sync by a factor from now on. */
    public void slowDown(final long factor) {
        slowdown = factor;
    }

    /** Replaces the disk by an empty one with a new identity. */
    public void wipe() {
        generation++;
        unsynced.clear();
        stalledWrites.clear();
        records.clear();
        identity = randomIdentity();
        stalled = false;
        full = false;
    }

    private void append(final List<LogRecord> appended) {
        for (final LogRecord record : appended) {
            if (record instanceof LogRecord.Snapshot) {
                records.clear();
            }
            records.add(record);
        }
    }

    private String randomIdentity() {
        return String.format("%016x", scheduler.random().nextLong());
    }
}
