package silverlatch.node;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Network faults of a simulated cluster: cut links, by direction, and additional delays of machines. */
final class ClusterLinks {
    private final Set<Link> cut = new HashSet<>();
    private final Map<String, Long> addedDelays = new HashMap<>();

    private record Link(String from, String to) {}

    /** Cuts all links between the two groups, in both directions. */
    void partition(final List<String> group, final List<String> others) {
        partitionOneWay(group, others);
        partitionOneWay(others, group);
    }

    /** Cuts all links from one group to the other; frames in the other direction are still delivered. */
    void partitionOneWay(final List<String> from, final List<String> to) {
        from.forEach(f -> to.stream().filter(t -> !t.equals(f)).forEach(t -> cut.add(new Link(f, t))));
    }

    /** Delays each frame from and to a machine by an additional time in microseconds. */
    void slow(final String name, final long delay) {
        addedDelays.put(name, delay);
    }

    void heal() {
        cut.clear();
        addedDelays.clear();
    }

    boolean isCut(final String from, final String to) {
        return cut.contains(new Link(from, to));
    }

    /** Returns the additional delay of frames between two machines, in microseconds. */
    long addedDelay(final String from, final String to) {
        return addedDelays.getOrDefault(from, 0L) + addedDelays.getOrDefault(to, 0L);
    }
}
