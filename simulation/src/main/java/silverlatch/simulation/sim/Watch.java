package silverlatch.simulation.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * The observer: it sees what workers ran, what consumers and operators were told, and nothing of what the daemons say
 * of themselves. Times are true time. For each mark it counts how often it was put to the test.
 */
public final class Watch {
    private static final long SECOND = 1_000_000L;
    private static final long WINDOW = 10 * SECOND;
    private final java.util.function.LongSupplier clock;
    private final List<String> wrong = new ArrayList<>();
    private final Map<String, Long> tally = new TreeMap<>();
    private final Map<Mark, Long> probes = new EnumMap<>(Mark.class);
    private final Map<String, Integer> starts = new HashMap<>();
    private final Map<String, String> keys = new HashMap<>();
    private final Map<String, String> ends = new HashMap<>();
    private final Map<String, Long> leaves = new HashMap<>();
    private final Map<String, Long> colds = new HashMap<>();
    private final Map<String, Map<String, Boolean>> seen = new HashMap<>();
    private final Rules rules = new Rules(this);
    private final List<Done> good = new ArrayList<>();
    private final Deque<Tried> tries = new ArrayDeque<>();
    private final Map<String, Long> kinds = new TreeMap<>();
    private final Map<String, List<Long>> firsts = new TreeMap<>();
    private int extras;

    private record Done(String tenant, long at) {}

    private record Tried(long at, boolean extra) {}

    /** An observer who reads true time off the clock. */
    public Watch(final java.util.function.LongSupplier clock) {
        this.clock = clock;
    }

    long now() {
        return clock.getAsLong();
    }

    /** A run as the worker and the consumer know it. */
    public record Run(
            String ticket,
            String tenant,
            String kind,
            String key,
            String worker,
            String zone,
            String region,
            String carrier,
            String place,
            long page) {}

    /** What operators were told, held against what came of it. */
    public Rules rules() {
        return rules;
    }

    /** All that was found wrong. */
    public List<String> wrong() {
        return List.copyOf(wrong);
    }

    /** Counts of what happened. */
    public Map<String, Long> tally() {
        final Map<String, Long> all = new TreeMap<>(tally);
        probes.forEach((m, n) -> all.put("test-" + m, n));
        return all;
    }

    /** Counts one thing. */
    public void count(final String what) {
        tally.merge(what, 1L, Long::sum);
    }

    /** Keeps the largest of a thing. */
    public void most(final String what, final long value) {
        tally.merge("most-" + what, value, Math::max);
    }

    /** A mark was put to the test. */
    public void probe(final Mark mark) {
        probes.merge(mark, 1L, Long::sum);
    }

    /** A mark was hit. */
    public void fault(final Mark mark, final String text) {
        if (wrong.size() < 50) {
            wrong.add(mark + " " + text);
        }
    }

    /** A worker started a run. */
    public void started(final Run r, final long at) {
        count("runs");
        if (!r.place().equals(r.region())) {
            count("crossings");
        }
        if (starts.merge(r.ticket(), 1, Integer::sum) > 1) {
            fault(Mark.TWICE, "ticket " + r.ticket() + " ran " + starts.get(r.ticket()) + " times");
        }
        if (!r.key().isEmpty()) {
            final String name = r.tenant() + "|" + r.key();
            final String old = keys.getOrDefault(name, r.ticket());
            keys.putIfAbsent(name, r.ticket());
            if (!old.equals(r.ticket())) {
                fault(Mark.TWICE, "key " + r.key() + " ran as " + old + " and as " + r.ticket());
            }
        }
        if (ends.getOrDefault(r.ticket(), "").equals("rejected")) {
            fault(Mark.REJECTED, "ticket " + r.ticket() + " runs after it was rejected");
        }
        final long left = leaves.getOrDefault(r.worker(), Long.MAX_VALUE / 2);
        leaves.values().stream()
                .filter(t -> at - t > 3 * SECOND && at - t < 8 * SECOND)
                .findFirst()
                .ifPresent(t -> probe(Mark.LEAVE));
        if (at > left) {
            most("leaveMs", (at - left) / 1000);
        }
        if (at - left > 3 * SECOND) {
            fault(
                    Mark.LEAVE,
                    "worker " + r.worker() + " got ticket " + r.ticket() + " " + (at - left) / 1000
                            + " ms after it said it leaves");
        }
        rules.started(r, at);
    }

