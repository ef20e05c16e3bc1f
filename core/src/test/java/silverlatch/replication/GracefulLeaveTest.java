package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaFixture.SECOND;
import static silverlatch.replication.ReplicaFixture.SELF;
import static silverlatch.replication.ReplicaFixture.THIRD;
import static silverlatch.replication.ReplicaFixture.view;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.safeguard.Safeguard;
import silverlatch.wire.ReplicationMessage;

/** Guards against a replica that stops before a majority of the voters knows the view without it. */
final class GracefulLeaveTest {
    private final ReplicaFixture fixture = new ReplicaFixture();
    private final GracefulLeave gracefulLeave = new GracefulLeave(fixture.settings, fixture.role, fixture.effects);

    @Test
    void aReplicaWithoutAViewOrADiskMayStopAtOnce() {
        assertThat(gracefulLeave.hasLeft(false), is(true));
        fixture.withView(view(1, SELF, SECOND));
        assertThat(gracefulLeave.hasLeft(false), is(false));
        fixture.role.markDiskFailed();
        assertThat(gracefulLeave.hasLeft(false), is(true));
    }

    @Test
    void aReplicaHasLeftOnceAMajorityOfTheVotersKnowsTheViewWithoutIt() {
        fixture.withView(view(2, SECOND, THIRD));
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
        fixture.withView(new View(2, 7, List.of(SELF), List.of(SELF), SELF.id()));
        assertThat(gracefulLeave.hasLeft(true), is(false));
        assertThat(gracefulLeave.hasLeft(false), is(true));
    }

    @Test
    void theVotersAreSentTheViewAndAPrepareRequestThatMakesThemReplyWithIt() {
        final View view = view(2, SECOND, THIRD);
        fixture.withView(view);
        gracefulLeave.begin();
        gracefulLeave.announce();
        assertThat(gracefulLeave.isLeaving(), is(true));
        assertThat(
                fixture.sent().subList(0, 2),
                is(List.of(new ReplicationMessage.ViewDecided(view), new ReplicationMessage.Prepare(2, 0))));
    }

    @Test
    void withoutTheSafeguardItLeavesBeforeAnyVoterKnowsTheView() {
        final ReplicaFixture unguarded = new ReplicaFixture(Safeguard.HANDOVER).withView(view(2, SECOND, THIRD));
        final GracefulLeave unguardedLeave = new GracefulLeave(unguarded.settings, unguarded.role, unguarded.effects);
        assertThat(unguardedLeave.hasLeft(false), is(true));
    }
}
