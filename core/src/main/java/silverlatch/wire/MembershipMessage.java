package silverlatch.wire;

import java.util.List;
import silverlatch.clock.Stamp;
import silverlatch.membership.Member;

/** Messages by which daemons join, and by which they watch each other for failures. */
public sealed interface MembershipMessage extends Message {
    /**
     * A daemon makes itself known and asks for the members. Sent to the seeds at the start and at each rejoin.
     *
     * @param sender the daemon as it wants to be known
     * @param sentAt the sender's monotonic clock, in microseconds; echoed in the reply
     */
    record MembershipJoinRequest(Member sender, long sentAt) implements MembershipMessage {}

    /**
     * The reply to a {@link MembershipJoinRequest}.
     *
     * @param members the members known to the replier
     * @param echoedAt the greeting's {@code sentAt}, from which the newcomer takes the round-trip time
     * @param physicalTime the replier's physical time, in the fixed point of a {@link Stamp}
     * @param stampFloor the newest stamp known to the replier; the newcomer's stamps start above it
     */
    record MemberList(List<Member> members, long echoedAt, long physicalTime, Stamp stampFloor)
            implements MembershipMessage {
        /** Copies the list. */
        public MemberList {
            members = List.copyOf(members);
        }
    }

    /**
     * A heartbeat to a watcher, sent while the member's own entry is new or changed.
     *
     * @param sender the member as it is now
     */
    record Heartbeat(Member sender) implements MembershipMessage {}

    /**
     * A heartbeat of a member that hasn't changed since its last {@link Heartbeat}.
     *
     * @param id the member's name
     * @param incarnation the member's incarnation
     */
    record LivenessHeartbeat(String id, long incarnation) implements MembershipMessage {}
}
