package silverlatch.gossip;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.membership.Member;

/**
 * Decides at a controller which workers are silent: no controller that should hear them did so for the silence time-out.
 *
 * <p>A worker is called silent only by a controller that has itself run without a pause for a whole time-out, and that
 * exchanged heartbeat ages lately with every controller near the worker. So neither a partition nor a controller that was
 * suspended makes a worker silent that another controller still hears.
 */
final class SilenceDetector {
    private static final long SCAN_INTERVAL_MICROS = 250_000L;

    /** A gap between two scans from which on this process counts as having been paused. */
    private static final long PAUSE_THRESHOLD_MICROS = 1_000_000L;

    private final long silenceTimeout;
    private final Map<String, Long> lastContacts = new HashMap<>();
    private long lastScan = TrackedReport.NEVER;
    private long uninterruptedSince = TrackedReport.NEVER;

    /** Makes a detector with a silence time-out in microseconds. */
    SilenceDetector(final long silenceTimeout) {
        this.silenceTimeout = silenceTimeout;
    }

    /** Notes that the controller at an address shared its heartbeat ages as of a moment. */
    void recordContact(final String address, final long asOf) {
        lastContacts.merge(address, asOf, Math::max);
    }

    /** Returns whether a scan is due, and if so notes that it takes place now. */
    boolean startScan(final long now) {
        if (now - lastScan < SCAN_INTERVAL_MICROS) {
            return false;
        }
        if (now - lastScan > PAUSE_THRESHOLD_MICROS) {
            uninterruptedSince = now;
        }
        lastScan = now;
        return true;
    }

    /** Returns whether this process ran without a pause for so long that a silence can't be due to its own absence. */
    boolean hasRunUninterrupted(final long now) {
        return now - uninterruptedSince >= silenceTimeout;
    }

    /** Returns whether an active worker has become silent; the controllers are the others that are known. */
    boolean isSilent(final TrackedReport tracked, final List<Member> controllers, final long now) {
        return tracked.isActive()
                && now - tracked.lastHeartbeatAt() > silenceTimeout
                && isInContactWithNearbyControllers(tracked.report().worker(), controllers, now);
    }

    /** Forgets all contacts and that this process is awake. */
    void reset() {
        lastContacts.clear();
        uninterruptedSince = TrackedReport.NEVER;
        lastScan = TrackedReport.NEVER;
    }

    private boolean isInContactWithNearbyControllers(
            final Worker worker, final List<Member> controllers, final long now) {
        return nearbyControllers(worker, controllers).stream().allMatch(m -> isInContact(m, now));
    }

    private boolean isInContact(final Member controller, final long now) {
        return Optional.ofNullable(lastContacts.get(controller.address()))
                .map(contact -> now - contact <= silenceTimeout / 2)
                .orElse(false);
    }

    /** Returns the controllers of the worker's zone; where there are none those of its region, else all. */
    private static List<Member> nearbyControllers(final Worker worker, final List<Member> controllers) {
        final List<Member> sameZone =
                controllers.stream().filter(m -> m.zone().equals(worker.zone())).toList();
        if (!sameZone.isEmpty()) {
            return sameZone;
        }
        final List<Member> sameRegion = controllers.stream()
                .filter(m -> m.region().equals(worker.region()))
                .toList();
        return sameRegion.isEmpty() ? controllers : sameRegion;
    }
}
