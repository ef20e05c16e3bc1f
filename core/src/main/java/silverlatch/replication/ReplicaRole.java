package silverlatch.replication;

import java.util.Optional;
import silverlatch.log.LogRecord;
import silverlatch.safeguard.Safeguard;

/**
 * The role of a replica: its installed view, its {@link ReplicaState}, and whether it has caught up. All components of a replica read it.
 * Only {@link ChainReplica} installs views and changes the state; {@link CatchUpProgress} and {@link RepairRequester} mark the replica as
 * caught up.
 *
 * <p>A chain shorter than the number of required copies acknowledges nothing. So a replica that held every acknowledged write when such a
 * view was installed, or was repaired under it, still holds every acknowledged write, whether it is in the chain or not. Outside the chain
 * it is a standby and may take over if all members of the chain are lost.
 *
 * <p>Invariants: view numbers only increase, and all views belong to one cluster; a replica whose log is outdated has not caught up; a
 * replica outside a chain that has the required copies has not caught up.
 */
final class ReplicaRole {
    private final ReplicaSettings settings;
    private View view = View.NONE;
    private ReplicaState state = ReplicaState.EMPTY;
    private boolean caughtUp;
    private boolean logOutdated;
    /** Whether the installed view is synced to disk, so that the replica doesn't fall back to the previous view on a restart. */
    private boolean viewSynced = true;

    ReplicaRole(final ReplicaSettings settings) {
        this.settings = settings;
    }

    /** Returns the installed view, or {@link View#NONE}. */
    View view() {
        return view;
    }

    /** Returns the state with respect to the chain. */
    ReplicaState state() {
        return state;
    }

    /** Returns whether a view is installed. */
    boolean hasView() {
        return view.number() > 0;
    }

    /** Returns whether this replica is a voter of the installed view. */
    boolean isVoter() {
        return view.isVoter(settings.self().id());
    }

    /** Returns whether the replica is a member of the chain and its disk has not failed. */
    boolean isInChain() {
        return state == ReplicaState.IN_CHAIN;
    }

    /** Returns whether a write to the log has failed. */
    boolean isDiskFailed() {
        return state == ReplicaState.DISK_FAILED;
    }

    /** Returns whether the replica holds every acknowledged write, and all that its chain held when the view was installed. */
    boolean isCaughtUp() {
        return caughtUp;
    }

    /** Returns whether the replica is outside the chain and may take over if all members of the chain are lost. */
    boolean isStandby() {
        return state == ReplicaState.OUTSIDE_CHAIN && caughtUp;
    }

    /** Returns whether the installed view is synced to disk. */
    boolean isViewSynced() {
        return viewSynced || !settings.safeguards().isEnabled(Safeguard.VIEW_SYNC);
    }

    /** Returns whether the log lacks entries that were acknowledged while this replica was a caught-up member. */
    boolean isLogOutdated() {
        return logOutdated;
    }

    /** Returns whether the replica is a member of the chain and has caught up. */
    boolean isActive() {
        return isInChain() && caughtUp;
    }

    /** Returns whether the chain of the installed view contains this replica, also after its disk failed. */
    boolean isNamedInChain() {
        return position() >= 0;
    }

    /** Returns whether the replica is the head of the chain, which admits writes. */
    boolean isHead() {
        return position() == 0;
    }

    /** Returns whether the replica is the tail and has caught up; only then may it commit entries and answer reads. */
    boolean isActiveTail() {
        return isActive() && successor().isEmpty();
    }

    /** Returns the next member of the chain, if any. */
    Optional<Replica> successor() {
        return view.successorOf(settings.self().id());
    }

    /** Returns the previous member of the chain, if any. */
    Optional<Replica> predecessor() {
        return view.predecessorOf(settings.self().id());
    }

    /** Returns whether the chain has enough members for writes to be acknowledged. */
    boolean hasRequiredCopies() {
        return hasRequiredCopies(view) || !settings.safeguards().isEnabled(Safeguard.COPIES);
    }

    private boolean hasRequiredCopies(final View candidate) {
        return candidate.chain().size() >= settings.minInSyncReplicas();
    }

    /** Returns whether messages of this view must be ignored, as another view is installed. */
    boolean isFenced(final long viewNumber) {
        return viewNumber != view.number() && settings.safeguards().isEnabled(Safeguard.FENCE);
    }

    /** Returns whether a decided view is newer than the installed one and belongs to the same cluster. */
    boolean mayInstall(final View next) {
        return next.number() > view.number() && (view.fleet() == 0 || next.fleet() == view.fleet());
    }

    /** Installs a decided view. The members of the initial view of a cluster have caught up from the start. */
    void install(final View next, final boolean isInitialView) {
        caughtUp = isInitialView && isNamedInChainOf(next) || caughtUp && staysCaughtUp(next);
        view = next;
        viewSynced = false;
        logOutdated = false;
        state = state.afterView(isNamedInChain());
    }

    /**
     * Returns whether a caught-up replica remains caught up under the next view. A member of the chain does while it remains a member. A
     * standby does only under the directly following view number, if it becomes a member, or remains outside a chain that is too short to
     * acknowledge anything: then no view unknown to it can have acknowledged writes in between.
     */
    private boolean staysCaughtUp(final View next) {
        if (isNamedInChainOf(next) && isNamedInChain()) {
            return true;
        }
        final boolean isDirectSuccessor = next.number() == view.number() + 1;
        return isDirectSuccessor && (isNamedInChainOf(next) || !hasRequiredCopies(next));
    }

    /**
     * Records that the view with this number is synced to disk.
     *
     * @return whether it is the installed view and was not known to be synced before
     */
    boolean markViewSynced(final long number) {
        final boolean isNewlySynced = number == view.number() && !isViewSynced();
        viewSynced |= number == view.number();
        return isNewlySynced;
    }

    /** Marks the replica as caught up: it holds all that its predecessor held when the view was installed. */
    void markCaughtUp() {
        caughtUp = true;
    }

    /**
     * Records that the replica was repaired under the installed view by an active member. If the chain is too short to acknowledge
     * anything, a replica outside of it is a standby from now on.
     */
    void markRepaired() {
        caughtUp |= state == ReplicaState.OUTSIDE_CHAIN && !hasRequiredCopies(view);
    }

    /** Marks the log as outdated, as it lacks acknowledged entries: the replica is inactive until a later view is installed. */
    void fenceOutdatedLog() {
        logOutdated = true;
        caughtUp = false;
    }

    /** Records that a write to the log failed. */
    void markDiskFailed() {
        state = state.afterDiskFailure();
    }

    /** Restores the view of a snapshot while the log is replayed. */
    void replay(final LogRecord.Snapshot snapshot) {
        view = snapshot.view();
        caughtUp = snapshot.caughtUp();
    }

    /** Restores an installed view while the log is replayed. */
    void replay(final LogRecord.ViewInstalled installed) {
        view = installed.view();
        caughtUp = installed.caughtUp();
    }

    /** Sets the state from the restored view after the whole log was replayed. */
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
