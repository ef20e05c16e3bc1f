package silverlatch.traffic;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import silverlatch.membership.Member;
import silverlatch.membership.MemberState;
import silverlatch.state.Command;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.state.Value;
import silverlatch.wire.TrafficMessage;

/**
 * When the owner of the singleton role closes windows, and with which counts. Guards against lost or doubled usage, and
 * against windows that stay open. The monotonic clock equals the wall clock, and window 100 has ended.
 */
final class UsageCloserTest {
    private static final long SECOND = 1_000_000;
    private static final long WINDOW = 5 * SECOND;
    private static final long DELAY = 10 * SECOND;
    private static final long END = 101 * WINDOW;
    private static final long DEADLINE = END + DELAY * 2 / 3;
    private final StateMachine state = new StateMachine();
    private final TrafficCollector collector = new TrafficCollector();
    private final UsageCloser closer = new UsageCloser(new UsageSchedule(WINDOW, DELAY), collector);
    private final List<Member> members = new ArrayList<>();
    private Optional<Long> token = Optional.of(4L);

    @BeforeEach
    void ownTheRoleAndCloseWindow99() {
        state.apply(1, List.of(new Entry("p/access", 1, List.of(new Value.AccessControl(true)))));
        closeInState(99);
        next(END - 4 * SECOND);
    }

    private void closeInState(final long window) {
        state.apply(
                window,
                List.of(new Entry(
                        String.format("w/%019d", window), window, List.of(new Value.UsageWindow(window, List.of())))));
    }

    private void addGateway(final String name) {
        members.add(Member.starting(name, "gateway", "z", "r", name + ":1", name + ":2", 1)
                .asUp(1, true));
    }

    private static TrafficMessage.WindowCounts counts(
            final long window, final boolean isComplete, final long requests) {
        return new TrafficMessage.WindowCounts(window, isComplete, List.of(new Value.TenantCount("acme", requests)));
    }

    private void report(
            final String gateway,
            final long incarnation,
            final long sequence,
            final long now,
            final TrafficMessage.WindowCounts... windows) {
        collector.onReport(
                new TrafficMessage.TrafficReport(gateway, incarnation, sequence, List.of(windows), List.of()),
                gateway + ":1",
                now);
    }

    private Optional<Value.UsageWindow> next(final long now) {
        return closer.next(new UsageCloser.Observation(state, members, token, now, now))
                .map(Command.CloseUsageWindow::window);
    }

    private static Optional<Value.UsageWindow> closed(final long window, final long requests) {
        return Optional.of(new Value.UsageWindow(window, List.of(new Value.TenantCount("acme", requests))));
    }

    @Test
    void aWindowIsClosedOnceEveryReadyGatewayHasReportedItComplete() {
        addGateway("g1");
        addGateway("g2");
        report("g1", 1, 1, END, counts(100, true, 10));
        report("g2", 1, 1, END, counts(100, false, 4));
        assertThat("one gateway is still counting", next(END + SECOND), is(Optional.empty()));
        report("g2", 1, 2, END + SECOND, counts(100, true, 5));
        assertThat(next(END + SECOND), is(closed(100, 15)));
    }

    @Test
    void duplicateAndReorderedReportsHaveNoEffect() {
        addGateway("g1");
        report("g1", 1, 2, END, counts(100, true, 10));
        report("g1", 1, 2, END, counts(100, true, 10));
        report("g1", 1, 1, END, counts(100, false, 3));
        assertThat(next(END + SECOND), is(closed(100, 10)));
    }

    @Test
    void theCountsOfAnEarlierIncarnationAreAddedAndNotWaitedFor() {
        addGateway("g1");
        report("g1", 1, 9, END - 2 * SECOND, counts(100, false, 10));
        assertThat("the gateway may only be partitioned", next(END + SECOND), is(Optional.empty()));
        report("g1", 2, 1, END + SECOND, counts(101, false, 1));
        assertThat(next(END + SECOND), is(closed(100, 10)));
    }

