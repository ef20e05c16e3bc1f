package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaFixture.SECOND;
import static silverlatch.replication.ReplicaFixture.SELF;
import static silverlatch.replication.ReplicaFixture.START;
import static silverlatch.replication.ReplicaFixture.entry;
import static silverlatch.replication.ReplicaFixture.view;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.log.LogRecord;
import silverlatch.wire.ReplicationMessage;

/**
 * Guards against a member that counts as caught up before it has synced all entries that its predecessor had, so that it
 * would answer reads without them.
 */
final class CatchUpProgressTest {
    private static final long FETCH_MICROS = 1_200_000;
    private static final View VIEW = view(2, SECOND, SELF);
    private final ReplicaFixture fixture = new ReplicaFixture();
    private final ReplicaLog log = ReplicaFixture.log(fixture, syncedAt -> {}, sequence -> {});
    private final CatchUpProgress catchUp = new CatchUpProgress(fixture.role, log, fixture.effects);

    private void join() {
        fixture.role.install(VIEW, false);
        catchUp.installView(START);
    }

    @Test
    void aMemberHasCaughtUpOnceItHasSyncedTheTarget() {
        join();
        assertThat(catchUp.handleTarget(new ReplicationMessage.CatchUpTarget(2, 2)), is(true));
        log.append(List.of(entry(1), entry(2)), START);
        catchUp.finishIfReached(START);
        assertThat("not synced", fixture.role.isCaughtUp(), is(false));
        fixture.syncAll(START);
        fixture.written();
        catchUp.finishIfReached(START);
        catchUp.finishIfReached(START);
        assertThat(fixture.role.isCaughtUp(), is(true));
        assertThat("written once", fixture.written(), is(List.of(new LogRecord.ViewInstalled(VIEW, true))));
    }

    @Test
    void aTargetOfAnotherViewOrAfterTheCatchUpIsIgnored() {
        join();
        assertThat(catchUp.handleTarget(new ReplicationMessage.CatchUpTarget(1, 0)), is(false));
        catchUp.finishIfReached(START);
        assertThat("without a target it hasn't caught up", fixture.role.isCaughtUp(), is(false));
        fixture.role.markCaughtUp();
        assertThat(catchUp.handleTarget(new ReplicationMessage.CatchUpTarget(2, 0)), is(false));
    }

    @Test
    void aRepairIsNeededWhenFetchingTakesTooLong() {
        join();
        assertThat(catchUp.needsRepair(START + FETCH_MICROS), is(false));
        assertThat(catchUp.needsRepair(START + FETCH_MICROS + 1), is(true));
        catchUp.restartTimer(START + FETCH_MICROS);
        assertThat(catchUp.needsRepair(START + FETCH_MICROS + 1), is(false));
    }
}
