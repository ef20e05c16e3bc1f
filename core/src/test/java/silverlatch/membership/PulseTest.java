package silverlatch.membership;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.node.Effect;
import silverlatch.wire.Message;

/** A crew at quiet rates, where three heartbeats in four tell only that a life goes on. */
final class PulseTest {
    private static final long SECOND = 1_000_000;
    private final Map<String, Membership> crews = new LinkedHashMap<>();
    private final Set<String> mute = new HashSet<>();
    private final List<Message> sent = new ArrayList<>();
    private long now = SECOND;

    private void start(final String id, final long life) {
        crews.put(
                id,
                new Membership(
                        new Member(id, "gateway", "z", "r", id, id, life, 0, "up", true),
                        List.of("n0", "n1", "n2"),
                        Membership.Times.QUIET));
    }

    private void pass(final long span) {
        for (final long end = now + span; now < end; now += 50_000) {
            List.copyOf(crews.keySet()).forEach(id -> {
                crews.get(id).tick(now);
                ship(id);
                crews.get(id)
                        .news()
                        .forEach(m -> crews.forEach((to, c) -> {
                            if (!mute.contains(id) && !mute.contains(to)) {
                                c.learn(m, now);
                            }
                        }));
            });
        }
    }

    private void ship(final String id) {
        for (final Effect e : crews.get(id).drain()) {
            if (e instanceof Effect.Send s
                    && crews.containsKey(s.to())
                    && !mute.contains(id)
                    && !mute.contains(s.to())) {
                sent.add(s.body());
                crews.get(s.to()).on(s.body(), now, 0, Stamp.NONE);
                ship(s.to());
            }
        }
    }

    private long up(final String at) {
        return crews.get(at).all().stream().filter(m -> m.state().equals("up")).count();
    }

    @Test
    void pulsesKeepADaemonAliveAndTheirEndIsMissed() {
        for (int i = 0; i < 8; i++) {
            start("n" + i, 1);
        }
        pass(3 * SECOND);
        sent.clear();
        pass(20 * SECOND);
        crews.keySet().forEach(id -> assertThat(id, up(id), is(8L)));
        assertThat(4 * sent.stream().filter(m -> m instanceof Message.Heartbeat).count(), lessThan(2L * sent.size()));
        mute.add("n5");
        pass(6 * SECOND);
        assertThat(crews.get("n0").get("n5").orElseThrow().state(), is("dead"));
        mute.clear();
        start("n5", 2);
        pass(3 * SECOND);
        crews.keySet().forEach(id -> assertThat(id, up(id), is(8L)));
    }

    @Test
    void aPulseOfAnotherLifeCountsForNothing() {
        start("n0", 1);
        start("n1", 1);
        pass(SECOND);
        crews.remove("n1");
        for (int i = 0; i < 8; i++) {
            crews.get("n0").on(new Message.LivenessHeartbeat("n1", 2), now, 0, Stamp.NONE);
            now += 400_000;
            crews.get("n0").tick(now);
        }
        assertThat(crews.get("n0").get("n1").orElseThrow().state(), is("suspect"));
    }
}
