package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaParts.SECOND;
import static silverlatch.replication.ReplicaParts.SELF;
import static silverlatch.replication.ReplicaParts.START;
import static silverlatch.replication.ReplicaParts.THIRD;
import static silverlatch.replication.ReplicaParts.view;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.wire.ReplicationMessage;

final class HeldLeaseTest {
    private static final long COUNTED_MICROS = 540_000;
    private final ReplicaParts parts = new ReplicaParts().in(view(1, SELF, SECOND, THIRD));
    private final HeldLease lease = new HeldLease(parts.settings, parts.role, parts.effects);

    private static ReplicationMessage.LeaseGrant grant(final Replica voter, final long askedAt) {
        return new ReplicationMessage.LeaseGrant(1, askedAt, voter.id(), 0);
    }

    @Test
    void aMajorityOfGrantsCountsForNineTenthsOfALeaseFromWhenItWasAskedFor() {
        lease.add(grant(SELF, START), START);
        assertThat("one of three voters", lease.isHeld(START), is(false));
        lease.add(grant(SECOND, START), START);
        assertThat(lease.isHeld(START + COUNTED_MICROS - 1), is(true));
        assertThat(lease.isHeld(START + COUNTED_MICROS), is(false));
    }

    @Test
    void aLateGrantOfAnOlderRequestDoesNotShortenTheLease() {
        lease.add(grant(SELF, START), START);
        lease.add(grant(SECOND, START), START);
        lease.add(grant(SECOND, START - COUNTED_MICROS), START);
        assertThat(lease.isHeld(START + COUNTED_MICROS - 1), is(true));
    }

    @Test
    void aGrantThatWasAskedForBeforeThisMachineRestartedItsClockDoesNotCount() {
        lease.add(grant(SELF, START), START);
        lease.add(grant(SECOND, 100 * START), START);
        assertThat(lease.isHeld(START), is(false));
        lease.add(grant(SECOND, START), START);
        assertThat(lease.isHeld(START + COUNTED_MICROS - 1), is(true));
        assertThat(lease.isHeld(START + COUNTED_MICROS), is(false));
    }

    @Test
    void nothingIsHeldAfterItWasGivenUp() {
        lease.add(grant(SELF, START), START);
        lease.add(grant(SECOND, START), START);
        lease.clear();
        assertThat(lease.isHeld(START), is(false));
    }

    @Test
    void aRequestGoesToAllVotersAndIsDueAgainAfterTheInterval() {
        lease.request(true, START);
        assertThat(
                parts.sent(),
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
