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

/** Guards against a log with gaps or repetitions: replicated entries can be lost, arrive twice or belong to another view. */
final class PredecessorLinkTest {
    private final ReplicaFixture fixture = new ReplicaFixture().withView(view(2, SECOND, SELF));
    private final ReplicaLog log = ReplicaFixture.log(fixture, syncedAt -> {}, sequence -> {});
    private final PredecessorLink link = link(fixture, log);

    private static PredecessorLink link(final ReplicaFixture fixture, final ReplicaLog log) {
        final CatchUpProgress catchUp = new CatchUpProgress(fixture.role, log, fixture.effects);
        final Committer committer = new Committer(fixture.settings, fixture.role, log, fixture.effects);
        return new PredecessorLink(fixture.settings, fixture.role, log, catchUp, committer, fixture.effects);
    }

    private static ReplicationMessage.Replicate replicate(final long viewNumber, final LogEntry... entries) {
        return new ReplicationMessage.Replicate(viewNumber, List.of(entries));
    }

    @Test
    void consecutiveEntriesAreAppendedAndAcknowledgedBeforeTheirSync() {
        link.handleReplicate(replicate(2, entry(1), entry(2)), START);
        assertThat(log.lastSequence(), is(2L));
        assertThat(log.syncedSequence(), is(0L));
        assertThat(fixture.sent(), is(List.of(new ReplicationMessage.ReplicateAck(2, SELF.id(), 2))));
    }

    @Test
    void entriesAlreadyInTheLogAreSkipped() {
        link.handleReplicate(replicate(2, entry(1)), START);
        fixture.sent();
        link.handleReplicate(replicate(2, entry(1), entry(2)), START);
        assertThat(log.pendingEntries(), is(List.of(entry(1), entry(2))));
        link.handleReplicate(replicate(2, entry(1), entry(2)), START);
        assertThat(
                "the tail repeats its commit notice",
                fixture.receivers(),
                is(List.of(SECOND.address(), SECOND.address(), SECOND.address())));
    }

    @Test
    void missingEntriesAreFetched() {
        link.handleReplicate(replicate(2, entry(1), entry(3)), START);
        assertThat(log.lastSequence(), is(1L));
        assertThat(
                fixture.sent(),
                is(List.of(
                        new ReplicationMessage.FetchEntries(2, SELF.id(), 0),
                        new ReplicationMessage.ReplicateAck(2, SELF.id(), 1))));
    }

    @Test
    void entriesOfAnotherViewOrAtTheHeadAreIgnored() {
        link.handleReplicate(replicate(1, entry(1)), START);
        assertThat(log.lastSequence(), is(0L));
        final ReplicaFixture unguarded = new ReplicaFixture(Safeguard.FENCE).withView(view(2, SECOND, SELF));
        final ReplicaLog other = ReplicaFixture.log(unguarded, syncedAt -> {}, sequence -> {});
        link(unguarded, other).handleReplicate(replicate(1, entry(1)), START);
        assertThat("with the safeguard disabled", other.lastSequence(), is(1L));
        fixture.withView(view(3, SELF, SECOND));
        link.handleReplicate(replicate(3, entry(1)), START);
        assertThat("the head accepts no entries of others", log.lastSequence(), is(0L));
        assertThat(fixture.sent(), is(List.of()));
    }
}
