package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaFixture.SECOND;
import static silverlatch.replication.ReplicaFixture.SELF;
import static silverlatch.replication.ReplicaFixture.START;
import static silverlatch.replication.ReplicaFixture.THIRD;
import static silverlatch.replication.ReplicaFixture.view;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.wire.ReplicationMessage;

/**
 * Guards against a lease that is held for longer than a majority of the voters granted it, because of late grants or a restarted
 * clock.
 */
final class HeldLeaseTest {
    private static final long HOLD_MICROS = 540_000;
    private final ReplicaFixture fixture = new ReplicaFixture().withView(view(1, SELF, SECOND, THIRD));
    private final HeldLease lease = new HeldLease(fixture.settings, fixture.role, fixture.effects);

    private static ReplicationMessage.LeaseGrant grant(final Replica voter, final long requestedAt) {
        return new ReplicationMessage.LeaseGrant(1, requestedAt, voter.id(), 0);
    }

    @Test
    void aMajorityOfGrantsIsHeldForNineTenthsOfALeaseFromTheRequest() {
        lease.add(grant(SELF, START), START);
        assertThat("one of three voters", lease.isHeld(START), is(false));
        lease.add(grant(SECOND, START), START);
        assertThat(lease.isHeld(START + HOLD_MICROS - 1), is(true));
        assertThat(lease.isHeld(START + HOLD_MICROS), is(false));
    }

    @Test
    void aLateGrantOfAnOlderRequestDoesNotShortenTheLease() {
        lease.add(grant(SELF, START), START);
        lease.add(grant(SECOND, START), START);
        lease.add(grant(SECOND, START - HOLD_MICROS), START);
        assertThat(lease.isHeld(START + HOLD_MICROS - 1), is(true));
    }

    @Test
    void aGrantRequestedBeforeTheMonotonicClockRestartedDoesNotCount() {
        lease.add(grant(SELF, START), START);
        lease.add(grant(SECOND, 100 * START), START);
        assertThat(lease.isHeld(START), is(false));
        lease.add(grant(SECOND, START), START);
        assertThat(lease.isHeld(START + HOLD_MICROS - 1), is(true));
        assertThat(lease.isHeld(START + HOLD_MICROS), is(false));
    }

    @Test
    void noLeaseIsHeldAfterItWasCleared() {
        lease.add(grant(SELF, START), START);
        lease.add(grant(SECOND, START), START);
        lease.clear();
        assertThat(lease.isHeld(START), is(false));
    }

    @Test
    void aRequestGoesToAllVotersAndIsDueAgainAfterTheInterval() {
        lease.request(true, START);
        assertThat(
                fixture.sent(),
                is(List.of(
                        new ReplicationMessage.LeaseRequest(1, START, SELF, true, true),
                        new ReplicationMessage.LeaseRequest(1, START, SELF, true, true),
                        new ReplicationMessage.LeaseRequest(1, START, SELF, true, true))));
        assertThat(lease.isRequestDue(100, START + 99), is(false));
        assertThat(lease.isRequestDue(100, START + 100), is(true));
        lease.markRequested(START + 100);
        assertThat(lease.isRequestDue(100, START + 199), is(false));
    }
}
