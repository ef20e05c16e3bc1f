package silverlatch.traffic;

import java.util.Collection;
import java.util.HashSet;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.Set;
import java.util.stream.Collectors;
import silverlatch.membership.Member;
import silverlatch.membership.MemberState;
import silverlatch.state.Command;
import silverlatch.state.StateMachine;
import silverlatch.state.UsageState;
import silverlatch.state.Value;

/**
 * Decides when the owner of the singleton role closes a usage window, and with which counts. Windows are closed in
 * order, one at a time: as soon as every gateway that may have counted in the window has reported it complete, and at
 * the latest at {@link UsageSchedule#closingDeadlineOf}. Confined to the node's event loop; times are microseconds of
 * the monotonic clock.
 *
 * <p>A window that no gateway reports is closed with empty counts before its usage is due. Once its usage is overdue
 * the window is skipped, as nothing is known about it.
 */
public final class UsageCloser {
    /** A gateway that reported within this time and is missing now may only be partitioned, so its counts are waited for. */
    private static final long RECENT_GATEWAY_MICROS = 20_000_000L;

    /** The time for which a new owner waits, so that gateways can discover it and report to it. */
    private static final long TAKEOVER_GRACE_MICROS = 2_500_000L;

    private static final long RETRY_MICROS = 500_000L;
    private final UsageSchedule schedule;
    private final TrafficCollector collector;
    private OptionalLong ownedSince = OptionalLong.empty();
    private long proposedWindow = -1;
    private long proposedAt;

    /** Creates a closer for a process that doesn't own the role yet. */
    public UsageCloser(final UsageSchedule schedule, final TrafficCollector collector) {
        this.schedule = schedule;
        this.collector = collector;
    }

    /**
     * The input of one decision.
     *
     * @param state        the committed state
     * @param members      the members of the cluster
     * @param fencingToken the fencing token of this process if it owns the role
     * @param unixMicros   the wall clock time
     * @param now          the monotonic clock time
     */
    public record Observation(
            StateMachine state, Collection<Member> members, Optional<Long> fencingToken, long unixMicros, long now) {}

    /**
     * Returns the command that closes the next window, if it is to be sent now. The command is repeated until the
     * window is closed.
     */
    public Optional<Command.CloseUsageWindow> next(final Observation observation) {
        if (observation.fencingToken().isEmpty()) {
            ownedSince = OptionalLong.empty();
            return Optional.empty();
        }
        if (ownedSince.isEmpty()) {
            ownedSince = OptionalLong.of(observation.now());
        }
        final OptionalLong oldest = oldestOpen(observation);
        if (oldest.isEmpty()
                || !mayClose(oldest.getAsLong(), observation)
                || isInFlight(oldest.getAsLong(), observation)) {
            return Optional.empty();
        }
        proposedWindow = oldest.getAsLong();
        proposedAt = observation.now();
        return Optional.of(new Command.CloseUsageWindow(
                "usage-" + proposedWindow,
                observation.fencingToken().get(),
                new Value.UsageWindow(proposedWindow, UsageCounter.tenantCounts(collector.counts(proposedWindow)))));
    }

    /** Returns the oldest window that has ended and must be closed. */
    private OptionalLong oldestOpen(final Observation observation) {
        final boolean hasTenants = UsageState.hasTenants(observation.state());
        final long current = schedule.windowAt(observation.unixMicros());
        final long first = Math.max(
                current - UsageCounter.MAX_WINDOWS,
                UsageState.newestClosed(observation.state()).orElse(-1) + 1);
        for (long window = first; window < current; window++) {
            final boolean isOverdue = observation.unixMicros() >= schedule.dueAt(window);
            if (collector.hasReports(window) || hasTenants && !isOverdue) {
                return OptionalLong.of(window);
            }
        }
        return OptionalLong.empty();
    }

    private boolean mayClose(final long window, final Observation observation) {
        if (observation.unixMicros() >= schedule.closingDeadlineOf(window)
                && observation.now() - ownedSince.getAsLong() >= TAKEOVER_GRACE_MICROS) {
            return true;
        }
        final Set<String> expected = expectedGateways(observation);
        return !expected.isEmpty() && expected.stream().allMatch(gateway -> collector.isComplete(gateway, window));
    }

    private Set<String> expectedGateways(final Observation observation) {
        final Set<String> expected =
                new HashSet<>(collector.gatewaysReportedWithin(RECENT_GATEWAY_MICROS, observation.now()));
        final Set<String> ready = observation.members().stream()
                .filter(member -> member.isGateway() && member.ready() && member.isLive())
                .map(Member::id)
                .collect(Collectors.toSet());
        expected.addAll(ready);
        observation.members().stream()
                .filter(member -> member.is(MemberState.LEFT))
                .map(Member::id)
                .forEach(expected::remove);
        return expected;
    }

    private boolean isInFlight(final long window, final Observation observation) {
        return window == proposedWindow && observation.now() - proposedAt < RETRY_MICROS;
    }
}
