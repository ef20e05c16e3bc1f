package silverlatch.drill.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;

/**
 * The observer: it sees what workers ran, what consumers and operators were told, and nothing of what the daemons say
 * of themselves. Times are true time.
 */
public final class Watch {
    private static final long SECOND = 1_000_000L;
    private final List<String> wrong = new ArrayList<>();
    private final Map<String, Long> tally = new TreeMap<>();
    private final Map<String, List<Start>> starts = new HashMap<>();
    private final Map<String, String> keys = new HashMap<>();
    private final Map<String, String> ends = new HashMap<>();
    private final Map<String, Long> leaves = new HashMap<>();
    private final Map<String, Long> drains = new HashMap<>();
    private final Map<String, Shown> shown = new HashMap<>();
    private final Map<String, String> fates = new LinkedHashMap<>();
    private final Map<String, Long> colds = new HashMap<>();
    private final Map<Long, String> matches = new HashMap<>();
    private final List<long[]> acks = new ArrayList<>();
    private final List<Long> good = new ArrayList<>();
    private final Map<String, Long> kinds = new TreeMap<>();
    private final Map<String, List<Long>> firsts = new TreeMap<>();
    private long acked;
    private long first;
    private long again;

    private record Start(String worker, String region, long at) {
    }

    private record Shown(long page, long at) {
    }

    /** All that was found wrong. */
    public List<String> wrong() {
        return List.copyOf(wrong);
    }

    /** Counts of what happened. */
    public Map<String, Long> tally() {
        return Map.copyOf(tally);
    }

    /** Counts one thing. */
    public void count(final String what) {
        tally.merge(what, 1L, Long::sum);
    }

    /** A worker started a run. */
    public void started(final String ticket, final String tenant, final String key, final List<String> homes, final String worker,
                        final String zone, final String region, final String carrier, final long page, final long at) {
        count("runs");
        if (!carrier.equals(region)) {
            count("crossings");
        }
        final List<Start> list = starts.computeIfAbsent(ticket, k -> new ArrayList<>());
        list.add(new Start(worker, region, at));
        if (list.size() > 1) {
            fault("TWICE ticket " + ticket + " ran " + list.size() + " times");
        }
        if (!key.isEmpty()) {
            final String old = keys.getOrDefault(tenant + "|" + key, ticket);
            keys.putIfAbsent(tenant + "|" + key, ticket);
            if (!old.equals(ticket)) {
                fault("TWICE key " + key + " ran as " + old + " and as " + ticket);
            }
        }
        if (ends.getOrDefault(ticket, "").equals("rejected")) {
            fault("REJECTED ticket " + ticket + " runs after it was rejected");
        }
        if (!homes.isEmpty() && (!homes.contains(region) || !homes.contains(carrier))) {
            fault("HOMES ticket " + ticket + " of " + tenant + " ran in " + region + " by a carrier in " + carrier);
        }
        if (at - leaves.getOrDefault(worker, Long.MAX_VALUE / 2) > 3 * SECOND) {
            fault("LEAVE worker " + worker + " got ticket " + ticket + " " + (at - leaves.get(worker)) / 1000 + " ms after it said it leaves");
        }
        if (at - drains.getOrDefault(zone, Long.MAX_VALUE / 2) > 5 * SECOND) {
            fault("DRAIN zone " + zone + " got ticket " + ticket + " " + (at - drains.get(zone)) / 1000 + " ms after it was to be emptied");
        }
        final long due = acks.stream().filter(a -> at - a[0] > 3 * SECOND).mapToLong(a -> a[1]).max().orElse(0);
        if (page < due) {
            fault("TABLE ticket " + ticket + " ran under page " + page + " more than 3 s after " + due + " was acknowledged");
        }
    }

    /** A ticket came for the first time, or was tried again by its consumer or by a purser. */
    public void tried(final boolean extra) {
        if (extra) {
            again++;
        } else {
            first++;
        }
    }

