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
 * Says when a majority of the controllers holds the report that a worker drains or is gone, so that the worker may be told so. Whatever
 * partition follows, a gateway that reaches a majority of the controllers then reaches one that holds it.
 *
 * <p>The report is pushed to the other controllers, which are then asked for what they hold of the worker, until enough of them hold it
 * or the deadline has passed. It takes one round trip where nothing is lost. That a worker stays in service needs no majority, and
 * nor does a drain that a majority has held before.
 *
 * <p>Times are microseconds of this node's monotonic clock; the node's event loop alone calls this class.
 */
final class ReportQuorum {
    private static final long RESEND_MICROS = 150_000L;

    private final WorkerReports reports;
    private final Supplier<Set<String>> controllers;
    private final String ownAddress;
    private final Safeguards safeguards;
    /** The last incarnation of each worker of which a majority was found to hold that it drains or is gone. */
    private final Map<String, Long> heldIncarnations = new HashMap<>();

    private final Map<Long, QuorumQuery> queries = new HashMap<>();
    private final List<Effect> effects = new ArrayList<>();
    private long lastQueryId;
    private long lastSentAt;

    /** A caller that waits for an answer, and who holds the report as far as is known. */
    private record QuorumQuery(ReportVersion version, long token, long deadline, Set<String> holders) {}

    /**
     * A quorum over the controllers whose addresses the supplier gives at any time, this one's among them.
     *
     * @param ownAddress the address of this controller
     */
    ReportQuorum(
            final WorkerReports reports,
            final Supplier<Set<String>> controllers,
            final String ownAddress,
            final Safeguards safeguards) {
        this.reports = reports;
        this.controllers = controllers;
        this.ownAddress = ownAddress;
        this.safeguards = safeguards;
    }

    /** Answers by {@link Effect.Respond} whether a majority holds the newest report on a worker; at the deadline at last. */
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
        final QuorumQuery question = new QuorumQuery(version, token, deadline, new HashSet<>(Set.of(ownAddress)));
        queries.put(lastQueryId, question);
        pushReport(question, now);
        sendQuery(lastQueryId, question);
        completeIfHeldByMajority(lastQueryId, question);
        lastSentAt = now;
    }

    /** Takes the reply to a question; any other reply is ignored. */
    void onMissingReports(final GossipMessage.MissingReports reply, final String sender) {
        final long queryId = -reply.askedAt();
        final Optional<QuorumQuery> query = Optional.ofNullable(queries.get(queryId));
        query.filter(pending -> !reply.newerWorkers().contains(pending.version().id()))
                .ifPresent(pending -> {
                    pending.holders().add(sender);
                    completeIfHeldByMajority(queryId, pending);
                });
    }

    /** Ends the questions whose time is up, and asks again those who didn't reply. */
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
        heldIncarnations.keySet().removeIf(id -> reports.versionOf(id).isEmpty());
    }

    /** Returns what is to be sent and answered; each effect is handed out once. */
    List<Effect> drain() {
        final List<Effect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    private void completeIfHeldByMajority(final long number, final QuorumQuery question) {
        final Set<String> all = controllers.get();
        final long holders = question.holders().stream().filter(all::contains).count();
        if (holders * 2 > all.size()) {
            queries.remove(number);
            heldIncarnations.put(question.version().id(), question.version().incarnation());
            respond(question.token(), true);
        }
    }

    private void pushReport(final QuorumQuery query, final long now) {
        final List<WorkerReport> report =
                reports.reportsOf(List.of(query.version().id()), now);
        sendToNonHolders(query, new GossipMessage.GossipPush(List.of(), List.of(), report, 0));
    }

    /** Asks with the versions held here; who lacks some of them names their workers in its reply, and is sent them. */
    private void sendQuery(final long number, final QuorumQuery question) {
        final long range = 1L << VersionDigests.rangeOf(question.version().id());
        sendToNonHolders(
                question, new GossipMessage.ReportVersions(-number, range, 0, reports.versions(range), List.of()));
    }

    private void sendToNonHolders(final QuorumQuery question, final GossipMessage message) {
        controllers.get().stream()
                .filter(address -> !question.holders().contains(address))
                .sorted()
                .forEach(address -> effects.add(new Effect.Send(address, message)));
    }

    private void respond(final long token, final boolean isHeldByMajority) {
        effects.add(new Effect.Respond(token, isHeldByMajority));
    }
}
