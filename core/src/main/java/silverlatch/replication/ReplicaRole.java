package silverlatch.replication;

import java.util.Optional;
import silverlatch.log.LogRecord;
import silverlatch.safeguard.Safeguard;

/**
 * Where a replica stands: its installed view, its {@link ReplicaState}, and whether it has caught up. Every part of a replica reads
 * it. {@link ChainReplica} alone installs views and moves the state; {@link CatchUpProgress} says when it has caught up.
 *
 * <p>Invariants: numbers of views only rise, and all views are of one cluster; a replica whose log is outdated has not caught up.
 */
final class ReplicaRole {
    private final ReplicaSettings settings;
    private View view = View.NONE;
    private ReplicaState state = ReplicaState.EMPTY;
    private boolean caughtUp;
    private boolean logOutdated;

    ReplicaRole(final ReplicaSettings settings) {
        this.settings = settings;
    }

    /** The installed view, or {@link View#NONE}. */
    View view() {
        return view;
    }

    /** What part the replica takes. */
    ReplicaState state() {
        return state;
    }

    /** Whether a view is installed. */
    boolean hasView() {
        return view.number() > 0;
    }

    /** Whether the installed view names this replica as a voter. */
    boolean isVoter() {
        return view.isVoter(settings.self().id());
    }

    /** Whether the replica is a member of the chain. */
    boolean isInChain() {
        return state == ReplicaState.IN_CHAIN;
    }

    /** Whether the log can't be written. */
    boolean isDiskFailed() {
        return state == ReplicaState.DISK_FAILED;
    }

    /** Whether the replica holds all that its chain holds. */
    boolean isCaughtUp() {
        return caughtUp;
    }

    /** Whether the log lacks what was acknowledged with it. */
    boolean isLogOutdated() {
        return logOutdated;
    }

    /** Whether the replica is a member of the chain and has caught up. */
    boolean isActive() {
        return isInChain() && caughtUp;
    }

    /** Whether the view names this replica in its chain, also while its disk is failed. */
    boolean isNamedInChain() {
        return position() >= 0;
    }

    /** Whether writes enter here. */
    boolean isHead() {
        return position() == 0;
    }

    /** Whether the replica is the tail and has caught up, so that it commits and answers reads. */
    boolean isActiveTail() {
        return isActive() && successor().isEmpty();
    }

    /** The next member of the chain. */
    Optional<Replica> successor() {
        return view.successorOf(settings.self().id());
    }

    /** The member of the chain before this one. */
    Optional<Replica> predecessor() {
        return view.predecessorOf(settings.self().id());
    }

    /** Whether the chain is long enough for an acknowledgement. */
    boolean hasRequiredCopies() {
        return view.chain().size() >= settings.minInSyncReplicas()
                || !settings.safeguards().isEnabled(Safeguard.COPIES);
    }

    /** Whether a message of this view must not be taken, as another view is installed. */
    boolean isFenced(final long viewNumber) {
        return viewNumber != view.number() && settings.safeguards().isEnabled(Safeguard.FENCE);
    }

    /** Whether a decided view is newer than the installed one, and of the same cluster. */
    boolean mayInstall(final View next) {
        return next.number() > view.number() && (view.fleet() == 0 || next.fleet() == view.fleet());
    }

    /** Installs a decided view; a founder has caught up from the start, others stay so while they stay in the chain. */
    void install(final View next, final boolean isFounded) {
        final boolean wasNamedInChain = isNamedInChain();
        view = next;
        logOutdated = false;
        caughtUp = isNamedInChain() && (wasNamedInChain && caughtUp || isFounded);
        state = state.afterView(isNamedInChain());
    }

    /** The replica holds all that its predecessor held when the view began. */
    void catchUp() {
        caughtUp = true;
    }

    /** What was acknowledged with this log isn't in it: the replica takes no part until a later view. */
    void fenceOutdatedLog() {
        logOutdated = true;
        caughtUp = false;
    }

    /** The log can't be written any more. */
    void failDisk() {
        state = state.afterDiskFailure();
    }

    /** Takes over a view of a snapshot while the log is read. */
    void replay(final LogRecord.Snapshot snapshot) {
        view = snapshot.view();
        caughtUp = snapshot.caughtUp();
    }

    /** Takes over an installed view while the log is read. */
    void replay(final LogRecord.ViewInstalled installed) {
        view = installed.view();
        caughtUp = installed.caughtUp();
    }

    /** The log has been read. */
    void finishReplay() {
        if (hasView()) {
            state = state.afterView(isNamedInChain());
        }
    }

    private int position() {
        return view.positionOf(settings.self().id());
    }
}
