package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaParts.REPLICAS;
import static silverlatch.replication.ReplicaParts.SECOND;
import static silverlatch.replication.ReplicaParts.SELF;
import static silverlatch.replication.ReplicaParts.START;
import static silverlatch.replication.ReplicaParts.STRANGER;
import static silverlatch.replication.ReplicaParts.THIRD;
import static silverlatch.replication.ReplicaParts.view;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.safeguard.Safeguard;
import silverlatch.wire.ReplicationMessage;

final class GrantedLeasesTest {
    private static final long LEASE = 600_000;
    private static final long LATER = START + 10 * LEASE;
    private final ReplicaParts parts = new ReplicaParts().in(view(1, SELF, SECOND, THIRD));
    private final GrantedLeases leases = new GrantedLeases(parts.settings, parts.role, parts.effects, START);

    private static ReplicationMessage.LeaseRequest request(final Replica member, final long askedAt) {
        return new ReplicationMessage.LeaseRequest(1, askedAt, member, true, true);
    }

    @Test
    void aMemberOfTheChainIsGrantedALeaseAndOthersAreNot() {
        leases.grant(request(SECOND, 5), 42, START);
        assertThat(parts.sent(), is(List.of(new ReplicationMessage.LeaseGrant(1, 5, SELF.id(), 42))));
        leases.grant(request(STRANGER, 5), 42, START);
        assertThat(parts.sent(), is(List.of()));
    }

    @Test
    void aViewThatTakesAMemberOutWaitsForItsGrant() {
        leases.grant(request(SECOND, 5), 0, LATER);
        leases.grant(request(THIRD, 5), 0, LATER + 100);
        assertThat(leases.leaseExpiryOfRemovedMembers(view(2, SELF, SECOND)), is(LATER + 100 + LEASE));
        assertThat(leases.leaseExpiryOfRemovedMembers(view(2, SELF, THIRD)), is(LATER + LEASE));
        assertThat(
                "the chain only grows",
                leases.leaseExpiryOfRemovedMembers(view(2, SELF, SECOND, THIRD, STRANGER)),
                is(0L));
    }

    @Test
    void grantsFromBeforeTheRestartCountForAWholeLease() {
        assertThat(leases.leaseExpiryOfRemovedMembers(view(2, SELF, SECOND)), is(START + LEASE));
    }

    @Test
    void allGrantsCountForAWholeLeaseAfterAChangeOfTheVoters() {
        final View same = view(2, SELF, SECOND, THIRD);
        leases.installView(parts.role.view(), same, LATER);
        assertThat(leases.leaseExpiryOfRemovedMembers(view(3, SELF)), is(START + LEASE));
        final View other = new View(3, 7, REPLICAS, List.of(SELF, SECOND, THIRD), SELF.id());
        leases.installView(same, other, LATER);
        assertThat(leases.leaseExpiryOfRemovedMembers(view(4, SELF)), is(LATER + LEASE));
    }

    @Test
    void withoutTheSafeguardNothingIsWaitedFor() {
        final ReplicaParts unguarded = new ReplicaParts(Safeguard.LEASE_WAIT).in(view(1, SELF, SECOND, THIRD));
        final GrantedLeases unwaited = new GrantedLeases(unguarded.settings, unguarded.role, unguarded.effects, START);
        unwaited.grant(request(SECOND, 5), 0, START);
        assertThat(unwaited.leaseExpiryOfRemovedMembers(view(2, SELF)), is(0L));
    }
}
