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

/** A crew on a fake clock; frames arrive at once unless the script holds them back, news is passed to all. */
final class MembershipTest {
    private final Map<String, Membership> crews = new LinkedHashMap<>();
    private final Set<String> mute = new HashSet<>();
    private final Map<String, List<Event>> logs = new HashMap<>();
    private long now = 1_000_000;

    private void start(final String id, final long life) {
        crews.put(
                id,
                new Membership(
                        new Member(id, "gateway", "z", "r", id, id, life, 0, "up", true),
                        List.of("n0", "n1", "n2"),
                        Membership.Times.PLAIN));
        logs.computeIfAbsent(id, k -> new ArrayList<>());
    }

    private void pass(final long span) {
        for (final long end = now + span; now < end; now += 50_000) {
            crews.forEach((id, c) -> {
                c.tick(now);
                c.drain().forEach(e -> effect(id, e));
                c.news().forEach(m -> {
                    if (!mute.contains(id)) {
                        crews.forEach((to, other) -> {
                            if (!mute.contains(to)) {
                                other.learn(m, now);
                            }
                        });
                    }
                });
            });
        }
    }

    private void effect(final String id, final Effect e) {
        if (e instanceof Effect.Send s && crews.containsKey(s.to()) && !mute.contains(id) && !mute.contains(s.to())) {
            final Message back = s.body();
            crews.get(s.to()).on(back, now, 0, Stamp.NONE);
            crews.get(s.to()).drain().forEach(x -> effect(s.to(), x));
        } else if (e instanceof Effect.Log l) {
            logs.get(id).add(l.event());
        }
    }

    private String state(final String at, final String of) {
        return crews.get(at).get(of).map(Member::state).orElse("unknown");
    }

    private void fleet(final int size) {
        for (int i = 0; i < size; i++) {
            start("n" + i, 1);
        }
        pass(3_000_000);
    }

    @Test
    void allFindEachOtherFromThreeSeedsAndEachHasThreeWatchers() {
        fleet(12);
        crews.forEach((id, c) -> {
            assertThat(c.live().size(), is(11));
            assertThat(c.watchers(id).size(), is(3));
        });
    }

    @Test
    void aSilentOneIsSuspectedThenDeadEverywhereAndComesBackWithANewLife() {
        fleet(8);
        mute.add("n5");
        pass(2_500_000);
        assertThat(state("n0", "n5"), is("suspect"));
        pass(3_000_000);
        crews.keySet().stream().filter(id -> !id.equals("n5")).forEach(id -> assertThat(state(id, "n5"), is("dead")));
        mute.clear();
        start("n5", 2);
        pass(3_000_000);
        crews.keySet().forEach(id -> assertThat(state(id, "n5"), is("up")));
    }

    @Test
    void aSuspectedOneThatLivesRefutes() {
        fleet(5);
        crews.get("n0").learn(crews.get("n0").get("n3").orElseThrow().in("suspect"), now);
        pass(1_000_000);
        crews.keySet().forEach(id -> assertThat(state(id, "n3"), is("up")));
    }

    @Test
    void oneThatIsCutOffDoubtsItselfAndAccusesNoOne() {
        fleet(8);
        mute.add("n2");
        pass(2_500_000);
        assertThat(crews.get("n2").doubt(), is(true));
        assertThat(logs.get("n2").contains(Event.MEMBER_SUSPECT), is(false));
    }

    @Test
    void aRestartWithAClockBehindTakesALifeAboveTheOldOne() {
        fleet(4);
        final long old = 50;
        start("n3", old);
        pass(2_000_000);
        start("n3", 7);
        pass(3_000_000);
        assertThat(crews.get("n3").me().life() > old, is(true));
        assertThat(
                crews.get("n0").get("n3").orElseThrow().life(),
                is(crews.get("n3").me().life()));
    }
}
