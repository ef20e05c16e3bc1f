package silverlatch.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.node.Effect;
import silverlatch.replication.View;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.StateMachine;
import silverlatch.wire.Message;

/**
 * News of one daemon. Restrictions travel by push and hold at once; freshness is renewed only by pull and is aged
 * from the moment the asker sent its question.
 */
public final class Gossip {
    private static final int PUSH_FANOUT = 3;
    private static final int MAX_WORKERS = 4_096;
    private static final long WORKER_RETENTION = 60_000_000L;
    private static final long STALE_AGE = 1_000_000L;
    private final Settings settings;
    private final Membership membership;
    private final Safeguards safeguards;
    private final RandomGenerator random;
    private final PeerSelector peerSelector;
    private final MemberVersions memberVersions;
    private final StateMachine stateMachine = new StateMachine();
    private final Map<String, ObservedWorker> workers = new TreeMap<>();
    private final Map<String, AnnouncementEcho> echoes = new HashMap<>();
    private final List<Effect> effects = new ArrayList<>();
    private Map<String, ObservedWorker> workersSnapshot = Map.of();
    private final List<Worker> newlyDraining = new ArrayList<>();
    private Optional<Long> reportsAge = Optional.empty();
    private long highestRevision;
    private long fleet;
    private long onPullReply;
    private View view = View.NONE;
    private long lastGatewayPull;
    private long lastControllerPull;
    private final Optional<WorkerReports> reports;
    private final Optional<AntiEntropy> antiEntropy;

    /** How often to pull from gateways and from controllers, in microseconds, and how words of workers spread. */
    public record Settings(long gatewayPullInterval, long controllerPullInterval, WorkerReporting reporting) {
        /** The times that hold when nothing is said. */
        public static final Settings DEFAULTS = new Settings(250_000L, 400_000L);
        /** Times for a large fleet whose workers announce to controllers. */
        public static final Settings LARGE_FLEET =
                new Settings(1_000_000L, 400_000L, WorkerReporting.ToControllers.DEFAULTS);

        /** Times where words spread everywhere. */
        public Settings(final long gatewayPullInterval, final long controllerPullInterval) {
            this(gatewayPullInterval, controllerPullInterval, new WorkerReporting.ToAnyNode());
        }
    }

    /**
     * A worker's word, by this daemon's monotonic clock.
     *
     * @param worker what it said of itself
     * @param asOf   the moment up to which it is surely true
     * @param silent whether no controller has heard from it for long
     * @param measuredAt     the moment from which the spans it told run
     */
    public record ObservedWorker(Worker worker, Optional<Long> asOf, boolean silent, long measuredAt) {
        /** A worker that isn't silent; its spans run from the moment up to which its word is true. */
        public ObservedWorker(final Worker worker, final Optional<Long> asOf) {
            this(worker, asOf, false, asOf.orElse(0L));
        }

        /** How long it stays cold yet. */
        public long warmupRemaining(final long now) {
            return worker.agedBy(now - measuredAt).warmupRemaining();
        }

        /** How long it is there yet by its own word; 0 when it says nothing of its end. */
        public long lifetimeRemaining(final long now) {
            return worker.agedBy(now - measuredAt).lifetimeRemaining();
        }

        /** How old the word is; the largest number when it was never renewed here. */
        public long age(final long now) {
            return asOf.map(t -> now - t).orElse(Long.MAX_VALUE);
        }
    }

    /** News for a daemon of the crew. */
    public Gossip(
            final Membership membership,
            final RandomGenerator random,
            final Settings settings,
            final Safeguards safeguards) {
        this.membership = membership;
        this.random = random;
        this.peerSelector = new PeerSelector(membership, random);
        this.memberVersions = new MemberVersions(membership);
        this.settings = settings;
        this.safeguards = safeguards;
        this.reports = settings.reporting() instanceof WorkerReporting.ToControllers h
                ? Optional.of(new WorkerReports(h))
                : Optional.empty();
        this.antiEntropy = reports.map(w -> new AntiEntropy(w, peerSelector, memberVersions, membership));
    }

    /** The copy of the books held here; the caller does not change it. */
    public StateMachine stateMachine() {
        return stateMachine;
    }

    /** The view heard of. */
    public View view() {
        return view;
    }

    /** The fleet's number, or 0. */
    public long fleet() {
        return fleet;
    }

    /** The highest page heard of, held or not. */
    public long highestRevision() {
        return Math.max(highestRevision, stateMachine.policyRevision());
    }

    /** How long ago the books here were surely the newest. */
    public long stateAge(final long now) {
        return highestRevision > stateMachine.policyRevision()
                ? Long.MAX_VALUE
                : reportsAge.map(t -> now - t).orElse(Long.MAX_VALUE);
    }

