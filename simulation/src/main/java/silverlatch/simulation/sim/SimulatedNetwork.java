package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.BiPredicate;

/**
 * The simulated network between named endpoints: delays by region, frame loss and newReorderProbability, one-way and two-way
 * partitions, and late delivery of buffered frames. Times are microseconds.
 */
public final class SimulatedNetwork {
    private final EventScheduler scheduler;
    private final Map<String, String> regions = new HashMap<>();
    private final List<Partition> partitions = new ArrayList<>();
    private final Map<String, Long> connectionFreeAt = new HashMap<>();
    private double lossProbability;
    private double reorderProbability;
    private long extraDelay;
    private long framesSent;

    /** Creates a network without endpoints or faults, which delivers with the given scheduler. */
    public SimulatedNetwork(final EventScheduler scheduler) {
        this.scheduler = scheduler;
    }

    /** Assigns an endpoint to a region. */
    public void place(final String endpoint, final String region) {
        regions.put(endpoint, region);
    }

    /**
     * Sets the probabilities that a frame is lost, and that it is delayed by up to 200 ms, so that later frames may overtake
     * it.
     */
    public void setLossAndReordering(final double newLossProbability, final double newReorderProbability) {
        lossProbability = newLossProbability;
        reorderProbability = newReorderProbability;
    }

    /** Adds between {@code delay} and twice as many microseconds to each delivery between regions. */
    public void setExtraDelay(final long delay) {
        extraDelay = delay;
    }

    /** Blocks delivery from some endpoints to others; running the returned task heals the partition. */
    public Runnable blockOneWay(final Set<String> from, final Set<String> to) {
        final Partition partition = new Partition((a, b) -> from.contains(a) && to.contains(b));
        partitions.add(partition);
        return () -> partitions.remove(partition);
    }

    /** Blocks delivery in both directions between the given endpoints and all others; running the returned task heals it. */
    public Runnable isolate(final Set<String> endpoints) {
        final Partition partition = new Partition((a, b) -> endpoints.contains(a) != endpoints.contains(b));
        partitions.add(partition);
        return () -> partitions.remove(partition);
    }

    /** Returns whether no partition blocks delivery from one endpoint to another. */
    public boolean isReachable(final String from, final String to) {
        return from.equals(to)
                || partitions.stream().noneMatch(partition -> partition.blocks().test(from, to));
    }

    /**
     * Draws the delay of one delivery in microseconds: below 1 ms within a region, 8 to 20 ms and any extra delay between
     * regions.
     */
    public long delay(final String from, final String to) {
        final boolean sameRegion = regions.getOrDefault(from, "").equals(regions.getOrDefault(to, ""));
        return sameRegion
                ? 150 + scheduler.random().nextLong(700)
                : 8_000
                        + scheduler.random().nextLong(12_000)
                        + (extraDelay == 0 ? 0 : extraDelay + scheduler.random().nextLong(extraDelay));
    }

    /**
     * Sends a frame between nodes. Frames arrive in order unless one is drawn to be reordered. During a partition three of four
     * frames are lost, and the others are delivered late.
     */
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

    /** Sends bytes on an open connection: they arrive in order, and during a partition they wait until it heals. */
    public void sendBytes(final String connection, final String from, final String to, final Runnable delivery) {
        final long deliveryTime =
                Math.max(scheduler.now() + delay(from, to), connectionFreeAt.getOrDefault(connection, 0L));
        connectionFreeAt.put(connection, deliveryTime);
        scheduler.scheduleAt(deliveryTime, () -> deliverOnceReachable(from, to, delivery));
    }

    /** Returns how many frames were sent, lost ones included. */
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
