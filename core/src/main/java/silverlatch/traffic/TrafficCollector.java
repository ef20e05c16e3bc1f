package silverlatch.traffic;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;
import java.util.stream.Stream;
import silverlatch.membership.Member;
import silverlatch.node.Effect;
import silverlatch.wire.TrafficMessage;

/**
 * Keeps the newest report of each incarnation of each gateway. Every controller receives reports; only the owner of the
 * singleton role uses them. Confined to the node's event loop; times are microseconds of the monotonic clock.
 */
public final class TrafficCollector {
    /** For how long the newest report of a gateway is kept after it was received. */
    private static final long RETENTION_MICROS = 60_000_000L;

    /** For how long the demand in a report counts after the report was received. */
    private static final long DEMAND_LIFETIME_MICROS = 6_000_000L;

    private final Map<String, Map<Long, ReceivedReport>> reports = new HashMap<>();
    private long removedUpTo = -1;
    private boolean hasNewReports;

    private record ReceivedReport(TrafficMessage.TrafficReport report, String address, long receivedAt) {
        boolean containsWindow(final long window) {
            return report.windows().stream().anyMatch(counts -> counts.window() == window);
        }

        /**
         * Returns whether the gateway counts nothing more in a window: the window is reported as complete, or the
         * report contains later windows only, so that this one is closed already.
         */
        boolean isComplete(final long window) {
            return report.windows().stream()
                    .anyMatch(counts -> counts.window() == window ? counts.isComplete() : counts.window() > window);
        }

        Effect acknowledgement(final long newestClosed) {
            final List<Long> closed = report.windows().stream()
                    .map(TrafficMessage.WindowCounts::window)
                    .filter(window -> window <= newestClosed)
                    .toList();
            return new Effect.Send(address, new TrafficMessage.TrafficReportAck(report.incarnation(), closed));
        }

        ReceivedReport withoutClosed(final long newestClosed) {
            final List<TrafficMessage.WindowCounts> open = report.windows().stream()
                    .filter(counts -> counts.window() > newestClosed)
                    .toList();
            return new ReceivedReport(
                    new TrafficMessage.TrafficReport(
                            report.gateway(), report.incarnation(), report.sequence(), open, report.demand()),
                    address,
                    receivedAt);
        }
    }

    /**
     * Stores a report received from an address. Has no effect if a newer report of the same incarnation was received
     * before.
     */
    public void onReport(final TrafficMessage.TrafficReport report, final String address, final long now) {
        hasNewReports = true;
        reports.computeIfAbsent(report.gateway(), name -> new HashMap<>())
                .merge(
                        report.incarnation(),
                        new ReceivedReport(report, address, now),
                        (before, next) ->
                                next.report().sequence() > before.report().sequence() ? next : before);
    }

    /**
     * Removes closed windows and the gateways that haven't reported for long. Returns the acknowledgements for the
     * gateways that still reported closed windows.
     */
    public List<Effect> removeClosed(final long newestClosed, final long now) {
        if (newestClosed == removedUpTo && !hasNewReports) {
            return List.of();
        }
        removedUpTo = newestClosed;
        hasNewReports = false;
        final List<Effect> acknowledgements = new ArrayList<>();
        for (final Map<Long, ReceivedReport> incarnations : reports.values()) {
            incarnations.replaceAll((incarnation, received) -> {
                final ReceivedReport open = received.withoutClosed(newestClosed);
                if (open.report().windows().size() < received.report().windows().size()) {
                    acknowledgements.add(received.acknowledgement(newestClosed));
                }
                return open;
            });
            final ReceivedReport newest = newest(incarnations);
            incarnations
                    .values()
                    .removeIf(received -> received != newest
                            ? received.report().windows().isEmpty()
                            : now - received.receivedAt() > RETENTION_MICROS);
        }
        reports.values().removeIf(Map::isEmpty);
        return acknowledgements;
    }

    /** Returns whether any gateway has reported a window that isn't closed. */
    boolean hasReports(final long window) {
        return allReports().anyMatch(received -> received.containsWindow(window));
    }

    /** Returns the requests of a window by tenant, summed over the reports of all gateways. */
    Map<String, Long> counts(final long window) {
        final Map<String, Long> sums = new HashMap<>();
        allReports()
                .flatMap(received -> received.report().windows().stream())
                .filter(counts -> counts.window() == window)
                .flatMap(counts -> counts.counts().stream())
                .forEach(count -> sums.merge(count.tenant(), count.requests(), Long::sum));
        return sums;
    }

    /** Returns whether a gateway has reported the final counts of a window. False for a gateway that never reported. */
    boolean isComplete(final String gateway, final long window) {
        return Optional.ofNullable(reports.get(gateway))
                .filter(incarnations -> newest(incarnations).isComplete(window))
                .isPresent();
    }

    /** Returns the names of the gateways that reported within the given number of microseconds before now. */
    Set<String> gatewaysReportedWithin(final long micros, final long now) {
        final Set<String> gateways = new HashSet<>();
        allReports()
                .filter(received -> now - received.receivedAt() <= micros)
                .forEach(received -> gateways.add(received.report().gateway()));
        return gateways;
    }

    /**
     * Returns the demand of each gateway that reported it recently. Gateways that aren't members are omitted.
     *
     * @param member finds a member by its name
     */
    public List<GatewayDemand> demand(final Function<String, Optional<Member>> member, final long now) {
        return reports.values().stream()
                .map(TrafficCollector::newest)
                .filter(received -> now - received.receivedAt() <= DEMAND_LIFETIME_MICROS)
                .flatMap(received -> member
                        .apply(received.report().gateway())
                        .map(gateway -> new GatewayDemand(
                                gateway.zone(),
                                gateway.region(),
                                received.report().demand()))
                        .stream())
                .toList();
    }

    private Stream<ReceivedReport> allReports() {
        return reports.values().stream().flatMap(incarnations -> incarnations.values().stream());
    }

    /**
     * Returns the report that was received last, which is that of the gateway's current process. Incarnation numbers
     * can't tell this, as they may decrease when a clock is set back.
     */
    private static ReceivedReport newest(final Map<Long, ReceivedReport> incarnations) {
        return incarnations.values().stream()
                .max(Comparator.comparingLong(ReceivedReport::receivedAt))
                .orElseThrow();
    }
}
