package silverlatch.routing;

import java.util.List;
import java.util.Map;
import java.util.Set;
import silverlatch.state.Value;

/**
 * Foretells when a worker would send the first event of a ticket: the way there and back, what it still has to read of
 * others, what it has to read of this prompt (each token costs the more the more stand before it), and how full it is.
 * While a worker reads a long prompt the streams it writes pause, so each stream there is counted against it. Microseconds.
 */
final class LatencyPredictor {
    static final double TOKEN = 27;
    private static final double PAIR = 0.0012;
    private static final double HARM = 60_000;
    private static final double FULL = 8_000;
    private static final int MOST = 16;
    private static final long BASE = 55_000;
    private static final long WAIT = 30_000;
    private static final long FAR = 72_000;
    private static final long NEAR = 1_500;
    private static final double FIRST = 0.9;
    private static final double OTHER = 0.15;
    private static final long STALE = 1_500_000L;
    private static final long LONG = 25_000;
    private static final long APART = 200_000;
    private static final int WORTH = 512;

    private LatencyPredictor() {}

    /** What is foretold: when the first event comes, and what the choice costs beside it. */
    record View(long first, long cost, int unread) {}

    static View of(
            final RoutedRequest fare,
            final Value.Route rule,
            final WorkerState s,
            final String zone,
            final String region,
            final Map<Long, String> homes,
            final Set<String> writers,
            final long now) {
        final boolean far = !s.worker.region().equals(region);
        final int unread = unread(fare, s, homes, now);
        final double read = (unread * (TOKEN + PAIR * (fare.in() - unread / 2.0)) + s.unread() * TOKEN) * s.pace;
        final boolean told = now - s.loadAt < STALE;
        final double full = Math.max(told ? (double) s.running / s.slots : 0, (double) s.runs.size() / s.slots);
        final long queue = told ? s.waiting * WAIT : 0;
        final long way = far ? FAR : s.worker.zone().equals(zone) ? 0 : NEAR;
        final long first =
                Math.round(way + BASE * s.pace + read + queue + full * 60_000 + Math.max(0, full - 0.8) * 2_000_000);
        final boolean odd = !writers.isEmpty() && writers.contains(s.worker.id()) == TrafficStatistics.lengthy(fare);
        final int streams = Math.max(told ? s.running : 0, s.runs.size());
        final long harm = TrafficStatistics.lengthy(fare)
                ? Math.min(MOST, streams) * Math.round(HARM * Math.min(1, unread / FULL))
                : 0;
        final long extra = (far ? LONG : 0)
                + (odd ? APART : 0)
                + harm
                + Math.max(0, s.overdue(now)) * 2
                + (s.cold(now) ? rule.latencyTargetMicros() / 2 : 0);
        return new View(first, first + extra, unread);
    }

    /** The tokens a worker has likely still to read of a prompt. */
    static int unread(final RoutedRequest fare, final WorkerState s, final Map<Long, String> homes, final long now) {
        double all = 0;
        double kept = 1;
        for (int i = 0; i < fare.parts().size(); i++) {
            final RoutedRequest.Part p = fare.parts().get(i);
            final boolean own = i + 1 == fare.parts().size();
            kept = Math.min(
                    kept,
                    own && !s.keeps(p.name(), now)
                            ? 0
                            : s.keeps(p.name(), now) ? 1 : s.worker.id().equals(homes.get(p.name())) ? FIRST : OTHER);
            all += p.tokens() * (1 - kept);
        }
        return (int) Math.round(fare.parts().isEmpty() ? fare.in() : all);
    }

    /** Whether a prompt's shared parts are large enough to be kept together. */
    static boolean worth(final List<RoutedRequest.Part> parts) {
        return parts.size() > 1
                && parts.subList(0, parts.size() - 1).stream()
                                .mapToInt(RoutedRequest.Part::tokens)
                                .sum()
                        >= WORTH;
    }

    /** The name of a prompt's longest run of shared parts. */
    static long key(final RoutedRequest fare) {
        return fare.parts().get(fare.parts().size() - 2).name();
    }

    static long draw(final long seed, final String name) {
        long sum = 0xCBF29CE484222325L ^ seed;
        for (int i = 0; i < name.length(); i++) {
            sum = (sum ^ name.charAt(i)) * 0x100000001B3L;
        }
        sum = (sum ^ sum >>> 30) * 0xBF58476D1CE4E5B9L;
        sum = (sum ^ sum >>> 27) * 0x94D049BB133111EBL;
        return sum ^ sum >>> 31;
    }
}
