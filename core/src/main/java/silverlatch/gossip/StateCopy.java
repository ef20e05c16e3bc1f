package silverlatch.gossip;

import java.util.List;
import java.util.Optional;
import java.util.OptionalLong;
import silverlatch.replication.View;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.wire.GossipMessage;

/**
 * This node's copy of the replicated state, the newest view it heard of, and as of when the copy was surely the newest.
 *
 * <p>The revision of the copy never goes back. It is confirmed by a pull, as of the moment at which the pull was sent less
 * the age at the other node, or by a replica of the chain on this node. While a higher revision is known than the one held
 * the copy has no age. Times are microseconds of this node's monotonic clock.
 */
final class StateCopy {
    private static final long UNKNOWN_AGE = -1;

    private final Safeguards safeguards;
    private final StateMachine stateMachine = new StateMachine();
    private Optional<Long> confirmedAt = Optional.empty();
    private View view = View.NONE;
    private long fleet;
    private long highestRevision;
    private long pushedRevision;

    StateCopy(final Safeguards safeguards) {
        this.safeguards = safeguards;
    }

    /** Returns the state; the caller doesn't change it. */
    StateMachine stateMachine() {
        return stateMachine;
    }

    /** Returns the newest view heard of. */
    View view() {
        return view;
    }

    /** Returns the fleet's number, or 0 before it is known. */
    long fleet() {
        return fleet;
    }

    /** Returns the revision held. */
    long revision() {
        return stateMachine.policyRevision();
    }

    /** Returns the highest revision heard of, held or not. */
    long highestRevision() {
        return Math.max(highestRevision, revision());
    }

    /** Returns how long ago the copy was surely the newest, or the largest long where that isn't known. */
    long age(final long now) {
        return highestRevision > revision()
                ? Long.MAX_VALUE
                : confirmedAt.map(time -> now - time).orElse(Long.MAX_VALUE);
    }

    /** Returns the copy as the answer to a node that holds nothing; it says nothing of its age. */
    GossipMessage.GossipPullReply snapshot() {
        return new GossipMessage.GossipPullReply(
                0,
                revision(),
                UNKNOWN_AGE,
                fleet,
                stateMachine.policySince(0),
                List.of(),
                new GossipMessage.PullContent.FullContent(List.of(), List.of(), List.of()));
    }

    /** Takes a copy that was saved before this node started; it was committed, and may be older than others. */
    void restore(final GossipMessage.GossipPullReply saved) {
        fleet = saved.fleet();
        stateMachine.apply(saved.revision(), saved.entries());
    }

    /**
     * Returns as of when the copy surely lacked no acknowledged change. A higher revision that was heard of since doesn't alter that: it
     * was acknowledged later.
     */
    Optional<Long> lastConfirmedAt() {
        return confirmedAt;
    }

    /** Forgets that the copy was ever confirmed. */
    void resetFreshness() {
        confirmedAt = Optional.empty();
    }

    /** Takes what the replica on this node holds; returns whether the copy has changed. */
    boolean adopt(final StateMachine replicaState, final View replicaView, final boolean isConfirmed, final long asOf) {
        if (replicaView.number() > view.number()) {
            view = replicaView;
            fleet = replicaView.fleet();
        }
        if (!isConfirmed) {
            return false;
        }
        confirmedAt = Optional.of(asOf);
        if (replicaState.policyRevision() <= revision()) {
            return false;
        }
        stateMachine.apply(replicaState.policyRevision(), replicaState.policySince(revision()));
        return true;
    }

    /** Notes a revision that another node pushed; returns whether it is higher than all heard of. */
    boolean observeRevision(final long revision) {
        if (revision <= highestRevision) {
            return false;
        }
        highestRevision = revision;
        return true;
    }

    /** Returns the revision held if it was never announced to the other nodes; each is handed out once. */
    OptionalLong drainUnpushedRevision() {
        highestRevision = highestRevision();
        if (revision() <= pushedRevision) {
            return OptionalLong.empty();
        }
        pushedRevision = revision();
        return OptionalLong.of(pushedRevision);
    }

    /** Returns the entries that a node at a revision lacks. */
    List<Entry> entriesSince(final long revision) {
        if (revision < revision()) {
            return stateMachine.policySince(revision);
        }
        return safeguards.isEnabled(Safeguard.MONOTONIC_REVISION) ? List.of() : stateMachine.policySince(0);
    }

    /** Returns the view as a list if it is newer than the one another node has. */
    List<View> viewNewerThan(final long number) {
        return number < view.number() ? List.of(view) : List.of();
    }

    /** Returns whether a node of that fleet may be listened to, and takes the fleet's number if none was known. */
    boolean acceptsFleet(final long other) {
        if (fleet != 0 && other != 0 && other != fleet) {
            return false;
        }
        if (fleet == 0) {
            fleet = other;
        }
        return true;
    }

    /** Takes the view and the entries of the answer to a pull; returns whether the copy has changed to a newer revision. */
    boolean onPullReply(final GossipMessage.GossipPullReply reply) {
        reply.view().stream()
                .filter(other -> other.number() > view.number() && other.fleet() == fleet)
                .forEach(other -> view = other);
        final boolean isNewer = reply.revision() > revision();
        if (isNewer) {
            stateMachine.apply(reply.revision(), reply.entries());
        } else if (reply.revision() > 0
                && reply.revision() < revision()
                && !safeguards.isEnabled(Safeguard.MONOTONIC_REVISION)) {
            stateMachine.reset(reply.revision(), reply.entries());
            highestRevision = reply.revision();
        }
        if (reply.revision() == revision() && reply.age() >= 0) {
            final long asOf = reply.askedAt() - reply.age();
            confirmedAt = Optional.of(Math.max(confirmedAt.orElse(Long.MIN_VALUE), asOf));
        }
        return isNewer;
    }
}
