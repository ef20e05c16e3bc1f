package silverlatch.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against members that are suspected too early or too late, and against a node that suspects all others
 * although it is itself cut off.
 */
final class FailureDetectorTest {
    private static final long TIMEOUT = 1_000;

    private final FailureDetector detector = new FailureDetector(TIMEOUT);

    private static Member member(final String id) {
        return new Member(id, "gateway", "z", "r", id, id, 1, 0, "up", true);
    }

    @Test
    void memberIsSilentOnceTimeoutSinceLastHeartbeatExpired() {
        final List<Member> watched = List.of(member("a"), member("b"));
        assertThat(detector.silentMembers(watched, 0), empty());
        detector.onHeartbeat("a", 500);
        assertThat(detector.silentMembers(watched, TIMEOUT), empty());
        assertThat(detector.silentMembers(watched, TIMEOUT + 1), is(List.of(member("b"))));
        assertThat(detector.silentMembers(watched, 1_501), is(watched));
    }

    @Test
    void timeoutStartsNowForNewlyWatchedMember() {
        detector.silentMembers(List.of(member("a")), 0);
        detector.silentMembers(List.of(member("b")), 100);
        assertThat(detector.silentMembers(List.of(member("a")), 5_000), empty());
    }

    @Test
    void nodeSuspectsItselfWhileMoreThanHalfOfWatchedMembersAreSilent() {
        assertThat(detector.updateSelfSuspicion(1, 1).isPresent(), is(false));
        assertThat(detector.updateSelfSuspicion(1, 3).isPresent(), is(false));
        assertThat(detector.suspectsSelf(), is(false));
        assertThat(detector.updateSelfSuspicion(2, 3).isPresent(), is(true));
        assertThat(detector.updateSelfSuspicion(3, 3).isPresent(), is(false));
        assertThat(detector.suspectsSelf(), is(true));
        assertThat(detector.updateSelfSuspicion(1, 3).isPresent(), is(false));
        assertThat(detector.suspectsSelf(), is(false));
    }
}
