package silverlatch.dispatch;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.placement.WeightedScorers;

/** What is remembered of tickets so that a placement can be explained; bounded. */
public final class TraceLog {
    private final int most;
    private final LinkedHashMap<String, Tale> tales = new LinkedHashMap<>();

    /** Remembers so many tickets. */
    public TraceLog(final int most) {
        this.most = most;
    }

    /** A ticket's story: whose, what was said, who was picked under which page and stamp, and how it stands. */
    public record Tale(
            String ticket,
            String tenant,
            String kind,
            String worker,
            long page,
            long stamp,
            String state,
            String why,
            int tries,
            List<WeightedScorers.Opinion> opinions) {
        /** Copies the opinions. */
        public Tale {
            opinions = List.copyOf(opinions);
        }

        Tale at(final String next, final String reason) {
            return new Tale(ticket, tenant, kind, worker, page, stamp, next, reason, tries, opinions);
        }
    }

    /** Keeps a story. */
    public void put(final Tale tale) {
        tales.remove(tale.ticket());
        tales.put(tale.ticket(), tale);
        if (tales.size() > most) {
            tales.remove(tales.keySet().iterator().next());
        }
    }

    /** Notes how a ticket stands. */
    public void state(final String ticket, final String next, final String why) {
        tales.computeIfPresent(ticket, (k, t) -> t.at(next, why));
    }

    /** A ticket's story. */
    public Optional<Tale> get(final String ticket) {
        return Optional.ofNullable(tales.get(ticket));
    }

    /** How many tickets stand in each state. */
    public Map<String, Long> counts() {
        return tales.values().stream()
                .collect(java.util.stream.Collectors.groupingBy(
                        Tale::state, java.util.TreeMap::new, java.util.stream.Collectors.counting()));
    }
}
