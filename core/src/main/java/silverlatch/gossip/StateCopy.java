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
 * This node's copy of the replicated state, the newest view that it received, and as of when the copy is known to be
 * the newest.
 *
 * <p>The revision of the copy never decreases. The copy is confirmed in two ways: by the reply to a pull, as of the
 * time at which the pull was sent minus the age at the other node, or by this node's replica of the chain. While a
 * revision higher than the held one is known to exist, the copy has no age. Times are microseconds of this node's
 * monotonic clock.
 */
final class StateCopy {
    /** The age in a message that means "never confirmed". */
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

    /** Returns the state. The caller must not change it. */
    StateMachine stateMachine() {
        return stateMachine;
    }

    /** Returns the newest view received. */
    View view() {
        return view;
    }

    /** Returns the number that identifies the fleet, or 0 before it is known. */
    long fleet() {
        return fleet;
    }

    /** Returns the revision of the copy. */
    long revision() {
        return stateMachine.policyRevision();
    }

    /** Returns the highest revision known to exist, whether or not the copy has it. */
    long highestRevision() {
        return Math.max(highestRevision, revision());
    }

    /**
     * Returns how many microseconds ago the copy was last known to be the newest. Returns {@link Long#MAX_VALUE} if
     * it was never confirmed or a higher revision is known to exist.
     */
    long age(final long now) {
        return highestRevision > revision()
                ? Long.MAX_VALUE
                : confirmedAt.map(time -> now - time).orElse(Long.MAX_VALUE);
    }

    /** Returns the copy as the reply to a pull from a node that holds nothing; its age is given as unknown. */
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

    /** Applies a copy that was saved before this node started. Its contents were committed, but may be outdated. */
    void restore(final GossipMessage.GossipPullReply saved) {
        fleet = saved.fleet();
        stateMachine.apply(saved.revision(), saved.entries());
    }

    /**
     * Returns the latest time as of which the copy is known to contain every acknowledged change. A higher revision
     * that became known since doesn't change that time, since it was acknowledged later.
     */
    Optional<Long> lastConfirmedAt() {
        return confirmedAt;
    }

    /** Discards the time of the last confirmation. */
    void resetFreshness() {
        confirmedAt = Optional.empty();
    }

    /**
     * Adopts the view of this node's replica if it is newer, and its state if it is confirmed and newer. Returns
     * whether the state has changed.
     *
     * @param isConfirmed whether the replica's state is known to be the newest as of {@code asOf}
     */
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

    /** Records a revision that another node pushed. Returns whether it is higher than all revisions known before. */
    boolean observeRevision(final long revision) {
        if (revision <= highestRevision) {
            return false;
        }
        highestRevision = revision;
        return true;
    }

    /**
     * Returns the revision of the copy if it wasn't returned by this method before, so that each revision is pushed
     * to other nodes once.
     */
    OptionalLong drainUnpushedRevision() {
        highestRevision = highestRevision();
        if (revision() <= pushedRevision) {
            return OptionalLong.empty();
        }
        pushedRevision = revision();
        return OptionalLong.of(pushedRevision);
    }

    /** Returns the entries that a node with the given revision lacks. */
    List<Entry> entriesSince(final long revision) {
        if (revision < revision()) {
            return stateMachine.policySince(revision);
        }
        return safeguards.isEnabled(Safeguard.MONOTONIC_REVISION) ? List.of() : stateMachine.policySince(0);
    }

    /** Returns the view if its number is higher than the given one, as a list of at most one element. */
    List<View> viewNewerThan(final long number) {
        return number < view.number() ? List.of(view) : List.of();
    }

    /** Returns whether messages of a fleet may be processed. Adopts that fleet if this node's own isn't known yet. */
    boolean acceptsFleet(final long other) {
        if (fleet != 0 && other != 0 && other != fleet) {
            return false;
        }
        if (fleet == 0) {
            fleet = other;
        }
        return true;
    }

    /**
     * Applies the view and the entries of the reply to a pull. Returns whether the copy has changed to a higher
     * revision.
     */
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
            final long asOf = reply.pullSentAt() - reply.age();
            confirmedAt = Optional.of(Math.max(confirmedAt.orElse(Long.MIN_VALUE), asOf));
        }
        return isNewer;
    }
}