    /** Whether the books here were surely the newest at some moment since this one. */
    public boolean confirmedSince(final long since) {
        return reportsAge.filter(at -> at >= since).isPresent();
    }

    /** The workers heard of. */
    public Map<String, ObservedWorker> workers() {
        if (reports.isPresent()) {
            return reports.get().workers(peerSelector.isController());
        }
        if (workersSnapshot.size() != workers.size()) {
            workersSnapshot = Map.copyOf(workers);
        }
        return workersSnapshot;
    }

    /** How long ago the words on workers here were surely the newest. */
    public long reportsAge(final long now) {
        return reports.flatMap(w -> w.confirmedAt(
                        peerSelector.isController(),
                        peerSelector.otherControllers().size() + 1,
                        now))
                .map(t -> Math.max(0, now - t))
                .orElse(Long.MAX_VALUE);
    }

    /** Forgets what makes this daemon sure, as a rejoin does. */
    public void resetFreshness() {
        reports.ifPresent(WorkerReports::resetFreshness);
        antiEntropy.ifPresent(AntiEntropy::reset);
        reportsAge = Optional.empty();
        workers.replaceAll((k, h) -> new ObservedWorker(h.worker(), Optional.empty()));
        workersSnapshot = Map.of();
    }

    /** What a controller knows for itself. */
    public void adoptReplicaState(
            final StateMachine replicaState,
            final View replicaView,
            final boolean isConfirmed,
            final long confirmedAt) {
        if (replicaView.number() > view.number()) {
            view = replicaView;
            fleet = replicaView.fleet();
        }
        if (isConfirmed) {
            if (replicaState.policyRevision() > stateMachine.policyRevision()) {
                stateMachine.apply(
                        replicaState.policyRevision(), replicaState.policySince(stateMachine.policyRevision()));
                pushRevision();
            }
            reportsAge = Optional.of(confirmedAt);
        }
    }

    /** A worker announced itself here; the echo proves how old its word can be. Gives the echo to hand back. */
    public long onAnnouncement(final Worker worker, final long echo, final long now) {
        if (reports.isPresent()) {
            reports.get().announce(worker, now);
            pushChanges(now);
            return 0;
        }
        final Optional<Long> asOf = Optional.ofNullable(echoes.get(worker.id()))
                .filter(e -> e.incarnation() == worker.incarnation() && e.token() == echo)
                .map(AnnouncementEcho::issuedAt);
        merge(worker, asOf, now);
        final long token = random.nextLong() >>> 11;
        echoes.put(worker.id(), new AnnouncementEcho(worker.incarnation(), token, now));
        return token;
    }

    /** A digest over the words of workers that announce to controllers; it changes when one of them does. */
    public long reportsDigest() {
        return reports.map(w -> w.digests().total()).orElse(0L);
    }

    /** The words to be kept over a restart. */
    public List<WorkerReport> activeReports(final long now) {
        return reports.map(w -> w.activeReports(now)).orElse(List.of());
    }

    /** Takes words kept over a restart; what is known already or comes later goes before them. */
    public void restoreReports(final List<WorkerReport> restored, final long now) {
        reports.ifPresent(w -> restored.forEach(k -> w.merge(k, false, now)));
    }

    /** A worker's life is over; false when it isn't known here. */
    public boolean onWorkerGone(final String id, final long now) {
        final boolean known = reports.map(w -> w.markGone(id, now)).orElseGet(() -> {
            final Optional<Worker> last =
                    Optional.ofNullable(workers.get(id)).map(h -> h.worker().asDraining());
            last.filter(w -> !workers.get(id).worker().draining())
                    .ifPresent(w -> merge(w.withNextSequence(), Optional.empty(), now));
            return last.isPresent();
        });
        pushChanges(now);
        return known;
    }

    /** Takes a message. */
    public void on(final Message message, final String sender, final long now) {
        switch (message) {
            case Message.GossipPull m -> answerPull(m, sender, now);
            case Message.GossipPullReply m -> onPullReply(m, sender, now);
            case Message.ReportVersions m ->
                antiEntropy.ifPresent(p -> effects.add(new Effect.Send(sender, p.missingReports(m, now))));
            case Message.MissingReports m ->
                antiEntropy
                        .flatMap(p -> p.onMissingReports(m, sender, now))
                        .ifPresent(b -> effects.add(new Effect.Send(sender, b)));
            case Message.GossipPush m -> {
                reports.ifPresent(w -> m.reports().forEach(x -> w.merge(x, true, now)));
                m.members().forEach(x -> membership.learn(x, now));
                m.workers().forEach(w -> merge(w, Optional.empty(), now));
                if (m.revision() > highestRevision) {
                    highestRevision = m.revision();
                    effects.add(new Effect.Send(sender, pullRequest(now)));
                }
            }
            default -> {}
        }
    }

