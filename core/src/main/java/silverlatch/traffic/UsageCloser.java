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
 * Decides when the owner of the singleton role closes a window of usage, and with which counts. Windows are closed in their order, one
 * at a time: once every gateway that may have counted in it has reported it complete, and at the latest at
 * {@link UsageSchedule#closingDeadlineOf}. Owned by the node's event loop; times are microseconds of the monotonic clock.
 *
 * <p>A window of which no gateway reports anything is closed with empty counts, unless its usage is overdue: then nothing is known of it,
 * and it is left out.
 */
public final class UsageCloser {
    /** A gateway that was heard this lately and is missing now may only be cut off, so its counts are waited for. */
    private static final long RECENT_GATEWAY_MICROS = 20_000_000L;

    /** A new owner gives gateways this time to learn of it and to report to it. */
    private static final long TAKEOVER_GRACE_MICROS = 2_500_000L;

    private static final long RETRY_MICROS = 500_000L;
    private final UsageSchedule schedule;
    private final TrafficCollector collector;
    private OptionalLong ownedSince = OptionalLong.empty();
    private long proposedWindow = -1;
    private long proposedAt;

    /** A closer of a process that doesn't own the role. */
    public UsageCloser(final UsageSchedule schedule, final TrafficCollector collector) {
        this.schedule = schedule;
        this.collector = collector;
    }

    /**
     * What is known at a moment.
     *
     * @param state        the committed state
     * @param members      the members of the cluster
     * @param fencingToken the token of this process where it owns the role
     * @param unixMicros   the wall clock
     * @param now          the monotonic clock
     */
    public record Observation(
            StateMachine state, Collection<Member> members, Optional<Long> fencingToken, long unixMicros, long now) {}

    /** The command that closes the next window, where one is to be sent now; it is sent again until the window is closed. */
    public Optional<Command.CloseUsageWindow> next(final Observation situation) {
        if (situation.fencingToken().isEmpty()) {
            ownedSince = OptionalLong.empty();
            return Optional.empty();
        }
        if (ownedSince.isEmpty()) {
            ownedSince = OptionalLong.of(situation.now());
        }
        final OptionalLong oldest = oldestOpen(situation);
        if (oldest.isEmpty() || !mayClose(oldest.getAsLong(), situation) || isInFlight(oldest.getAsLong(), situation)) {
            return Optional.empty();
        }
        proposedWindow = oldest.getAsLong();
        proposedAt = situation.now();
        return Optional.of(new Command.CloseUsageWindow(
                "usage-" + proposedWindow,
                situation.fencingToken().get(),
                new Value.UsageWindow(proposedWindow, UsageCounter.tenantCounts(collector.counts(proposedWindow)))));
    }

    /** The oldest window that has ended and is to be closed. */
    private OptionalLong oldestOpen(final Observation situation) {
        final boolean hasTenants = UsageState.hasTenants(situation.state());
        final long present = schedule.windowAt(situation.unixMicros());
        final long first = Math.max(
                present - UsageCounter.MAX_WINDOWS,
                UsageState.newestClosed(situation.state()).orElse(-1) + 1);
        for (long window = first; window < present; window++) {
            final boolean isOverdue = situation.unixMicros() >= schedule.dueAt(window);
            if (collector.hasReports(window) || hasTenants && !isOverdue) {
                return OptionalLong.of(window);
            }
        }
        return OptionalLong.empty();
    }

    private boolean mayClose(final long window, final Observation situation) {
        if (situation.unixMicros() >= schedule.closingDeadlineOf(window)
                && situation.now() - ownedSince.getAsLong() >= TAKEOVER_GRACE_MICROS) {
            return true;
        }
        final Set<String> expected = expectedGateways(situation);
        return !expected.isEmpty() && expected.stream().allMatch(gateway -> collector.isComplete(gateway, window));
    }

    private Set<String> expectedGateways(final Observation situation) {
        final Set<String> expected =
                new HashSet<>(collector.gatewaysReportedWithin(RECENT_GATEWAY_MICROS, situation.now()));
        final Set<String> ready = situation.members().stream()
                .filter(member -> member.isGateway() && member.ready() && member.isLive())
                .map(Member::id)
                .collect(Collectors.toSet());
        expected.addAll(ready);
        situation.members().stream()
                .filter(member -> member.is(MemberState.LEFT))
                .map(Member::id)
                .forEach(expected::remove);
        return expected;
    }

    private boolean isInFlight(final long window, final Observation situation) {
        return window == proposedWindow && situation.now() - proposedAt < RETRY_MICROS;
    }
}
