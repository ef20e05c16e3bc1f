package silverlatch.gossip;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.membership.Member;

/**
 * Decides, at a controller, which workers are silent: those from which no responsible controller received an
 * announcement for the silence time-out.
 *
 * <p>A controller declares a worker silent only if it has itself run without a pause for a whole time-out, and has
 * recently exchanged heartbeat ages with every controller near the worker. So neither a partition nor a suspended
 * controller process makes a worker silent from which another controller still receives announcements.
 */
final class SilenceDetector {
    private static final long SCAN_INTERVAL_MICROS = 250_000L;

    /** If more time than this passes between two scans, the process is considered to have been paused. */
    private static final long PAUSE_THRESHOLD_MICROS = 1_000_000L;

    private final long silenceTimeout;
    private final Map<String, Long> lastContacts = new HashMap<>();
    private long lastScan = TrackedReport.NEVER;
    private long uninterruptedSince = TrackedReport.NEVER;

    /** Creates a detector with a silence time-out in microseconds. */
    SilenceDetector(final long silenceTimeout) {
        this.silenceTimeout = silenceTimeout;
    }

    /** Records that the controller at an address shared its heartbeat ages as of a time. */
    void recordContact(final String address, final long asOf) {
        lastContacts.merge(address, asOf, Math::max);
    }

    /** Returns whether a scan is due; if so, records that it takes place now. */
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

    /**
     * Returns whether this process has run without a pause for a whole silence time-out, so that missing
     * announcements can't be due to its own pause.
     */
    boolean hasRunUninterrupted(final long now) {
        return now - uninterruptedSince >= silenceTimeout;
    }

    /**
     * Returns whether an active worker has become silent.
     *
     * @param controllers all other known controllers
     */
    boolean isSilent(final TrackedReport tracked, final List<Member> controllers, final long now) {
        return tracked.isActive()
                && now - tracked.lastHeartbeatAt() > silenceTimeout
                && isInContactWithNearbyControllers(tracked.report().worker(), controllers, now);
    }

    /** Discards all contacts, and restarts the measurement of how long this process has run without a pause. */
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

    /**
     * Returns the controllers in the worker's zone; if there are none, those in its region; if there are none either,
     * all.
     */
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
