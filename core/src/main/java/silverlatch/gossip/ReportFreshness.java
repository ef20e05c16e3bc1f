package silverlatch.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * As of when the reports held here were surely complete. Only a pull makes that moment later; pushed reports may have come
 * without others. All times are microseconds of this node's monotonic clock.
 */
final class ReportFreshness {
    private final Map<String, Long> syncedAt = new HashMap<>();
    private Optional<Long> confirmedAt = Optional.empty();

    /** Notes that what is held here was the newest as of a moment; returns whether that is later than known before. */
    boolean confirm(final long asOf) {
        if (confirmedAt.isPresent() && confirmedAt.get() >= asOf) {
            return false;
        }
        confirmedAt = Optional.of(asOf);
        return true;
    }

    /** Notes that all that the controller at an address knew as of a moment is held here. */
    void markSynced(final String address, final long asOf) {
        syncedAt.merge(address, asOf, Math::max);
    }

    /** Returns the moment as of which a controller last said that its reports, equal to those here, were complete. */
    Optional<Long> confirmedAt() {
        return confirmedAt;
    }

    /** Returns, at a controller, the latest moment as of which a majority of the controllers knew nothing newer. */
    Optional<Long> majorityConfirmedAt(final int controllerCount, final long now) {
        final List<Long> times = new ArrayList<>(syncedAt.values());
        times.add(now);
        times.sort(Comparator.reverseOrder());
        final int majority = controllerCount / 2 + 1;
        return times.size() < majority ? Optional.empty() : Optional.of(times.get(majority - 1));
    }

    /** Forgets everything, as after a rejoin. */
    void reset() {
        confirmedAt = Optional.empty();
        syncedAt.clear();
    }
}
