package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaFixture.SECOND;
import static silverlatch.replication.ReplicaFixture.SELF;
import static silverlatch.replication.ReplicaFixture.THIRD;
import static silverlatch.replication.ReplicaFixture.view;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.log.LogRecord;
import silverlatch.safeguard.Safeguard;

/**
 * Guards against replicas that count as caught up although they may lack acknowledged entries, after views that they were not part
 * of, restarts and repairs.
 */
final class ReplicaRoleTest {
    private final ReplicaRole role = new ReplicaFixture().role;

    @Test
    void onlyALaterViewOfTheSameClusterMayBeInstalled() {
        role.install(view(3, SELF, SECOND), true);
        assertThat(role.mayInstall(view(3, SELF)), is(false));
        assertThat(role.mayInstall(view(4, SELF)), is(true));
        assertThat(
                "another cluster", role.mayInstall(new View(4, 8, List.of(SELF), List.of(SELF), SELF.id())), is(false));
    }

    @Test
    void aMemberOfTheInitialViewIsCaughtUpWhileItStaysInTheChain() {
        role.install(view(1, SELF, SECOND), true);
        assertThat(role.isActive(), is(true));
        role.install(view(2, SELF), false);
        assertThat("it stayed in the chain", role.isActive(), is(true));
        role.install(view(3, SECOND, THIRD), false);
        assertThat(role.isCaughtUp(), is(false));
        role.install(view(4, SECOND, THIRD, SELF), false);
        assertThat("it rejoined and may lack entries", role.isCaughtUp(), is(false));
        role.markCaughtUp();
        assertThat(role.isActiveTail(), is(true));
    }

    @Test
    void aMemberThatLeavesForAShortChainIsAStandbyUntilAChainCanAcknowledge() {
        role.install(view(1, SELF, SECOND), true);
        role.install(view(2, SECOND), false);
        assertThat(role.isStandby(), is(true));
        assertThat(role.isActive(), is(false));
        role.install(view(3, THIRD), false);
        assertThat("the next chain is too short as well", role.isStandby(), is(true));
        role.install(view(4, SECOND, THIRD), false);
        assertThat("this chain can acknowledge writes", role.isCaughtUp(), is(false));
        role.install(view(5, SECOND), false);
        assertThat("it may lack acknowledged entries", role.isCaughtUp(), is(false));
    }

    @Test
    void aReplicaThatMissedAViewIsNotAStandby() {
        role.install(view(1, SELF, SECOND), true);
        role.install(view(2, SECOND), false);
        role.install(view(4, THIRD), false);
        assertThat("the missed view may have acknowledged writes", role.isStandby(), is(false));
        role.install(view(5, SELF), false);
        assertThat(role.isActive(), is(false));
    }

    @Test
    void aStandbyIsCaughtUpAsTheOnlyMemberOfTheNextView() {
        role.install(view(1, SELF, SECOND), true);
        role.install(view(2, SECOND), false);
        role.install(view(3, SELF), false);
        assertThat(role.isActiveTail(), is(true));
    }

    @Test
    void aRepairMakesAStandbyOnlyUnderAShortChain() {
        role.install(view(1, SECOND), false);
        role.markRepaired();
        assertThat(role.isStandby(), is(true));
        final ReplicaRole roleOutsideLongChain = new ReplicaFixture().role;
        roleOutsideLongChain.install(view(1, SECOND, THIRD), false);
        roleOutsideLongChain.markRepaired();
        assertThat("this chain can acknowledge further writes", roleOutsideLongChain.isCaughtUp(), is(false));
        final ReplicaRole roleInChain = new ReplicaFixture().role;
        roleInChain.install(view(1, SECOND, SELF), false);
        roleInChain.markRepaired();
        assertThat("a member of the chain must catch up with its predecessor", roleInChain.isCaughtUp(), is(false));
    }

    @Test
    void aViewIsSyncedOnceItsOwnRecordIsSynced() {
        role.install(view(1, SELF, SECOND), true);
        assertThat(role.isViewSynced(), is(false));
        role.install(view(2, SELF, SECOND), false);
        role.markViewSynced(1);
        assertThat("the record of the previous view", role.isViewSynced(), is(false));
        role.markViewSynced(2);
        assertThat(role.isViewSynced(), is(true));
    }

    @Test
    void thePositionInTheChainDeterminesPredecessorAndSuccessor() {
        role.install(view(1, SECOND, SELF, THIRD), true);
        assertThat(role.predecessor(), is(Optional.of(SECOND)));
        assertThat(role.successor(), is(Optional.of(THIRD)));
        assertThat(role.isHead(), is(false));
        assertThat(role.isActiveTail(), is(false));
        role.install(view(2, SELF, SECOND), false);
        assertThat(role.isHead(), is(true));
    }

    @Test
    void anOutdatedLogIsFencedUntilTheNextView() {
        role.install(view(1, SELF, SECOND), true);
        role.fenceOutdatedLog();
        assertThat(role.isLogOutdated(), is(true));
        assertThat(role.isActive(), is(false));
        role.install(view(2, SELF, SECOND), false);
        assertThat(role.isLogOutdated(), is(false));
        assertThat("it must be repaired first", role.isCaughtUp(), is(false));
    }

    @Test
    void aDiskFailureSurvivesViewChanges() {
        role.install(view(1, SELF, SECOND), true);
        role.markDiskFailed();
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
        final ReplicaRole empty = new ReplicaFixture().role;
        empty.finishReplay();
        assertThat(empty.state(), is(ReplicaState.EMPTY));
    }

    @Test
    void safeguardsBlockAcknowledgementsOfAShortChainAndMessagesOfOtherViews() {
        role.install(view(5, SELF), true);
        assertThat(role.hasRequiredCopies(), is(false));
        assertThat(role.isFenced(4), is(true));
        assertThat(role.isFenced(5), is(false));
        final ReplicaRole unguarded = new ReplicaFixture(Safeguard.COPIES, Safeguard.FENCE).role;
        unguarded.install(view(5, SELF), true);
        assertThat(unguarded.hasRequiredCopies(), is(true));
        assertThat(unguarded.isFenced(4), is(false));
    }
}
