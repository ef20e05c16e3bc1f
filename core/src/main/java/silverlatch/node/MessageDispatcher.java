package silverlatch.node;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;
import silverlatch.clock.NtpTime;
import silverlatch.gossip.Gossip;
import silverlatch.membership.Membership;
import silverlatch.replication.ChainClient;
import silverlatch.replication.ChainReplica;
import silverlatch.wire.ChainClientMessage;
import silverlatch.wire.GossipMessage;
import silverlatch.wire.MembershipMessage;
import silverlatch.wire.Message;
import silverlatch.wire.TrafficMessage;

/**
 * Dispatches each message to the component of the node that handles it: membership, gossip, chain client, traffic
 * exchange, or the chain replica.
 */
final class MessageDispatcher {
    private final NodeClock clock;
    private final Membership membership;
    private final Gossip gossip;
    private final ChainClient chainClient;
    private final TrafficExchange traffic;
    private final Supplier<Optional<ChainReplica>> chainReplica;
    private final Consumer<Effect> effects;
    private boolean hasJoined;

    MessageDispatcher(
            final NodeClock clock,
            final Membership membership,
            final Gossip gossip,
            final ChainClient chainClient,
            final TrafficExchange traffic,
            final Supplier<Optional<ChainReplica>> chainReplica,
            final Consumer<Effect> effects) {
        this.clock = clock;
        this.membership = membership;
        this.gossip = gossip;
        this.chainClient = chainClient;
        this.traffic = traffic;
        this.chainReplica = chainReplica;
        this.effects = effects;
    }

    /**
     * Returns whether a node replied to a join request with its member list since this node started or last rejoined.
     */
    boolean hasJoined() {
        return hasJoined;
    }

    /** Resets {@link #hasJoined} to false. */
    void onRejoin() {
        hasJoined = false;
    }

    /**
     * Dispatches a message.
     *
     * @param sender the address of the sending node, which may be this one
     */
    void dispatch(final Message message, final String sender, final long now) {
        switch (message) {
            case MembershipMessage.MembershipJoinRequest request -> toMembership(request, now);
            case MembershipMessage.MemberList list -> onMemberList(list, sender, now);
            case MembershipMessage.LivenessHeartbeat heartbeat -> toMembership(heartbeat, now);
            case MembershipMessage.Heartbeat heartbeat -> toMembership(heartbeat, now);
            case GossipMessage.GossipPush push -> gossip.onMessage(push, sender, now);
            case GossipMessage.GossipPull pull -> {
                adoptReplicaState(now);
                gossip.onMessage(pull, sender, now);
            }
            case GossipMessage.GossipPullReply reply -> gossip.onMessage(reply, sender, now);
            case GossipMessage.ReportVersions versions -> gossip.onMessage(versions, sender, now);
            case GossipMessage.MissingReports missing -> gossip.onMessage(missing, sender, now);
            case ChainClientMessage.WriteReply reply -> chainClient.onMessage(reply, now);
            case ChainClientMessage.ReadReply reply -> chainClient.onMessage(reply, now);
            case TrafficMessage.TrafficReport report -> traffic.onReport(report, sender, now);
            case TrafficMessage.TrafficReportAck ack -> traffic.onAck(ack);
            case Message.StampRejected rejected -> onStampRejected(rejected, sender, now);
            default -> chainReplica.get().ifPresent(replica -> replica.onMessage(message, sender, now));
        }
    }

    /**
     * Passes the state and the view of the chain replica to the gossip; the state counts as confirmed as of {@code
     * now} if the replica is up to date.
     */
    void adoptReplicaState(final long now) {
        chainReplica
                .get()
                .ifPresent(replica ->
                        gossip.adoptReplicaState(replica.stateMachine(), replica.view(), replica.isUpToDate(now), now));
    }

    private void toMembership(final Message message, final long now) {
        membership.onMessage(
                message, now, clock.physicalTime(now), clock.processClock().last());
    }

    private void onMemberList(final MembershipMessage.MemberList list, final String sender, final long now) {
        hasJoined = true;
        clock.processClock().raiseAbove(list.stampFloor(), clock.physicalTime(now));
        toMembership(list, now);
        gossip.onJoinReply(sender, now);
    }

    private void onStampRejected(final Message.StampRejected rejected, final String sender, final long now) {
        final String text = sender + " rejected a stamp that exceeds the clock skew bound by "
                + NtpTime.toMicros(rejected.excess()) + " us";
        effects.accept(new Effect.Log(Event.ASTRAY, text));
        clock.recordPeerOffset(sender, rejected.physicalTime() - clock.physicalTime(now), now);
    }
}
