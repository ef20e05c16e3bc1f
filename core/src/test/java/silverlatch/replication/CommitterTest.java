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
import silverlatch.safeguard.Safeguard;
import silverlatch.wire.ReplicationMessage;

/**
 * Guards against commits of entries that aren't on the required number of disks: by a member that isn't the tail, on a notice of
 * another view, or in a chain that is too short.
 */
final class CommitterTest {
    private final ReplicaFixture fixture = new ReplicaFixture();
    private final ReplicaLog log = ReplicaFixture.log(fixture, syncedAt -> {}, sequence -> {});
    private final Committer committer = new Committer(fixture.settings, fixture.role, log, fixture.effects);

    private static void append(final ReplicaFixture fixture, final ReplicaLog log) {
        log.append(List.of(entry(1)), START);
        fixture.syncAll(START);
        fixture.sent();
    }

    @Test
    void theTailCommitsSyncedEntriesAndNotifiesTheOthers() {
        fixture.withView(view(2, SECOND, SELF));
        append(fixture, log);
        committer.commitAsTail(START);
        assertThat(log.committedSequence(), is(1L));
        assertThat(fixture.sent(), is(List.of(new ReplicationMessage.CommitNotice(2, 1))));
        committer.commitAsTail(START);
        assertThat("no further entry", fixture.sent(), is(List.of()));
    }

    @Test
    void othersCommitOnACommitNoticeOfTheSameView() {
        fixture.withView(view(2, SELF, SECOND));
        append(fixture, log);
        committer.commitAsTail(START);
        committer.handleCommitNotice(new ReplicationMessage.CommitNotice(1, 1), START);
        assertThat("not the tail, and a notice of another view", log.committedSequence(), is(0L));
        committer.handleCommitNotice(new ReplicationMessage.CommitNotice(2, 5), START);
        assertThat(log.committedSequence(), is(1L));
    }

    @Test
    void nothingIsCommittedWhileTheChainIsShorterThanTheRequiredCopies() {
        fixture.withView(view(2, SELF));
        append(fixture, log);
        committer.commitAsTail(START);
        committer.commitReplayed(START);
        assertThat(log.committedSequence(), is(0L));
        final ReplicaFixture unguarded = new ReplicaFixture(Safeguard.COPIES).withView(view(2, SELF));
        final ReplicaLog shortLog = ReplicaFixture.log(unguarded, syncedAt -> {}, sequence -> {});
        append(unguarded, shortLog);
        new Committer(unguarded.settings, unguarded.role, shortLog, unguarded.effects).commitAsTail(START);
        assertThat("with the safeguard disabled", shortLog.committedSequence(), is(1L));
    }
}
