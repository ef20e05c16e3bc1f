package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaParts.SECOND;
import static silverlatch.replication.ReplicaParts.SELF;
import static silverlatch.replication.ReplicaParts.START;
import static silverlatch.replication.ReplicaParts.entry;
import static silverlatch.replication.ReplicaParts.view;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.log.LogRecord;
import silverlatch.wire.ReplicationMessage;

final class CatchUpProgressTest {
    private static final long FETCH = 1_200_000;
    private static final View VIEW = view(2, SECOND, SELF);
    private final ReplicaParts parts = new ReplicaParts();
    private final ReplicaLog log = ReplicaParts.log(parts, syncedAt -> {}, sequence -> {});
    private final CatchUpProgress catchUp = new CatchUpProgress(parts.role, log, parts.effects);

    private void join() {
        parts.role.install(VIEW, false);
        catchUp.installView(START);
    }

    @Test
    void aMemberHasCaughtUpWhenItHasSyncedWhatItsPredecessorHad() {
        join();
        assertThat(catchUp.handleTarget(new ReplicationMessage.CatchUpTarget(2, 2)), is(true));
        log.append(List.of(entry(1), entry(2)), START);
        catchUp.finishIfReached(START);
        assertThat("not synced", parts.role.isCaughtUp(), is(false));
        parts.sync(START);
        parts.written();
        catchUp.finishIfReached(START);
        catchUp.finishIfReached(START);
        assertThat(parts.role.isCaughtUp(), is(true));
        assertThat("written once", parts.written(), is(List.of(new LogRecord.ViewInstalled(VIEW, true))));
    }

    @Test
    void aTargetOfAnotherViewOrForOneThatHasCaughtUpIsIgnored() {
        join();
        assertThat(catchUp.handleTarget(new ReplicationMessage.CatchUpTarget(1, 0)), is(false));
        catchUp.finishIfReached(START);
        assertThat("no target, no end", parts.role.isCaughtUp(), is(false));
        parts.role.markCaughtUp();
        assertThat(catchUp.handleTarget(new ReplicationMessage.CatchUpTarget(2, 0)), is(false));
    }

    @Test
    void aRepairIsNeededWhenFetchingTakesTooLong() {
        join();
        assertThat(catchUp.needsRepair(START + FETCH), is(false));
        assertThat(catchUp.needsRepair(START + FETCH + 1), is(true));
        catchUp.restartTimer(START + FETCH);
        assertThat(catchUp.needsRepair(START + FETCH + 1), is(false));
    }
}
