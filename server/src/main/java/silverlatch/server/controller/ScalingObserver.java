package silverlatch.server.controller;

import java.util.Optional;
import silverlatch.gossip.Gossip;
import silverlatch.membership.Member;
import silverlatch.node.Node;
import silverlatch.scaling.ScalingObservation;
import silverlatch.state.ScalingConfiguration;
import silverlatch.state.StateMachine;

/** Collects the input for decisions on the numbers of workers. Called on the event loop only. */
final class ScalingObserver {
    private ScalingObserver() {}

    /** Returns the current observation; empty if this process holds no replica of the state. */
    static Optional<ScalingObservation> observe(final Node node, final long now) {
        return node.chainReplica().map(replica -> observe(node, replica.stateMachine(), now));
    }

    private static ScalingObservation observe(final Node node, final StateMachine state, final long now) {
        return new ScalingObservation(
                ScalingConfiguration.scalings(state),
                ScalingConfiguration.pools(state),
                node.gossip().workers().values().stream()
                        .filter(observed -> !observed.silent())
                        .map(Gossip.ObservedWorker::worker)
                        .toList(),
                ScalingConfiguration.evacuatedZones(state),
                (int) node.membership().liveMembers().stream()
                        .filter(Member::isGateway)
                        .count(),
                node.traffic().demand(now));
    }
}
