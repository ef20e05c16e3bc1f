package silverlatch.gossip;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import silverlatch.node.Effect;
import silverlatch.wire.GossipMessage;

/**
 * Answers the queries of other controllers' quorums. A query is answered once everything that this node held when it
 * arrived is on its disk, and the answer lists the reports that aren't there as missing; so it counts this node as a holder
 * of nothing that a restart would lose.
 */
final class QuorumResponder {
    /** A query is sent again, and ends, before it has waited for so long, in microseconds. */
    private static final long MAX_WAIT = 1_000_000L;

    private final AntiEntropy antiEntropy;
    private final ReportStorage storage;
    private final Consumer<Effect> effects;
    private final List<WaitingQuery> waiting = new ArrayList<>();

    /** A query, the write of the reports after which it is answered, and when it arrived. */
    private record WaitingQuery(
            GossipMessage.ReportVersions versions, String sender, long awaitedWrite, long arrivedAt) {}

    QuorumResponder(final AntiEntropy antiEntropy, final ReportStorage storage, final Consumer<Effect> effects) {
        this.antiEntropy = antiEntropy;
        this.storage = storage;
        this.effects = effects;
    }

    /** Answers a query, now or once the reports held now are saved. */
    void onQuery(final GossipMessage.ReportVersions versions, final String sender, final long now) {
        waiting.add(new WaitingQuery(versions, sender, storage.writeOfCurrentReports(), now));
        storage.saveIfChanged(now);
        onSaved(now);
    }

    /** Answers the queries that waited for a write that is synced now. */
    void onSaved(final long now) {
        for (final WaitingQuery query : List.copyOf(waiting)) {
            if (storage.isSynced(query.awaitedWrite())) {
                waiting.remove(query);
                effects.accept(new Effect.Send(query.sender(), answer(query.versions(), now)));
            }
        }
    }

    /** Discards the queries that have waited for too long, as their answers would be ignored. */
    void tick(final long now) {
        waiting.removeIf(query -> now - query.arrivedAt() > MAX_WAIT);
    }

    private GossipMessage.MissingReports answer(final GossipMessage.ReportVersions query, final long now) {
        final GossipMessage.MissingReports missing = antiEntropy.missingReports(query, now);
        final Set<String> requested = new HashSet<>(missing.requestedWorkers());
        query.workers().stream()
                .filter(version -> !storage.isSaved(version))
                .forEach(version -> requested.add(version.id()));
        return new GossipMessage.MissingReports(
                missing.pullSentAt(),
                missing.reports(),
                missing.members(),
                List.copyOf(requested),
                missing.requestedMembers());
    }
}
