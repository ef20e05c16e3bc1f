package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaParts.SECOND;
import static silverlatch.replication.ReplicaParts.SELF;
import static silverlatch.replication.ReplicaParts.THIRD;
import static silverlatch.replication.ReplicaParts.view;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.log.LogRecord;
import silverlatch.safeguard.Safeguard;

final class ReplicaRoleTest {
    private final ReplicaRole role = new ReplicaParts().role;

    @Test
    void onlyALaterViewOfTheSameClusterMayBeInstalled() {
        role.install(view(3, SELF, SECOND), true);
        assertThat(role.mayInstall(view(3, SELF)), is(false));
        assertThat(role.mayInstall(view(4, SELF)), is(true));
        assertThat(
                "another cluster", role.mayInstall(new View(4, 8, List.of(SELF), List.of(SELF), SELF.id())), is(false));
    }

    @Test
    void aFounderHasCaughtUpAndStaysSoWhileItIsInTheChain() {
        role.install(view(1, SELF, SECOND), true);
        assertThat(role.isActive(), is(true));
        role.install(view(2, SELF), false);
        assertThat("it stayed in the chain", role.isActive(), is(true));
        role.install(view(3, SECOND), false);
        assertThat(role.isCaughtUp(), is(false));
        role.install(view(4, SECOND, SELF), false);
        assertThat("it came back and may lack entries", role.isCaughtUp(), is(false));
        role.catchUp();
        assertThat(role.isActiveTail(), is(true));
    }

    @Test
    void thePlaceInTheChainDecidesWhoComesBeforeAndAfter() {
        role.install(view(1, SECOND, SELF, THIRD), true);
        assertThat(role.predecessor(), is(Optional.of(SECOND)));
        assertThat(role.successor(), is(Optional.of(THIRD)));
        assertThat(role.isHead(), is(false));
        assertThat(role.isActiveTail(), is(false));
        role.install(view(2, SELF, SECOND), false);
        assertThat(role.isHead(), is(true));
    }

    @Test
    void anOutdatedLogEndsWithTheNextView() {
        role.install(view(1, SELF, SECOND), true);
        role.fenceOutdatedLog();
        assertThat(role.isLogOutdated(), is(true));
        assertThat(role.isActive(), is(false));
        role.install(view(2, SELF, SECOND), false);
        assertThat(role.isLogOutdated(), is(false));
        assertThat("it is repaired first", role.isCaughtUp(), is(false));
    }

    @Test
    void aFailedDiskOutlastsViews() {
        role.install(view(1, SELF, SECOND), true);
        role.failDisk();
        role.install(view(2, SELF, SECOND), false);
        assertThat(role.isDiskFailed(), is(true));
        assertThat(role.isInChain(), is(false));
        assertThat(role.isNamedInChain(), is(true));
    }

    @Test
    void theStateAfterARestartIsThatOfTheLastRecord() {
        role.replay(new LogRecord.ViewInstalled(view(1, SELF, SECOND), true));
        role.replay(new LogRecord.ViewInstalled(view(2, SECOND), false));
        role.finishReplay();
        assertThat(role.state(), is(ReplicaState.OUTSIDE_CHAIN));
        final ReplicaRole empty = new ReplicaParts().role;
        empty.finishReplay();
        assertThat(empty.state(), is(ReplicaState.EMPTY));
    }

    @Test
    void safeguardsHoldBackAcknowledgementsOfAShortChainAndMessagesOfOtherViews() {
        role.install(view(5, SELF), true);
        assertThat(role.hasRequiredCopies(), is(false));
        assertThat(role.isFenced(4), is(true));
        assertThat(role.isFenced(5), is(false));
        final ReplicaRole unguarded = new ReplicaParts(Safeguard.COPIES, Safeguard.FENCE).role;
        unguarded.install(view(5, SELF), true);
        assertThat(unguarded.hasRequiredCopies(), is(true));
        assertThat(unguarded.isFenced(4), is(false));
    }
}
