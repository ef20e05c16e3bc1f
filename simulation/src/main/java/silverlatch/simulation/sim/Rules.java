package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;

/**
 * What operators asked for and were told, held against what workers and consumers saw of it: tables and the gate (one
 * cell whose effect shows at once), homes, and zones.
 */
public final class Rules {
    private static final long SECOND = 1_000_000L;
    private static final long NEVER = Long.MAX_VALUE / 2;
    private final Watch watch;
    private final Map<String, Drain> drains = new HashMap<>();
    private final Map<String, String> fates = new LinkedHashMap<>();
    private final Map<Long, String> matches = new HashMap<>();
    private final List<long[]> acks = new ArrayList<>();
    private final Map<String, Shown> shown = new HashMap<>();
    private final List<Turn> gate = new ArrayList<>();
    private final Map<String, Shown> obeyed = new HashMap<>();
    private final Map<String, List<Home>> homes = new HashMap<>();
    private long acked;

    Rules(final Watch watch) {
        this.watch = watch;
    }

    private record Shown(long page, long at) {}

    private record Drain(long asked, long acked) {}

    /** One turn of the gate: open or shut, when it was asked for, when it was acknowledged. */
    private record Turn(boolean open, long asked, long acked) {}

    /** Where a tenant was at home, from the asking on, and since when for sure. */
    private record Home(Set<String> regions, boolean gone, long asked, long acked) {
        boolean fits(final String region) {
            return !gone && (regions.isEmpty() || regions.contains(region));
        }
    }

    void started(final Watch.Run r, final long at) {
        lodged(r.tenant(), r.region(), Mark.SERVED, "ticket " + r.ticket() + " ran in " + r.region(), at);
        lodged(r.tenant(), r.place(), Mark.SENT, "ticket " + r.ticket() + " was carried in " + r.place(), at);
        drains.values().stream()
                .filter(d -> at - d.asked() > 5 * SECOND)
                .findFirst()
                .ifPresent(d -> watch.probe(Mark.DRAIN));
        final Drain d = drains.getOrDefault(r.zone(), new Drain(NEVER, NEVER));
        if (at > d.asked()) {
            watch.most("drainAskedMs", (at - d.asked()) / 1000);
            watch.most("drainAckedMs", Math.max(0, (at - d.acked()) / 1000));
        }
        if (at - d.acked() > 5 * SECOND) {
            watch.fault(
                    Mark.DRAIN,
                    "zone " + r.zone() + " got ticket " + r.ticket() + " " + (at - d.asked()) / 1000
                            + " ms after it was to be emptied");
        }
        final long due = acks.stream()
                .filter(a -> at - a[0] > 3 * SECOND)
                .mapToLong(a -> a[1])
                .max()
                .orElse(0);
        if (r.page() < due) {
            watch.fault(
                    Mark.TABLE,
                    "ticket " + r.ticket() + " ran under page " + r.page() + " more than 3 s after " + due
                            + " was acknowledged");
        }
    }

    /** Homes of a tenant from now on, as an operator asked; gives what to call when it is acknowledged. */
    public Runnable home(final String tenant, final Set<String> regions, final boolean gone, final long at) {
        final List<Home> list = homes.computeIfAbsent(tenant, k -> new ArrayList<>());
        final int place = list.size();
        list.add(new Home(regions, gone, at, NEVER));
        return () -> list.set(place, new Home(regions, gone, at, watch.now()));
    }

    /** Something of a tenant is in a region: held against all its homes that may still count. */
    public void lodged(final String tenant, final String region, final Mark mark, final String what, final long at) {
        final List<Home> list = homes.getOrDefault(tenant, List.of());
        int first = 0;
        for (int i = 0; i < list.size(); i++) {
            first = at - list.get(i).acked() > 3 * SECOND ? i : first;
        }
        final List<Home> may = list.subList(first, list.size());
        if (may.stream().anyMatch(h -> h.gone() || !h.regions().isEmpty())) {
            watch.probe(mark);
        }
        if (!may.isEmpty() && may.stream().noneMatch(h -> h.fits(region))) {
            watch.fault(mark, what + ", no home of " + tenant);
        }
    }

    /** A gateway showed under which page it picks. */
    public void shown(final String gateway, final long page, final long at) {
        final Shown old = shown.getOrDefault(gateway, new Shown(0, 0));
        if (page < old.page() && at - old.at() > SECOND / 4) {
            watch.fault(
                    Mark.BACK,
                    "gateway " + gateway + " went from page " + old.page() + " to " + page + " after "
                            + (at - old.at()) / 1000 + " ms");
        }
        if (page > old.page()) {
            shown.put(gateway, new Shown(page, at));
        }
    }

