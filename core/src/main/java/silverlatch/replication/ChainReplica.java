package silverlatch.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import silverlatch.clock.Stamp;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.safeguard.Safeguard;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.state.Value;
import silverlatch.wire.Message;

/**
 * The chain and the view as one machine with a data folder runs them. It does no input or output: events go in,
 * effects come out, and a write to the ledger comes back as a kept token.
 */
public final class ChainReplica {
    private static final int DIGEST_RANGES = 64;

    /** The low bits of a ballot name its proposer's place among the voters, the others count its rounds. */
    private static final int BALLOT_PROPOSER_BITS = 8;

    private static final long MAX_RECENT_BYTES = 8L << 20;
    private static final int MAX_RECENT_ENTRIES = 10_000;
    private static final long SNAPSHOT_INTERVAL_BYTES = 8L << 20;
    private static final int SNAPSHOT_INTERVAL_ENTRIES = 10_000;
    private static final int MAX_BATCH_ENTRIES = 512;
    private static final long REPAIR_RETRY_MICROS = 900_000L;
    private static final int MAX_PENDING_ENTRIES = 4_096;
    private static final int MAX_UNLEASED_WRITES = 64;
    private static final long EPOCH_MICROS = 600_000_000L;
    private final ReplicaSettings settings;
    private final Supplier<Stamp> stamps;
    private final StateMachine stateMachine;
    private final EffectQueue effects;
    private final Deque<LogEntry> pendingEntries = new ArrayDeque<>();
    private final Deque<LogEntry> recentEntries = new ArrayDeque<>();
    private final Map<String, Entry> pendingValues = new HashMap<>();
    private final Map<String, Long> grantTimes = new HashMap<>();
    private final Map<String, Long> heardAt = new HashMap<>();
    private final Map<String, Long> received = new HashMap<>();
    private final Map<String, Discovery> discoveries = new TreeMap<>();
    private final Map<String, Message.JoinRequest> joinRequests = new TreeMap<>();
    private final Map<Long, List<WaitingWrite>> waitingWrites = new HashMap<>();
    private final List<DelayedAccept> delayedAccepts = new ArrayList<>();
    private final List<UnleasedWrite> unleasedWrites = new ArrayList<>();
    private final Set<String> bootstrapAgreed = new HashSet<>();
    private final ReplicationWindow window = new ReplicationWindow();
    private final Map<String, RepairSource> repairSources = new HashMap<>();
    private Optional<RepairProgress> repairProgress = Optional.empty();
    private long repairRequestedAt;
    private List<String> seeds;
    private ReplicaState replicaState = ReplicaState.EMPTY;
    private View view = View.NONE;
    private boolean caughtUp;
    private boolean grantsSuspended;
    private final Map<String, Long> grantExpiries = new HashMap<>();
    private final Set<String> caughtUpMembers = new HashSet<>();
    private long earlierGrantsExpireAt;
    private long promisedBallot;
    private long acceptedBallot;
    private Optional<View> acceptedView = Optional.empty();
    private Optional<View> foundingView = Optional.empty();
    private Optional<Proposal> proposal = Optional.empty();
    private long highestRound;
    private long lastSequence;
    private long synced;
    private long recentBytes;
    private long bytesSinceSnapshot;
    private int entriesSinceSnapshot;
    private long leaseRequestedAt;
    private long lastRetryAt;
    private long lastDiscoveryAt;
    private long suspectedSince;
    private long preemptedAt;
    private Optional<Long> catchUpTarget = Optional.empty();
    private long catchUpStartedAt;
    private long currentTime;
    private long logGeneration;
    private long highestStamp;
    private long epochAdvancedAt;
    private boolean leaving;
    private final Set<String> informedVoters = new HashSet<>();
    private boolean joining;
    private boolean logOutdated;

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
        this.settings = settings;
        this.stamps = stamps;
        this.seeds = settings.seeds();
        this.stateMachine = new StateMachine(settings.safeguards());
        records.forEach(this::replay);
        earlierGrantsExpireAt = now + settings.leaseMicros();
        currentTime = now;
        epochAdvancedAt = now;
        if (view.number() > 0) {
            final boolean inChain = view.positionOf(settings.self().id()) >= 0;
            replicaState = replicaState.afterView(inChain);
            if (!inChain) {
                dropPendingEntries();
            }
            view.voters().forEach(voter -> heardAt.put(voter.id(), now));
        }
        synced = lastSequence;
        if (isTail() && caughtUp && hasRequiredCopies()) {
            commit(synced);
        }
    }

    /** What is to be done in the world; it is handed over once. */
    public List<Effect> drain() {
        return effects.drain();
    }

    /** The committed books; the caller does not change them. */
    public StateMachine stateMachine() {
        return stateMachine;
    }

    /** The view held here. */
    public View view() {
        return view;
    }

    /** The fencing number under which this machine holds the duties, if it does. */
    public Optional<Long> fencingToken(final long now) {
        return isInChain()
                        && caughtUp
                        && isLeased(now)
                        && view.singletonOwner().equals(settings.self().id())
                ? Optional.of(view.number())
                : Optional.empty();
    }

    /** How this machine stands. */
    public ReplicaStatus status(final long now) {
        return new ReplicaStatus(
                replicaState,
                caughtUp,
                view,
                stateMachine.sequence(),
                stateMachine.policyRevision(),
                pendingEntries.size(),
                isLeased(now));
    }

    /** Whether every acknowledged change of policy is surely in the books here at this moment. */
    public boolean isUpToDate(final long now) {
        return isInChain()
                && caughtUp
                && isLeased(now)
                && pendingEntries.stream()
                        .noneMatch(entry -> entry.puts().stream().anyMatch(Entry::isPolicy));
    }

    /** Takes a message. */
    public void onMessage(final Message message, final String sender, final long now) {
        currentTime = now;
        if (isDiskFailed() || logOutdated && !(message instanceof Message.ViewDecided)) {
            return;
        }
        switch (message) {
            case Message.Discover m -> handleDiscover(m, now);
            case Message.Bootstrap m -> handleBootstrap(m, sender);
            case Message.BootstrapAgreed m -> bootstrapAgreed(m, now);
            case Message.LeaseRequest m -> handleLeaseRequest(m, now);
            case Message.LeaseGrant m -> handleLeaseGrant(m, now);
            case Message.ViewDecided m -> handleViewDecided(m, sender, now);
            case Message.Prepare m -> handlePrepare(m, sender);
            case Message.Promise m -> handlePromise(m, now);
            case Message.Accept m -> handleAccept(m, sender);
            case Message.Accepted m -> handleAccepted(m, now);
            case Message.Preempted m -> handlePreempted(m);
            case Message.Replicate m -> handleReplicate(m, now);
            case Message.CommitNotice m -> handleCommitNotice(m);
            case Message.CatchUpTarget m -> caughtUp(m);
            case Message.FetchEntries m -> handleFetchEntries(m, sender);
            case Message.CompareDigests m -> handleCompareDigests(m);
            case Message.RepairRanges m -> handleRepairRanges(m, sender);
            case Message.RepairNext m -> handleRepairNext(m);
            case Message.ReplicateAck m -> received(m);
            case Message.JoinRequest m -> handleJoinRequest(m, now);
            case Message.WriteRequest m -> handleWriteRequest(m);
            case Message.ReadRequest m -> handleReadRequest(m, now);
            default -> {}
        }
    }

    /** A write to the ledger was synced. */
    public void synced(final long token, final long now) {
        currentTime = now;
        effects.synced(token, now);
    }

    /**
     * This machine after its disk failed and takes writes again: as a restarted process would be, from what its log
     * holds. Tokens of writes go on from the old ones, so that no late word of an old write is taken for a new one's.
     */
    public ChainReplica recovered(final List<LogRecord> records, final long now) {
        final ChainReplica next = new ChainReplica(settings, records, stamps, now, effects.lastToken());
        next.seeds = seeds;
        next.leaving = leaving;
        return next;
    }

    /** The disk failed: this machine takes no part until it has recovered. */
    public void diskFailed(final String reason) {
        if (!isDiskFailed()) {
            replicaState = replicaState.afterDiskFailure();
            effects.log(Event.DISK_BROKEN, reason);
            effects.abandonWrites();
            abandonWaitingWrites();
        }
    }

    /** Takes the addresses to ask for a view from now on; a founding keeps to those of the start. */
    public void seeds(final List<String> next) {
        seeds = List.copyOf(next);
    }

    /** This machine is about to stop: the others are asked to take it out of the chain and to name another holder. */
    public void leave() {
        leaving = true;
    }

    /**
     * Whether this machine may end, after {@link #deliverFrame()}: the chain goes on without it, and a majority of the voters
     * that remain knows that. A member that the chain needs for its copies stays until its grace ends.
     */
    public boolean hasLeft() {
        if (view.number() == 0 || isDiskFailed()) {
            return true;
        }
        if (view.positionOf(settings.self().id()) >= 0) {
            return view.voters().equals(List.of(settings.self())) && joinRequests.isEmpty();
        }
        if (!settings.safeguards().isEnabled(Safeguard.HANDOVER)) {
            return true;
        }
        final long informed = view.voters().stream()
                .filter(voter -> !voter.equals(settings.self()) && informedVoters.contains(voter.address()))
                .count();
        return view.isMajority((int) informed);
    }

    /** A clock event, a few each lease. */
    public void tick(final long now) {
        currentTime = now;
        if (isDiskFailed()) {
            return;
        }
        final boolean stalled = effects.isStalled(settings.diskStallMicros(), now);
        for (final DelayedAccept accept : List.copyOf(delayedAccepts)) {
            if (accept.sendAt() <= now) {
                delayedAccepts.remove(accept);
                if (accept.number() == view.number() + 1) {
                    effects.send(accept.to(), accept.reply());
                }
            }
        }
        if (view.number() == 0) {
            discoverPeers(now);
            return;
        }
        if (logOutdated) {
            requestLaterView(now);
            return;
        }
        if (leaving && !isInChain()) {
            confirmLeft(now);
            return;
        }
        if (now - leaseRequestedAt
                        >= (view.isVoter(settings.self().id())
                                ? settings.leaseRequestMicros()
                                : ReplicaSettings.RETRY_MICROS)
                && !stalled) {
            requestLease(now);
        }
        if (isInChain()) {
            advanceEpoch(now);
            retryReplication(now);
            if (!stalled) {
                proposeNextView(now);
            }
        } else if (now - lastDiscoveryAt >= (joining ? 5 * ReplicaSettings.RETRY_MICROS : ReplicaSettings.RETRY_MICROS)
                && !stalled) {
            lastDiscoveryAt = now;
            view.tail().ifPresent(tail -> requestRepair(tail.address(), now));
            seeds.forEach(seed -> effects.send(
                    seed, new Message.LeaseRequest(view.number(), now, settings.self(), false, hearsMajority(now))));
        }
    }

    /**
     * A machine that has left tells the voters so until they show that they know. It no longer asks for leases, so that
     * its silence counts. A prepare for a number that was decided is replied to with the view of whoever knows it.
     */
    private void confirmLeft(final long now) {
        if (now - leaseRequestedAt < settings.leaseRequestMicros()) {
            return;
        }
        leaseRequestedAt = now;
        view.voters().forEach(voter -> {
            effects.send(voter.address(), new Message.ViewDecided(view));
            effects.send(voter.address(), new Message.Prepare(view.number(), 0));
        });
    }

    private void handleViewDecided(final Message.ViewDecided message, final String sender, final long now) {
        installView(message.view(), now);
        if (message.view().number() == view.number()) {
            informedVoters.add(sender);
        }
    }

    private void handleJoinRequest(final Message.JoinRequest request, final long now) {
        joinRequests.put(request.sender().id(), request);
        heardAt.put(request.sender().id(), now);
    }

    private void requestLease(final long now) {
        leaseRequestedAt = now;
        view.voters()
                .forEach(voter -> effects.send(
                        voter.address(),
                        new Message.LeaseRequest(
                                view.number(), now, settings.self(), isInChain() && caughtUp, hearsMajority(now))));
    }

    /** Whether a majority of the voters, this one among them, was heard of late. */
    private boolean hearsMajority(final long now) {
        final long heardVoters = view.voters().stream()
                .map(Replica::id)
                .filter(id -> id.equals(settings.self().id())
                        || Optional.ofNullable(received.get(id))
                                .filter(at -> now - at <= settings.suspicionMicros() / 2)
                                .isPresent())
                .count();
        return view.isMajority((int) heardVoters);
    }

    private void replay(final LogRecord record) {
        switch (record) {
            case LogRecord.Snapshot p -> {
                stateMachine.reset(p.sequence(), p.entries());
                stateMachine.completeRepair(p.sequence());
                view = p.view();
                caughtUp = p.caughtUp();
                promisedBallot = p.promisedBallot();
                acceptedBallot = p.acceptedBallot();
                acceptedView = p.acceptedView().stream().findFirst();
                grantsSuspended = acceptedView.isPresent();
                pendingEntries.clear();
                pendingValues.clear();
                lastSequence = p.sequence();
                highestStamp = Math.max(highestStamp, p.highestStamp());
            }
            case LogRecord.Appended d -> {
                if (d.entry().sequence() == lastSequence + 1) {
                    addPending(d.entry());
                }
            }
            case LogRecord.ViewInstalled s -> {
                if (s.view().number() > view.number()) {
                    promisedBallot = 0;
                    acceptedBallot = 0;
                    acceptedView = Optional.empty();
                    grantsSuspended = false;
                }
                view = s.view();
                caughtUp = s.caughtUp();
                foundingView = Optional.empty();
            }
            case LogRecord.Promised v ->
                promisedBallot = v.viewNumber() == view.number() + 1 ? v.ballot() : promisedBallot;
            case LogRecord.Accepted n -> {
                if (n.viewNumber() == view.number() + 1) {
                    promisedBallot = n.ballot();
                    acceptedBallot = n.ballot();
                    acceptedView = Optional.of(n.view());
                    grantsSuspended = true;
                }
            }
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
        if (view.number() > 0) {
            effects.send(request.sender().address(), new Message.ViewDecided(view));
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

    private void handleBootstrap(final Message.Bootstrap request, final String sender) {
        final boolean known =
                foundingView.map(voter -> voter.equals(request.view())).orElse(false);
        final boolean acceptable = foundingView.isEmpty()
                && view.number() == 0
                && request.view().isVoter(settings.self().id())
                && request.view().voters().stream().allMatch(voter -> discoveries.containsKey(voter.id()));
        if (known) {
            effects.send(sender, new Message.BootstrapAgreed(request.view().fleet(), settings.self()));
        } else if (acceptable) {
            foundingView = Optional.of(request.view());
            effects.persist(
                    List.of(new LogRecord.Founding(request.view())),
                    currentTime,
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
        if (next.number() <= view.number() || view.fleet() != 0 && next.fleet() != view.fleet()) {
            return;
        }
        final boolean wasInChain = view.positionOf(settings.self().id()) >= 0;
        final boolean inChain = next.positionOf(settings.self().id()) >= 0;
        final boolean founded = foundingView.map(next::equals).orElse(false);
        grantExpiries.values().removeIf(t -> t <= now);
        earlierGrantsExpireAt = Set.copyOf(view.voters()).equals(Set.copyOf(next.voters()))
                ? earlierGrantsExpireAt
                : now + settings.leaseMicros();
        view = next;
        logOutdated = false;
        caughtUp = inChain && (wasInChain && caughtUp || founded);
        foundingView = Optional.empty();
        grantTimes.clear();
        proposal = Optional.empty();
        acceptedView = Optional.empty();
        promisedBallot = 0;
        acceptedBallot = 0;
        grantsSuspended = false;
        suspectedSince = 0;
        preemptedAt = 0;
        delayedAccepts.clear();
        joinRequests.clear();
        informedVoters.clear();
        catchUpTarget = Optional.empty();
        joining = false;
        catchUpStartedAt = now;
        repairProgress = Optional.empty();
        repairSources.clear();
        repairRequestedAt = 0;
        window.reset(stateMachine.sequence(), now);
        caughtUpMembers.clear();
        heardAt.keySet().retainAll(view.voters().stream().map(Replica::id).toList());
        received.keySet().retainAll(heardAt.keySet());
        view.voters().forEach(voter -> {
            if (wasInChain) {
                heardAt.putIfAbsent(voter.id(), now);
            } else {
                heardAt.put(voter.id(), now);
            }
        });
        replicaState = replicaState.afterView(inChain);
        effects.persist(List.of(new LogRecord.ViewInstalled(view, caughtUp)), now);
        effects.log(
                Event.VIEW,
                "view " + view.number() + " chain "
                        + view.chain().stream().map(Replica::address).toList());
        requestLease(now);
        if (!inChain) {
            dropPendingEntries();
            return;
        }
        lastRetryAt = 0;
        retryReplication(now);
        commitAsTail(now);
    }

    private void dropPendingEntries() {
        abandonWaitingWrites();
        pendingEntries.clear();
        pendingValues.clear();
        lastSequence = stateMachine.sequence();
        synced = lastSequence;
        logGeneration++;
    }

    private void handleLeaseRequest(final Message.LeaseRequest request, final long now) {
        if (view.number() == 0) {
            return;
        }
        if (request.view() < view.number()) {
            effects.send(request.sender().address(), new Message.ViewDecided(view));
        } else if (request.view() == view.number()
                && view.isVoter(settings.self().id())) {
            if (joinRequests.containsKey(request.sender().id())) {
                heardAt.put(request.sender().id(), now);
            }
            if (view.isVoter(request.sender().id())) {
                received.put(request.sender().id(), now);
                if (request.hearsMajority()) {
                    heardAt.put(request.sender().id(), now);
                }
            }
            if (request.caughtUp()) {
                caughtUpMembers.add(request.sender().id());
            } else {
                caughtUpMembers.remove(request.sender().id());
            }
            if (!grantsSuspended && view.positionOf(request.sender().id()) >= 0) {
                grantExpiries.put(request.sender().id(), now + settings.leaseMicros());
                effects.send(
                        request.sender().address(),
                        new Message.LeaseGrant(
                                view.number(),
                                request.askedAt(),
                                settings.self().id(),
                                stateMachine.sequence()));
            }
        }
    }

    private void handleLeaseGrant(final Message.LeaseGrant grant, final long now) {
        if (grant.view() == view.number() && view.isVoter(grant.voter())) {
            if (isInChain() && caughtUp && grant.committed() > lastSequence) {
                fenceOutdatedLog(grant);
                return;
            }
            grantTimes.merge(grant.voter(), grant.askedAt(), Math::max);
            if (!unleasedWrites.isEmpty() && isLeased(now)) {
                final List<UnleasedWrite> ready = List.copyOf(unleasedWrites);
                unleasedWrites.clear();
                ready.stream()
                        .filter(e -> now - e.receivedAt() < settings.leaseMicros())
                        .forEach(e -> handleWriteRequest(e.request()));
            }
        }
    }

    /**
     * What is acknowledged has been synced by each member that has caught up; this one lacks some of it, so its folder is
     * not the one that it had. It neither asks, grants nor votes until a later view, in which it is repaired.
     */
    private void fenceOutdatedLog(final Message.LeaseGrant grant) {
        effects.log(
                Event.LOG_OUTDATED,
                "the log ends at " + lastSequence + ", but " + grant.committed() + " was acknowledged with it");
        logOutdated = true;
        caughtUp = false;
        grantTimes.clear();
        dropPendingEntries();
    }

    /** Asks under the view before this one: the reply is the view as it is now, and the asker counts as silent. */
    private void requestLaterView(final long now) {
        if (now - lastDiscoveryAt >= ReplicaSettings.RETRY_MICROS) {
            lastDiscoveryAt = now;
            view.voters()
                    .forEach(voter -> effects.send(
                            voter.address(),
                            new Message.LeaseRequest(view.number() - 1, now, settings.self(), false, false)));
        }
    }

    private boolean isLeased(final long now) {
        final long span = settings.leaseMicros() * 9 / 10;
        return view.isMajority((int) grantTimes.values().stream()
                .filter(requestedAt -> now - requestedAt < span)
                .count());
    }

    private void handlePrepare(final Message.Prepare request, final String sender) {
        if (request.number() <= view.number()) {
            effects.send(sender, new Message.ViewDecided(view));
        } else if (request.number() == view.number() + 1
                && view.isVoter(settings.self().id())) {
            if (request.ballot() > promisedBallot) {
                preemptedAt = sender.equals(settings.self().address()) ? preemptedAt : currentTime;
                promisedBallot = request.ballot();
                final Message.Promise reply = new Message.Promise(
                        request.number(),
                        request.ballot(),
                        settings.self().id(),
                        acceptedBallot,
                        acceptedView.stream().toList());
                effects.persist(
                        List.of(new LogRecord.Promised(request.number(), request.ballot())),
                        currentTime,
                        t -> effects.send(sender, reply));
            } else if (request.ballot() < promisedBallot) {
                effects.send(sender, new Message.Preempted(request.number(), promisedBallot));
            }
        }
    }

    private void handleAccept(final Message.Accept request, final String sender) {
        if (request.number() != view.number() + 1
                || !view.isVoter(settings.self().id())) {
            return;
        }
        if (request.ballot() < promisedBallot) {
            effects.send(sender, new Message.Preempted(request.number(), promisedBallot));
            return;
        }
        promisedBallot = request.ballot();
        acceptedBallot = request.ballot();
        acceptedView = Optional.of(request.view());
        grantsSuspended = true;
        final Message.Accepted reply = new Message.Accepted(
                request.number(), request.ballot(), settings.self().id());
        effects.persist(
                List.of(new LogRecord.Accepted(request.number(), request.ballot(), request.view())),
                currentTime,
                syncedAt -> {
                    final long sendAt = removedGrantsExpireAt(request.view());
                    if (syncedAt >= sendAt) {
                        effects.send(sender, reply);
                    } else {
                        delayedAccepts.add(new DelayedAccept(sendAt, request.number(), sender, reply));
                    }
                });
    }

    /**
     * When none that goes with this view can answer under a lease from here any more. Those that stay can't answer for
     * the old view alone: what the new one acknowledges has passed them.
     */
    private long removedGrantsExpireAt(final View next) {
        return ViewPlanner.isExtension(view, next) || !settings.safeguards().isEnabled(Safeguard.LEASE_WAIT)
                ? 0
                : view.chain().stream()
                        .filter(member -> next.positionOf(member.id()) < 0)
                        .mapToLong(member -> grantExpiries.getOrDefault(member.id(), 0L))
                        .reduce(earlierGrantsExpireAt, Math::max);
    }

    /**
     * Takes a promise. The proposer's own must be among the majority: it is synced, so a ballot is not used again for
     * another view after a restart.
     */
    private void handlePromise(final Message.Promise reply, final long now) {
        proposal.filter(current -> current.number() == reply.number()
                        && current.ballot() == reply.ballot()
                        && !current.isAccepting())
                .ifPresent(current -> {
                    current.supporters().add(reply.voter());
                    final Proposal best = reply.acceptedBallot() > current.highestAcceptedBallot()
                                    && !reply.acceptedView().isEmpty()
                            ? current.withView(
                                    reply.acceptedBallot(), reply.acceptedView().get(0))
                            : current;
                    proposal = Optional.of(best);
                    if (view.isMajority(best.supporters().size())
                            && best.supporters().contains(settings.self().id())) {
                        final Proposal chosen = isUnbound(best) ? best.withView(0, withPromised(best)) : best;
                        proposal = Optional.of(chosen.toAccept());
                        view.voters()
                                .forEach(voter -> effects.send(
                                        voter.address(),
                                        new Message.Accept(chosen.number(), chosen.ballot(), chosen.view())));
                    }
                });
    }

    /** Whether no view that an earlier ballot may have decided binds this one. */
    private static boolean isUnbound(final Proposal proposal) {
        return proposal.highestAcceptedBallot() == 0;
    }

    private View withPromised(final Proposal proposal) {
        return new ViewPlanner(settings, view, id -> microsSinceHeard(id, currentTime), caughtUpMembers)
                .withPromised(proposal.view(), proposal.supporters());
    }

    private void handleAccepted(final Message.Accepted reply, final long now) {
        proposal.filter(current -> current.number() == reply.number()
                        && current.ballot() == reply.ballot()
                        && current.isAccepting())
                .ifPresent(current -> {
                    current.supporters().add(reply.voter());
                    if (view.isMajority(current.supporters().size())) {
                        final Set<Replica> recipients = new HashSet<>(view.voters());
                        recipients.addAll(current.view().voters());
                        recipients.addAll(current.view().chain());
                        recipients.stream()
                                .filter(recipient -> !recipient.equals(settings.self()))
                                .sorted(java.util.Comparator.comparing(Replica::id))
                                .forEach(recipient ->
                                        effects.send(recipient.address(), new Message.ViewDecided(current.view())));
                        installView(current.view(), now);
                    }
                });
    }

    private void handlePreempted(final Message.Preempted reply) {
        highestRound = Math.max(highestRound, reply.ballot() >> BALLOT_PROPOSER_BITS);
        preemptedAt = currentTime;
        proposal = proposal.filter(current -> current.number() != reply.number());
    }

    private void proposeNextView(final long now) {
        if (proposal.isPresent()
                && now - proposal.get().startedAt() < settings.leaseMicros() * 2 + settings.suspicionMicros()) {
            return;
        }
        proposal = Optional.empty();
        if (!view.isVoter(settings.self().id()) || !settings.safeguards().isEnabled(Safeguard.MEND)) {
            return;
        }
        if (caughtUp) {
            caughtUpMembers.add(settings.self().id());
        }
        final ViewPlanner planner = new ViewPlanner(settings, view, id -> microsSinceHeard(id, now), caughtUpMembers);
        final Optional<View> next = planner.next(leaving, joinRequests.values());
        if (next.isEmpty() && acceptedView.isEmpty()) {
            suspectedSince = 0;
            return;
        }
        if (suspectedSince == 0) {
            suspectedSince = now;
            planner.suspected().forEach(replica -> effects.log(Event.CHAIN_SUSPECT, replica.address()));
        }
        final List<Replica> reachable = planner.reachableVoters();
        final int rank = leaving && planner.suspected().isEmpty() ? 0 : proposalRank(reachable);
        final boolean othersPropose = preemptedAt > 0
                && now - preemptedAt < settings.suspicionMicros() + rank * settings.suspicionMicros() / 2;
        if (othersPropose
                || now - suspectedSince < rank * settings.suspicionMicros()
                || !view.isMajority(reachable.size())) {
            return;
        }
        highestRound = Math.max(highestRound, promisedBallot >> BALLOT_PROPOSER_BITS) + 1;
        final int voterIndex = view.voters().stream()
                .map(Replica::id)
                .toList()
                .indexOf(settings.self().id());
        final Proposal own = new Proposal(
                view.number() + 1,
                highestRound << BALLOT_PROPOSER_BITS | voterIndex,
                next.or(() -> acceptedView).orElse(view),
                0,
                false,
                new HashSet<>(),
                now);
        proposal = Optional.of(own);
        effects.log(
                Event.PROPOSED,
                "view " + own.number() + " chain "
                        + own.view().chain().stream().map(Replica::address).toList());
        view.voters()
                .forEach(replica -> effects.send(replica.address(), new Message.Prepare(own.number(), own.ballot())));
    }

    /** This machine's place among the members that are heard: those with a higher one let the others propose first. */
    private int proposalRank(final List<Replica> reachable) {
        final List<String> members = reachable.stream()
                .map(Replica::id)
                .filter(id -> view.positionOf(id) >= 0)
                .toList();
        return Math.max(0, members.indexOf(settings.self().id()));
    }

    private void advanceEpoch(final long now) {
        if (fencingToken(now).isEmpty()) {
            epochAdvancedAt = now;
        } else if (now - epochAdvancedAt >= EPOCH_MICROS) {
            epochAdvancedAt = now;
            final long nextEpoch = stateMachine.epoch() + 1;
            view.head()
                    .ifPresent(head -> effects.send(
                            head.address(),
                            new Message.WriteRequest(
                                    0,
                                    settings.self().address(),
                                    new Command.AdvanceEpoch("sweep-" + nextEpoch, nextEpoch, view.number()))));
        }
    }

    private long microsSinceHeard(final String id, final long now) {
        return id.equals(settings.self().id()) ? 0 : now - heardAt.getOrDefault(id, 0L);
    }

    /** Whether the chain is long enough for an acknowledgement. */
    private boolean hasRequiredCopies() {
        return view.chain().size() >= settings.minInSyncReplicas()
                || !settings.safeguards().isEnabled(Safeguard.COPIES);
    }

    /** Whether a replication message is of another view than the one held here, and so must not be taken. */
    private boolean isFenced(final long number) {
        return number != view.number() && settings.safeguards().isEnabled(Safeguard.FENCE);
    }

    private void retryReplication(final long now) {
        if (now - lastRetryAt < ReplicaSettings.RETRY_MICROS) {
            return;
        }
        lastRetryAt = now;
        view.successorOf(settings.self().id()).ifPresent(neighbor -> {
            if (caughtUp) {
                effects.send(neighbor.address(), new Message.CatchUpTarget(view.number(), lastSequence));
            }
            if (!pendingEntries.isEmpty() && pendingEntries.peek().sequence() <= synced && window.isRetryDue(now)) {
                window.restart(stateMachine.sequence(), now);
            }
            sendNext();
        });
        if (!caughtUp) {
            view.predecessorOf(settings.self().id()).ifPresent(neighbor -> {
                if (now - catchUpStartedAt > 4 * ReplicaSettings.RETRY_MICROS) {
                    requestRepair(neighbor.address(), now);
                } else {
                    effects.send(
                            neighbor.address(),
                            new Message.FetchEntries(
                                    view.number(), settings.self().id(), lastSequence));
                }
            });
        }
        if (isTail() && caughtUp) {
            commitAsTail(now);
            notifyCommitted();
        }
    }

    private boolean isTail() {
        return isInChain() && view.successorOf(settings.self().id()).isEmpty();
    }

    private void notifyCommitted() {
        view.chain().stream()
                .filter(member -> !member.id().equals(settings.self().id()))
                .forEach(member -> effects.send(
                        member.address(), new Message.CommitNotice(view.number(), stateMachine.sequence())));
    }

    private void commitAsTail(final long now) {
        if (isTail() && caughtUp && hasRequiredCopies()) {
            final long committed = stateMachine.sequence();
            commit(synced);
            if (stateMachine.sequence() > committed) {
                notifyCommitted();
            }
        }
    }

    private void handleWriteRequest(final Message.WriteRequest request) {
        if (!isInChain() || !caughtUp || view.positionOf(settings.self().id()) != 0) {
            return;
        }
        if (!isLeased(currentTime)) {
            if (unleasedWrites.size() < MAX_UNLEASED_WRITES) {
                unleasedWrites.add(new UnleasedWrite(currentTime, request));
            }
            return;
        }
        final Stamp stamp = stamps.get();
        if (!hasRequiredCopies() || pendingEntries.size() >= MAX_PENDING_ENTRIES || stamp.bits() <= highestStamp) {
            return;
        }
        if (request.command() instanceof Command.AdvanceEpoch s && s.fencingToken() != view.number()
                || request.command() instanceof Command.Scheduled t && t.fencingToken() != view.number()) {
            reject(request, 409, "the duty has another holder");
            return;
        }
        switch (stateMachine.evaluate(request.command(), pendingValues, lastSequence + 1, stamp)) {
            case StateMachine.Evaluation.Reply over -> replyToJudged(request, over.result(), stamp);
            case StateMachine.Evaluation.Write let -> {
                final LogEntry entry = new LogEntry(lastSequence + 1, view.number(), stamp, let.entries());
                awaitCommit(entry.sequence(), new WaitingWrite(request, Optional.empty()));
                appendEntries(List.of(entry));
            }
        }
    }

    /** Answers a write that needs no change of its own, once all that the answer rests on is committed. */
    private void replyToJudged(final Message.WriteRequest request, final CommandResult result, final Stamp stamp) {
        final Optional<Entry> pending =
                Optional.ofNullable(pendingValues.get("o/" + request.command().id()));
        if (pending.isPresent()) {
            awaitCommit(pending.get().sequence(), new WaitingWrite(request, Optional.empty()));
            return;
        }
        switch (result) {
            case CommandResult.Applied applied -> {
                if (applied.sequence() > stateMachine.sequence()) {
                    awaitCommit(applied.sequence(), new WaitingWrite(request, Optional.empty()));
                } else {
                    reply(request, applied);
                }
            }
            case CommandResult.Rejected rejected -> replyWhenCommitted(request, rejected, stamp);
            case CommandResult.AlreadyClaimed claimed -> replyWhenCommitted(request, claimed, stamp);
            case CommandResult.Unknown unknown -> reply(request, unknown);
        }
    }

    /**
     * Refuses a write at once where the committed state alone refuses it. Else the refusal rests on changes that a new
     * view may drop, and is held until the newest of them is committed.
     */
    private void replyWhenCommitted(
            final Message.WriteRequest request, final CommandResult rejection, final Stamp stamp) {
        if (pendingEntries.isEmpty() || !settings.safeguards().isEnabled(Safeguard.SETTLED)) {
            reply(request, rejection);
            return;
        }
        final StateMachine.Evaluation committed =
                stateMachine.evaluate(request.command(), Map.of(), lastSequence + 1, stamp);
        if (committed instanceof StateMachine.Evaluation.Reply over && isRejection(over.result())) {
            reply(request, over.result());
        } else {
            awaitCommit(lastSequence, new WaitingWrite(request, Optional.of(rejection)));
        }
    }

    private static boolean isRejection(final CommandResult result) {
        return result instanceof CommandResult.Rejected || result instanceof CommandResult.AlreadyClaimed;
    }

    private void awaitCommit(final long sequence, final WaitingWrite waiting) {
        waitingWrites.computeIfAbsent(sequence, s -> new ArrayList<>()).add(waiting);
    }

    /** Those that wait for changes which this machine may drop are told that nothing is known. */
    private void abandonWaitingWrites() {
        waitingWrites
                .values()
                .forEach(writes -> writes.forEach(waiting -> {
                    final Message.WriteRequest request = waiting.request();
                    reply(request, new CommandResult.Unknown(request.command().id()));
                }));
        waitingWrites.clear();
    }

    private void reply(final Message.WriteRequest request, final CommandResult result) {
        if (result instanceof CommandResult.Rejected r) {
            effects.log(Event.CHANGE_REJECTED, request.command().id() + " " + r.code());
        }
        effects.send(request.replyTo(), new Message.WriteReply(request.requestId(), result));
    }

    private void reject(final Message.WriteRequest request, final int code, final String reason) {
        effects.send(
                request.replyTo(),
                new Message.WriteReply(
                        request.requestId(),
                        new CommandResult.Rejected(code, List.of(reason), stateMachine.sequence())));
    }

    private void addPending(final LogEntry entry) {
        lastSequence = entry.sequence();
        highestStamp = Math.max(highestStamp, entry.stamp().bits());
        pendingEntries.add(entry);
        entry.puts().forEach(e -> pendingValues.put(e.key(), e));
    }

    private void appendEntries(final List<LogEntry> entries) {
        entries.forEach(this::addPending);
        final long lastAppended = lastSequence;
        final long generation = logGeneration;
        effects.persist(
                entries.stream()
                        .map(entry -> (LogRecord) new LogRecord.Appended(entry))
                        .toList(),
                currentTime,
                syncedAt -> {
                    if (generation == logGeneration && isInChain()) {
                        synced = Math.max(synced, lastAppended);
                        sendNext();
                        finishCatchUp(syncedAt);
                        commitAsTail(syncedAt);
                    }
                });
    }

    /** Sends the entries that the successor lacks and that are synced here, as far as the window admits them. */
    private void sendNext() {
        final Optional<Replica> successor = view.successorOf(settings.self().id());
        if (successor.isEmpty() || window.sentSequence() >= synced) {
            return;
        }
        final Stream<LogEntry> committed =
                window.sentSequence() < stateMachine.sequence() ? recentEntries.stream() : Stream.empty();
        final List<LogEntry> entries = new ArrayList<>();
        for (final LogEntry entry : (Iterable<LogEntry>) Stream.concat(committed, pendingEntries.stream())::iterator) {
            if (entry.sequence() <= window.sentSequence()) {
                continue;
            }
            final boolean next = entry.sequence() == window.sentSequence() + 1 && entry.sequence() <= synced;
            if (!next || entries.size() >= MAX_BATCH_ENTRIES || !window.admits(entry)) {
                break;
            }
            window.add(entry);
            entries.add(entry);
        }
        if (!entries.isEmpty()) {
            effects.send(successor.get().address(), new Message.Replicate(view.number(), entries));
        }
    }

    private void received(final Message.ReplicateAck acknowledgement) {
        final boolean successor = view.successorOf(settings.self().id())
                .map(replica -> replica.id().equals(acknowledgement.id()))
                .orElse(false);
        if (acknowledgement.view() == view.number() && isInChain() && successor) {
            window.acknowledge(acknowledgement.sequence(), currentTime);
            sendNext();
        }
    }

    private void handleReplicate(final Message.Replicate message, final long now) {
        if (isFenced(message.view())
                || !isInChain()
                || view.positionOf(settings.self().id()) == 0) {
            return;
        }
        final List<LogEntry> fresh = new ArrayList<>();
        long lastReceived = lastSequence;
        for (final LogEntry entry : message.entries()) {
            if (entry.sequence() == lastReceived + 1) {
                fresh.add(entry);
                lastReceived++;
            } else if (entry.sequence() > lastReceived + 1) {
                view.predecessorOf(settings.self().id())
                        .ifPresent(predecessor -> effects.send(
                                predecessor.address(),
                                new Message.FetchEntries(
                                        view.number(), settings.self().id(), lastSequence)));
                break;
            }
        }
        view.predecessorOf(settings.self().id())
                .ifPresent(predecessor -> effects.send(
                        predecessor.address(),
                        new Message.ReplicateAck(view.number(), settings.self().id(), lastSequence + fresh.size())));
        if (!fresh.isEmpty()) {
            // The log catches up; a repair beside it would bring the same entries again, in one frame.
            catchUpStartedAt = now;
            appendEntries(fresh);
        } else if (isTail() && caughtUp) {
            notifyCommitted();
        }
    }

    private void handleCommitNotice(final Message.CommitNotice notice) {
        if (!isFenced(notice.view()) && isInChain()) {
            commit(Math.min(notice.sequence(), synced));
        }
    }

    private void caughtUp(final Message.CatchUpTarget message) {
        if (message.view() == view.number() && isInChain() && !caughtUp) {
            catchUpTarget = Optional.of(message.sequence());
            finishCatchUp(currentTime);
            commitAsTail(currentTime);
        }
    }

    private void finishCatchUp(final long now) {
        if (!caughtUp && catchUpTarget.map(target -> synced >= target).orElse(false)) {
            caughtUp = true;
            effects.persist(List.of(new LogRecord.ViewInstalled(view, true)), now);
        }
    }

    private void handleFetchEntries(final Message.FetchEntries request, final String sender) {
        if (request.view() != view.number() || !isInChain() || !caughtUp) {
            return;
        }
        effects.send(sender, new Message.CatchUpTarget(view.number(), lastSequence));
        if (request.sequence() < window.acknowledgedSequence() || request.sequence() > window.sentSequence()) {
            window.restart(request.sequence(), currentTime);
        } else {
            window.acknowledge(request.sequence(), currentTime);
        }
        sendNext();
    }

    private void commit(final long limit) {
        while (!pendingEntries.isEmpty() && pendingEntries.peek().sequence() <= limit) {
            final LogEntry entry = pendingEntries.poll();
            stateMachine.apply(entry.sequence(), entry.puts());
            entry.puts().forEach(e -> pendingValues.remove(e.key(), e));
            retainRecent(entry);
            if (entry.puts().stream().anyMatch(Entry::isPolicy)) {
                effects.log(
                        Event.CHANGED,
                        "sequence " + entry.sequence() + " view " + entry.view() + " stamp "
                                + entry.stamp().bits());
            }
            Optional.ofNullable(waitingWrites.remove(entry.sequence()))
                    .ifPresent(writes -> writes.forEach(waiting -> replyToWaiting(waiting, entry.sequence())));
        }
        if (bytesSinceSnapshot > SNAPSHOT_INTERVAL_BYTES || entriesSinceSnapshot > SNAPSHOT_INTERVAL_ENTRIES) {
            writeSnapshot(t -> {});
        }
    }

    /** Keeps a committed entry for a successor that lacks it, within bounds. */
    private void retainRecent(final LogEntry entry) {
        recentEntries.add(entry);
        recentBytes += entry.estimatedBytes();
        bytesSinceSnapshot += entry.estimatedBytes();
        entriesSinceSnapshot++;
        while (recentEntries.size() > 1
                && (recentBytes > MAX_RECENT_BYTES || recentEntries.size() > MAX_RECENT_ENTRIES)) {
            recentBytes -= recentEntries.poll().estimatedBytes();
        }
    }

    private void replyToWaiting(final WaitingWrite waiting, final long sequence) {
        final Message.WriteRequest request = waiting.request();
        reply(
                request,
                waiting.refusal().orElseGet(() -> outcomeOf(request.command().id(), sequence)));
    }

    private CommandResult outcomeOf(final String id, final long sequence) {
        return stateMachine
                .get("o/" + id)
                .map(e -> (Value.CommandOutcome) e.value().get(0))
                .filter(recorded -> recorded.code() != 0)
                .map(recorded -> (CommandResult)
                        new CommandResult.Rejected(recorded.code(), recorded.faults(), recorded.sequence()))
                .orElse(new CommandResult.Applied(sequence));
    }

    private void writeSnapshot(final LongConsumer onSynced) {
        bytesSinceSnapshot = 0;
        entriesSinceSnapshot = 0;
        final List<LogRecord> records = new ArrayList<>();
        records.add(new LogRecord.Snapshot(
                stateMachine.sequence(),
                view,
                caughtUp,
                promisedBallot,
                acceptedBallot,
                acceptedView.stream().toList(),
                highestStamp,
                stateMachine.allEntries()));
        pendingEntries.forEach(entry -> records.add(new LogRecord.Appended(entry)));
        final long sequence = stateMachine.sequence();
        effects.persist(records, currentTime, syncedAt -> {
            effects.log(Event.PICTURE, "sequence " + sequence);
            onSynced.accept(syncedAt);
        });
    }

    private Message.CompareDigests digestRequest() {
        return new Message.CompareDigests(
                view.number(), settings.self(), stateMachine.sequence(), stateMachine.digests(DIGEST_RANGES));
    }

    private void handleCompareDigests(final Message.CompareDigests request) {
        if (request.view() != view.number() || !isInChain() || !caughtUp || request.digests().length != DIGEST_RANGES) {
            return;
        }
        if (request.sequence() > stateMachine.sequence()) {
            commit(Math.min(request.sequence(), synced));
        }
        final RepairSource source = RepairSource.of(stateMachine, request.digests(), syncedPending());
        repairSources.put(request.sender().id(), source);
        handleRepairNext(new Message.RepairNext(request.view(), request.sender(), source.sequence(), 0));
    }

    /**
     * The changes that are synced here but not known to be committed. One of them may have been acknowledged before
     * this machine restarted, so a machine that is repaired from here keeps them too.
     */
    private List<LogEntry> syncedPending() {
        return settings.safeguards().isEnabled(Safeguard.REPAIR_PENDING)
                ? pendingEntries.stream()
                        .filter(entry -> entry.sequence() <= synced)
                        .toList()
                : List.of();
    }

    private void handleRepairNext(final Message.RepairNext request) {
        final Optional<RepairSource> source = Optional.ofNullable(
                        repairSources.get(request.sender().id()))
                .filter(s -> s.sequence() == request.sequence() && request.piece() >= 0)
                .filter(s -> request.piece() < s.pieces().size());
        if (request.view() != view.number() || source.isEmpty()) {
            return;
        }
        final int pieces = source.get().pieces().size();
        effects.send(
                request.sender().address(),
                new Message.RepairRanges(
                        view.number(),
                        request.sequence(),
                        request.piece(),
                        pieces,
                        source.get().pieces().get(request.piece()),
                        request.piece() == pieces - 1 ? source.get().pending() : List.of(),
                        request.piece() == pieces - 1 ? source.get().digests() : new long[0]));
        if (request.piece() == pieces - 1 && pieces == 1) {
            repairSources.remove(request.sender().id());
        }
    }

    /** Asks for a repair, or for the next piece of the one under way, a pause after the last word of it. */
    private void requestRepair(final String source, final long now) {
        if (now
                        - Math.max(
                                repairRequestedAt,
                                repairProgress.map(RepairProgress::receivedAt).orElse(0L))
                < REPAIR_RETRY_MICROS) {
            return;
        }
        final boolean lost = repairProgress
                .map(progress -> now - progress.receivedAt() > 3 * REPAIR_RETRY_MICROS)
                .orElse(true);
        repairRequestedAt = now;
        if (lost) {
            repairProgress = Optional.empty();
            effects.send(source, digestRequest());
        } else {
            repairProgress.ifPresent(
                    progress -> effects.send(progress.source(), progress.nextRequest(view.number(), settings.self())));
        }
    }

    private void handleRepairRanges(final Message.RepairRanges message, final String sender) {
        if (message.view() != view.number()
                || isInChain() && caughtUp
                || message.sequence() < stateMachine.sequence()) {
            return;
        }
        if (joining
                && effects.isAllSynced()
                && message.pieces() == 1
                && message.ranges().isEmpty()
                && message.sequence() == stateMachine.sequence()
                && message.pending().equals(List.copyOf(pendingEntries))
                && sameDigests(message)
                && !isInChain()) {
            requestJoin();
            return;
        }
        if (message.piece() == 0) {
            repairProgress = Optional.of(new RepairProgress(message, sender));
        }
        if (repairProgress.isEmpty() || !repairProgress.get().accept(message, sender, currentTime)) {
            return;
        }
        final RepairProgress complete = repairProgress.get();
        if (!complete.isComplete()) {
            effects.send(sender, complete.nextRequest(view.number(), settings.self()));
            return;
        }
        repairProgress = Optional.empty();
        if (settings.safeguards().isEnabled(Safeguard.DIGEST)) {
            complete.ranges().forEach((range, entries) -> stateMachine.replaceRange(range, DIGEST_RANGES, entries));
        }
        if (!sameDigests(message)) {
            return;
        }
        stateMachine.completeRepair(message.sequence());
        recentEntries.clear();
        recentBytes = 0;
        window.reset(message.sequence(), currentTime);
        pendingEntries.clear();
        pendingValues.clear();
        lastSequence = message.sequence();
        message.pending().forEach(this::addPending);
        logGeneration++;
        catchUpStartedAt = currentTime;
        joining = true;
        final long number = view.number();
        final long lastRepaired = lastSequence;
        final long generation = logGeneration;
        synced = 0;
        writeSnapshot(syncedAt -> {
            if (generation != logGeneration) {
                return;
            }
            synced = Math.max(synced, lastRepaired);
            if (isInChain()) {
                finishCatchUp(syncedAt);
                commitAsTail(syncedAt);
            } else if (number == view.number()) {
                effects.log(Event.MENDED, "sequence " + message.sequence());
                requestJoin();
            }
        });
    }

    /**
     * Whether the state here is that of the source. It is not when a late repair answers a question that this machine
     * asked before it restarted, with other entries: then it asks again.
     */
    private boolean sameDigests(final Message.RepairRanges message) {
        return Arrays.equals(message.digests(), stateMachine.digests(DIGEST_RANGES))
                || !settings.safeguards().isEnabled(Safeguard.DIGEST);
    }

    private void requestJoin() {
        if (leaving) {
            return;
        }
        view.voters()
                .forEach(voter -> effects.send(
                        voter.address(),
                        new Message.JoinRequest(view.number(), settings.self(), stateMachine.sequence())));
    }

    private void handleReadRequest(final Message.ReadRequest request, final long now) {
        final boolean mayMissAcknowledged =
                !hasRequiredCopies() && pendingEntries.stream().anyMatch(entry -> entry.sequence() <= synced);
        final boolean answers = isTail()
                && caughtUp
                && !mayMissAcknowledged
                && (isLeased(now) || !settings.safeguards().isEnabled(Safeguard.LEASE));
        effects.send(
                request.replyTo(),
                new Message.ReadReply(
                        request.requestId(),
                        answers,
                        stateMachine.sequence(),
                        answers
                                ? List.copyOf(stateMachine
                                        .entriesWithPrefix(request.keyPrefix())
                                        .values())
                                : List.of()));
    }

    private boolean isInChain() {
        return replicaState == ReplicaState.IN_CHAIN;
    }

    private boolean isDiskFailed() {
        return replicaState == ReplicaState.DISK_FAILED;
    }

    /** A write whose answer waits for a change to be committed; the refusal is there where that will be the answer. */
    private record WaitingWrite(Message.WriteRequest request, Optional<CommandResult> refusal) {}

    private record UnleasedWrite(long receivedAt, Message.WriteRequest request) {}

    private record DelayedAccept(long sendAt, long number, String to, Message reply) {}

    private record Discovery(Message.Discover request, long receivedAt) {}

    private record Proposal(
            long number,
            long ballot,
            View view,
            long highestAcceptedBallot,
            boolean isAccepting,
            Set<String> supporters,
            long startedAt) {
        Proposal withView(final long acceptedBallot, final View acceptedView) {
            return new Proposal(number, ballot, acceptedView, acceptedBallot, isAccepting, supporters, startedAt);
        }

        Proposal toAccept() {
            return new Proposal(number, ballot, view, highestAcceptedBallot, true, new HashSet<>(), startedAt);
        }
    }
}
