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
 * The table of known workers in a fleet whose workers announce themselves to any node.
 *
 * <p>A newer announcement replaces an older one, no matter which node it comes from. The time as of which an
 * announcement is known to be valid only advances on proof of its age: the echo token that a worker returns dates its
 * announcement to the reply that carried the token, and a pull dates what both nodes hold to the time at which the
 * pull was sent, minus the age at the other node. All times are microseconds of this node's monotonic clock.
 */
final class AnnouncedWorkers {
    /** How long a worker is kept after the last time as of which its announcement is known to be valid. */
    private static final long RETENTION_MICROS = 60_000_000L;

    /** Number of bits dropped from a random long, so that every JSON parser can represent the token as an integer. */
    private static final int TOKEN_SHIFT = 11;

    /** The age in a message that means "the age is not known". */
    private static final long NEVER_RENEWED = -1;

    private final RandomGenerator random;
    private final Consumer<Effect> effects;
    private final Map<String, Gossip.ObservedWorker> workers = new TreeMap<>();
    private final Map<String, IssuedToken> issuedTokens = new HashMap<>();
    private final Map<String, Long> confirmedIncarnations = new HashMap<>();
    private final List<Worker> newlyDraining = new ArrayList<>();
    private Map<String, Gossip.ObservedWorker> snapshot = Map.of();

    /** Creates an empty table that passes its log events to a consumer. */
    AnnouncedWorkers(final RandomGenerator random, final Consumer<Effect> effects) {
        this.random = random;
        this.effects = effects;
    }

    /** Returns an immutable copy of the table, by worker id. */
    Map<String, Gossip.ObservedWorker> snapshot() {
        if (snapshot.size() != workers.size()) {
            snapshot = Map.copyOf(workers);
        }
        return snapshot;
    }

    /**
     * Processes an announcement made to this node.
     *
     * @param echo the token that the worker received with its previous announcement here
     * @return the token that the worker has to return with its next announcement
     */
    long announce(final Worker worker, final long echo, final long now) {
        final Optional<Long> asOf = Optional.ofNullable(issuedTokens.get(worker.id()))
                .filter(e -> e.incarnation() == worker.incarnation() && e.token() == echo)
                .map(IssuedToken::issuedAt);
        merge(worker, asOf);
        final long token = random.nextLong() >>> TOKEN_SHIFT;
        issuedTokens.put(worker.id(), new IssuedToken(worker.incarnation(), token, now));
        return token;
    }

    /**
     * Merges an announcement that another node forwarded, without renewing the time as of which it is known to be
     * valid.
     */
    void merge(final Worker worker) {
        merge(worker, Optional.empty());
    }

    /** Ends a worker's incarnation by marking it as draining. Returns false if the worker isn't known. */
    boolean markGone(final String id) {
        final Optional<Worker> known = find(id).map(Gossip.ObservedWorker::worker);
        known.filter(worker -> !worker.draining())
                .ifPresent(worker -> merge(worker.asDraining().withNextSequence()));
        return known.isPresent();
    }

    /** Returns the workers that started draining since the last call; they have to be forwarded at once. */
    List<Worker> drainNewlyDraining() {
        final List<Worker> drained = List.copyOf(newlyDraining);
        newlyDraining.clear();
        return drained;
    }

    /**
     * Records that the forwarding of a worker's announcement is confirmed to a caller. Returns whether that was
     * recorded before for the worker's current incarnation.
     */
    boolean markConfirmed(final String id) {
        final Optional<Long> incarnation =
                find(id).map(Gossip.ObservedWorker::worker).map(Worker::incarnation);
        return incarnation
                .filter(current -> current.equals(confirmedIncarnations.put(id, current)))
                .isPresent();
    }

    /** Returns the versions of all announcements in the table. */
    List<ReportVersion> versions() {
        return workers.values().stream().map(w -> versionOf(w.worker())).toList();
    }

    /** Returns the announcements that are newer than the versions that another node holds, or unknown to it. */
    List<Worker> newerThan(final List<ReportVersion> known) {
        final Map<String, ReportVersion> knownById = Versions.byId(known);
        return workers.values().stream()
                .map(Gossip.ObservedWorker::worker)
                .filter(worker -> Optional.ofNullable(knownById.get(worker.id()))
                        .map(version -> Versions.isNewer(versionOf(worker), version))
                        .orElse(true))
                .toList();
    }

    /**
     * Returns the ages of the announcements that another node already holds, or will hold once it has merged {@link
     * #newerThan}. Announcements of which the other node holds a newer version are left out.
     */
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

    /**
     * Updates the ages of announcements from the ages at another node.
     *
     * @param pullSentAt when this node sent the pull that the other node answered; its ages count from then
     */
    void onAges(final List<GossipMessage.ReportAge> ages, final long pullSentAt) {
        ages.stream()
                .filter(reported -> reported.age() >= 0)
                .forEach(reported -> find(reported.id())
                        .filter(w -> w.worker().incarnation() == reported.incarnation()
                                && w.worker().sequence() == reported.sequence())
                        .ifPresent(w -> renew(w, pullSentAt - reported.age())));
    }

    /**
     * Removes the workers whose announcements were last known to be valid longer than the retention time ago. A
     * worker whose announcement was never dated is kept.
     */
    void expire(final long now) {
        if (workers.values().removeIf(w -> w.asOf().isPresent() && w.age(now) > RETENTION_MICROS)) {
            snapshot = Map.of();
        }
        issuedTokens.keySet().retainAll(workers.keySet());
        confirmedIncarnations.keySet().retainAll(workers.keySet());
    }

    /** Discards the ages of all announcements; the announcements stay. */
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

    /** The echo token last issued to a worker, the worker's incarnation, and when the token was issued. */
    private record IssuedToken(long incarnation, long token, long issuedAt) {}
}
