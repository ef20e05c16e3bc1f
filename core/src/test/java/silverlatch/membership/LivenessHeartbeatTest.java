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
import silverlatch.wire.MembershipMessage;
import silverlatch.wire.Message;

/**
 * Tests members with the settings of a large fleet, where three of four heartbeats carry only the incarnation. Guards
 * against members that are suspected although such heartbeats arrive, or kept up by heartbeats of another
 * incarnation.
 */
final class LivenessHeartbeatTest {
    private static final long SECOND = 1_000_000;
    private final Map<String, Membership> nodes = new LinkedHashMap<>();
    private final Set<String> silenced = new HashSet<>();
    private final List<Message> sent = new ArrayList<>();
    private long now = SECOND;

    private void start(final String id, final long incarnation) {
        nodes.put(
                id,
                new Membership(
                        new Member(id, "gateway", "z", "r", id, id, incarnation, 0, "up", true),
                        List.of("n0", "n1", "n2"),
                        Membership.Settings.LARGE_FLEET));
    }

    private void advance(final long duration) {
        for (final long end = now + duration; now < end; now += 50_000) {
            List.copyOf(nodes.keySet()).forEach(id -> {
                nodes.get(id).tick(now);
                deliverEffects(id);
                nodes.get(id)
                        .drainUpdates()
                        .forEach(m -> nodes.forEach((to, membership) -> {
                            if (!silenced.contains(id) && !silenced.contains(to)) {
                                membership.applyUpdate(m, now);
                            }
                        }));
            });
        }
    }

    private void deliverEffects(final String id) {
        for (final Effect effect : nodes.get(id).drain()) {
            if (effect instanceof Effect.Send s
                    && nodes.containsKey(s.to())
                    && !silenced.contains(id)
                    && !silenced.contains(s.to())) {
                sent.add(s.message());
                nodes.get(s.to()).onMessage(s.message(), now, 0, Stamp.NONE);
                deliverEffects(s.to());
            }
        }
    }

    private long upCount(final String at) {
        return nodes.get(at).all().stream().filter(m -> m.state().equals("up")).count();
    }

    @Test
    void livenessHeartbeatsKeepMemberUpUntilTheyStop() {
        for (int i = 0; i < 8; i++) {
            start("n" + i, 1);
        }
        advance(3 * SECOND);
        sent.clear();
        advance(20 * SECOND);
        nodes.keySet().forEach(id -> assertThat(id, upCount(id), is(8L)));
        assertThat(
                4
                        * sent.stream()
                                .filter(m -> m instanceof MembershipMessage.Heartbeat)
                                .count(),
                lessThan(2L * sent.size()));
        silenced.add("n5");
        advance(6 * SECOND);
        assertThat(nodes.get("n0").get("n5").orElseThrow().state(), is("dead"));
        silenced.clear();
        start("n5", 2);
        advance(3 * SECOND);
        nodes.keySet().forEach(id -> assertThat(id, upCount(id), is(8L)));
    }

    @Test
    void livenessHeartbeatOfOtherIncarnationIsIgnored() {
        start("n0", 1);
        start("n1", 1);
        advance(SECOND);
        nodes.remove("n1");
        for (int i = 0; i < 8; i++) {
            nodes.get("n0").onMessage(new MembershipMessage.LivenessHeartbeat("n1", 2), now, 0, Stamp.NONE);
            now += 400_000;
            nodes.get("n0").tick(now);
        }
        assertThat(nodes.get("n0").get("n1").orElseThrow().state(), is("suspect"));
    }
}
