package silverlatch.replication;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import silverlatch.clock.Stamp;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.state.Command;
import silverlatch.state.StateMachine;
import silverlatch.wire.Message;

/**
 * The chain and the view as one machine with a data folder runs them. It does no input or output: events go in,
 * effects come out, and a write to the ledger comes back as a kept token.
 */
public final class ChainReplica {

    private static final long EPOCH_MICROS = 600_000_000L;
    private final ReplicaSettings settings;
    private final Supplier<Stamp> stamps;
    private final EffectQueue effects;
    private final ReplicaRole role;
    private final HeldLease lease;
    private final GrantedLeases grantedLeases;
    private final FailureDetector failureDetector;
    private final ViewAcceptor acceptor;
    private final ViewProposer proposer;
    private final Departure departure;
    private final SnapshotWriter snapshots;
    private final ReplicaLog log;
    private final WaitingWrites waitingWrites;
    private final WriteAdmission writeAdmission;
    private final ReadAdmission readAdmission;
    private final Committer committer;
    private final CatchUpProgress catchUp;
    private final SuccessorLink successorLink;
    private final PredecessorLink predecessorLink;
    private final RepairRequester repairRequester;
    private final RepairResponder repairResponder;
    private final ChainReplication replication;
    private final Map<String, Discovery> discoveries = new TreeMap<>();
    private final Set<String> bootstrapAgreed = new HashSet<>();
    private List<String> seeds;
    private Optional<View> foundingView = Optional.empty();
    private long lastDiscoveryAt;
    private long epochAdvancedAt;

