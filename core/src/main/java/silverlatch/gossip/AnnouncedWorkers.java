package silverlatch.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import silverlatch.node.Effect;
import silverlatch.wire.GossipMessage;

/**
 * The workers of a fleet in which they announce themselves to any node.
 *
 * <p>A newer announcement replaces an older one whoever brings it, but only what proves its age renews it: the echo token
 * that a worker hands back dates its announcement from the answer that brought the token, and a pull dates what both nodes
 * hold from when it was sent less the age at the other node. Times are microseconds of this node's monotonic clock.
 */
final class AnnouncedWorkers {
    private static final long RETENTION_MICROS = 60_000_000L;

    /** Bits dropped from a random long so that a token is a whole number in every JSON parser. */
    private static final int TOKEN_SHIFT = 11;

    private static final long NEVER_RENEWED = -1;

    private final RandomGenerator random;
    private final Consumer<Effect> effects;
    private final Map<String, Gossip.ObservedWorker> workers = new TreeMap<>();
    private final Map<String, IssuedToken> issuedTokens = new HashMap<>();
    private final Map<String, Long> confirmedIncarnations = new HashMap<>();
    private final List<Worker> newlyDraining = new ArrayList<>();
    private Map<String, Gossip.ObservedWorker> snapshot = Map.of();

    /** Makes an empty table that hands its log events to a consumer. */
    AnnouncedWorkers(final RandomGenerator random, final Consumer<Effect> effects) {
        this.random = random;
        this.effects = effects;
    }

    /** Returns an immutable copy of the table. */
    Map<String, Gossip.ObservedWorker> snapshot() {
        if (snapshot.size() != workers.size()) {
            snapshot = Map.copyOf(workers);
        }
        return snapshot;
    }

    /** Takes an announcement made to this node; returns the token that the worker hands back with its next one. */
    long announce(final Worker worker, final long echo, final long now) {
        final Optional<Long> asOf = Optional.ofNullable(issuedTokens.get(worker.id()))
                .filter(e -> e.incarnation() == worker.incarnation() && e.token() == echo)
                .map(IssuedToken::issuedAt);
        merge(worker, asOf);
        final long token = random.nextLong() >>> TOKEN_SHIFT;
        issuedTokens.put(worker.id(), new IssuedToken(worker.incarnation(), token, now));
        return token;
    }

    /** Takes an announcement that another node forwarded; it renews nothing. */
    void merge(final Worker worker) {
        merge(worker, Optional.empty());
    }

    /** Ends a worker's incarnation by draining it; returns false when the worker isn't known. */
    boolean markGone(final String id) {
        final Optional<Worker> known = find(id).map(Gossip.ObservedWorker::worker);
        known.filter(worker -> !worker.draining())
                .ifPresent(worker -> merge(worker.asDraining().withNextSequence()));
        return known.isPresent();
    }

    /** Returns the workers that began draining since the last call; they have to be forwarded at once. */
    List<Worker> drainNewlyDraining() {
        final List<Worker> drained = List.copyOf(newlyDraining);
        newlyDraining.clear();
        return drained;
    }

    /** Returns whether this was called before for the present incarnation of a worker. */
    boolean markConfirmed(final String id) {
        final Optional<Long> incarnation =
                find(id).map(Gossip.ObservedWorker::worker).map(Worker::incarnation);
        return incarnation
                .filter(present -> present.equals(confirmedIncarnations.put(id, present)))
                .isPresent();
    }

    /** Returns the versions of the announcements held. */
    List<ReportVersion> versions() {
        return workers.values().stream().map(w -> versionOf(w.worker())).toList();
    }

    /** Returns the announcements that are newer than those another node holds. */
    List<Worker> newerThan(final List<ReportVersion> known) {
        final Map<String, ReportVersion> knownById = Versions.byId(known);
        return workers.values().stream()
                .map(Gossip.ObservedWorker::worker)
                .filter(worker -> Optional.ofNullable(knownById.get(worker.id()))
                        .map(version -> Versions.isNewer(versionOf(worker), version))
                        .orElse(true))
                .toList();
    }

