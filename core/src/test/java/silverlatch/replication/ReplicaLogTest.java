package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaFixture.SECOND;
import static silverlatch.replication.ReplicaFixture.SELF;
import static silverlatch.replication.ReplicaFixture.START;
import static silverlatch.replication.ReplicaFixture.entry;
import static silverlatch.replication.ReplicaFixture.view;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.log.LogRecord;
import silverlatch.node.Event;
import silverlatch.state.StateMachine;

/** Guards against entries committed before their sync and against late syncs of dropped entries: which entries are pending, synced and committed. */
final class ReplicaLogTest {
    private final ReplicaFixture fixture = new ReplicaFixture().withView(view(1, SELF, SECOND));
    private final List<Long> appended = new ArrayList<>();
    private final List<Long> committed = new ArrayList<>();
    private final ReplicaLog log = ReplicaFixture.log(fixture, appended::add, committed::add);

    @Test
    void anEntryIsPendingUntilItIsCommittedAndCommittedOnlyOnceItIsSynced() {
        log.append(List.of(entry(1), entry(2)), START);
        assertThat(log.lastSequence(), is(2L));
        assertThat(log.syncedSequence(), is(0L));
        log.commit(2, START);
        assertThat("no entry is synced", committed, is(List.of()));
        fixture.syncAll(START + 5);
        assertThat(appended, is(List.of(START + 5)));
        assertThat(log.hasSyncedPending(), is(true));
        log.commit(1, START + 6);
        assertThat(committed, is(List.of(1L)));
        assertThat(log.committedSequence(), is(1L));
        assertThat(log.pendingEntries(), is(List.of(entry(2))));
        assertThat(log.pendingValues().keySet().size(), is(1));
        log.commit(9, START + 7);
        assertThat(committed, is(List.of(1L, 2L)));
        assertThat(log.pendingCount(), is(0));
        assertThat(fixture.logged(), is(List.of(Event.CHANGED, Event.CHANGED)));
    }

    @Test
    void aSyncOfADroppedEntryChangesNothing() {
        log.append(List.of(entry(1)), START);
        log.dropPending();
        log.append(List.of(entry(1)), START);
        log.dropPending();
        fixture.syncAll(START + 5);
        assertThat(appended, is(List.of()));
        assertThat(log.syncedSequence(), is(0L));
        assertThat(log.lastSequence(), is(0L));
        assertThat("the highest stamp never decreases", log.highestStamp(), is(1L));
    }

    @Test
    void recentEntriesAreKeptForASuccessorThatLacksThem() {
        log.append(List.of(entry(1), entry(2), entry(3)), START);
        fixture.syncAll(START);
        log.commit(2, START);
        assertThat(log.entriesSince(0).map(LogEntry::sequence).toList(), is(List.of(1L, 2L, 3L)));
        assertThat(log.entriesSince(2).map(LogEntry::sequence).toList(), is(List.of(3L)));
    }

    @Test
    void policyIsPendingUntilItIsCommitted() {
        assertThat(log.hasPendingPolicy(), is(false));
        log.append(List.of(entry(1)), START);
        assertThat(log.hasPendingPolicy(), is(true));
        fixture.syncAll(START);
        log.commit(1, START);
        assertThat(log.hasPendingPolicy(), is(false));
    }

    @Test
    void aRepairReplacesTheStateAndAddsThePendingEntriesOfTheSource() {
        final StateMachine source = new StateMachine();
        source.apply(1, entry(1).puts());
        log.append(List.of(entry(1)), START);
        for (int range = 0; range < ReplicaLog.DIGEST_RANGES; range++) {
            log.replaceRanges(Map.of(range, source.entriesInRange(range, ReplicaLog.DIGEST_RANGES)));
        }
        assertThat(log.hasDigests(source.digests(ReplicaLog.DIGEST_RANGES)), is(true));
        final List<Long> repaired = new ArrayList<>();
        log.completeRepair(1, List.of(entry(2)), START, repaired::add);
        assertThat(log.committedSequence(), is(1L));
        assertThat(log.lastSequence(), is(2L));
        assertThat("neither the old entry nor the snapshot is synced", log.syncedSequence(), is(0L));
        assertThat(fixture.written().get(1), instanceOf(LogRecord.Snapshot.class));
        fixture.syncAll(START + 9);
        assertThat(repaired, is(List.of(START + 9)));
        assertThat(appended, is(List.of()));
        assertThat(log.syncedSequence(), is(2L));
        assertThat(log.syncedPendingEntries(), is(List.of(entry(2))));
    }

    @Test
    void aRestartRestoresTheSnapshotAndTheConsecutiveEntriesAfterIt() {
        log.replay(new LogRecord.Snapshot(4, view(1, SELF, SECOND), true, 0, 0, List.of(), 40, entry(4).puts()));
        log.replay(new LogRecord.Appended(entry(5)));
        log.replay(new LogRecord.Appended(entry(7)));
        log.finishReplay();
        assertThat(log.committedSequence(), is(4L));
        assertThat(log.lastSequence(), is(5L));
        assertThat(log.syncedSequence(), is(5L));
        assertThat(log.highestStamp(), is(new Stamp(40).bits()));
    }

    @Test
    void aSnapshotIsWrittenOnceEnoughEntriesAreCommitted() {
        for (long sequence = 1; sequence <= 10_001; sequence++) {
            log.append(List.of(entry(sequence)), START);
        }
        fixture.syncAll(START);
        fixture.written();
        log.commit(10_000, START);
        assertThat(fixture.written(), is(List.of()));
        log.commit(10_001, START);
        final LogRecord.Snapshot snapshot =
                (LogRecord.Snapshot) fixture.written().get(0);
        assertThat(snapshot.sequence(), is(10_001L));
        fixture.logged();
        fixture.syncAll(START);
        assertThat("logged once it is synced", fixture.logged(), is(List.of(Event.PICTURE)));
    }
}