    /** A clock event. */
    public void tick(final long now) {
        reports.ifPresent(w -> w.tick(peerSelector.isController(), peerSelector.otherControllers(), now));
        pushChanges(now);
        if (now - lastGatewayPull >= settings.gatewayPullInterval()
                && !(reports.isPresent() && peerSelector.isController())) {
            lastGatewayPull = now;
            peerSelector
                    .sample(
                            membership.liveMembers().stream()
                                    .filter(Member::isGateway)
                                    .toList(),
                            reports.isPresent() ? 1 : 2)
                    .forEach(m -> effects.add(new Effect.Send(m.address(), pullRequest(now))));
        }
        if (now - lastControllerPull >= peerSelector.controllerPullInterval(settings)) {
            lastControllerPull = now;
            controllersToPull(now).forEach(m -> effects.add(new Effect.Send(m.address(), pullRequest(now))));
        }
        if (workers.values()
                .removeIf(h -> h.age(now) > WORKER_RETENTION && h.asOf().isPresent())) {
            workersSnapshot = Map.of();
        }
        echoes.keySet().retainAll(workers.keySet());
    }

    /** What is to be done; it is handed over once. */
    public List<Effect> drain() {
        final List<Effect> list = List.copyOf(effects);
        effects.clear();
        return list;
    }

    private List<Member> controllersToPull(final long now) {
        final List<Member> roots = peerSelector.liveControllers(view, reports.isPresent());
        return reports.isEmpty()
                ? peerSelector.sample(roots, 2)
                : peerSelector.isController()
                        ? peerSelector.nextInTurn(roots, 3)
                        : peerSelector.sample(
                                stateAge(now) > STALE_AGE || reportsAge(now) > STALE_AGE
                                        ? roots
                                        : peerSelector.preferOwnRegion(roots),
                                1);
    }

    private void pushChanges(final long now) {
        final List<Member> changedMembers = membership.drainUpdates();
        final List<WorkerReport> changedReports =
                reports.map(w -> w.drainChanged(now)).orElse(List.of());
        reports.ifPresent(w -> effects.addAll(w.drain()));
        if (!changedMembers.isEmpty() || !newlyDraining.isEmpty() || !changedReports.isEmpty()) {
            push(new Message.GossipPush(changedMembers, List.copyOf(newlyDraining), changedReports, highestRevision()));
            newlyDraining.clear();
        }
    }

    private void push(final Message.GossipPush message) {
        (reports.isEmpty() ? peerSelector.sample(membership.liveMembers(), PUSH_FANOUT) : peerSelector.pushTargets())
                .forEach(m -> effects.add(new Effect.Send(m.address(), message)));
    }

    private Message.GossipPull pullRequest(final long now) {
        return new Message.GossipPull(
                now,
                stateMachine.policyRevision(),
                view.number(),
                reports.isPresent()
                        ? List.of()
                        : workers.values().stream()
                                .map(h -> new Message.ReportVersion(
                                        h.worker().id(),
                                        h.worker().incarnation(),
                                        h.worker().sequence()))
                                .toList(),
                reports.isPresent() ? memberVersions.digests().total() : memberVersions.plainDigest(),
                reports.map(w -> w.digests().total()).orElse(0L));
    }

    private void answerPull(final Message.GossipPull pull, final String sender, final long now) {
        final long age = stateAge(now);
        effects.add(new Effect.Send(
                sender,
                new Message.GossipPullReply(
                        pull.askedAt(),
                        stateMachine.policyRevision(),
                        age == Long.MAX_VALUE ? -1 : Math.max(0, age),
                        fleet,
                        pull.revision() < stateMachine.policyRevision()
                                ? stateMachine.policySince(pull.revision())
                                : safeguards.isEnabled(Safeguard.PAGE) ? List.of() : stateMachine.policySince(0),
                        pull.view() < view.number() ? List.of(view) : List.of(),
                        antiEntropy
                                .<Message.PullContent>map(p -> p.digestContent(pull, sender, reportsAge(now), now))
                                .orElseGet(() -> fullContent(pull, now)))));
    }

    private Message.PullContent.FullContent fullContent(final Message.GossipPull pull, final long now) {
        final Map<String, Message.ReportVersion> knownVersions = new HashMap<>();
        pull.versions().forEach(k -> knownVersions.put(k.id(), k));
        final List<Message.ReportAge> ages = new ArrayList<>();
        final List<Worker> newerWorkers = new ArrayList<>();
        for (final ObservedWorker observed : workers.values()) {
            final Worker worker = observed.worker();
            final Optional<Message.ReportVersion> knownVersion = Optional.ofNullable(knownVersions.get(worker.id()));
            final boolean newer = knownVersion
                    .map(k -> worker.incarnation() != k.incarnation()
                            ? worker.incarnation() > k.incarnation()
                            : worker.sequence() > k.sequence())
                    .orElse(true);
            final boolean same = knownVersion
                    .map(k -> worker.incarnation() == k.incarnation() && worker.sequence() == k.sequence())
                    .orElse(false);
            if (newer) {
                newerWorkers.add(worker);
            }
            if (newer || same) {
                ages.add(new Message.ReportAge(
                        worker.id(),
                        worker.incarnation(),
                        worker.sequence(),
                        observed.asOf().map(t -> Math.max(0, now - t)).orElse(-1L)));
            }
        }
        return new Message.PullContent.FullContent(
                ages,
                newerWorkers,
                pull.membershipDigest() == memberVersions.plainDigest() ? List.of() : membership.all());
    }