    /** An operator asks that the gate be opened or shut; gives what to call when it is acknowledged. */
    public Runnable gate(final boolean open, final long at) {
        final int place = gate.size();
        gate.add(new Turn(open, at, NEVER));
        return () -> gate.set(place, new Turn(open, at, watch.now()));
    }

    /** Something came of a gateway's table at this moment: the gate held it up or not. Gives the turns that it can have known, if any. */
    public int obeyed(final String gateway, final boolean open, final String what, final long at) {
        final int floor = floor(at);
        if (floor > 0) {
            watch.probe(Mark.TABLE);
        }
        for (int i = gate.size() - 1; i >= Math.max(0, floor); i--) {
            if (gate.get(i).open() == open) {
                return floor < 0 ? -1 : i;
            }
        }
        if (floor >= 0) {
            watch.fault(
                    Mark.TABLE,
                    what + " at " + gateway + " as if the gate were " + (open ? "open" : "shut") + " "
                            + (at - gate.get(floor).acked()) / 1000 + " ms after the other was acknowledged");
        }
        return -1;
    }

    /** The last turn that every gateway must know by now, or -1. */
    private int floor(final long at) {
        int floor = -1;
        for (int i = 0; i < gate.size(); i++) {
            floor = at - gate.get(i).acked() > 3 * SECOND ? i : floor;
        }
        return floor;
    }

    /** A gateway decided by its table, which is all the observer believes of what it holds. */
    public void passed(final String gateway, final boolean open, final String what, final long at) {
        final int may = obeyed(gateway, open, what, at);
        if (may < 0) {
            return;
        }
        final Shown old = obeyed.getOrDefault(gateway, new Shown(-1, 0));
        if (old.page() >= 0 && gate.size() > 1) {
            watch.probe(Mark.BACK);
        }
        if (may < old.page() && at - old.at() > SECOND / 4) {
            watch.fault(
                    Mark.BACK,
                    what + " at " + gateway + " as if the gate were " + (open ? "open" : "shut") + " "
                            + (at - old.at()) / 1000 + " ms after it obeyed the newer table");
        }
        int least = may;
        for (int i = may; i >= floor(at); i--) {
            least = gate.get(i).open() == open ? i : least;
        }
        if (least > old.page()) {
            obeyed.put(gateway, new Shown(least, at));
        }
    }

    /** An operator asked to empty a zone. */
    public void drain(final String zone, final long at) {
        drains.putIfAbsent(zone, new Drain(at, NEVER));
    }

    /** The order was acknowledged. */
    public void drained(final String zone, final long at) {
        drains.computeIfPresent(zone, (k, d) -> d.acked() == NEVER ? new Drain(d.asked(), at) : d);
    }

    /** An operator asked to give a zone back, or it may be so for all that is known. */
    public void undrain(final String zone) {
        drains.remove(zone);
    }

    /** What an operator was told of a change: kept, rejected or unknown. */
    public void change(final String value, final String fate, final long sequence, final long match, final long at) {
        watch.count("change-" + fate);
        fates.put(value, fate);
        if (fate.equals("rejected")) {
            watch.probe(Mark.LOSER);
        }
        if (fate.equals("kept")) {
            if (sequence > acked) {
                acked = sequence;
                acks.add(new long[] {at, sequence});
            }
            if (match >= 0) {
                final String old = matches.getOrDefault(match, value);
                matches.putIfAbsent(match, value);
                if (!old.equals(value)) {
                    watch.fault(
                            Mark.LOSER,
                            "two changes were kept against sequence " + match + ": " + old + " and " + value);
                }
            }
        }
    }

    /** The newest sequence that was acknowledged to an operator. */
    public long acked() {
        return acked;
    }

    /** A read of the table, asked for when so much was acknowledged; stirred when the chain was not whole meanwhile. */
    public void read(final long before, final long sequence, final Set<String> values, final boolean stirred) {
        watch.count("reads");
        if (stirred) {
            watch.probe(Mark.READ);
        }
        if (sequence < before) {
            watch.fault(
                    Mark.READ,
                    "a table at sequence " + sequence + " was read back after " + before + " was acknowledged");
        }
        values(values, "was read back");
    }

    /** Values that some gateway goes by. */
    public void values(final Set<String> values, final String where) {
        for (final String v : values) {
            if (fates.getOrDefault(v, "").equals("rejected")) {
                watch.fault(Mark.LOSER, "change " + v + " was rejected and " + where);
            }
        }
    }
}