    @Test
    void aGatewayThatReportedRecentlyIsWaitedForUntilTheDeadlineEvenIfItIsDead() {
        addGateway("g1");
        report("g1", 1, 1, END, counts(100, true, 10));
        report("lost", 1, 1, END - SECOND, counts(100, false, 3));
        assertThat(next(DEADLINE - 1), is(Optional.empty()));
        assertThat(next(DEADLINE), is(closed(100, 13)));
    }

    @Test
    void aGatewayThatHasLeftIsNotWaitedFor() {
        addGateway("g1");
        report("g1", 1, 1, END, counts(100, true, 10));
        report("left", 1, 1, END - SECOND, counts(100, false, 3));
        members.add(Member.starting("left", "gateway", "z", "r", "left:1", "left:2", 1)
                .withState(MemberState.LEFT));
        assertThat(next(END + SECOND), is(closed(100, 13)));
    }

    @Test
    void aNewOwnerGivesGatewaysTimeToReportBeforeItClosesAWindow() {
        addGateway("g1");
        token = Optional.empty();
        next(DEADLINE - SECOND);
        token = Optional.of(5L);
        assertThat(next(DEADLINE), is(Optional.empty()));
        assertThat(next(DEADLINE + 2 * SECOND), is(Optional.empty()));
        report("g1", 1, 1, DEADLINE + 2 * SECOND, counts(100, true, 10));
        assertThat(next(DEADLINE + 2 * SECOND), is(closed(100, 10)));
    }

    @Test
    void onlyTheOwnerClosesWindows() {
        addGateway("g1");
        report("g1", 1, 1, END, counts(100, true, 10));
        token = Optional.empty();
        assertThat(next(END + SECOND), is(Optional.empty()));
    }

    @Test
    void theCommandIsRepeatedUntilTheWindowIsClosed() {
        addGateway("g1");
        report("g1", 1, 1, END, counts(100, true, 10));
        assertThat(next(END + SECOND), is(closed(100, 10)));
        assertThat("in flight", next(END + SECOND + SECOND / 4), is(Optional.empty()));
        assertThat(next(END + SECOND + SECOND / 2), is(closed(100, 10)));
        closeInState(100);
        assertThat(next(END + 3 * SECOND), is(Optional.empty()));
    }

    @Test
    void windowsThatEndedWithoutAnOwnerAreClosedLaterInOrder() {
        addGateway("g1");
        final long late = END + 4 * WINDOW;
        report("g1", 1, 1, late, counts(100, true, 10), counts(102, true, 12), counts(105, false, 0));
        assertThat(next(late), is(closed(100, 10)));
        closeInState(100);
        assertThat("window 101 was not reported and is overdue", next(late), is(closed(102, 12)));
    }

    @Test
    void aWindowWithoutRequestsIsClosedEmptyIfThereAreTenants() {
        addGateway("g1");
        report("g1", 1, 1, END + SECOND, new TrafficMessage.WindowCounts(101, false, List.of()));
        assertThat(next(END + SECOND), is(Optional.of(new Value.UsageWindow(100, List.of()))));
        state.apply(200, List.of(new Entry("p/access", 200, List.of(new Value.AccessControl(false)))));
        assertThat("no tenants", next(END + 2 * SECOND), is(Optional.empty()));
    }

    @Test
    void closedWindowsAreAcknowledgedToGatewaysThatStillReportThem() {
        report("g1", 1, 1, END, counts(100, true, 10));
        assertThat(collector.removeClosed(99, END).size(), is(0));
        assertThat(collector.removeClosed(100, END).size(), is(1));
        assertThat(collector.counts(100).isEmpty(), is(true));
        report("g1", 1, 2, END + SECOND, counts(100, true, 10));
        assertThat(
                "the first acknowledgement was lost",
                collector.removeClosed(100, END + SECOND).size(),
                is(1));
    }
}
