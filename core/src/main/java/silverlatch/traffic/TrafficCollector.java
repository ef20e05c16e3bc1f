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
 * The newest report of each start of each gateway. Every controller takes reports; they matter at the one that owns the singleton
 * role. Owned by the node's event loop; times are microseconds of the monotonic clock.
 */
public final class TrafficCollector {
    /** For so long a gateway that isn't heard any more is remembered. */
    private static final long RETENTION_MICROS = 60_000_000L;

    /** What clients ask is known for so long after a report. */
    private static final long DEMAND_LIFETIME_MICROS = 6_000_000L;

    private final Map<String, Map<Long, ReceivedReport>> reports = new HashMap<>();
    private long removedUpTo = -1;
    private boolean hasNewReports;

    private record ReceivedReport(TrafficMessage.TrafficReport report, String address, long receivedAt) {
        boolean containsWindow(final long window) {
            return report.windows().stream().anyMatch(counts -> counts.window() == window);
        }

        /** Whether nothing more is counted in a window: it is complete, or later ones alone aren't closed there. */
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

    /** Takes a report that came from an address; one that is older than the newest of its incarnation changes nothing. */
    public void onReport(final TrafficMessage.TrafficReport report, final String address, final long now) {
        hasNewReports = true;
        reports.computeIfAbsent(report.gateway(), name -> new HashMap<>())
                .merge(
                        report.incarnation(),
                        new ReceivedReport(report, address, now),
                        (before, next) ->
                                next.report().sequence() > before.report().sequence() ? next : before);
    }

    /** Forgets what is closed and who is long gone; returns the acknowledgements for gateways that still hold closed windows. */
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

    /** Whether any gateway has reported a window that isn't closed. */
    boolean hasReports(final long window) {
        return allReports().anyMatch(received -> received.containsWindow(window));
    }

    /** The requests of a window by tenant, as all gateways have reported them. */
    Map<String, Long> counts(final long window) {
        final Map<String, Long> sums = new HashMap<>();
        allReports()
                .flatMap(received -> received.report().windows().stream())
                .filter(counts -> counts.window() == window)
                .flatMap(counts -> counts.counts().stream())
                .forEach(count -> sums.merge(count.tenant(), count.requests(), Long::sum));
        return sums;
    }

    /** Whether a gateway has reported all that it counts in a window; one that was never heard hasn't. */
    boolean isComplete(final String gateway, final long window) {
        return Optional.ofNullable(reports.get(gateway))
                .filter(incarnations -> newest(incarnations).isComplete(window))
                .isPresent();
    }

    /** The gateways that were heard within the last so many microseconds. */
    Set<String> gatewaysReportedWithin(final long micros, final long now) {
        final Set<String> heard = new HashSet<>();
        allReports()
                .filter(received -> now - received.receivedAt() <= micros)
                .forEach(received -> heard.add(received.report().gateway()));
        return heard;
    }

    /** What the clients of each gateway ask, as far as it was heard lately; gateways that aren't members are left out. */
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

    /** What the gateway's present process has reported; numbers of incarnations may fall where a clock was set back. */
    private static ReceivedReport newest(final Map<Long, ReceivedReport> incarnations) {
        return incarnations.values().stream()
                .max(Comparator.comparingLong(ReceivedReport::receivedAt))
                .orElseThrow();
    }
}
