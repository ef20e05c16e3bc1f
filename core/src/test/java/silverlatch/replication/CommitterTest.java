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
import silverlatch.safeguard.Safeguard;
import silverlatch.wire.ReplicationMessage;

final class CommitterTest {
    private final ReplicaParts parts = new ReplicaParts();
    private final ReplicaLog log = ReplicaParts.log(parts, syncedAt -> {}, sequence -> {});
    private final Committer committer = new Committer(parts.settings, parts.role, log, parts.effects);

    private static void append(final ReplicaParts of, final ReplicaLog to) {
        to.append(List.of(entry(1)), START);
        of.sync(START);
        of.sent();
    }

    @Test
    void theTailCommitsWhatItHasSyncedAndTellsTheOthers() {
        parts.in(view(2, SECOND, SELF));
        append(parts, log);
        committer.commitAsTail(START);
        assertThat(log.committedSequence(), is(1L));
        assertThat(parts.sent(), is(List.of(new ReplicationMessage.CommitNotice(2, 1))));
        committer.commitAsTail(START);
        assertThat("nothing new", parts.sent(), is(List.of()));
    }

    @Test
    void othersCommitWhatTheTailSaysUnderTheSameView() {
        parts.in(view(2, SELF, SECOND));
        append(parts, log);
        committer.commitAsTail(START);
        committer.handleCommitNotice(new ReplicationMessage.CommitNotice(1, 1), START);
        assertThat("no tail, and a notice of another view", log.committedSequence(), is(0L));
        committer.handleCommitNotice(new ReplicationMessage.CommitNotice(2, 5), START);
        assertThat(log.committedSequence(), is(1L));
    }

    @Test
    void nothingIsCommittedWhileTheChainIsShorterThanTheRequiredCopies() {
        parts.in(view(2, SELF));
        append(parts, log);
        committer.commitAsTail(START);
        committer.commitReplayed(START);
        assertThat(log.committedSequence(), is(0L));
        final ReplicaParts unguarded = new ReplicaParts(Safeguard.COPIES).in(view(2, SELF));
        final ReplicaLog shortLog = ReplicaParts.log(unguarded, syncedAt -> {}, sequence -> {});
        append(unguarded, shortLog);
        new Committer(unguarded.settings, unguarded.role, shortLog, unguarded.effects).commitAsTail(START);
        assertThat("the safeguard is let down", shortLog.committedSequence(), is(1L));
    }
}
