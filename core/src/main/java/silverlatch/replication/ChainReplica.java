package silverlatch.replication;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import silverlatch.clock.Stamp;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.state.StateMachine;
import silverlatch.wire.ChainClientMessage;
import silverlatch.wire.Message;
import silverlatch.wire.ReplicationMessage;

/**
 * One replica of the control state: connects the components of this package and dispatches each event to the component responsible. It
 * does no I/O: it takes events and produces {@link Effect}s; {@link #onSynced} reports a completed write to the log by its token. All
 * methods are called on the thread of the node's event loop, with the time of its monotonic clock in microseconds.
 *
 * <p>Only this class changes the view of {@link ReplicaRole}; when a view is installed, all components are updated in one step.
 */
public final class ChainReplica {
    private final ReplicaSettings settings;
    private final Supplier<Stamp> stamps;
    private final EffectQueue effects;
    private final ReplicaRole role;
    private final HeldLease lease;
    private final GrantedLeases grantedLeases;
    private final FailureDetector failureDetector;
    private final ViewAcceptor acceptor;
    private final ViewProposer proposer;
    private final GracefulLeave gracefulLeave;
    private final Discovery discovery;
    private final Bootstrap bootstrap;
    private final SnapshotWriter snapshots;
    private final ReplicaLog log;
    private final PendingWrites pendingWrites;
    private final WriteAdmission writeAdmission;
    private final ReadAdmission readAdmission;
    private final Committer committer;
    private final CatchUpProgress catchUp;
    private final SuccessorLink successorLink;
    private final PredecessorLink predecessorLink;
    private final RepairRequester repairRequester;
    private final RepairResponder repairResponder;
    private final ChainReplication replication;
    private final EpochAdvancer epochAdvancer;

    /** Creates a replica and restores its state from the records of its log. */
    public ChainReplica(
            final ReplicaSettings settings,
            final List<LogRecord> records,
            final Supplier<Stamp> stamps,
            final long now) {
        this(settings, records, stamps, now, 0);
    }

    private ChainReplica(
            final ReplicaSettings settings,
            final List<LogRecord> records,
            final Supplier<Stamp> stamps,
            final long now,
            final long lastToken) {
        this.settings = settings;
        this.stamps = stamps;
        effects = new EffectQueue(settings.safeguards(), lastToken);
        role = new ReplicaRole(settings);
        lease = new HeldLease(settings, role, effects);
        grantedLeases = new GrantedLeases(settings, role, effects, now);
        failureDetector = new FailureDetector(settings, role);
        acceptor = new ViewAcceptor(settings, role, grantedLeases, effects);
        proposer = new ViewProposer(settings, role, acceptor, failureDetector, effects);
        gracefulLeave = new GracefulLeave(settings, role, effects);
        discovery = new Discovery(settings, role, effects);
        bootstrap = new Bootstrap(settings, role, discovery, effects);
        snapshots = new SnapshotWriter(role, acceptor, effects);
        final StateMachine stateMachine = new StateMachine(settings.safeguards());
        pendingWrites = new PendingWrites(stateMachine::get, effects);
        log = new ReplicaLog(snapshots, effects, stateMachine, this::onEntriesSynced, pendingWrites::onCommitted);
        writeAdmission = new WriteAdmission(settings, role, lease, log, pendingWrites, stamps);
        readAdmission = new ReadAdmission(settings, role, lease, log, effects);
        committer = new Committer(settings, role, log, effects);
        catchUp = new CatchUpProgress(role, log, effects);
        successorLink = new SuccessorLink(role, log, effects);
        predecessorLink = new PredecessorLink(settings, role, log, catchUp, committer, effects);
        repairRequester =
                new RepairRequester(settings, role, log, successorLink, catchUp, committer, gracefulLeave, effects);
        repairResponder = new RepairResponder(settings, role, log, effects);
        replication = new ChainReplication(role, successorLink, predecessorLink, catchUp, committer, repairRequester);
        epochAdvancer = new EpochAdvancer(settings, role, log, effects, now);
        records.forEach(this::replay);
        finishReplay(now);
    }

