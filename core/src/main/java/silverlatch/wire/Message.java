package silverlatch.wire;

/** A message between nodes, sent as the body of a {@link Frame}. The message types are grouped by protocol. */
public sealed interface Message
        permits MembershipMessage,
                GossipMessage,
                ReplicationMessage,
                ChainClientMessage,
                TrafficMessage,
                Message.StampRejected {
    /**
     * Notifies the sender of a frame that the frame was ignored because its stamp is too far ahead of the receiver's clock.
     *
     * @param excess by how much the stamp exceeds the allowed bound, in the fixed-point format of a stamp
     * @param physicalTime the physical time of the frame's receiver, in the same format
     */
    record StampRejected(long excess, long physicalTime) implements Message {}

    /**
     * Returns whether a message is sent ahead of large ones: it is short, and a lease, a vote, a commit or failure detection on
     * other nodes waits for it.
     */
    static boolean isUrgent(final Message message) {
        return message instanceof ReplicationMessage.LeaseRequest
                || message instanceof ReplicationMessage.LeaseGrant
                || message instanceof ReplicationMessage.ViewDecided
                || message instanceof ReplicationMessage.Prepare
                || message instanceof ReplicationMessage.Promise
                || message instanceof ReplicationMessage.Accept
                || message instanceof ReplicationMessage.Accepted
                || message instanceof ReplicationMessage.Preempted
                || message instanceof ReplicationMessage.JoinRequest
                || message instanceof ReplicationMessage.CommitNotice
                || message instanceof ReplicationMessage.ReplicateAck
                || message instanceof MembershipMessage.Heartbeat
                || message instanceof MembershipMessage.LivenessHeartbeat;
    }
}
