package silverlatch.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against nodes that stay separated: seeds that get no join requests while no member is up there, and sides of
 * a healed partition that never reconnect.
 */
final class JoinScheduleTest {
    private static final long INTERVAL = 1_000_000;
    private static final long SHORT_INTERVAL = 200_000;
    private static final long START = 10 * INTERVAL;
    private static final long RECONNECT_WINDOW = 600_000_000;

    private final MemberTable members = new MemberTable(member("self", "up"));
    private final JoinSchedule schedule = new JoinSchedule("self", List.of("self", "s1", "s2"), INTERVAL, members);

    private static Member member(final String id, final String state) {
        return new Member(id, "gateway", "z", "r", id, id, 1, 0, state, true);
    }

    @Test
    void joiningNodeSendsRequestsToAllSeedsButItselfAtShortInterval() {
        members.putOther(member("s1", "up"), START);
        assertThat(schedule.joinTargets(START), is(List.of("s1", "s2")));
        assertThat(schedule.joinTargets(START + SHORT_INTERVAL - 1), empty());
        assertThat(schedule.joinTargets(START + SHORT_INTERVAL), is(List.of("s1", "s2")));
    }

    @Test
    void joinedNodeSendsRequestsToSeedsThatAreNotUp() {
        schedule.onMemberList();
        members.putOther(member("s1", "up"), START);
        assertThat(schedule.joinTargets(START), is(List.of("s2")));
        assertThat(schedule.joinTargets(START + INTERVAL - 1), empty());
        members.putOther(member("s1", "suspect"), START);
        assertThat(schedule.joinTargets(START + INTERVAL), is(List.of("s1", "s2")));
    }

    @Test
    void shortIntervalAppliesToSeedsThatAreNotUp() {
        schedule.onMemberList();
        members.putOther(member("s1", "up"), START);
        schedule.setUseShortInterval(true);
        assertThat(schedule.joinTargets(START), is(List.of("s2")));
        assertThat(schedule.joinTargets(START + SHORT_INTERVAL), is(List.of("s2")));
        schedule.setUseShortInterval(false);
        assertThat(schedule.joinTargets(START + 2 * SHORT_INTERVAL), empty());
    }

    @Test
    void changedSeedsGetRequestsAtOnceUnchangedOnesDoNot() {
        schedule.onMemberList();
        schedule.joinTargets(START);
        schedule.setSeeds(List.of("self", "s1", "s2"));
        assertThat(schedule.joinTargets(START + 1), empty());
        schedule.setSeeds(List.of("s3"));
        assertThat(schedule.joinTargets(START + 1), is(List.of("s3")));
    }

    @Test
    void deadMembersGetRequestsRoundRobinUntilReconnectWindowExpires() {
        schedule.setSeeds(List.of());
        schedule.onMemberList();
        members.putOther(member("d1", "dead"), START);
        members.putOther(member("d2", "dead"), START);
        members.putOther(member("gone", "left"), START);
        assertThat(schedule.joinTargets(START), is(List.of("d1")));
        assertThat(schedule.joinTargets(START + INTERVAL), is(List.of("d2")));
        assertThat(schedule.joinTargets(START + 2 * INTERVAL), is(List.of("d1")));
        assertThat(schedule.joinTargets(START + RECONNECT_WINDOW), empty());
    }

    @Test
    void deadMemberGetsNoRequestIfLiveMemberHasItsAddress() {
        schedule.setSeeds(List.of());
        schedule.onMemberList();
        members.putOther(member("d1", "dead"), START);
        members.putOther(new Member("new", "gateway", "z", "r", "d1", "d1", 1, 0, "up", true), START);
        assertThat(schedule.joinTargets(START), empty());
    }
}
