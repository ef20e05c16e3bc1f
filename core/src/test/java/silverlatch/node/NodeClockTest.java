package silverlatch.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.clock.NtpTime;
import silverlatch.clock.PhysicalClock;
import silverlatch.gossip.Gossip;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;

/** Checks when a node's clock is corrected by the offsets of peers, and that it ignores jumps of the wall clock. */
final class NodeClockTest {
    private static final long SECOND = 1_000_000;
    private static final long UNIX_NANOS = 1_700_000_000_000_000_000L;
    private static final long MAX_SKEW = 50_000;
    private static final Member SELF = new Member("n", "gateway", "z", "r", "a", "h", 1, 0, "up", true);

    private final List<Effect> logs = new ArrayList<>();
    private final NodeClock clock = new NodeClock(
            new Node.Settings(SELF, List.of(), 7, MAX_SKEW, Membership.Settings.DEFAULTS, Gossip.Settings.DEFAULTS),
            new PhysicalClock(UNIX_NANOS, 0, 0),
            List.of(),
            0,
            logs::add);

    private List<Event> events() {
        return logs.stream().map(e -> ((Effect.Log) e).event()).toList();
    }

    @Test
    void clockMovesToTheMedianOfPeersIfItExceedsTheMaximumSkew() {
        final long before = clock.physicalTime(SECOND);
        clock.recordPeerOffset("a", NtpTime.fromMicros(300_000), SECOND);
        clock.recordPeerOffset("b", NtpTime.fromMicros(400_000), SECOND);
        assertThat(clock.check(SECOND), is(Optional.of("the median of the peers")));
        assertThat(events(), is(List.of(Event.ANCHORED)));
        final long moved = NtpTime.toMicros(clock.physicalTime(SECOND) - before);
        assertThat(moved, both(greaterThanOrEqualTo(299_990L)).and(lessThanOrEqualTo(300_010L)));
    }

    @Test
    void singlePeerOrSkewWithinBoundsDoesNotMoveTheClock() {
        clock.recordPeerOffset("a", NtpTime.fromMicros(300_000), SECOND);
        assertThat(clock.check(SECOND), is(Optional.empty()));
        clock.recordPeerOffset("a", NtpTime.fromMicros(40_000), 2 * SECOND);
        clock.recordPeerOffset("b", NtpTime.fromMicros(40_000), 2 * SECOND);
        assertThat(clock.check(2 * SECOND), is(Optional.empty()));
        assertThat(logs, empty());
    }

    @Test
    void offsetsAreValidForFourSecondsAndCheckedEveryHalfSecond() {
        clock.recordPeerOffset("a", NtpTime.fromMicros(300_000), SECOND);
        assertThat(clock.check(SECOND), is(Optional.empty()));
        clock.recordPeerOffset("b", NtpTime.fromMicros(300_000), SECOND);
        assertThat(clock.check(SECOND + 499_999), is(Optional.empty()));
        assertThat(clock.check(5 * SECOND + 1), is(Optional.empty()));
        assertThat(logs, empty());
    }

    @Test
    void jumpOfTheWallClockIsIgnoredAndLoggedOnce() {
        clock.slew(SECOND, UNIX_NANOS + 5 * SECOND * 1_000);
        final long expected = new PhysicalClock(UNIX_NANOS, 0, 0).physicalTime(SECOND);
        assertThat(clock.physicalTime(SECOND), is(expected));
        clock.slew(2 * SECOND, UNIX_NANOS + 6 * SECOND * 1_000);
        assertThat(events(), is(List.of(Event.WALL_JUMP)));
        assertThat(clock.physicalClock().jumps(), is(2L));
    }
}
