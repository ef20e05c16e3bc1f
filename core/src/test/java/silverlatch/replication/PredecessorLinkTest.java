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

final class PredecessorLinkTest {
    private final ReplicaParts parts = new ReplicaParts().in(view(2, SECOND, SELF));
    private final ReplicaLog log = ReplicaParts.log(parts, syncedAt -> {}, sequence -> {});
    private final PredecessorLink link = link(parts, log);

    private static PredecessorLink link(final ReplicaParts of, final ReplicaLog to) {
        final CatchUpProgress catchUp = new CatchUpProgress(of.role, to, of.effects);
        final Committer committer = new Committer(of.settings, of.role, to, of.effects);
        return new PredecessorLink(of.settings, of.role, to, catchUp, committer, of.effects);
    }

    private static ReplicationMessage.Replicate replicate(final long viewNumber, final LogEntry... entries) {
        return new ReplicationMessage.Replicate(viewNumber, List.of(entries));
    }

    @Test
    void entriesThatFollowAreAppendedAndAcknowledgedBeforeTheirSync() {
        link.handleReplicate(replicate(2, entry(1), entry(2)), START);
        assertThat(log.lastSequence(), is(2L));
        assertThat(log.syncedSequence(), is(0L));
        assertThat(parts.sent(), is(List.of(new ReplicationMessage.ReplicateAck(2, SELF.id(), 2))));
    }

    @Test
    void entriesThatAreHereAlreadyAreSkipped() {
        link.handleReplicate(replicate(2, entry(1)), START);
        parts.sent();
        link.handleReplicate(replicate(2, entry(1), entry(2)), START);
        assertThat(log.pendingEntries(), is(List.of(entry(1), entry(2))));
        link.handleReplicate(replicate(2, entry(1), entry(2)), START);
        assertThat(
                "the tail says again what is committed",
                parts.receivers(),
                is(List.of(SECOND.address(), SECOND.address(), SECOND.address())));
    }

    @Test
    void aGapIsFetched() {
        link.handleReplicate(replicate(2, entry(1), entry(3)), START);
        assertThat(log.lastSequence(), is(1L));
        assertThat(
                parts.sent(),
                is(List.of(
                        new ReplicationMessage.FetchEntries(2, SELF.id(), 0),
                        new ReplicationMessage.ReplicateAck(2, SELF.id(), 1))));
    }

    @Test
    void entriesOfAnotherViewOrAtTheHeadAreIgnored() {
        link.handleReplicate(replicate(1, entry(1)), START);
        assertThat(log.lastSequence(), is(0L));
        final ReplicaParts unguarded = new ReplicaParts(Safeguard.FENCE).in(view(2, SECOND, SELF));
        final ReplicaLog other = ReplicaParts.log(unguarded, syncedAt -> {}, sequence -> {});
        link(unguarded, other).handleReplicate(replicate(1, entry(1)), START);
        assertThat("the safeguard is let down", other.lastSequence(), is(1L));
        parts.in(view(3, SELF, SECOND));
        link.handleReplicate(replicate(3, entry(1)), START);
        assertThat("writes enter at the head", log.lastSequence(), is(0L));
        assertThat(parts.sent(), is(List.of()));
    }
}