    /** A consumer was told how its ticket ended. */
    public void ended(final String ticket, final String outcome, final long at) {
        count(outcome);
        ends.put(ticket, outcome);
        if (outcome.equals("done")) {
            good.add(at);
        }
        if (outcome.equals("rejected") && starts.containsKey(ticket)) {
            fault("REJECTED ticket " + ticket + " was rejected and had run");
        }
        if (outcome.equals("done") && !starts.containsKey(ticket)) {
            fault("STREAM ticket " + ticket + " is done and never ran");
        }
    }

    /** A consumer saw something wrong in its stream. */
    public void stream(final String ticket, final String what) {
        fault("STREAM ticket " + ticket + ": " + what);
    }

    /** A purser showed under which page it picks. */
    public void shown(final String purser, final long page, final long at) {
        final Shown old = shown.getOrDefault(purser, new Shown(0, 0));
        if (page < old.page() && at - old.at() > SECOND / 4) {
            fault("BACK purser " + purser + " went from page " + old.page() + " to " + page + " after " + (at - old.at()) / 1000 + " ms");
        }
        if (page > old.page()) {
            shown.put(purser, new Shown(page, at));
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

    /** How many runs a worker has at once. */
    public void load(final String worker, final int running, final int slots, final int pursers, final long at) {
        final long since = at - colds.getOrDefault(worker, -60 * SECOND);
        final double part = Math.min(1, 0.1 + 0.9 * since / (6.0 * SECOND));
        final double most = Math.max(pursers, 2 * slots * part + pursers);
        if (since < 6 * SECOND) {
            count("coldRuns");
            if (running > most) {
                fault("COLD worker " + worker + " has " + running + " runs " + since / 1000 + " ms after it came back cold");
            }
        }
    }

    /** An operator asked to empty a zone, or to give it back; the order may be taken as given from now on. */
    public void drained(final String zone, final boolean on, final long at) {
        if (on) {
            drains.putIfAbsent(zone, at);
        } else {
            drains.remove(zone);
        }
    }

    /** What an operator was told of a change: kept, rejected or unknown. */
    public void change(final String value, final String fate, final long sequence, final long match, final long at) {
        count("change-" + fate);
        fates.put(value, fate);
        if (fate.equals("kept")) {
            if (sequence > acked) {
                acked = sequence;
                acks.add(new long[] {at, sequence});
            }
            if (match >= 0) {
                final String old = matches.getOrDefault(match, value);
                matches.putIfAbsent(match, value);
                if (!old.equals(value)) {
                    fault("LOSER two changes were kept against sequence " + match + ": " + old + " and " + value);
                }
            }
        }
    }

    /** The newest sequence that was acknowledged to an operator. */
    public long acked() {
        return acked;
    }

    /** A read of the table, asked for when so much was acknowledged. */
    public void read(final long before, final long sequence, final Set<String> values) {
        count("reads");
        if (sequence < before) {
            fault("READ a table at sequence " + sequence + " was read back after " + before + " was acknowledged");
        }
        values(values, "was read back");
    }

    /** Values that some purser goes by. */
    public void values(final Set<String> values, final String where) {
        for (final String v : values) {
            if (fates.getOrDefault(v, "").equals("rejected")) {
                fault("LOSER change " + v + " was rejected and " + where);
            }
        }
    }

    /** A stamp that is not above what caused it. */
    public void stamp(final String what) {
        fault("STAMP " + what);
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
        return good.stream().filter(t -> t >= from && t < to).count();
    }

    /** Holds the extra tries against the traffic. */
    public void finish() {
        final long runs = tally.getOrDefault("runs", 0L);
        final long extra = again;
        if (runs > 200 && extra > 0.2 * (first + again)) {
            fault("TRIES " + extra + " extra tries among " + (first + again));
        }
    }

    private void fault(final String text) {
        if (wrong.size() < 50) {
            wrong.add(text);
        }
    }
}
