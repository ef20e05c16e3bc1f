package silverlatch.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.wire.Message;

/**
 * Runs the membership of several nodes on a simulated clock. Messages arrive at once unless their sender or receiver
 * is silenced; updates go to all nodes. Guards against nodes that don't find each other, live members that are
 * declared dead, and dead ones that are not.
 */
final class MembershipTest {
    private final Map<String, Membership> nodes = new LinkedHashMap<>();
    private final Set<String> silenced = new HashSet<>();
    private final Map<String, List<Event>> logs = new HashMap<>();
    private long now = 1_000_000;

    private void start(final String id, final long incarnation) {
        nodes.put(
                id,
                new Membership(
                        new Member(id, "gateway", "z", "r", id, id, incarnation, 0, "up", true),
                        List.of("n0", "n1", "n2"),
                        Membership.Settings.DEFAULTS));
        logs.computeIfAbsent(id, k -> new ArrayList<>());
    }

    private void advance(final long duration) {
        for (final long end = now + duration; now < end; now += 50_000) {
            nodes.forEach((id, membership) -> {
                membership.tick(now);
                membership.drain().forEach(e -> handleEffect(id, e));
                membership.drainUpdates().forEach(m -> {
                    if (!silenced.contains(id)) {
                        nodes.forEach((to, other) -> {
                            if (!silenced.contains(to)) {
                                other.applyUpdate(m, now);
                            }
                        });
                    }
                });
            });
        }
    }

    private void handleEffect(final String id, final Effect effect) {
        if (effect instanceof Effect.Send s
                && nodes.containsKey(s.to())
                && !silenced.contains(id)
                && !silenced.contains(s.to())) {
            final Message message = s.message();
            nodes.get(s.to()).onMessage(message, now, 0, Stamp.NONE);
            nodes.get(s.to()).drain().forEach(x -> handleEffect(s.to(), x));
        } else if (effect instanceof Effect.Log l) {
            logs.get(id).add(l.event());
        }
    }

    private String stateOf(final String at, final String of) {
        return nodes.get(at).get(of).map(Member::state).orElse("unknown");
    }

    private void startFleet(final int size) {
        for (int i = 0; i < size; i++) {
            start("n" + i, 1);
        }
        advance(3_000_000);
    }

    @Test
    void membersDiscoverEachOtherThroughSeedsAndHaveThreeWatchersEach() {
        startFleet(12);
        nodes.forEach((id, membership) -> {
            assertThat(membership.liveMembers().size(), is(11));
            assertThat(membership.watchers(id).size(), is(3));
        });
    }

    @Test
    void silentMemberIsSuspectedThenDeadAndUpAgainWithNewIncarnation() {
        startFleet(8);
        silenced.add("n5");
        advance(2_500_000);
        assertThat(stateOf("n0", "n5"), is("suspect"));
        advance(3_000_000);
        nodes.keySet().stream().filter(id -> !id.equals("n5")).forEach(id -> assertThat(stateOf(id, "n5"), is("dead")));
        silenced.clear();
        start("n5", 2);
        advance(3_000_000);
        nodes.keySet().forEach(id -> assertThat(stateOf(id, "n5"), is("up")));
    }

    @Test
    void liveMemberRefutesSuspicion() {
        startFleet(5);
        nodes.get("n0").applyUpdate(nodes.get("n0").get("n3").orElseThrow().withState(MemberState.SUSPECT), now);
        advance(1_000_000);
        nodes.keySet().forEach(id -> assertThat(stateOf(id, "n3"), is("up")));
    }

    @Test
    void partitionedMemberSuspectsOnlyItself() {
        startFleet(8);
        silenced.add("n2");
        advance(2_500_000);
        assertThat(nodes.get("n2").suspectsSelf(), is(true));
        assertThat(logs.get("n2").contains(Event.MEMBER_SUSPECT), is(false));
    }

    @Test
    void nodeRestartedWithLowerIncarnationRaisesItAboveOldOne() {
        startFleet(4);
        final long oldIncarnation = 50;
        start("n3", oldIncarnation);
        advance(2_000_000);
        start("n3", 7);
        advance(3_000_000);
        assertThat(nodes.get("n3").self().incarnation() > oldIncarnation, is(true));
        assertThat(
                nodes.get("n0").get("n3").orElseThrow().incarnation(),
                is(nodes.get("n3").self().incarnation()));
    }
}