    /** A machine as its ledger left it. */
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
        this.effects = new EffectQueue(settings.safeguards(), lastToken);
        this.role = new ReplicaRole(settings);
        this.lease = new HeldLease(settings, role, effects);
        this.grantedLeases = new GrantedLeases(settings, role, effects, now);
        this.failureDetector = new FailureDetector(settings, role);
        this.acceptor = new ViewAcceptor(settings, role, grantedLeases, effects);
        this.proposer = new ViewProposer(settings, role, acceptor, failureDetector, effects);
        this.departure = new Departure(settings, role, effects);
        this.snapshots = new SnapshotWriter(role, acceptor, effects);
        final StateMachine stateMachine = new StateMachine(settings.safeguards());
        this.waitingWrites = new WaitingWrites(stateMachine::get, effects);
        this.log =
                new ReplicaLog(role, snapshots, effects, stateMachine, this::entriesSynced, waitingWrites::committed);
        this.writeAdmission = new WriteAdmission(settings, role, lease, log, waitingWrites, stamps);
        this.readAdmission = new ReadAdmission(settings, role, lease, log, effects);
        this.committer = new Committer(settings, role, log, effects);
        this.catchUp = new CatchUpProgress(role, log, effects);
        this.successorLink = new SuccessorLink(role, log, effects);
        this.predecessorLink = new PredecessorLink(settings, role, log, catchUp, committer, effects);
        this.repairRequester =
                new RepairRequester(settings, role, log, successorLink, catchUp, committer, departure, effects);
        this.repairResponder = new RepairResponder(settings, role, log, effects);
        this.replication =
                new ChainReplication(role, successorLink, predecessorLink, catchUp, committer, repairRequester);
        this.settings = settings;
        this.stamps = stamps;
        this.seeds = settings.seeds();
        records.forEach(this::replay);
        epochAdvancedAt = now;
        role.finishReplay();
        if (role.hasView()) {
            if (!role.isInChain()) {
                dropPendingEntries();
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

    /** The committed books; the caller does not change them. */
    public StateMachine stateMachine() {
        return log.stateMachine();
    }

    /** The view held here. */
    public View view() {
        return role.view();
    }

    /** The fencing number under which this machine holds the duties, if it does. */
    public Optional<Long> fencingToken(final long now) {
        return role.isActive() && lease.isHeld(now) && settings.isSelf(view().singletonOwner())
                ? Optional.of(view().number())
                : Optional.empty();
    }

    /** How this machine stands. */
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

    /** Whether every acknowledged change of policy is surely in the books here at this moment. */
    public boolean isUpToDate(final long now) {
        return role.isActive() && lease.isHeld(now) && !log.hasPendingPolicy();
    }

    /** Takes a message. */
    public void onMessage(final Message message, final String sender, final long now) {
        if (role.isDiskFailed() || role.isLogOutdated() && !(message instanceof Message.ViewDecided)) {
            return;
        }
        switch (message) {
            case Message.Discover m -> handleDiscover(m, now);
            case Message.Bootstrap m -> handleBootstrap(m, sender, now);
            case Message.BootstrapAgreed m -> bootstrapAgreed(m, now);
            case Message.LeaseRequest m -> handleLeaseRequest(m, now);
            case Message.LeaseGrant m -> handleLeaseGrant(m, now);
            case Message.ViewDecided m -> handleViewDecided(m, sender, now);
            case Message.Prepare m -> handlePrepare(m, sender, now);
            case Message.Promise m -> proposer.handlePromise(m, now);
            case Message.Accept m -> acceptor.handleAccept(m, sender, now);
            case Message.Accepted m -> proposer.handleAccepted(m).ifPresent(decided -> installView(decided, now));
            case Message.Preempted m -> proposer.handlePreempted(m, now);
            case Message.Replicate m -> predecessorLink.handleReplicate(m, now);
            case Message.CommitNotice m -> committer.handleCommitNotice(m, now);
            case Message.CatchUpTarget m -> replication.handleCatchUpTarget(m, now);
            case Message.FetchEntries m -> successorLink.handleFetchEntries(m, sender, now);
            case Message.CompareDigests m -> repairResponder.handleCompareDigests(m, now);
            case Message.RepairRanges m -> repairRequester.handleRepairRanges(m, sender, now);
            case Message.RepairNext m -> repairResponder.handleRepairNext(m);
            case Message.ReplicateAck m -> successorLink.handleReplicateAck(m, now);
            case Message.JoinRequest m -> handleJoinRequest(m, now);
            case Message.WriteRequest m -> writeAdmission.handleWriteRequest(m, now);
            case Message.ReadRequest m -> readAdmission.handleReadRequest(m, now);
            default -> {}
        }
    }

    /** A write to the ledger was synced. */
    public void synced(final long token, final long now) {
        effects.synced(token, now);
    }

    /**
     * This machine after its disk failed and takes writes again: as a restarted process would be, from what its log
     * holds. Tokens of writes go on from the old ones, so that no late word of an old write is taken for a new one's.
     */
    public ChainReplica recovered(final List<LogRecord> records, final long now) {
        final ChainReplica next = new ChainReplica(settings, records, stamps, now, effects.lastToken());
        next.seeds = seeds;
        if (departure.isLeaving()) {
            next.leave();
        }
        return next;
    }

    /** The disk failed: this machine takes no part until it has recovered. */
    public void diskFailed(final String reason) {
        if (!role.isDiskFailed()) {
            role.failDisk();
            effects.log(Event.DISK_BROKEN, reason);
            effects.abandonWrites();
            waitingWrites.abandon();
        }
    }

    /** Takes the addresses to ask for a view from now on; a founding keeps to those of the start. */
    public void seeds(final List<String> next) {
        seeds = List.copyOf(next);
    }

    /** This machine is about to stop: the others are asked to take it out of the chain and to name another holder. */
    public void leave() {
        departure.begin();
    }

    /**
     * Whether this machine may end, after {@link #deliverFrame()}: the chain goes on without it, and a majority of the voters
     * that remain knows that. A member that the chain needs for its copies stays until its grace ends.
     */
    public boolean hasLeft() {
        return departure.hasLeft(!proposer.joinRequests().isEmpty());
    }

    /** A clock event, a few each lease. */
    public void tick(final long now) {
        if (role.isDiskFailed()) {
            return;
        }
        final boolean stalled = effects.isStalled(settings.diskStallMicros(), now);
        acceptor.sendDelayed(now);
        if (view().number() == 0) {
            discoverPeers(now);
            return;
        }
        if (role.isLogOutdated()) {
            requestLaterView(now);
            return;
        }
        if (departure.isLeaving() && !role.isInChain()) {
            announceDeparture(now);
            return;
        }
        final long requestMicros = role.isVoter() ? settings.leaseRequestMicros() : ReplicaSettings.RETRY_MICROS;
        if (!stalled && lease.isRequestDue(requestMicros, now)) {
            requestLease(now);
        }
        if (role.isInChain()) {
            advanceEpoch(now);
            replication.retry(now);
            if (!stalled) {
                proposer.proposeNextView(departure.isLeaving(), now);
            }
        } else if (now - lastDiscoveryAt
                        >= (repairRequester.isJoining()
                                ? 5 * ReplicaSettings.RETRY_MICROS
                                : ReplicaSettings.RETRY_MICROS)
                && !stalled) {
            lastDiscoveryAt = now;
            view().tail().ifPresent(tail -> repairRequester.request(tail.address(), now));
            seeds.forEach(seed -> effects.send(
                    seed,
                    new Message.LeaseRequest(
                            view().number(), now, settings.self(), false, failureDetector.hearsMajority(now))));
        }
    }

    private void announceDeparture(final long now) {
        if (lease.isRequestDue(settings.leaseRequestMicros(), now)) {
            lease.markRequested(now);
            departure.announce();
        }
    }

    private void handleViewDecided(final Message.ViewDecided message, final String sender, final long now) {
        installView(message.view(), now);
        if (message.view().number() == view().number()) {
            departure.addInformed(sender);
        }
    }

    private void handleJoinRequest(final Message.JoinRequest request, final long now) {
        proposer.handleJoinRequest(request);
        failureDetector.handleJoinRequest(request, now);
    }

    private void requestLease(final long now) {
        lease.request(failureDetector.hearsMajority(now), now);
    }

    private void replay(final LogRecord record) {
        switch (record) {
            case LogRecord.Snapshot p -> {
                log.replay(p);
                role.replay(p);
                acceptor.replay(p);
            }
            case LogRecord.Appended d -> log.replay(d);
            case LogRecord.ViewInstalled s -> {
                acceptor.replay(s);
                role.replay(s);
                foundingView = Optional.empty();
            }
            case LogRecord.Promised v -> acceptor.replay(v);
            case LogRecord.Accepted n -> acceptor.replay(n);
            case LogRecord.Founding b -> foundingView = Optional.of(b.view());
            case LogRecord.Batch b -> b.records().forEach(this::replay);
            case LogRecord.SnapshotPart p -> throw new IllegalArgumentException("a part without its snapshot");
        }
    }

    private void discoverPeers(final long now) {
        if (now - lastDiscoveryAt < ReplicaSettings.RETRY_MICROS) {
            return;
        }
        lastDiscoveryAt = now;
        discoveries.values().removeIf(s -> now - s.receivedAt() > 2_000_000L);
        final Message.Discover request = new Message.Discover(
                settings.self(),
                foundingView.isEmpty() && settings.mayBootstrap(),
                discoveries.values().stream().map(s -> s.request().sender()).toList());
        seeds.forEach(s -> effects.send(s, request));
        foundingView
                .filter(founding -> lowestId(founding).equals(settings.self()))
                .ifPresent(founding -> founding.voters()
                        .forEach(voter -> effects.send(voter.address(), new Message.Bootstrap(founding))));
    }

    private static Replica lowestId(final View view) {
        return view.voters().stream()
                .min(java.util.Comparator.comparing(Replica::id))
                .orElseThrow();
    }

    private void handleDiscover(final Message.Discover request, final long now) {
        if (view().number() > 0) {
            effects.send(request.sender().address(), new Message.ViewDecided(view()));
            return;
        }
        if (!request.empty()
                || foundingView.isPresent()
                || !settings.mayBootstrap()
                || !settings.seeds().contains(settings.self().address())
                || !settings.seeds().contains(request.sender().address())) {
            return;
        }
        discoveries.put(request.sender().id(), new Discovery(request, now));
        final List<Replica> all =
                discoveries.values().stream().map(s -> s.request().sender()).toList();
        final Set<Replica> known = Set.copyOf(all);
        final boolean complete = all.size() == settings.seeds().size()
                && all.stream()
                        .map(Replica::address)
                        .collect(java.util.stream.Collectors.toSet())
                        .equals(Set.copyOf(settings.seeds()))
                && discoveries.values().stream()
                        .allMatch(s -> Set.copyOf(s.request().heard()).equals(known));
        if (complete && all.get(0).id().equals(settings.self().id())) {
            final List<Replica> order = all.stream()
                    .sorted(java.util.Comparator.comparingInt(
                            replica -> settings.seeds().indexOf(replica.address())))
                    .toList();
            final long fleet = Math.max(1, order.hashCode() * 0x9E3779B97F4A7C15L & Long.MAX_VALUE);
            final View founding = new View(1, fleet, order, order, order.get(0).id());
            order.forEach(replica -> effects.send(replica.address(), new Message.Bootstrap(founding)));
        }
    }

    private void handleBootstrap(final Message.Bootstrap request, final String sender, final long now) {
        final boolean known =
                foundingView.map(voter -> voter.equals(request.view())).orElse(false);
        final boolean acceptable = foundingView.isEmpty()
                && view().number() == 0
                && request.view().isVoter(settings.self().id())
                && request.view().voters().stream().allMatch(voter -> discoveries.containsKey(voter.id()));
        if (known) {
            effects.send(sender, new Message.BootstrapAgreed(request.view().fleet(), settings.self()));
        } else if (acceptable) {
            foundingView = Optional.of(request.view());
            effects.persist(
                    List.of(new LogRecord.Founding(request.view())),
                    now,
                    syncedAt -> effects.send(
                            sender, new Message.BootstrapAgreed(request.view().fleet(), settings.self())));
        }
    }

    private void bootstrapAgreed(final Message.BootstrapAgreed message, final long now) {
        foundingView.filter(founding -> founding.fleet() == message.fleet()).ifPresent(founding -> {
            bootstrapAgreed.add(message.sender().id());
            if (founding.voters().stream().allMatch(voter -> bootstrapAgreed.contains(voter.id()))) {
                effects.log(Event.FOUNDED, "fleet " + Long.toHexString(founding.fleet()));
                founding.voters().forEach(voter -> effects.send(voter.address(), new Message.ViewDecided(founding)));
                installView(founding, now);
            }
        });
    }

    private void installView(final View next, final long now) {
        if (!role.mayInstall(next)) {
            return;
        }
        final boolean wasInChain = role.isNamedInChain();
        grantedLeases.installView(view(), next, now);
        role.install(next, foundingView.map(next::equals).orElse(false));
        foundingView = Optional.empty();
        lease.clear();
        acceptor.installView();
        proposer.installView();
        departure.installView();
        catchUp.installView(now);
        repairRequester.installView();
        repairResponder.installView();
        successorLink.reset(log.committedSequence(), now);
        failureDetector.installView(wasInChain, now);
        effects.persist(List.of(new LogRecord.ViewInstalled(next, role.isCaughtUp())), now);
        effects.log(Event.VIEW, "view " + next.number() + " chain " + next.chainAddresses());
        requestLease(now);
        if (!role.isInChain()) {
            dropPendingEntries();
            return;
        }
        replication.restart(now);
    }

    private void dropPendingEntries() {
        waitingWrites.abandon();
        log.dropPending();
    }

    private void handleLeaseRequest(final Message.LeaseRequest request, final long now) {
        if (!role.hasView()) {
            return;
        }
        if (request.view() < view().number()) {
            effects.send(request.sender().address(), new Message.ViewDecided(view()));
        } else if (request.view() == view().number() && role.isVoter()) {
            final boolean isJoining = proposer.isJoining(request.sender().id());
            failureDetector.handleLeaseRequest(request, isJoining, now);
            if (acceptor.acceptedView().isEmpty()) {
                grantedLeases.grant(request, log.committedSequence(), now);
            }
        }
    }

    private void handleLeaseGrant(final Message.LeaseGrant grant, final long now) {
        if (grant.view() == view().number() && view().isVoter(grant.voter())) {
            if (role.isActive() && grant.committed() > log.lastSequence()) {
                fenceOutdatedLog(grant);
                return;
            }
            lease.add(grant);
            writeAdmission.leaseGranted(now);
        }
    }

    /**
     * What is acknowledged has been synced by each member that has caught up; this one lacks some of it, so its folder is
     * not the one that it had. It neither asks, grants nor votes until a later view, in which it is repaired.
     */
    private void fenceOutdatedLog(final Message.LeaseGrant grant) {
        effects.log(
                Event.LOG_OUTDATED,
                "the log ends at " + log.lastSequence() + ", but " + grant.committed() + " was acknowledged with it");
        role.fenceOutdatedLog();
        lease.clear();
        dropPendingEntries();
    }

    /** Asks under the view before this one: the reply is the view as it is now, and the asker counts as silent. */
    private void requestLaterView(final long now) {
        if (now - lastDiscoveryAt >= ReplicaSettings.RETRY_MICROS) {
            lastDiscoveryAt = now;
            view().voters()
                    .forEach(voter -> effects.send(
                            voter.address(),
                            new Message.LeaseRequest(view().number() - 1, now, settings.self(), false, false)));
        }
    }

    private void handlePrepare(final Message.Prepare request, final String sender, final long now) {
        final boolean isPromised = acceptor.handlePrepare(request, sender, now);
        if (isPromised && !sender.equals(settings.self().address())) {
            proposer.holdBack(now);
        }
    }

    private void advanceEpoch(final long now) {
        if (fencingToken(now).isEmpty()) {
            epochAdvancedAt = now;
        } else if (now - epochAdvancedAt >= EPOCH_MICROS) {
            epochAdvancedAt = now;
            final long nextEpoch = stateMachine().epoch() + 1;
            view().head()
                    .ifPresent(head -> effects.send(
                            head.address(),
                            new Message.WriteRequest(
                                    0,
                                    settings.self().address(),
                                    new Command.AdvanceEpoch("sweep-" + nextEpoch, nextEpoch, view().number()))));
        }
    }

    private void entriesSynced(final long now) {
        replication.entriesSynced(now);
    }

    private record Discovery(Message.Discover request, long receivedAt) {}
}
