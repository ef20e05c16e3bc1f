package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaFixture.SECOND;
import static silverlatch.replication.ReplicaFixture.SELF;
import static silverlatch.replication.ReplicaFixture.START;
import static silverlatch.replication.ReplicaFixture.entry;
import static silverlatch.replication.ReplicaFixture.view;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.wire.Message;
import silverlatch.wire.ReplicationMessage;

/** Guards against a tail that joined the chain and doesn't catch up: fetches and retries, and the end of the catch-up after a sync. */
final class ChainReplicationTest {
    private static final long RETRY_MICROS = ReplicaSettings.RETRY_MICROS;
    private static final long FETCH_MICROS = 4 * RETRY_MICROS;
    private static final Message FETCH_ALL = new ReplicationMessage.FetchEntries(2, SELF.id(), 0);
    private final ReplicaFixture fixture = new ReplicaFixture();
    private final ReplicaLog log = ReplicaFixture.log(fixture, syncedAt -> {}, sequence -> {});
    private final CatchUpProgress catchUp = new CatchUpProgress(fixture.role, log, fixture.effects);
    private final ChainReplication replication = replication();

    private ChainReplication replication() {
        final Committer committer = new Committer(fixture.settings, fixture.role, log, fixture.effects);
        final SuccessorLink successor = new SuccessorLink(fixture.role, log, fixture.effects);
        final PredecessorLink predecessor =
                new PredecessorLink(fixture.settings, fixture.role, log, catchUp, committer, fixture.effects);
        final GracefulLeave gracefulLeave = new GracefulLeave(fixture.settings, fixture.role, fixture.effects);
        final RepairRequester requester = new RepairRequester(
                fixture.settings, fixture.role, log, successor, catchUp, committer, gracefulLeave, fixture.effects);
        return new ChainReplication(fixture.role, successor, predecessor, catchUp, committer, requester);
    }

    private void join() {
        fixture.role.install(view(2, SECOND, SELF), false);
        catchUp.installView(START);
    }

    @Test
    void missingEntriesAreFetchedAtOnceAndThenOncePerRetry() {
        join();
        replication.retryNow(START);
        replication.retry(START + RETRY_MICROS - 1);
        assertThat(fixture.sent(), is(List.of(FETCH_ALL)));
        replication.retry(START + RETRY_MICROS);
        assertThat(fixture.sent(), is(List.of(FETCH_ALL)));
    }

    @Test
    void aRepairIsRequestedWhenFetchingTakesTooLong() {
        join();
        replication.retry(START + FETCH_MICROS + 1);
        assertThat(fixture.sent().get(0), instanceOf(ReplicationMessage.CompareDigests.class));
    }

    @Test
    void theSyncThatReachesTheTargetEndsTheCatchUpAndCommits() {
        join();
        replication.handleCatchUpTarget(new ReplicationMessage.CatchUpTarget(2, 1), START);
        log.append(List.of(entry(1)), START);
        replication.onEntriesSynced(START);
        assertThat("nothing is synced", fixture.role.isCaughtUp(), is(false));
        fixture.syncAll(START);
        replication.onEntriesSynced(START);
        assertThat(fixture.role.isCaughtUp(), is(true));
        assertThat(log.committedSequence(), is(1L));
        assertThat(fixture.sent(), is(List.of(new ReplicationMessage.CommitNotice(2, 1))));
    }

    @Test
    void anActiveTailRepeatsItsCommitNotice() {
        fixture.withView(view(2, SECOND, SELF));
        replication.retryNow(START);
        replication.retry(START + RETRY_MICROS);
        assertThat(
                fixture.sent(),
                is(List.of(new ReplicationMessage.CommitNotice(2, 0), new ReplicationMessage.CommitNotice(2, 0))));
    }
}
