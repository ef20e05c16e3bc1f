package silverlatch.replication;

import java.util.Optional;
import silverlatch.log.LogRecord;
import silverlatch.safeguard.Safeguard;

/**
 * Where a replica stands: its installed view, its {@link ReplicaState}, and whether it has caught up. Every part of a replica reads
 * it. {@link ChainReplica} alone installs views and moves the state; {@link CatchUpProgress} and {@link RepairRequester} say when it has
 * caught up.
 *
 * <p>A chain shorter than the required copies acknowledges nothing. So a replica that held everything when such a view began, or was
 * repaired under it, holds everything still, in the chain or out of it: it is a standby, and may take over where all members of the
 * chain are lost.
 *
 * <p>Invariants: numbers of views only rise, and all views are of one cluster; a replica whose log is outdated has not caught up; one
 * that is out of a chain of enough copies has not caught up.
 */
final class ReplicaRole {
    private final ReplicaSettings settings;
    private View view = View.NONE;
    private ReplicaState state = ReplicaState.EMPTY;
    private boolean caughtUp;
    private boolean logOutdated;
    /** Whether the installed view is on disk here, so that a restart doesn't fall back to the one before. */
    private boolean viewSynced = true;

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

    /** Whether the replica holds all that was acknowledged, and all that its chain held when the view began. */
    boolean isCaughtUp() {
        return caughtUp;
    }

    /** Whether the replica is out of the chain and may take over where all of its members are lost. */
    boolean isStandby() {
        return state == ReplicaState.OUTSIDE_CHAIN && caughtUp;
    }

    /** Whether the installed view is on disk here. */
    boolean isViewSynced() {
        return viewSynced || !settings.safeguards().isEnabled(Safeguard.VIEW_SYNC);
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
        return hasRequiredCopies(view) || !settings.safeguards().isEnabled(Safeguard.COPIES);
    }

    private boolean hasRequiredCopies(final View candidate) {
        return candidate.chain().size() >= settings.minInSyncReplicas();
    }

    /** Whether a message of this view must not be taken, as another view is installed. */
    boolean isFenced(final long viewNumber) {
        return viewNumber != view.number() && settings.safeguards().isEnabled(Safeguard.FENCE);
    }

    /** Whether a decided view is newer than the installed one, and of the same cluster. */
    boolean mayInstall(final View next) {
        return next.number() > view.number() && (view.fleet() == 0 || next.fleet() == view.fleet());
    }

    /** Installs a decided view; a founder has caught up from the start. */
    void install(final View next, final boolean isInitialView) {
        caughtUp = isInitialView && isNamedInChainOf(next) || caughtUp && staysCaughtUp(next);
        view = next;
        viewSynced = false;
        logOutdated = false;
        state = state.afterView(isNamedInChain());
    }

    /**
     * A member of the chain stays caught up while it stays there. A standby does so under the very next view, whether that puts it into
     * the chain, or leaves it out of one that can acknowledge nothing: no view that it doesn't know acknowledged anything in between.
     */
    private boolean staysCaughtUp(final View next) {
        if (isNamedInChainOf(next) && isNamedInChain()) {
            return true;
        }
        final boolean isDirectSuccessor = next.number() == view.number() + 1;
        return isDirectSuccessor && (isNamedInChainOf(next) || !hasRequiredCopies(next));
    }

    /** The view of this number is on disk here; whether that is the installed one, and news. */
    boolean markViewSynced(final long number) {
        final boolean isNewlySynced = number == view.number() && !isViewSynced();
        viewSynced |= number == view.number();
        return isNewlySynced;
    }

    /** The replica holds all that its predecessor held when the view began. */
    void markCaughtUp() {
        caughtUp = true;
    }

    /** The replica was repaired under the installed view by a member that holds everything; under a short one it is a standby now. */
    void markRepaired() {
        caughtUp |= state == ReplicaState.OUTSIDE_CHAIN && !hasRequiredCopies(view);
    }

    /** What was acknowledged with this log isn't in it: the replica takes no part until a later view. */
    void fenceOutdatedLog() {
        logOutdated = true;
        caughtUp = false;
    }

    /** The log can't be written any more. */
    void markDiskFailed() {
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

    private boolean isNamedInChainOf(final View next) {
        return next.positionOf(settings.self().id()) >= 0;
    }
}
