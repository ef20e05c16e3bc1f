package silverlatch.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import silverlatch.node.Effect;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;
import silverlatch.wire.GossipMessage;

/**
 * Determines when a majority of the controllers holds the report that a worker drains or is gone; only then is the
 * worker's announcement acknowledged. A gateway that can reach a majority of the controllers then reaches one that
 * holds the report, whatever partition follows. A controller with a disk counts only once the report is there, and a
 * majority of the voters, all of which have disks, must hold it; so a restart of all processes doesn't lose it either.
 *
 * <p>The report is pushed to the other controllers, which are then queried for the versions that they hold, until a
 * majority holds it or the deadline has passed. If no message is lost this takes one round trip. No majority is
 * needed to report that a worker stays in service, nor for a drain that a majority was found to hold before.
 *
 * <p>Times are microseconds of this node's monotonic clock. Only the node's event loop calls this class.
 */
final class ReportQuorum {
    /**
     * Interval at which pending queries are sent again to the controllers that haven't confirmed that they hold the
     * report.
     */
    private static final long RESEND_MICROS = 150_000L;

    private final WorkerReports reports;
    private final Supplier<Set<String>> controllers;
    private final Supplier<Set<String>> voters;
    private final ReportStorage storage;
    private final String ownAddress;
    private final Safeguards safeguards;
    /**
     * The last incarnation of each worker for which a majority was found to hold the report that it drains or is
     * gone.
     */
    private final Map<String, Long> heldIncarnations = new HashMap<>();

    private final Map<Long, QuorumQuery> queries = new HashMap<>();
    private final List<Effect> effects = new ArrayList<>();
    private long lastQueryId;
    private long lastSentAt;

    /** A caller that waits for a response, and the addresses of the controllers known to hold the report. */
    private record QuorumQuery(ReportVersion version, long token, long deadline, Set<String> holders) {}

    /**
     * Creates a quorum over a set of controllers that may change.
     *
     * @param storage the reports on this controller's own disk
     * @param controllers supplies the current addresses of all controllers, including this one
     * @param voters supplies the addresses of the voters of the current view; empty while none is known
     * @param ownAddress the address of this controller
     */
    ReportQuorum(
            final WorkerReports reports,
            final ReportStorage storage,
            final Supplier<Set<String>> controllers,
            final Supplier<Set<String>> voters,
            final String ownAddress,
            final Safeguards safeguards) {
        this.reports = reports;
        this.storage = storage;
        this.controllers = controllers;
        this.voters = voters;
        this.ownAddress = ownAddress;
        this.safeguards = safeguards;
    }

    /**
     * Responds by {@link Effect.Respond} whether a majority holds the newest report on a worker. Responds with false
     * if the worker isn't known, or if no majority is known to hold the report by the deadline.
     */
    void confirm(final String workerId, final long token, final long now, final long deadline) {
        final Optional<ReportVersion> version = reports.versionOf(workerId);
        if (version.isEmpty()) {
            respond(token, false);
        } else if (isHeldByMajority(version.get())) {
            respond(token, true);
        } else {
            startQuery(version.get(), token, now, deadline);
        }
    }

    private boolean isHeldByMajority(final ReportVersion version) {
        return heldIncarnations.getOrDefault(version.id(), Long.MIN_VALUE) == version.incarnation()
                || !safeguards.isEnabled(Safeguard.REPORT_QUORUM);
    }

    private void startQuery(final ReportVersion version, final long token, final long now, final long deadline) {
        lastQueryId++;
        final QuorumQuery query = new QuorumQuery(version, token, deadline, new HashSet<>());
        queries.put(lastQueryId, query);
        pushReport(query, now);
        sendQuery(lastQueryId, query);
        addOwnIfSaved(lastQueryId, query);
        lastSentAt = now;
    }

    /** Counts this controller as holder in the queries whose report is on its disk now. */
    void onSaved() {
        List.copyOf(queries.entrySet()).forEach(entry -> addOwnIfSaved(entry.getKey(), entry.getValue()));
    }

    private void addOwnIfSaved(final long queryId, final QuorumQuery query) {
        if (storage.isSaved(query.version())) {
            query.holders().add(ownAddress);
            completeIfHeldByMajority(queryId, query);
        }
    }

    /** Returns whether a message is a query of a quorum rather than a step of a pull. */
    static boolean isQuery(final GossipMessage.ReportVersions versions) {
        return versions.pullSentAt() < 0;
    }

    /**
     * Processes the reply to a query; ignores any other reply. The sender holds the report unless it lists the worker
     * among those on which it lacks the newest report.
     */
    void onMissingReports(final GossipMessage.MissingReports reply, final String sender) {
        final long queryId = -reply.pullSentAt();
        final Optional<QuorumQuery> query = Optional.ofNullable(queries.get(queryId));
        query.filter(pending ->
                        !reply.requestedWorkers().contains(pending.version().id()))
                .ifPresent(pending -> {
                    pending.holders().add(sender);
                    completeIfHeldByMajority(queryId, pending);
                });
    }

    /**
     * Responds to the queries whose deadline has passed, and resends the others to the controllers that aren't known
     * to hold the report.
     */
    void tick(final long now) {
        List.copyOf(queries.entrySet()).stream()
                .filter(entry -> now >= entry.getValue().deadline())
                .forEach(entry -> {
                    queries.remove(entry.getKey());
                    respond(entry.getValue().token(), false);
                });
        if (now - lastSentAt >= RESEND_MICROS) {
            lastSentAt = now;
            queries.forEach(this::sendQuery);
        }
        heldIncarnations.keySet().removeIf(id -> !reports.isEnding(id));
    }

    /** Returns the pending messages and responses, and removes them. */
    List<Effect> drain() {
        final List<Effect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    private void completeIfHeldByMajority(final long queryId, final QuorumQuery query) {
        final Set<String> voterAddresses = voters.get();
        if (isMajority(query.holders(), controllers.get())
                && (voterAddresses.isEmpty() || isMajority(query.holders(), voterAddresses))) {
            queries.remove(queryId);
            heldIncarnations.put(query.version().id(), query.version().incarnation());
            respond(query.token(), true);
        }
    }

    private static boolean isMajority(final Set<String> holders, final Set<String> all) {
        return holders.stream().filter(all::contains).count() * 2 > all.size();
    }

    private void pushReport(final QuorumQuery query, final long now) {
        final List<WorkerReport> report =
                reports.reportsOf(List.of(query.version().id()), now);
        sendToNonHolders(query, new GossipMessage.GossipPush(List.of(), List.of(), report, 0));
    }

    /**
     * Sends the versions held here. A controller that lacks some of the reports lists their workers in its reply, and
     * is sent the reports.
     *
     * <p>The query id travels as a negative pull time, which distinguishes it from the times of pulls; see {@link
     * #isQuery}.
     */
    private void sendQuery(final long queryId, final QuorumQuery query) {
        final long range = 1L << VersionDigests.rangeOf(query.version().id());
        sendToNonHolders(
                query, new GossipMessage.ReportVersions(-queryId, range, 0, reports.versions(range), List.of()));
    }

    private void sendToNonHolders(final QuorumQuery query, final GossipMessage message) {
        controllers.get().stream()
                .filter(address ->
                        !address.equals(ownAddress) && !query.holders().contains(address))
                .sorted()
                .forEach(address -> effects.add(new Effect.Send(address, message)));
    }

    private void respond(final long token, final boolean isHeldByMajority) {
        effects.add(new Effect.Respond(token, isHeldByMajority));
    }
}
