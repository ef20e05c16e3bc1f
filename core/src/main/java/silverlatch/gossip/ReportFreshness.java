package silverlatch.gossip;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

/**
 * Tracks as of when the worker reports held here are known to be complete. Only pulls advance that time: a pushed
 * report may have arrived without others that preceded it. All times are microseconds of this node's monotonic clock.
 */
final class ReportFreshness {
    private final Map<String, Long> syncedAt = new HashMap<>();
    private Optional<Long> confirmedAt = Optional.empty();

    /**
     * Records that the reports held here were the newest as of a time. Returns whether that advances the time
     * recorded before.
     */
    boolean confirm(final long asOf) {
        if (confirmedAt.isPresent() && confirmedAt.get() >= asOf) {
            return false;
        }
        confirmedAt = Optional.of(asOf);
        return true;
    }

    /** Records that everything that the controller at an address held as of a time is held here. */
    void markSynced(final String address, final long asOf) {
        syncedAt.merge(address, asOf, Math::max);
    }

    /** Returns the latest time as of which a node confirmed that its reports, equal to those here, were complete. */
    Optional<Long> confirmedAt() {
        return confirmedAt;
    }

    /**
     * Returns, at a controller, the latest time as of which a majority of the controllers held nothing newer. This
     * controller itself counts as synced as of {@code now}.
     */
    Optional<Long> majorityConfirmedAt(final int controllerCount, final long now) {
        final List<Long> times = new ArrayList<>(syncedAt.values());
        times.add(now);
        times.sort(Comparator.reverseOrder());
        final int majority = controllerCount / 2 + 1;
        return times.size() < majority ? Optional.empty() : Optional.of(times.get(majority - 1));
    }

    /** Discards all times, as a rejoin requires. */
    void reset() {
        confirmedAt = Optional.empty();
        syncedAt.clear();
    }
}