    private void replay(final LogRecord record) {
        switch (record) {
            case LogRecord.Snapshot snapshot -> {
                log.replay(snapshot);
                role.replay(snapshot);
                acceptor.replay(snapshot);
            }
            case LogRecord.Appended appended -> log.replay(appended);
            case LogRecord.ViewInstalled installed -> {
                acceptor.replay(installed);
                role.replay(installed);
                bootstrap.installView();
            }
            case LogRecord.Promised promised -> acceptor.replay(promised);
            case LogRecord.Accepted accepted -> acceptor.replay(accepted);
            case LogRecord.InitialViewAgreed founding -> bootstrap.replay(founding);
            case LogRecord.Batch batch -> batch.records().forEach(this::replay);
            case LogRecord.SnapshotPart part -> throw new IllegalArgumentException("snapshot part without snapshot");
        }
    }

    private void finishReplay(final long now) {
        role.finishReplay();
        if (role.hasView()) {
            if (!role.isInChain()) {
                dropPending();
            }
            failureDetector.start(now);
        }
        log.finishReplay();
        committer.commitReplayed(now);
    }

    /** Returns the effects to carry out and removes them from the queue. */
    public List<Effect> drain() {
        return effects.drain();
    }

    /** Returns the committed state, which the caller must not change. */
    public StateMachine stateMachine() {
        return log.stateMachine();
    }

    /** Returns the installed view. */
    public View view() {
        return role.view();
    }

    /** Returns the fencing token under which this replica owns the singleton role, if it is the owner and holds a lease. */
    public Optional<Long> fencingToken(final long now) {
        return role.isActive() && lease.isHeld(now) && settings.isSelf(view().singletonOwner())
                ? Optional.of(view().number())
                : Optional.empty();
    }

    /** Returns the current status of this replica. */
    public ReplicaStatus status(final long now) {
        return new ReplicaStatus(
                role.state(),
                role.isCaughtUp(),
                view(),
                log.committedSequence(),
                stateMachine().policyRevision(),
                log.pendingCount(),
                lease.isHeld(now));
    }

    /** Returns whether the committed state here is known to include every policy change acknowledged so far. */
    public boolean isUpToDate(final long now) {
        return role.isActive() && lease.isHeld(now) && !log.hasPendingPolicy();
    }

    /** Handles a message; {@code sender} is the address at which the sending process listens. */
    public void onMessage(final Message message, final String sender, final long now) {
        if (role.isDiskFailed() || role.isLogOutdated() && !(message instanceof ReplicationMessage.ViewDecided)) {
            return;
        }
        switch (message) {
            case ReplicationMessage.Discover request -> bootstrap.handleDiscover(request, now);
            case ReplicationMessage.Bootstrap request -> bootstrap.handleBootstrap(request, sender, now);
            case ReplicationMessage.BootstrapAgreed reply ->
                bootstrap.handleAgreed(reply).ifPresent(initialView -> installView(initialView, now));
            case ReplicationMessage.LeaseRequest request -> handleLeaseRequest(request, now);
            case ReplicationMessage.LeaseGrant grant -> handleLeaseGrant(grant, now);
            case ReplicationMessage.ViewDecided decided -> handleViewDecided(decided, sender, now);
            case ReplicationMessage.Prepare request -> handlePrepare(request, sender, now);
            case ReplicationMessage.Promise reply -> proposer.handlePromise(reply, now);
            case ReplicationMessage.Accept request -> acceptor.handleAccept(request, sender, now);
            case ReplicationMessage.Accepted reply ->
                proposer.handleAccepted(reply).ifPresent(decided -> installView(decided, now));
            case ReplicationMessage.Preempted reply -> proposer.handlePreempted(reply, now);
            case ReplicationMessage.Replicate replicate -> predecessorLink.handleReplicate(replicate, now);
            case ReplicationMessage.CommitNotice notice -> committer.handleCommitNotice(notice, now);
            case ReplicationMessage.CatchUpTarget target -> replication.handleCatchUpTarget(target, now);
            case ReplicationMessage.FetchEntries request -> successorLink.handleFetchEntries(request, sender, now);
            case ReplicationMessage.CompareDigests request -> repairResponder.handleCompareDigests(request, now);
            case ReplicationMessage.RepairRanges piece -> repairRequester.handleRepairRanges(piece, sender, now);
            case ReplicationMessage.RepairPieceRequest request -> repairResponder.handleRepairNext(request);
            case ReplicationMessage.ReplicateAck reply -> successorLink.handleReplicateAck(reply, now);
            case ReplicationMessage.JoinRequest request -> handleJoinRequest(request, now);
            case ChainClientMessage.WriteRequest request -> writeAdmission.handleWriteRequest(request, now);
            case ChainClientMessage.ReadRequest request -> readAdmission.handleReadRequest(request, now);
            default -> {}
        }
    }

