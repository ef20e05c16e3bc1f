package silverlatch.wire;

import java.util.List;
import silverlatch.clock.Stamp;
import silverlatch.membership.Member;

/** Messages with which nodes join the fleet and monitor each other for failures. */
public sealed interface MembershipMessage extends Message {
    /**
     * Announces a node to a seed and asks for the list of members. Sent to the seeds at startup and at each rejoin.
     *
     * @param sender the sender's own membership entry
     * @param sentAt the sender's monotonic clock, in microseconds; echoed in the reply
     */
    record MembershipJoinRequest(Member sender, long sentAt) implements MembershipMessage {}

    /**
     * The reply to a {@link MembershipJoinRequest}.
     *
     * @param members the members known to the replier
     * @param echoedAt the {@code sentAt} of the request, from which the joining node computes the round-trip time
     * @param physicalTime the replier's physical time, in the fixed-point format of a {@link Stamp}
     * @param stampFloor the newest stamp known to the replier; the joining node's stamps start above it
     */
    record MemberList(List<Member> members, long echoedAt, long physicalTime, Stamp stampFloor)
            implements MembershipMessage {
        /** Copies the list. */
        public MemberList {
            members = List.copyOf(members);
        }
    }

    /**
     * A heartbeat to a node that monitors the sender; it carries the sender's entry while that is new or changed.
     *
     * @param sender the sender's current membership entry
     */
    record Heartbeat(Member sender) implements MembershipMessage {}

    /**
     * A short heartbeat of a member whose entry hasn't changed since its last {@link Heartbeat}.
     *
     * @param id the member's name
     * @param incarnation the member's incarnation
     */
    record LivenessHeartbeat(String id, long incarnation) implements MembershipMessage {}
}
