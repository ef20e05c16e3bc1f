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
 * One replica of the control state: joins the parts of this package and hands each event to the part that owns it. It does no input or
 * output: events go in, {@link Effect}s come out, and a write to the log comes back by its token. All methods are called by the one
 * thread of the node's event loop, with its steady clock in microseconds.
 *
 * <p>It alone makes the transitions of {@link ReplicaRole}: when a view is installed, all parts are told in one step.
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

    /** A replica as its log left it. */
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
            case LogRecord.Founding founding -> bootstrap.replay(founding);
            case LogRecord.Batch batch -> batch.records().forEach(this::replay);
            case LogRecord.SnapshotPart part -> throw new IllegalArgumentException("a part without its snapshot");
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

    /** What is to be done in the world; it is handed over once. */
    public List<Effect> drain() {
        return effects.drain();
    }

    /** The committed state; the caller does not change it. */
    public StateMachine stateMachine() {
        return log.stateMachine();
    }

    /** The installed view. */
    public View view() {
        return role.view();
    }

    /** The fencing token under which this replica owns the singleton role, if it does. */
    public Optional<Long> fencingToken(final long now) {
        return role.isActive() && lease.isHeld(now) && settings.isSelf(view().singletonOwner())
                ? Optional.of(view().number())
                : Optional.empty();
    }

    /** How this replica stands. */
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

    /** Whether every acknowledged change of policy is surely in the committed state here at this moment. */
    public boolean isUpToDate(final long now) {
        return role.isActive() && lease.isHeld(now) && !log.hasPendingPolicy();
    }

    /** Takes a message of the process that listens at the sender's address. */
    public void onMessage(final Message message, final String sender, final long now) {
        if (role.isDiskFailed() || role.isLogOutdated() && !(message instanceof ReplicationMessage.ViewDecided)) {
            return;
        }
        switch (message) {
            case ReplicationMessage.Discover request -> bootstrap.handleDiscover(request, now);
            case ReplicationMessage.Bootstrap request -> bootstrap.handleBootstrap(request, sender, now);
            case ReplicationMessage.BootstrapAgreed reply ->
                bootstrap.handleAgreed(reply).ifPresent(founded -> installView(founded, now));
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
            case ReplicationMessage.RepairNext request -> repairResponder.handleRepairNext(request);
            case ReplicationMessage.ReplicateAck reply -> successorLink.handleReplicateAck(reply, now);
            case ReplicationMessage.JoinRequest request -> handleJoinRequest(request, now);
            case ChainClientMessage.WriteRequest request -> writeAdmission.handleWriteRequest(request, now);
            case ChainClientMessage.ReadRequest request -> readAdmission.handleReadRequest(request, now);
            default -> {}
        }
    }

    /** A write to the log was synced. */
    public void onSynced(final long token, final long now) {
        effects.completeWrite(token, now);
    }

    /**
     * This replica after its disk failed and takes writes again: as a restarted process would be, from what its log holds. Tokens of
     * writes go on from the old ones, so that no late report of an old write is taken for a new one's.
     */
    public ChainReplica recovered(final List<LogRecord> records, final long now) {
        final ChainReplica next = new ChainReplica(settings, records, stamps, now, effects.lastToken());
        next.updateSeeds(discovery.seeds());
        if (gracefulLeave.isLeaving()) {
            next.leave();
        }
        return next;
    }

    /** A write to the log failed: this replica takes no part until it has recovered. */
    public void onDiskFailed(final String reason) {
        if (!role.isDiskFailed()) {
            role.markDiskFailed();
            effects.log(Event.DISK_BROKEN, reason);
            effects.abandonWrites();
            pendingWrites.abandon();
        }
    }

    /** Takes the addresses to ask for a view from now on; a founding keeps to those of the start. */
    public void updateSeeds(final List<String> addresses) {
        discovery.updateSeeds(addresses);
    }

    /** The process is about to stop: the others are asked to take it out of the chain and to name another owner. */
    public void leave() {
        gracefulLeave.begin();
    }

    /** Whether the process may stop, after {@link #leave()}: see {@link GracefulLeave}. */
    public boolean hasLeft() {
        return gracefulLeave.hasLeft(!proposer.joinRequests().isEmpty());
    }

    /** A clock event, a few each lease. */
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

    /** Out of the chain: asks for a repair, and shows the seeds the view held here. */
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
     * What is acknowledged has been synced by each member that has caught up; this one lacks some of it, so its folder is not the one
     * that it had. It neither asks, grants nor votes until a later view, in which it is repaired.
     */
    private void fenceOutdatedLog(final ReplicationMessage.LeaseGrant grant) {
        effects.log(
                Event.LOG_OUTDATED,
                "the log ends at " + log.lastSequence() + ", but " + grant.committed() + " was acknowledged with it");
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

    /** Installs a decided view where it is a later one of this cluster. */
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

    /** Out of the chain only a standby keeps what is pending. */
    private void dropPending() {
        pendingWrites.abandon();
        if (!role.isStandby()) {
            log.dropPending();
        }
    }
}
