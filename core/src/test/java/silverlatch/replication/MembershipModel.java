package silverlatch.replication;

import java.util.ArrayList;
import java.util.Collections;
import java.util.Comparator;
import java.util.List;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.Set;
import java.util.TreeSet;
import silverlatch.safeguard.Safeguards;

/**
 * The model of a simulated cluster whose machines are lost, return and are replaced: its members, the current losses, the
 * scheduled tasks and a trace of events. Times are microseconds of the simulated clock.
 */
final class MembershipModel {
    static final long SECOND = 1_000_000;
    /** The time between two steps of a schedule. */
    static final long STEP = SECOND / 10;
    /** For how long a machine that has returned still counts as lost, as it catches up. */
    static final long CATCH_UP = 4 * SECOND;

    private static final int SEEDS = 3;

    private final Random random;
    private final int tolerance;
    private final int maxVoters;
    private final ReplicaCluster cluster;
    private final Set<String> members = new TreeSet<>();
    private final Set<String> leaving = new TreeSet<>();
    private final List<MembershipLoss> losses = new ArrayList<>();
    private final PriorityQueue<ScheduledTask> tasks =
            new PriorityQueue<>(Comparator.comparingLong(ScheduledTask::at).thenComparingLong(ScheduledTask::order));
    private final List<String> trace = new ArrayList<>();
    private long lastOrder;
    private int replacementCount;

    MembershipModel(final long seed, final int tolerance, final int size, final Safeguards safeguards) {
        this.tolerance = tolerance;
        random = new Random(seed * 31 + size);
        maxVoters = 2 * tolerance + 3;
        final List<String> addresses = List.of("a", "b", "c", "d", "e", "f").subList(0, size);
        cluster = new ReplicaCluster(
                addresses.subList(0, SEEDS),
                1_000 + random.nextInt(34_001),
                settings -> settings.withCounts(tolerance + 1, maxVoters).withSafeguards(safeguards));
        cluster.setSyncMicros(1_000 + random.nextInt(4_001));
        members.addAll(addresses);
        addresses.forEach(address -> cluster.start(address, true));
    }

    private record ScheduledTask(long at, long order, Runnable task) {}

    Random random() {
        return random;
    }

    ReplicaCluster cluster() {
        return cluster;
    }

    long now() {
        return cluster.now();
    }

    /** Returns how many machines may be lost at a time. */
    int tolerance() {
        return tolerance;
    }

    int maxVoters() {
        return maxVoters;
    }

    /** Returns the addresses of the machines that belong to the cluster, whether lost or not; tests may change the set. */
    Set<String> members() {
        return members;
    }

    /** Returns the addresses of the machines that leave gracefully or are about to; tests may change the set. */
    Set<String> leaving() {
        return leaving;
    }

    List<MembershipLoss> losses() {
        return losses;
    }

    int lossCount() {
        return losses.size();
    }

    boolean isLost(final String address) {
        return losses.stream().anyMatch(loss -> loss.isAt(address));
    }

    boolean isPresent(final String address) {
        return members.contains(address) && !isLost(address);
    }

    /** Returns a random time in this range. */
    long randomBetween(final long min, final long max) {
        return min + (long) (random.nextDouble() * (max - min));
    }

    String nextReplacement() {
        replacementCount++;
        return "s" + replacementCount;
    }

    /** Schedules a task after this time. */
    void schedule(final long spanMicros, final Runnable task) {
        tasks.add(new ScheduledTask(now() + spanMicros, lastOrder++, task));
    }

    void runDueTasks() {
        while (!tasks.isEmpty() && tasks.peek().at() <= now()) {
            tasks.poll().task().run();
        }
    }

    MembershipLoss addLoss(final String address) {
        final MembershipLoss loss = new MembershipLoss(address);
        losses.add(loss);
        return loss;
    }

    /** Starts the lost machine, or its replacement, with up to three random members as seeds. */
    void start(final MembershipLoss loss) {
        final List<String> shuffled = new ArrayList<>(members);
        Collections.shuffle(shuffled, random);
        cluster.seeds(shuffled.subList(0, Math.min(SEEDS, shuffled.size())));
        members.add(loss.address());
        cluster.start(loss.address(), false);
        loss.markReturned(now() + CATCH_UP);
        recordEvent("start " + loss.address());
    }

    /** Removes a machine and its disk permanently. */
    void remove(final String address) {
        cluster.kill(address);
        cluster.loseDisk(address);
        members.remove(address);
        leaving.remove(address);
    }

    void recordEvent(final String description) {
        trace.add(now() / 1_000 + " ms: " + description);
    }

    /** Returns the events so far and the status of all replicas, for failure messages. */
    String describe() {
        return "\n" + String.join("\n", trace) + "\n" + lossCount() + " lost at " + now() / 1_000 + cluster;
    }
}
