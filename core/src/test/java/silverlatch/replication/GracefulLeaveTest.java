package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaParts.SECOND;
import static silverlatch.replication.ReplicaParts.SELF;
import static silverlatch.replication.ReplicaParts.THIRD;
import static silverlatch.replication.ReplicaParts.view;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.safeguard.Safeguard;
import silverlatch.wire.ReplicationMessage;

final class GracefulLeaveTest {
    private final ReplicaParts parts = new ReplicaParts();
    private final GracefulLeave gracefulLeave = new GracefulLeave(parts.settings, parts.role, parts.effects);

    @Test
    void aReplicaWithoutAViewOrADiskMayStopAtOnce() {
        assertThat(gracefulLeave.hasLeft(false), is(true));
        parts.in(view(1, SELF, SECOND));
        assertThat(gracefulLeave.hasLeft(false), is(false));
        parts.role.markDiskFailed();
        assertThat(gracefulLeave.hasLeft(false), is(true));
    }

    @Test
    void itHasLeftWhenAMajorityOfTheVotersKnowsTheViewWithoutIt() {
        parts.in(view(2, SECOND, THIRD));
        gracefulLeave.addInformed(SELF.address());
        gracefulLeave.addInformed(SECOND.address());
        assertThat("its own knowledge doesn't count", gracefulLeave.hasLeft(false), is(false));
        gracefulLeave.addInformed(THIRD.address());
        assertThat(gracefulLeave.hasLeft(false), is(true));
        gracefulLeave.installView();
        assertThat("nobody knows the next view yet", gracefulLeave.hasLeft(false), is(false));
    }

    @Test
    void theLastVoterMayStopUnlessAnotherReplicaJoins() {
        parts.in(new View(2, 7, List.of(SELF), List.of(SELF), SELF.id()));
        assertThat(gracefulLeave.hasLeft(true), is(false));
        assertThat(gracefulLeave.hasLeft(false), is(true));
    }

    @Test
    void theVotersAreToldTheViewAndAskedWhetherTheyKnowIt() {
        final View view = view(2, SECOND, THIRD);
        parts.in(view);
        gracefulLeave.begin();
        gracefulLeave.announce();
        assertThat(gracefulLeave.isLeaving(), is(true));
        assertThat(
                parts.sent().subList(0, 2),
                is(List.of(new ReplicationMessage.ViewDecided(view), new ReplicationMessage.Prepare(2, 0))));
    }

    @Test
    void withoutTheSafeguardItLeavesBeforeAnyoneKnows() {
        final ReplicaParts unguarded = new ReplicaParts(Safeguard.HANDOVER).in(view(2, SECOND, THIRD));
        final GracefulLeave hasty = new GracefulLeave(unguarded.settings, unguarded.role, unguarded.effects);
        assertThat(hasty.hasLeft(false), is(true));
    }
}