    /** Returns the ages of the announcements that another node holds as well or will hold with the newer ones. */
    List<GossipMessage.ReportAge> agesFor(final List<ReportVersion> known, final long now) {
        final Map<String, ReportVersion> knownById = Versions.byId(known);
        return workers.values().stream()
                .filter(w -> Optional.ofNullable(knownById.get(w.worker().id()))
                        .map(version -> !Versions.isNewer(version, versionOf(w.worker())))
                        .orElse(true))
                .map(w -> new GossipMessage.ReportAge(
                        w.worker().id(),
                        w.worker().incarnation(),
                        w.worker().sequence(),
                        w.asOf().map(time -> Math.max(0, now - time)).orElse(NEVER_RENEWED)))
                .toList();
    }

    /** Renews announcements by their ages at a node that was asked at the given moment. */
    void onAges(final List<GossipMessage.ReportAge> ages, final long pullSentAt) {
        ages.stream()
                .filter(reported -> reported.age() >= 0)
                .forEach(reported -> find(reported.id())
                        .filter(w -> w.worker().incarnation() == reported.incarnation()
                                && w.worker().sequence() == reported.sequence())
                        .ifPresent(w -> renew(w, pullSentAt - reported.age())));
    }

    /** Forgets workers that were renewed once but not for long. */
    void expire(final long now) {
        if (workers.values().removeIf(w -> w.asOf().isPresent() && w.age(now) > RETENTION_MICROS)) {
            snapshot = Map.of();
        }
        issuedTokens.keySet().retainAll(workers.keySet());
        confirmedIncarnations.keySet().retainAll(workers.keySet());
    }

    /** Forgets how old the announcements are. */
    void resetFreshness() {
        workers.replaceAll((id, w) -> new Gossip.ObservedWorker(w.worker(), Optional.empty()));
        snapshot = Map.of();
    }

    private void merge(final Worker worker, final Optional<Long> asOf) {
        final Optional<Gossip.ObservedWorker> known = find(worker.id());
        if (known.isEmpty() && workers.size() >= WorkerReports.MAX_WORKERS) {
            return;
        }
        if (known.map(w -> worker.isNewerThan(w.worker())).orElse(true)) {
            replace(known, worker, asOf);
        }
        asOf.ifPresent(time -> find(worker.id())
                .filter(w -> w.worker().isSameAnnouncement(worker))
                .ifPresent(w -> renew(w, time)));
    }

    private void replace(final Optional<Gossip.ObservedWorker> known, final Worker worker, final Optional<Long> asOf) {
        final Optional<Gossip.ObservedWorker> sameIncarnation =
                known.filter(w -> w.worker().incarnation() == worker.incarnation());
        store(new Gossip.ObservedWorker(worker, asOf.or(() -> sameIncarnation.flatMap(Gossip.ObservedWorker::asOf))));
        if (known.isEmpty()) {
            effects.accept(WorkerEvents.known(worker));
        }
        final boolean wasDraining =
                sameIncarnation.filter(w -> w.worker().draining()).isPresent();
        if (worker.draining() && !wasDraining) {
            effects.accept(WorkerEvents.draining(worker));
            newlyDraining.add(worker);
        }
    }

    private void renew(final Gossip.ObservedWorker observed, final long asOf) {
        if (observed.asOf().map(time -> time < asOf).orElse(true)) {
            store(new Gossip.ObservedWorker(observed.worker(), Optional.of(asOf)));
        }
    }

    private Optional<Gossip.ObservedWorker> find(final String id) {
        return Optional.ofNullable(workers.get(id));
    }

    private void store(final Gossip.ObservedWorker observed) {
        workers.put(observed.worker().id(), observed);
        snapshot = Map.of();
    }

    private static ReportVersion versionOf(final Worker worker) {
        return new ReportVersion(worker.id(), worker.incarnation(), worker.sequence());
    }

    /** A token handed to a worker's incarnation, and when. */
    private record IssuedToken(long incarnation, long token, long issuedAt) {}
}
