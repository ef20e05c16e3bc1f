package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;

/** A simulated disk: what is synced stays, what is not may be gone; it can stall, fill up, slow down, lie, or be lost. */
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

    /** An empty disk. */
    public SimulatedDisk(final EventScheduler engine) {
        this.scheduler = engine;
        this.identity = randomIdentity();
    }

    /** The identity made with the data folder. */
    public String identity() {
        return identity;
    }

    /** All that was synced. */
    public List<LogRecord> records() {
        return List.copyOf(records);
    }

    /**
     * Writes and syncs, unless the power goes before.
     *
     * @param persist  what is written
     * @param onSynced is given the write's token once the disk says that it is synced
     * @param onFailed is given the reason when the disk is full
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

    /** How often the power went and left a torn tail. */
    public long tornWrites() {
        return tornWrites;
    }

    /** The disk says that it synced what is still in its cache. */
    public void lying(final boolean lie) {
        lying = lie;
    }

    /** The power goes: what is not synced is gone, or the first part of it is there all the same, torn anywhere. */
    public void losePower() {
        generation++;
        if (!lying && !unsynced.isEmpty() && scheduler.random().nextBoolean()) {
            tornWrites++;
            final List<Effect.Persist> unsyncedWrites = List.copyOf(unsynced);
            unsyncedWrites
                    .subList(0, scheduler.random().nextInt(unsyncedWrites.size() + 1))
                    .forEach(k -> append(k.records()));
        }
        unsynced.clear();
        stalledWrites.clear();
        idleAt = 0;
    }

    /** The disk stops or goes on. */
    public void stall(final boolean stall) {
        stalled = stall;
        if (!stall) {
            final List<Runnable> resumed = List.copyOf(stalledWrites);
            stalledWrites.clear();
            resumed.forEach(r -> scheduler.schedule(100, r));
        }
    }

    /** The disk is full or not. */
    public void full(final boolean nowFull) {
        full = nowFull;
    }

    /** Whether writes are refused. */
    public boolean full() {
        return full;
    }

    /** All that was synced, after a failed write; what was still under way is given up. */
    public List<LogRecord> reopen() {
        generation++;
        unsynced.clear();
        stalledWrites.clear();
        return records();
    }

    /** The disk takes so many times as long. */
    public void slowDown(final long factor) {
        slowdown = factor;
    }

    /** The disk is replaced by an empty one: a new identity. */
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
