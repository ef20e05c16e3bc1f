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
import silverlatch.wire.ChainClientMessage;
import silverlatch.wire.ReplicationMessage;

/** Guards against stale reads: only the tail answers, only under a lease, and only from a chain that is long enough. */
final class ReadAdmissionTest {
    private static ChainClientMessage.ReadReply read(
            final ReplicaFixture fixture, final View view, final boolean leased) {
        fixture.withView(view);
        final HeldLease lease = new HeldLease(fixture.settings, fixture.role, fixture.effects);
        if (leased) {
            lease.add(new ReplicationMessage.LeaseGrant(1, START, SELF.id(), 0), START);
            lease.add(new ReplicationMessage.LeaseGrant(1, START, SECOND.id(), 0), START);
        }
        final ReplicaLog log = ReplicaFixture.log(fixture, syncedAt -> {}, sequence -> {});
        log.append(List.of(entry(1), entry(2)), START);
        fixture.syncAll(START);
        log.commit(1, START);
        fixture.sent();
        new ReadAdmission(fixture.settings, fixture.role, lease, log, fixture.effects)
                .handleReadRequest(new ChainClientMessage.ReadRequest(3, "client", "z/"), START);
        return (ChainClientMessage.ReadReply) fixture.sent().get(0);
    }

    @Test
    void theTailAnswersFromTheCommittedStateUnderALease() {
        assertThat(
                read(new ReplicaFixture(), view(1, SECOND, SELF), true),
                is(new ChainClientMessage.ReadReply(3, true, 1, entry(1).puts())));
    }

    @Test
    void otherReplicasReplyInconclusively() {
        final ChainClientMessage.ReadReply inconclusive = new ChainClientMessage.ReadReply(3, false, 1, List.of());
        assertThat("without a lease", read(new ReplicaFixture(), view(1, SECOND, SELF), false), is(inconclusive));
        assertThat("not the tail", read(new ReplicaFixture(), view(1, SELF, SECOND), true), is(inconclusive));
        assertThat(
                "too short a chain, which may have acknowledged more before a restart",
                read(new ReplicaFixture(), view(1, SELF), true),
                is(inconclusive));
    }

    @Test
    void withoutTheSafeguardNoLeaseIsNeeded() {
        assertThat(
                read(new ReplicaFixture(Safeguard.LEASE), view(1, SECOND, SELF), false)
                        .answered(),
                is(true));
    }
}