    private void onPullReply(final Message.GossipPullReply reply, final String sender, final long now) {
        if (reply.askedAt() > now || fleet != 0 && reply.fleet() != 0 && reply.fleet() != fleet) {
            return;
        }
        if (fleet == 0) {
            fleet = reply.fleet();
        }
        switch (reply.content()) {
            case Message.PullContent.FullContent content -> onPullReply(content, reply.askedAt(), now);
            case Message.PullContent.DigestContent b ->
                antiEntropy
                        .flatMap(p -> p.onDigestContent(b, reply.askedAt(), sender))
                        .ifPresent(x -> effects.add(new Effect.Send(sender, x)));
        }
        reply.view().stream()
                .filter(v -> v.number() > view.number() && v.fleet() == fleet)
                .forEach(v -> view = v);
        if (reply.revision() > stateMachine.policyRevision()) {
            stateMachine.apply(reply.revision(), reply.entries());
            pushRevision();
        } else if (reply.revision() > 0
                && reply.revision() < stateMachine.policyRevision()
                && !safeguards.isEnabled(Safeguard.PAGE)) {
            stateMachine.reset(reply.revision(), reply.entries());
            highestRevision = reply.revision();
        }
        if (reply.revision() == stateMachine.policyRevision() && reply.age() >= 0) {
            reportsAge = Optional.of(Math.max(reportsAge.orElse(Long.MIN_VALUE), reply.askedAt() - reply.age()));
        }
    }

    private void onPullReply(final Message.PullContent.FullContent content, final long askedAt, final long now) {
        content.members().forEach(x -> membership.learn(x, now));
        content.workers().forEach(w -> merge(w, Optional.empty(), now));
        for (final Message.ReportAge reported : content.ages()) {
            Optional.ofNullable(workers.get(reported.id()))
                    .filter(h -> reported.age() >= 0
                            && h.worker().incarnation() == reported.incarnation()
                            && h.worker().sequence() == reported.sequence())
                    .ifPresent(h -> renew(h, askedAt - reported.age()));
        }
    }

    private void pushRevision() {
        highestRevision = Math.max(highestRevision, stateMachine.policyRevision());
        if (stateMachine.policyRevision() > onPullReply) {
            onPullReply = stateMachine.policyRevision();
            push(new Message.GossipPush(List.of(), List.of(), onPullReply));
        }
    }

    private void renew(final ObservedWorker observed, final long asOf) {
        if (observed.asOf().map(t -> t < asOf).orElse(true)) {
            store(new ObservedWorker(observed.worker(), Optional.of(asOf)));
        }
    }

    private void merge(final Worker worker, final Optional<Long> asOf, final long now) {
        final Optional<ObservedWorker> old = Optional.ofNullable(workers.get(worker.id()));
        if (old.isEmpty() && workers.size() >= MAX_WORKERS) {
            return;
        }
        if (old.map(h -> worker.isNewerThan(h.worker())).orElse(true)) {
            final boolean sameIncarnation = old.map(h -> h.worker().incarnation() == worker.incarnation())
                    .orElse(false);
            final boolean wasDraining = old.map(h -> h.worker().draining()).orElse(false) && sameIncarnation;
            store(new ObservedWorker(
                    worker, asOf.or(() -> old.filter(h -> sameIncarnation).flatMap(ObservedWorker::asOf))));
            if (old.isEmpty()) {
                effects.add(WorkerEvents.known(worker));
            }
            if (worker.draining() && !wasDraining) {
                effects.add(WorkerEvents.draining(worker));
                newlyDraining.add(worker);
            }
        }
        asOf.ifPresent(t -> Optional.ofNullable(workers.get(worker.id()))
                .filter(h -> h.worker().incarnation() == worker.incarnation()
                        && h.worker().sequence() == worker.sequence())
                .ifPresent(h -> renew(h, t)));
    }

    private void store(final ObservedWorker observed) {
        workers.put(observed.worker().id(), observed);
        workersSnapshot = Map.of();
    }

    private record AnnouncementEcho(long incarnation, long token, long issuedAt) {}
}
