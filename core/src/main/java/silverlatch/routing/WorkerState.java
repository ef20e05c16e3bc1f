package silverlatch.routing;

import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.Map;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.util.Numbers;

/** What this gateway knows of one worker by its own runs there and the worker's replies. One duty owns it. */
final class WorkerState {
    private static final int PARTS = 512;
    private static final long KEPT = 45_000_000L;
    private static final long FIRST = 500_000L;
    private static final long MOST = 8_000_000L;
    private static final double FRESH = 0.2;
    final Map<Long, Run> runs = new HashMap<>();
    private final LinkedHashMap<Long, Long> parts = new LinkedHashMap<>(64, 0.75f, true);
    Worker worker;
    long coldUntil;
    long shunUntil;
    long lastSent = Long.MIN_VALUE / 2;
    long loadAt = Long.MIN_VALUE / 2;
    int running;
    int waiting;
    int slots;
    int faults;
    boolean silent;
    double pace = 1;

    WorkerState(final Gossip.ObservedWorker heard, final long now) {
        this.worker = heard.worker();
        this.slots = heard.worker().slots();
        this.coldUntil = now + heard.warmupRemaining(now);
        this.silent = heard.silent();
    }

    /** One run of this gateway under way there. */
    static final class Run {
        final long begun;
        final int unread;
        final long guess;
        boolean first;
        long heard;

        Run(final long begun, final int unread, final long guess) {
            this.begun = begun;
            this.unread = unread;
            this.guess = guess;
            this.heard = begun;
        }
    }

    void word(final Gossip.ObservedWorker next, final long now) {
        final long cold = next.warmupRemaining(now);
        if (cold > 0 && !cold(now) || next.worker().incarnation() != worker.incarnation()) {
            parts.clear();
            loadAt = Long.MIN_VALUE / 2;
        }
        coldUntil = cold > 0 ? now + cold : Math.min(coldUntil, now);
        worker = next.worker();
        silent = next.silent();
    }

    boolean cold(final long now) {
        return now < coldUntil;
    }

    boolean shunned(final long now) {
        return silent || now < shunUntil || faults > 0 && runs.size() > 0;
    }

    /** Tokens of my own runs there that it has still to read. */
    long unread() {
        return runs.values().stream()
                .filter(r -> !r.first)
                .mapToLong(r -> r.unread)
                .sum();
    }

    /** By how much the most silent run there is overdue. */
    long overdue(final long now) {
        return runs.values().stream()
                .filter(r -> !r.first)
                .mapToLong(r -> now - r.begun - 2 * r.guess - 150_000L)
                .max()
                .orElse(0);
    }

    /** What share of a part it likely keeps, by what went there before. */
    boolean keeps(final long part, final long now) {
        final Long at = parts.get(part);
        return at != null && now - at < KEPT;
    }

    void keep(final long part, final long now) {
        parts.put(part, now);
        if (parts.size() > PARTS) {
            parts.remove(parts.keySet().iterator().next());
        }
    }

    void good(final Run run, final long now) {
        faults = 0;
        shunUntil = 0;
        final double ratio = Numbers.clamp((double) (now - run.begun) / Math.max(1, run.guess), 0.2, 6);
        pace = Numbers.clamp(pace + FRESH * (ratio - 1) * 0.5, 0.5, 4);
    }

    void bad(final long now) {
        faults++;
        shunUntil = Math.max(shunUntil, now + Math.min(MOST, FIRST << Math.min(5, faults - 1)));
    }

    void load(final int run, final int wait, final int most, final long now) {
        running = run;
        waiting = wait;
        slots = Math.max(1, most);
        loadAt = now;
    }
}
