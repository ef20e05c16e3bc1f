package silverlatch.traffic;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import silverlatch.wire.TrafficMessage;

/**
 * Decides when a gateway tells the owner of the singleton role what it serves. A report holds every window that isn't closed, so one that
 * is lost is made good by the next, and a new owner knows all after one. Owned by the node's event loop; times are microseconds of
 * the monotonic clock.
 *
 * <p>Reports are made when a window has just become complete, to a new owner at once, once a second where something changed, and once in a
 * while anyway. The more windows wait to be closed, the longer the pauses, so that the traffic stays the same.
 */
public final class TrafficReporter {
    private static final long CHECK_INTERVAL_MICROS = 200_000L;
    private static final long REPORT_INTERVAL_MICROS = 1_000_000L;
    private static final long IDLE_INTERVAL_MICROS = 4_000_000L;

    /** So many windows may be in a report before reports become rarer: the present one, and two that are about to be closed. */
    private static final int TYPICAL_WINDOWS = 3;

    private final String gateway;
    private final long incarnation;
    private final Optional<UsageCounter> counter;
    private final Supplier<List<TrafficMessage.PoolDemand>> demand;
    private String owner = "";
    private long sequence;
    private long checkedAt;
    private long reportedAt;
    private TrafficMessage.TrafficReport lastReport;

    /**
     * A reporter that has reported nothing.
     *
     * @param gateway     the gateway's name
     * @param incarnation which start of the gateway's process this is; it stays the same where the node rejoins
     * @param counter     what has been counted, where usage is reported
     * @param demand      what clients ask of each pool now; called on the node's event loop
     */
    public TrafficReporter(
            final String gateway,
            final long incarnation,
            final Optional<UsageCounter> counter,
            final Supplier<List<TrafficMessage.PoolDemand>> demand) {
        this.gateway = gateway;
        this.incarnation = incarnation;
        this.counter = counter;
        this.demand = demand;
        this.lastReport = new TrafficMessage.TrafficReport(gateway, incarnation, 0, List.of(), List.of());
    }

    /**
     * The report that is due, if one is.
     *
     * @param ownerAddress where the singleton role's owner takes messages
     * @param hasTenants   whether the configuration in force has tenants, so that their usage is counted
     */
    public Optional<TrafficMessage.TrafficReport> tick(
            final String ownerAddress, final boolean hasTenants, final long now) {
        if (now - checkedAt < CHECK_INTERVAL_MICROS) {
            return Optional.empty();
        }
        checkedAt = now;
        final TrafficMessage.TrafficReport next = next(hasTenants, now);
        if (next.windows().isEmpty() && next.demand().isEmpty()) {
            return Optional.empty();
        }
        final boolean isNewOwner = !ownerAddress.equals(owner);
        if (!isNewOwner && !hasNewComplete(next) && !isDue(next, now)) {
            return Optional.empty();
        }
        owner = ownerAddress;
        return Optional.of(record(next, now));
    }

    /** The last report of a gateway that stops; empty where there is nothing to be said. */
    public Optional<TrafficMessage.TrafficReport> finalReport(final boolean hasTenants, final long now) {
        final TrafficMessage.TrafficReport next = next(hasTenants, now);
        return next.windows().isEmpty() ? Optional.empty() : Optional.of(record(next, now));
    }

    /** Takes an acknowledgement of the owner. */
    public void onAck(final TrafficMessage.TrafficReportAck ack) {
        if (ack.incarnation() == incarnation) {
            counter.ifPresent(usage -> usage.remove(ack.closedWindows()));
        }
    }

    private TrafficMessage.TrafficReport next(final boolean hasTenants, final long now) {
        final List<TrafficMessage.WindowCounts> windows = counter.filter(usage -> hasTenants || usage.hasCounts())
                .map(usage -> usage.windows(now))
                .orElse(List.of());
        return new TrafficMessage.TrafficReport(gateway, incarnation, sequence + 1, windows, demand.get());
    }

    private TrafficMessage.TrafficReport record(final TrafficMessage.TrafficReport next, final long now) {
        sequence = next.sequence();
        reportedAt = now;
        lastReport = next;
        return next;
    }

    private boolean hasNewComplete(final TrafficMessage.TrafficReport next) {
        return next.windows().stream()
                .filter(TrafficMessage.WindowCounts::isComplete)
                .anyMatch(window -> lastReport.windows().stream()
                        .noneMatch(before -> before.window() == window.window() && before.isComplete()));
    }

    private boolean isDue(final TrafficMessage.TrafficReport next, final long now) {
        final boolean hasChanged =
                !next.windows().equals(lastReport.windows()) || !next.demand().equals(lastReport.demand());
        final boolean hasComplete = next.windows().stream().anyMatch(TrafficMessage.WindowCounts::isComplete);
        final int backlogFactor = Math.max(1, next.windows().size() / TYPICAL_WINDOWS);
        return now - reportedAt
                >= (hasChanged || hasComplete ? backlogFactor * REPORT_INTERVAL_MICROS : IDLE_INTERVAL_MICROS);
    }
}
