package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;

/** A small disk: what is synced stays, what is not may be gone; it can stall, fill up, limp, or be taken away. */
public final class SimulatedDisk {
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
    private long syncs;

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

    /** How many syncs were done. */
    public long syncs() {
        return syncs;
    }

    /** Writes and syncs; then tells, unless the power went away before. */
    public void write(final Effect.Persist persist, final Consumer<Long> onSynced, final Consumer<String> onFailed) {
        final long writtenIn = generation;
        if (full) {
            scheduler.schedule(500, () -> {
                if (writtenIn == generation) {
                    onFailed.accept("no space left");
                }
            });
            return;
        }
        unsynced.add(persist);
        final Runnable sync = () -> {
            if (writtenIn == generation) {
                if (lying) {
                    scheduler.schedule(3_000_000, () -> {
                        if (writtenIn == generation && unsynced.remove(persist)) {
                            append(persist.records());
                        }
                    });
                } else if (unsynced.remove(persist)) {
                    append(persist.records());
                }
                syncs++;
                onSynced.accept(persist.token());
            }
        };
        if (stalled) {
            stalledWrites.add(sync);
            return;
        }
        final long syncTime =
                Math.max(idleAt, scheduler.now() + (300 + scheduler.random().nextLong(2_000)) * slowdown);
        idleAt = syncTime;
        scheduler.scheduleAt(syncTime, () -> {
            if (stalled) {
                stalledWrites.add(sync);
            } else {
                sync.run();
            }
        });
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
