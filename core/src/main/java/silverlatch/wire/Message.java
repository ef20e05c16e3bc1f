package silverlatch.wire;

/** A message between daemons, the body of a {@link Frame}. Its types are grouped by protocol. */
public sealed interface Message
        permits MembershipMessage,
                GossipMessage,
                ReplicationMessage,
                ChainClientMessage,
                TrafficMessage,
                Message.StampRejected {
    /**
     * Tells the sender of a frame that its stamp was too far ahead; the frame was ignored.
     *
     * @param excess how far beyond the bound the stamp was, in the fixed point of a stamp
     * @param physicalTime the physical time at the receiver, in the same fixed point
     */
    record StampRejected(long excess, long physicalTime) implements Message {}

    /** Returns whether a message is short and others wait for it by a lease or a vote, so that it goes before large ones. */
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