    /** Handles the completion of a write: the records of this token are synced to disk. */
    public void onSynced(final long token, final long now) {
        effects.completeWrite(token, now);
    }

    /**
     * Returns the replica that replaces this one once its failed disk accepts writes again, restored from the log as after a restart.
     * Write tokens continue from the old ones, so that a late completion of an old write isn't mistaken for one of a new write.
     */
    public ChainReplica recovered(final List<LogRecord> records, final long now) {
        final ChainReplica next = new ChainReplica(settings, records, stamps, now, effects.lastToken());
        next.updateSeeds(discovery.seeds());
        if (gracefulLeave.isLeaving()) {
            next.leave();
        }
        return next;
    }

    /** Handles a failed write to the log: this replica ignores messages and timer events until {@link #recovered} replaces it. */
    public void onDiskFailed(final String reason) {
        if (!role.isDiskFailed()) {
            role.markDiskFailed();
            effects.log(Event.DISK_BROKEN, reason);
            effects.abandonWrites();
            pendingWrites.abandon();
        }
    }

    /** Replaces the addresses that are asked for the current view; bootstrap keeps using the seeds of the settings. */
    public void updateSeeds(final List<String> addresses) {
        discovery.updateSeeds(addresses);
    }

    /** Starts a graceful leave before the process stops: later views remove this replica and name another singleton owner. */
    public void leave() {
        gracefulLeave.begin();
    }

    /** Returns whether the process may stop after {@link #leave()}; see {@link GracefulLeave}. */
    public boolean hasLeft() {
        return gracefulLeave.hasLeft(!proposer.joinRequests().isEmpty());
    }

    /** Handles a timer event; must be called several times per lease duration. */
    public void tick(final long now) {
        if (role.isDiskFailed()) {
            return;
        }
        acceptor.sendDelayed(now);
        if (!role.hasView()) {
            bootstrap.discover(now);
        } else if (role.isLogOutdated()) {
            discovery.requestLaterView(now);
        } else if (gracefulLeave.isLeaving() && !role.isInChain()) {
            announceLeave(now);
        } else {
            tickWithView(now);
        }
    }

    private void announceLeave(final long now) {
        if (lease.isRequestDue(settings.leaseRequestMicros(), now)) {
            lease.markRequested(now);
            gracefulLeave.announce();
        }
    }

    private void tickWithView(final long now) {
        final boolean isStalled = effects.isStalled(settings.diskStallMicros(), now);
        final long requestMicros = role.isVoter() ? settings.leaseRequestMicros() : ReplicaSettings.RETRY_MICROS;
        if (!isStalled && lease.isRequestDue(requestMicros, now)) {
            lease.request(failureDetector.hearsMajority(now), now);
        }
        if (role.isInChain()) {
            epochAdvancer.tick(fencingToken(now), now);
            replication.retry(now);
            if (!isStalled) {
                proposer.proposeNextView(gracefulLeave.isLeaving(), now);
            }
        } else if (!isStalled) {
            tickOutsideChain(now);
            proposer.proposeTakeover(gracefulLeave.isLeaving(), now);
        }
    }

