package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;

/** A small disk: what is synced stays, what is not may be gone; it can stall, fill up, limp, or be taken away. */
public final class Disk {
    private final Engine engine;
    private final List<LogRecord> notes = new ArrayList<>();
    private final java.util.Deque<Effect.Persist> afloat = new java.util.ArrayDeque<>();
    private final List<Runnable> waiting = new ArrayList<>();
    private String identity;
    private long epoch;
    private long free;
    private boolean stalled;
    private boolean full;
    private boolean lies;
    private long torn;
    private long slow = 1;
    private long syncs;

    /** An empty disk. */
    public Disk(final Engine engine) {
        this.engine = engine;
        this.identity = name();
    }

    /** The identity made with the data folder. */
    public String identity() {
        return identity;
    }

    /** All that was synced. */
    public List<LogRecord> notes() {
        return List.copyOf(notes);
    }

    /** How many syncs were done. */
    public long syncs() {
        return syncs;
    }

    /** Writes and syncs; then tells, unless the power went away before. */
    public void write(final Effect.Persist keep, final Consumer<Long> kept, final Consumer<String> broke) {
        final long mine = epoch;
        if (full) {
            engine.in(500, () -> {
                if (mine == epoch) {
                    broke.accept("no space left");
                }
            });
            return;
        }
        afloat.add(keep);
        final Runnable job = () -> {
            if (mine == epoch) {
                if (lies) {
                    engine.in(3_000_000, () -> {
                        if (mine == epoch && afloat.remove(keep)) {
                            store(keep.records());
                        }
                    });
                } else if (afloat.remove(keep)) {
                    store(keep.records());
                }
                syncs++;
                kept.accept(keep.token());
            }
        };
        if (stalled) {
            waiting.add(job);
            return;
        }
        final long due = Math.max(free, engine.now() + (300 + engine.luck().nextLong(2_000)) * slow);
        free = due;
        engine.at(due, () -> {
            if (stalled) {
                waiting.add(job);
            } else {
                job.run();
            }
        });
    }

    /** How often the power went and left a torn tail. */
    public long torn() {
        return torn;
    }

    /** The disk says that it synced what is still in its cache. */
    public void lies(final boolean on) {
        lies = on;
    }

    /** The power goes: what is not synced is gone, or the first part of it is there all the same, torn anywhere. */
    public void power() {
        epoch++;
        if (!lies && !afloat.isEmpty() && engine.luck().nextBoolean()) {
            torn++;
            final List<Effect.Persist> left = List.copyOf(afloat);
            left.subList(0, engine.luck().nextInt(left.size() + 1)).forEach(k -> store(k.records()));
        }
        afloat.clear();
        waiting.clear();
        free = 0;
    }

    /** The disk stops or goes on. */
    public void stall(final boolean on) {
        stalled = on;
        if (!on) {
            final List<Runnable> all = List.copyOf(waiting);
            waiting.clear();
            all.forEach(r -> engine.in(100, r));
        }
    }

    /** The disk is full or not. */
    public void full(final boolean on) {
        full = on;
    }

    /** Whether writes are refused. */
    public boolean full() {
        return full;
    }

    /** All that was synced, after a failed write; what was still under way is given up. */
    public List<LogRecord> reopen() {
        epoch++;
        afloat.clear();
        waiting.clear();
        return notes();
    }

    /** The disk takes so many times as long. */
    public void limp(final long times) {
        slow = times;
    }

    /** The disk is replaced by an empty one: a new identity. */
    public void wipe() {
        epoch++;
        afloat.clear();
        waiting.clear();
        notes.clear();
        identity = name();
        stalled = false;
        full = false;
    }

    private void store(final List<LogRecord> list) {
        for (final LogRecord n : list) {
            if (n instanceof LogRecord.Snapshot) {
                notes.clear();
            }
            notes.add(n);
        }
    }

    private String name() {
        return String.format("%016x", engine.luck().nextLong());
    }
}
