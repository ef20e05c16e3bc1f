package silverlatch.traffic;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import silverlatch.wire.TrafficMessage;

/**
 * Decides when a gateway reports its traffic to the owner of the singleton role. Each report contains all windows that
 * aren't closed, so a lost report is made up for by the next, and a new owner has all data after a single report.
 * Confined to the node's event loop; times are microseconds of the monotonic clock.
 *
 * <p>A report is sent immediately when a window has become complete or when the owner has changed, once a second while
 * the data changes, and at a longer interval otherwise. The more windows wait to be closed, the longer the intervals
 * are, so that the network traffic stays the same.
 */
public final class TrafficReporter {
    private static final long CHECK_INTERVAL_MICROS = 200_000L;
    private static final long REPORT_INTERVAL_MICROS = 1_000_000L;
    private static final long IDLE_INTERVAL_MICROS = 4_000_000L;

    /**
     * The number of windows in a report above which reports become less frequent: the current window, and two that are
     * about to be closed.
     */
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
     * Creates a reporter that has sent no report.
     *
     * @param gateway     the gateway's name
     * @param incarnation the incarnation of the gateway's process; it doesn't change when the node rejoins the cluster
     * @param counter     the counter of usage, if usage is reported
     * @param demand      returns the current demand for each pool; called on the node's event loop
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
     * Returns the report to send now, if one is due.
     *
     * @param ownerAddress the address at which the owner of the singleton role receives messages
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

    /** Returns the last report of a gateway that is stopping; empty if it has no windows to report. */
    public Optional<TrafficMessage.TrafficReport> finalReport(final boolean hasTenants, final long now) {
        final TrafficMessage.TrafficReport next = next(hasTenants, now);
        return next.windows().isEmpty() ? Optional.empty() : Optional.of(record(next, now));
    }

    /** Handles an acknowledgement by the owner: removes the windows that are closed. */
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