    /** Requests a repair from the tail, and sends the seeds a heartbeat with the number of the installed view. */
    private void tickOutsideChain(final long now) {
        final long interval =
                repairRequester.isJoining() ? 5 * ReplicaSettings.RETRY_MICROS : ReplicaSettings.RETRY_MICROS;
        if (discovery.beginRound(interval, now)) {
            view().tail().ifPresent(tail -> repairRequester.request(tail.address(), now));
            discovery.sendHeartbeatToSeeds(failureDetector.hearsMajority(now), now);
        }
    }

    private void handleLeaseRequest(final ReplicationMessage.LeaseRequest request, final long now) {
        if (!role.hasView()) {
            return;
        }
        if (request.view() < view().number()) {
            effects.send(request.sender().address(), new ReplicationMessage.ViewDecided(view()));
        } else if (request.view() == view().number() && role.isVoter()) {
            failureDetector.handleLeaseRequest(
                    request, proposer.isJoining(request.sender().id()), now);
            if (acceptor.acceptedView().isEmpty()) {
                grantedLeases.grant(request, log.committedSequence(), now);
            }
        }
    }

    private void handleLeaseGrant(final ReplicationMessage.LeaseGrant grant, final long now) {
        if (grant.view() != view().number() || !view().isVoter(grant.voter())) {
            return;
        }
        if (role.isActive() && grant.committed() > log.lastSequence()) {
            fenceOutdatedLog(grant);
            return;
        }
        lease.add(grant, now);
        writeAdmission.onLeaseGranted(now);
    }

    /**
     * Fences this replica, as it lacks acknowledged entries. A caught-up member has synced every acknowledged entry, so the data directory
     * isn't the one that it had. It doesn't request or grant leases or vote until a later view is installed, in which it is repaired.
     */
    private void fenceOutdatedLog(final ReplicationMessage.LeaseGrant grant) {
        effects.log(
                Event.LOG_OUTDATED,
                "the log ends at sequence " + log.lastSequence() + ", but sequence " + grant.committed()
                        + " was acknowledged; check whether an older copy of the data directory was restored");
        role.fenceOutdatedLog();
        lease.clear();
        dropPending();
    }

    private void handlePrepare(final ReplicationMessage.Prepare request, final String sender, final long now) {
        final boolean isPromised = acceptor.handlePrepare(request, sender, now);
        if (isPromised && !sender.equals(settings.self().address())) {
            proposer.backOff(now);
        }
    }

    private void handleViewDecided(final ReplicationMessage.ViewDecided decided, final String sender, final long now) {
        installView(decided.view(), now);
        if (decided.view().number() == view().number()) {
            gracefulLeave.addInformed(sender);
        }
    }

    private void handleJoinRequest(final ReplicationMessage.JoinRequest request, final long now) {
        proposer.handleJoinRequest(request);
        failureDetector.handleJoinRequest(request, now);
    }

    /** Installs a decided view if it is newer than the installed one and belongs to this cluster. */
    private void installView(final View next, final long now) {
        if (!role.mayInstall(next)) {
            return;
        }
        final boolean wasInChain = role.isNamedInChain();
        grantedLeases.installView(view(), next, now);
        role.install(next, bootstrap.isAgreedView(next));
        bootstrap.installView();
        lease.clear();
        acceptor.installView();
        proposer.installView();
        gracefulLeave.installView();
        catchUp.installView(now);
        repairRequester.installView();
        repairResponder.installView();
        successorLink.reset(log.committedSequence(), now);
        failureDetector.installView(wasInChain, now);
        effects.persist(List.of(new LogRecord.ViewInstalled(next, role.isCaughtUp())), now, syncedAt -> {
            if (role.markViewSynced(next.number()) && role.isInChain()) {
                replication.retryNow(syncedAt);
            }
        });
        effects.log(Event.VIEW, "view " + next.number() + " chain " + next.chainAddresses());
        lease.request(failureDetector.hearsMajority(now), now);
        if (role.isInChain()) {
            replication.retryNow(now);
        } else {
            dropPending();
        }
    }

    private void onEntriesSynced(final long now) {
        replication.onEntriesSynced(now);
    }

    /** Drops the pending entries, unless this replica is a standby, and the pending client writes. */
    private void dropPending() {
        pendingWrites.abandon();
        if (!role.isStandby()) {
            log.dropPending();
        }
    }
}
