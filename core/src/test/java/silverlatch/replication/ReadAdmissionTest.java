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
import silverlatch.wire.ChainClientMessage;
import silverlatch.wire.ReplicationMessage;

final class ReadAdmissionTest {
    private static ChainClientMessage.ReadReply read(final ReplicaParts parts, final View view, final boolean leased) {
        parts.in(view);
        final HeldLease lease = new HeldLease(parts.settings, parts.role, parts.effects);
        if (leased) {
            lease.add(new ReplicationMessage.LeaseGrant(1, START, SELF.id(), 0), START);
            lease.add(new ReplicationMessage.LeaseGrant(1, START, SECOND.id(), 0), START);
        }
        final ReplicaLog log = ReplicaParts.log(parts, syncedAt -> {}, sequence -> {});
        log.append(List.of(entry(1), entry(2)), START);
        parts.sync(START);
        log.commit(1, START);
        parts.sent();
        new ReadAdmission(parts.settings, parts.role, lease, log, parts.effects)
                .handleReadRequest(new ChainClientMessage.ReadRequest(3, "client", "z/"), START);
        return (ChainClientMessage.ReadReply) parts.sent().get(0);
    }

    @Test
    void theTailAnswersFromTheCommittedStateUnderALease() {
        assertThat(
                read(new ReplicaParts(), view(1, SECOND, SELF), true),
                is(new ChainClientMessage.ReadReply(3, true, 1, entry(1).puts())));
    }

    @Test
    void nobodyElseAnswers() {
        final ChainClientMessage.ReadReply none = new ChainClientMessage.ReadReply(3, false, 1, List.of());
        assertThat("without a lease", read(new ReplicaParts(), view(1, SECOND, SELF), false), is(none));
        assertThat("not the tail", read(new ReplicaParts(), view(1, SELF, SECOND), true), is(none));
        assertThat(
                "too short a chain, with what may have been acknowledged before a restart",
                read(new ReplicaParts(), view(1, SELF), true),
                is(none));
    }

    @Test
    void withoutTheSafeguardNoLeaseIsNeeded() {
        assertThat(
                read(new ReplicaParts(Safeguard.LEASE), view(1, SECOND, SELF), false)
                        .answered(),
                is(true));
    }
}
