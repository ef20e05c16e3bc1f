package silverlatch.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.gossip.Worker;
import silverlatch.gossip.WorkerReport;
import silverlatch.membership.Member;

/** Bounds the encoded size of frequent messages, with names and addresses as long as in a large fleet. */
final class SizesTest {
    private static final String ADDRESS = "10.131.112.113:7001";
    private static final Member MEMBER = new Member(
            "gateway-117", "gateway", "attica-3", "attica", ADDRESS, "10.131.112.113:8001", 1L << 50, 4, "up", true);
    private final Codec codec = new Codec();

    private int size(final Message body) {
        return codec.encode(new Frame(new Stamp(1L << 60), 1L << 60, "gateway-117", ADDRESS, 1L << 50, body)).length;
    }

    @Test
    void pullWithoutChangesIsSmall() {
        assertThat(
                size(new GossipMessage.GossipPull(1L << 40, 2_300, 9, List.of(), 1L << 62, 1L << 61)), lessThan(150));
        assertThat(
                size(new GossipMessage.GossipPullReply(
                        1L << 40,
                        2_300,
                        400_000,
                        1L << 60,
                        List.of(),
                        List.of(),
                        new GossipMessage.PullContent.DigestContent(300_000, List.of(), List.of()))),
                lessThan(150));
    }

    @Test
    void replyWithHeartbeatAgesOfAThousandWorkersIsBelow720Bytes() {
        assertThat(
                size(new GossipMessage.GossipPullReply(
                        1L << 40,
                        2_300,
                        400_000,
                        1L << 60,
                        List.of(),
                        List.of(),
                        new GossipMessage.PullContent.DigestContent(
                                300_000,
                                List.of(),
                                List.of(new GossipMessage.HeartbeatAges(1L << 62, new long[1_100 / 16 + 1]))))),
                lessThan(720));
    }

    @Test
    void heartbeatsAndPushOfOneReportAreSmall() {
        assertThat(size(new MembershipMessage.Heartbeat(MEMBER)), lessThan(200));
        assertThat(size(new MembershipMessage.LivenessHeartbeat(MEMBER.id(), MEMBER.incarnation())), lessThan(100));
        assertThat(
                size(new GossipMessage.GossipPush(
                        List.of(),
                        List.of(),
                        List.of(WorkerReport.of(new Worker(
                                "worker-1017",
                                "10.131.112.114:9001",
                                "attica-3",
                                "attica",
                                1L << 50,
                                9,
                                0,
                                0,
                                16,
                                List.of(),
                                true,
                                77,
                                "large",
                                0,
                                0))),
                        2_300)),
                lessThan(300));
    }
}
