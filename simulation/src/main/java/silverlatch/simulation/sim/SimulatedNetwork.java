package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;

/** The network between places: delays by region, loss, cuts one way or both, late delivery of what was buffered. */
public final class SimulatedNetwork {
    private final EventScheduler scheduler;
    private final Map<String, String> regions = new HashMap<>();
    private final List<Partition> partitions = new ArrayList<>();
    private final Map<String, Long> connectionFreeAt = new HashMap<>();
    private double lossProbability;
    private double reorderProbability;
    private long extraDelay;
    private long framesSent;

    /** A network on an engine. */
    public SimulatedNetwork(final EventScheduler engine) {
        this.scheduler = engine;
    }

    /** Puts a place in a region. */
    public void place(final String endpoint, final String region) {
        regions.put(endpoint, region);
    }

    /** Sets the chance that a frame is lost, and that it overtakes others. */
    public void setLossAndReordering(final double losing, final double reordering) {
        lossProbability = losing;
        reorderProbability = reordering;
    }

    /** Makes the ways between regions longer by so much, and by up to as much again. */
    public void extraDelay(final long delay) {
        extraDelay = delay;
    }

    /** Cuts the way from some places to others; gives back what heals it. */
    public Runnable blockOneWay(final Set<String> from, final Set<String> to) {
        final Partition partition = new Partition((a, b) -> from.contains(a) && to.contains(b));
        partitions.add(partition);
        return () -> partitions.remove(partition);
    }

    /** Cuts places off from all others, both ways. */
    public Runnable isolate(final Set<String> endpoints) {
        final Partition partition = new Partition((a, b) -> endpoints.contains(a) != endpoints.contains(b));
        partitions.add(partition);
        return () -> partitions.remove(partition);
    }

    /** Whether the way is open. */
    public boolean isReachable(final String from, final String to) {
        return from.equals(to) || partitions.stream().noneMatch(c -> c.blocks().test(from, to));
    }

    /** How long the way takes this time. */
    public long delay(final String from, final String to) {
        final boolean sameRegion = regions.getOrDefault(from, "").equals(regions.getOrDefault(to, ""));
        return sameRegion
                ? 150 + scheduler.random().nextLong(700)
                : 8_000
                        + scheduler.random().nextLong(12_000)
                        + (extraDelay == 0 ? 0 : extraDelay + scheduler.random().nextLong(extraDelay));
    }

    /** A frame between daemons: kept in order as a rule; behind a cut it is lost or comes late. */
    public void sendFrame(final String from, final String to, final Runnable delivery) {
        framesSent++;
        if (scheduler.random().nextDouble() < lossProbability) {
            return;
        }
        if (!isReachable(from, to)) {
            if (scheduler.random().nextInt(4) == 0) {
                deliverLate(from, to, delivery, 0);
            }
            return;
        }
        final long arrival = scheduler.now() + delay(from, to);
        if (scheduler.random().nextDouble() < reorderProbability) {
            scheduler.scheduleAt(arrival + scheduler.random().nextLong(200_000), delivery);
            return;
        }
        final String connection = from + ">" + to;
        final long deliveryTime = Math.max(arrival, connectionFreeAt.getOrDefault(connection, 0L));
        connectionFreeAt.put(connection, deliveryTime);
        scheduler.scheduleAt(deliveryTime, delivery);
    }

    /** Bytes of an open exchange: in order, and behind a cut they wait until it heals. */
    public void sendBytes(final String connection, final String from, final String to, final Runnable delivery) {
        final long deliveryTime =
                Math.max(scheduler.now() + delay(from, to), connectionFreeAt.getOrDefault(connection, 0L));
        connectionFreeAt.put(connection, deliveryTime);
        scheduler.scheduleAt(deliveryTime, () -> deliverOnceReachable(from, to, delivery));
    }

    /** How many frames were sent. */
    public long framesSent() {
        return framesSent;
    }

    private void deliverOnceReachable(final String from, final String to, final Runnable delivery) {
        if (isReachable(from, to)) {
            delivery.run();
        } else {
            scheduler.schedule(100_000, () -> deliverOnceReachable(from, to, delivery));
        }
    }

    private void deliverLate(final String from, final String to, final Runnable delivery, final int attempts) {
        scheduler.schedule(200_000, () -> {
            if (isReachable(from, to)) {
                delivery.run();
            } else if (attempts < 100) {
                deliverLate(from, to, delivery, attempts + 1);
            }
        });
    }

    private record Partition(BiPredicate<String, String> blocks) {}
}