    /** A run was sent to a worker: a first one, or one more. */
    public void tried(final String tenant, final String key, final boolean again, final long at) {
        final boolean known = !key.isEmpty()
                && seen.computeIfAbsent(tenant, k -> new HashMap<>()).putIfAbsent(key, true) != null;
        final boolean extra = again || known;
        tries.add(new Tried(at, extra));
        extras += extra ? 1 : 0;
        while (tries.peek().at() < at - WINDOW) {
            extras -= tries.poll().extra() ? 1 : 0;
        }
        if (extra) {
            count("extras");
        }
        if (tries.size() >= 200) {
            if (extras > 0) {
                probe(Mark.TRIES);
            }
            most("extrasPerMille", 1000L * extras / tries.size());
            if (extras > 0.2 * tries.size() + 2) {
                fault(Mark.TRIES, extras + " of " + tries.size() + " runs of ten seconds were extra tries");
            }
        }
    }

    /** A consumer was told how its ticket ended. */
    public void ended(final String ticket, final String tenant, final String outcome, final long at) {
        count(outcome);
        ends.put(ticket, outcome);
        if (outcome.equals("done")) {
            good.add(new Done(tenant, at));
        }
        if (outcome.equals("rejected") && starts.containsKey(ticket)) {
            fault(Mark.REJECTED, "ticket " + ticket + " was rejected and had run");
        }
        if (outcome.equals("done") && !starts.containsKey(ticket)) {
            fault(Mark.FOREIGN, "ticket " + ticket + " is done and never ran");
        }
    }

    /** A late copy of a ticket was handed over. */
    public void copied(final String ticket) {
        count("twins");
        probe(Mark.TWICE);
        if (ends.getOrDefault(ticket, "").equals("rejected")) {
            probe(Mark.REJECTED);
        }
    }

    /** A worker says that it leaves, or comes anew. */
    public void leaves(final String worker, final boolean on, final long at) {
        if (on) {
            leaves.putIfAbsent(worker, at);
        } else {
            leaves.remove(worker);
        }
    }

    /** A worker came back cold. */
    public void cold(final String worker, final long at) {
        colds.put(worker, at);
    }

    /**
     * How many runs a worker has at once. A worker that is warm by a part can read and write for that part of its slots;
     * what is above only waits, but each gateway may send one that the worker's last word did not count yet. More is a flood.
     */
    public void load(final String worker, final int running, final int slots, final int gateways, final long at) {
        final long since = at - colds.getOrDefault(worker, -60 * SECOND);
        if (since < 6 * SECOND) {
            final double part = Math.min(1, 0.1 + 0.9 * since / (6.0 * SECOND));
            final double most = slots * part + gateways;
            count("coldRuns");
            probe(Mark.COLD);
            most("coldPerMille", Math.round(1000 * running / most));
            if (running > most) {
                fault(
                        Mark.COLD,
                        "worker " + worker + " has " + running + " runs " + since / 1000
                                + " ms after it came back cold");
            }
        }
    }

    /** How a ticket of a kind and tenant ended, and when its first piece came. */
    public void kind(final String kind, final String tenant, final String outcome, final long first) {
        kinds.merge(kind + " " + outcome, 1L, Long::sum);
        kinds.merge("tenant " + tenant + " " + outcome, 1L, Long::sum);
        if (outcome.equals("done")) {
            firsts.computeIfAbsent(kind, k -> new ArrayList<>()).add(first);
        }
    }

    /** Ends by kind and by tenant. */
    public Map<String, Long> kinds() {
        return Map.copyOf(kinds);
    }

    /** Microseconds to the first piece, of a kind's tickets that were done, in order. */
    public List<Long> firsts(final String kind) {
        return firsts.getOrDefault(kind, List.of()).stream().sorted().toList();
    }

    /** How many tickets were done between two times. */
    public long done(final long from, final long to) {
        return good.stream().filter(d -> d.at() >= from && d.at() < to).count();
    }

    /** How many tickets of a tenant were done between two times. */
    public long done(final String tenant, final long from, final long to) {
        return good.stream()
                .filter(d -> d.at() >= from && d.at() < to && d.tenant().equals(tenant))
                .count();
    }
}
