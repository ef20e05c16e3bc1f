package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaFixture.NON_VOTER;
import static silverlatch.replication.ReplicaFixture.REPLICAS;
import static silverlatch.replication.ReplicaFixture.SECOND;
import static silverlatch.replication.ReplicaFixture.SELF;
import static silverlatch.replication.ReplicaFixture.START;
import static silverlatch.replication.ReplicaFixture.THIRD;
import static silverlatch.replication.ReplicaFixture.view;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.safeguard.Safeguard;
import silverlatch.wire.ReplicationMessage;

/**
 * Guards against two tails that answer reads: a view that removes a member is accepted only once the leases granted to that member
 * have expired, also those granted before a restart of the voter.
 */
final class GrantedLeasesTest {
    private static final long LEASE_MICROS = 600_000;
    private static final long LATER = START + 10 * LEASE_MICROS;
    private final ReplicaFixture fixture = new ReplicaFixture().withView(view(1, SELF, SECOND, THIRD));
    private final GrantedLeases leases = new GrantedLeases(fixture.settings, fixture.role, fixture.effects, START);

    private static ReplicationMessage.LeaseRequest request(final Replica member, final long requestedAt) {
        return new ReplicationMessage.LeaseRequest(1, requestedAt, member, true, true);
    }

    @Test
    void aMemberOfTheChainIsGrantedALeaseAndOthersAreNot() {
        leases.grant(request(SECOND, 5), 42, START);
        assertThat(fixture.sent(), is(List.of(new ReplicationMessage.LeaseGrant(1, 5, SELF.id(), 42))));
        leases.grant(request(NON_VOTER, 5), 42, START);
        assertThat(fixture.sent(), is(List.of()));
    }

    @Test
    void theRemovalOfAMemberWaitsUntilItsLeaseHasExpired() {
        leases.grant(request(SECOND, 5), 0, LATER);
        leases.grant(request(THIRD, 5), 0, LATER + 100);
        assertThat(leases.leaseExpiryOfRemovedMembers(view(2, SELF, SECOND)), is(LATER + 100 + LEASE_MICROS));
        assertThat(leases.leaseExpiryOfRemovedMembers(view(2, SELF, THIRD)), is(LATER + LEASE_MICROS));
        assertThat(
                "the chain only grows",
                leases.leaseExpiryOfRemovedMembers(view(2, SELF, SECOND, THIRD, NON_VOTER)),
                is(0L));
    }

    @Test
    void afterARestartEarlierGrantsCountForAWholeLease() {
        assertThat(leases.leaseExpiryOfRemovedMembers(view(2, SELF, SECOND)), is(START + LEASE_MICROS));
    }

    @Test
    void afterAChangeOfTheVotersAllGrantsCountForAWholeLease() {
        final View same = view(2, SELF, SECOND, THIRD);
        leases.installView(fixture.role.view(), same, LATER);
        assertThat(leases.leaseExpiryOfRemovedMembers(view(3, SELF)), is(START + LEASE_MICROS));
        final View other = new View(3, 7, REPLICAS, List.of(SELF, SECOND, THIRD), SELF.id());
        leases.installView(same, other, LATER);
        assertThat(leases.leaseExpiryOfRemovedMembers(view(4, SELF)), is(LATER + LEASE_MICROS));
    }

    @Test
    void withoutTheSafeguardNoLeaseIsWaitedFor() {
        final ReplicaFixture unguarded =
                new ReplicaFixture(Safeguard.LEASE_WAIT).withView(view(1, SELF, SECOND, THIRD));
        final GrantedLeases unwaited = new GrantedLeases(unguarded.settings, unguarded.role, unguarded.effects, START);
        unwaited.grant(request(SECOND, 5), 0, START);
        assertThat(unwaited.leaseExpiryOfRemovedMembers(view(2, SELF)), is(0L));
    }
}
