package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;

/** The network between places: delays by region, loss, cuts one way or both, late delivery of what was buffered. */
public final class Net {
    private final Engine engine;
    private final Map<String, String> regions = new HashMap<>();
    private final List<Cut> cuts = new ArrayList<>();
    private final Map<String, Long> lanes = new HashMap<>();
    private double loss;
    private double odd;
    private long slow;
    private long sent;
    private long lost;

    /** A network on an engine. */
    public Net(final Engine engine) {
        this.engine = engine;
    }

    /** Puts a place in a region. */
    public void put(final String place, final String region) {
        regions.put(place, region);
    }

    /** Sets the chance that a frame is lost, and that it overtakes others. */
    public void rough(final double lose, final double overtake) {
        loss = lose;
        odd = overtake;
    }

    /** Makes the ways between regions longer by so much, and by up to as much again. */
    public void slow(final long more) {
        slow = more;
    }

    /** Cuts the way from some places to others; gives back what heals it. */
    public Runnable cut(final Set<String> from, final Set<String> to) {
        final Cut cut = new Cut((a, b) -> from.contains(a) && to.contains(b));
        cuts.add(cut);
        return () -> cuts.remove(cut);
    }

    /** Cuts places off from all others, both ways. */
    public Runnable island(final Set<String> places) {
        final Cut cut = new Cut((a, b) -> places.contains(a) != places.contains(b));
        cuts.add(cut);
        return () -> cuts.remove(cut);
    }

    /** Whether the way is open. */
    public boolean open(final String from, final String to) {
        return from.equals(to) || cuts.stream().noneMatch(c -> c.hit().test(from, to));
    }

    /** How long the way takes this time. */
    public long delay(final String from, final String to) {
        final boolean near = regions.getOrDefault(from, "").equals(regions.getOrDefault(to, ""));
        return near
                ? 150 + engine.luck().nextLong(700)
                : 8_000
                        + engine.luck().nextLong(12_000)
                        + (slow == 0 ? 0 : slow + engine.luck().nextLong(slow));
    }

    /** A frame between daemons: kept in order as a rule; behind a cut it is lost or comes late. */
    public void frame(final String from, final String to, final Runnable job) {
        sent++;
        if (engine.luck().nextDouble() < loss) {
            lost++;
            return;
        }
        if (!open(from, to)) {
            if (engine.luck().nextInt(4) == 0) {
                late(from, to, job, 0);
            } else {
                lost++;
            }
            return;
        }
        final long at = engine.now() + delay(from, to);
        if (engine.luck().nextDouble() < odd) {
            engine.at(at + engine.luck().nextLong(200_000), job);
            return;
        }
        final String lane = from + ">" + to;
        final long due = Math.max(at, lanes.getOrDefault(lane, 0L));
        lanes.put(lane, due);
        engine.at(due, job);
    }

    /** Bytes of an open exchange: in order, and behind a cut they wait until it heals. */
    public void bytes(final String lane, final String from, final String to, final Runnable job) {
        final long due = Math.max(engine.now() + delay(from, to), lanes.getOrDefault(lane, 0L));
        lanes.put(lane, due);
        engine.at(due, () -> through(from, to, job));
    }

    /** How many frames were sent and how many lost. */
    public long[] counts() {
        return new long[] {sent, lost};
    }

    private void through(final String from, final String to, final Runnable job) {
        if (open(from, to)) {
            job.run();
        } else {
            engine.in(100_000, () -> through(from, to, job));
        }
    }

    private void late(final String from, final String to, final Runnable job, final int turns) {
        engine.in(200_000, () -> {
            if (open(from, to)) {
                job.run();
            } else if (turns < 100) {
                late(from, to, job, turns + 1);
            }
        });
    }

    private record Cut(BiPredicate<String, String> hit) {}
}
