package silverlatch.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static silverlatch.membership.MemberState.DEAD;
import static silverlatch.membership.MemberState.LEFT;
import static silverlatch.membership.MemberState.SUSPECT;
import static silverlatch.membership.MemberState.Trigger.DEATH_TIMEOUT;
import static silverlatch.membership.MemberState.Trigger.HEARTBEATS_MISSED;
import static silverlatch.membership.MemberState.Trigger.LEAVE;
import static silverlatch.membership.MemberState.UP;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;

/**
 * Tests the transitions of a member's state and which of two updates supersedes the other. Nodes of all versions must
 * agree on both, or they never converge.
 */
final class MemberStateTest {
    private static Member member(final long incarnation, final long sequence, final String state) {
        return new Member("m", "gateway", "z", "r", "a", "h", incarnation, sequence, state, true);
    }

    @Test
    void missedHeartbeatsMakeOnlyUpMemberSuspect() {
        assertThat(UP.after(HEARTBEATS_MISSED), is(SUSPECT));
        assertThat(SUSPECT.after(HEARTBEATS_MISSED), is(SUSPECT));
        assertThat(DEAD.after(HEARTBEATS_MISSED), is(DEAD));
        assertThat(LEFT.after(HEARTBEATS_MISSED), is(LEFT));
    }

    @Test
    void onlySuspectedMemberTimesOut() {
        assertThat(SUSPECT.after(DEATH_TIMEOUT), is(DEAD));
        for (final MemberState state : EnumSet.of(UP, DEAD, LEFT)) {
            assertThrows(IllegalStateException.class, () -> state.after(DEATH_TIMEOUT));
        }
    }

    @Test
    void memberCanLeaveFromEveryState() {
        for (final MemberState state : MemberState.values()) {
            assertThat(state.after(LEAVE), is(LEFT));
        }
    }

    @Test
    void everyStateIsReachableFromUpAndNoTransitionLowersSeverity() {
        final Set<MemberState> reached = EnumSet.of(UP);
        for (final MemberState state : MemberState.values()) {
            for (final MemberState.Trigger trigger : MemberState.Trigger.values()) {
                if (reached.contains(state) && (trigger != DEATH_TIMEOUT || state == SUSPECT)) {
                    reached.add(state.after(trigger));
                    assertThat(state + " " + trigger, state.after(trigger).compareTo(state) >= 0, is(true));
                }
            }
        }
        assertThat(reached, is(EnumSet.allOf(MemberState.class)));
    }

    @Test
    void wireNamesAreThoseOfEarlierVersions() {
        final List<String> names = List.of("up", "suspect", "dead", "left");
        for (final MemberState state : MemberState.values()) {
            assertThat(state.wireName(), is(names.get(state.ordinal())));
            assertThat(MemberState.ofWireName(state.wireName()), is(Optional.of(state)));
        }
        assertThat(MemberState.ofWireName("UP"), is(Optional.empty()));
    }

    @Test
    void updateSupersedesByIncarnationThenSequenceThenSeverity() {
        final List<Member> ascending = List.of(
                member(1, 0, "unknown"),
                member(1, 0, "up"),
                member(1, 0, "suspect"),
                member(1, 0, "dead"),
                member(1, 0, "left"),
                member(1, 1, "up"),
                member(1, 1, "dead"),
                member(2, 0, "up"));
        for (int i = 0; i < ascending.size(); i++) {
            for (int j = 0; j < ascending.size(); j++) {
                assertThat(i + " " + j, ascending.get(i).supersedes(ascending.get(j)), is(i > j));
            }
        }
    }

    @Test
    void transitionChangesOnlyState() {
        assertThat(member(3, 4, "up").after(HEARTBEATS_MISSED), is(member(3, 4, "suspect")));
        assertThat(member(3, 4, "suspect").asUp(5, true), is(member(3, 5, "up")));
        assertThrows(IllegalStateException.class, () -> member(3, 4, "unknown").after(LEAVE));
    }
}
