package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaParts.SECOND;
import static silverlatch.replication.ReplicaParts.SELF;
import static silverlatch.replication.ReplicaParts.START;
import static silverlatch.replication.ReplicaParts.entry;
import static silverlatch.replication.ReplicaParts.view;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.wire.Message;
import silverlatch.wire.ReplicationMessage;

/** A tail that joined the chain and has to catch up: what it sends again, and what a sync of its entries does. */
final class ChainReplicationTest {
    private static final long RETRY = ReplicaSettings.RETRY_MICROS;
    private static final long FETCH = 4 * RETRY;
    private static final Message FETCH_ALL = new ReplicationMessage.FetchEntries(2, SELF.id(), 0);
    private final ReplicaParts parts = new ReplicaParts();
    private final ReplicaLog log = ReplicaParts.log(parts, syncedAt -> {}, sequence -> {});
    private final CatchUpProgress catchUp = new CatchUpProgress(parts.role, log, parts.effects);
    private final ChainReplication replication = replication();

    private ChainReplication replication() {
        final Committer committer = new Committer(parts.settings, parts.role, log, parts.effects);
        final SuccessorLink successor = new SuccessorLink(parts.role, log, parts.effects);
        final PredecessorLink predecessor =
                new PredecessorLink(parts.settings, parts.role, log, catchUp, committer, parts.effects);
        final GracefulLeave gracefulLeave = new GracefulLeave(parts.settings, parts.role, parts.effects);
        final RepairRequester requester = new RepairRequester(
                parts.settings, parts.role, log, successor, catchUp, committer, gracefulLeave, parts.effects);
        return new ChainReplication(parts.role, successor, predecessor, catchUp, committer, requester);
    }

    private void join() {
        parts.role.install(view(2, SECOND, SELF), false);
        catchUp.installView(START);
    }

    @Test
    void missingEntriesAreFetchedAtOnceAndThenOncePerRetry() {
        join();
        replication.retryNow(START);
        replication.retry(START + RETRY - 1);
        assertThat(parts.sent(), is(List.of(FETCH_ALL)));
        replication.retry(START + RETRY);
        assertThat(parts.sent(), is(List.of(FETCH_ALL)));
    }

    @Test
    void aRepairIsRequestedWhenFetchingTakesTooLong() {
        join();
        replication.retry(START + FETCH + 1);
        assertThat(parts.sent().get(0), instanceOf(ReplicationMessage.CompareDigests.class));
    }

    @Test
    void theSyncThatReachesTheTargetEndsTheCatchUpAndCommits() {
        join();
        replication.handleCatchUpTarget(new ReplicationMessage.CatchUpTarget(2, 1), START);
        log.append(List.of(entry(1)), START);
        replication.onEntriesSynced(START);
        assertThat("nothing is synced", parts.role.isCaughtUp(), is(false));
        parts.sync(START);
        replication.onEntriesSynced(START);
        assertThat(parts.role.isCaughtUp(), is(true));
        assertThat(log.committedSequence(), is(1L));
        assertThat(parts.sent(), is(List.of(new ReplicationMessage.CommitNotice(2, 1))));
    }

    @Test
    void anActiveTailTellsTheOthersAgainWhatIsCommitted() {
        parts.in(view(2, SECOND, SELF));
        replication.retryNow(START);
        replication.retry(START + RETRY);
        assertThat(
                parts.sent(),
                is(List.of(new ReplicationMessage.CommitNotice(2, 0), new ReplicationMessage.CommitNotice(2, 0))));
    }
}
