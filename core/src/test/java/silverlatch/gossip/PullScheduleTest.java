package silverlatch.gossip;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.replication.View;

/**
 * Tests from which members a gateway pulls, and how often. While its data is fresh it pulls from one controller in
 * its own region; if the data is stale, from a controller in any region.
 */
final class PullScheduleTest {
    private static final long SECOND = 1_000_000L;
    private final Membership membership =
            new Membership(member("me", "gateway", "west"), List.of("10.0.0.9:1"), Membership.Settings.LARGE_FLEET);
    private final PullSchedule schedule = new PullSchedule(
            Gossip.Settings.LARGE_FLEET, membership, new PeerSelector(membership, new SplittableRandom(3)));

    private static Member member(final String id, final String role, final String region) {
        return new Member(id, role, region + "1", region, id + ":1", id + ":2", 1, 0, "up", true);
    }

    @BeforeEach
    void addControllers() {
        for (final String region : List.of("west", "north", "east")) {
            membership.applyUpdate(member("controller-" + region, "controller", region), SECOND);
        }
    }

    @Test
    void freshStateIsPulledFromOneControllerInOwnRegion() {
        final List<Member> targets = schedule.controllersToPull(View.NONE, () -> false, 10 * SECOND);
        assertThat(targets.stream().map(Member::region).toList(), is(List.of("west")));
    }

    @Test
    void staleStateIsEventuallyPulledFromControllersInAllRegions() {
        final Set<String> regions = new HashSet<>();
        for (int second = 10; second < 60; second++) {
            final List<Member> targets = schedule.controllersToPull(View.NONE, () -> true, second * SECOND);
            assertThat(targets, hasSize(1));
            regions.add(targets.get(0).region());
        }
        assertThat(regions, is(Set.of("west", "north", "east")));
    }

    @Test
    void gatewaysArePulledFromLessOftenWhileStateIsFresh() {
        membership.applyUpdate(member("other", "gateway", "west"), SECOND);
        assertThat(schedule.gatewaysToPull(() -> false, 10 * SECOND), hasSize(1));
        assertThat(schedule.gatewaysToPull(() -> false, 13 * SECOND), is(empty()));
        assertThat(schedule.gatewaysToPull(() -> true, 13 * SECOND), hasSize(1));
        assertThat(schedule.gatewaysToPull(() -> false, 17 * SECOND), hasSize(1));
    }

    @Test
    void noControllerIsPulledFromBeforeIntervalExpires() {
        schedule.controllersToPull(View.NONE, () -> true, 10 * SECOND);
        assertThat(schedule.controllersToPull(View.NONE, () -> true, 10 * SECOND + 100_000L), is(empty()));
    }

    @Test
    void initialPullsGoToOneControllerFiveTimesASecond() {
        assertThat(schedule.controllersForInitialPull(View.NONE, 10 * SECOND), hasSize(1));
        assertThat(schedule.controllersForInitialPull(View.NONE, 10 * SECOND + 199_999L), is(empty()));
        assertThat(schedule.controllersForInitialPull(View.NONE, 10 * SECOND + 200_000L), hasSize(1));
    }

    @Test
    void initialPullsStopAfterFiveSeconds() {
        for (long elapsed = 0; elapsed < 5 * SECOND; elapsed += 200_000L) {
            assertThat(schedule.controllersForInitialPull(View.NONE, 10 * SECOND + elapsed), hasSize(1));
        }
        assertThat(schedule.controllersForInitialPull(View.NONE, 20 * SECOND), is(empty()));
    }

    @Test
    void nodeThatAnsweredJoinRequestIsPulledFromAtOnceIfNoControllerIsKnown() {
        final Membership alone =
                new Membership(member("me", "gateway", "west"), List.of("10.0.0.9:1"), Membership.Settings.LARGE_FLEET);
        final PullSchedule first =
                new PullSchedule(Gossip.Settings.LARGE_FLEET, alone, new PeerSelector(alone, new SplittableRandom(3)));
        assertThat(first.controllersForInitialPull(View.NONE, 10 * SECOND), is(empty()));
        assertThat(first.tryPullAfterJoinReply(10 * SECOND), is(true));
        assertThat(
                "second of two replies at the same time",
                first.tryPullAfterJoinReply(10 * SECOND + 50_000L),
                is(false));
    }
}
