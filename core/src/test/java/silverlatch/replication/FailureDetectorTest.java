package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaFixture.NON_VOTER;
import static silverlatch.replication.ReplicaFixture.SECOND;
import static silverlatch.replication.ReplicaFixture.SELF;
import static silverlatch.replication.ReplicaFixture.START;
import static silverlatch.replication.ReplicaFixture.THIRD;
import static silverlatch.replication.ReplicaFixture.view;

import java.util.Set;
import org.junit.jupiter.api.Test;
import silverlatch.wire.ReplicationMessage;

/**
 * Guards against dead members that count as alive, for example because they send but don't receive, and against live voters that
 * count as silent after a view change.
 */
final class FailureDetectorTest {
    private static final long HALF_SUSPICION_MICROS = 400_000;
    private final ReplicaFixture fixture = new ReplicaFixture().withView(view(1, SELF, SECOND, THIRD));
    private final FailureDetector detector = new FailureDetector(fixture.settings, fixture.role);

    private void receive(final Replica sender, final boolean caughtUp, final boolean hearsMajority, final long now) {
        detector.handleLeaseRequest(
                new ReplicationMessage.LeaseRequest(1, now, sender, caughtUp, hearsMajority), false, now);
    }

    @Test
    void aVoterWithoutContactToAMajorityCountsAsSilent() {
        detector.start(START);
        receive(SECOND, true, true, START + 100);
        receive(THIRD, true, false, START + 100);
        assertThat(detector.silenceMicros(SECOND.id(), START + 300), is(200L));
        assertThat(detector.silenceMicros(THIRD.id(), START + 300), is(300L));
        assertThat("this replica itself", detector.silenceMicros(SELF.id(), START + 300), is(0L));
    }

    @Test
    void anyLeaseRequestWithinHalfTheSuspicionTimeoutCountsAsContact() {
        detector.start(START);
        assertThat("no request was received yet", detector.hearsMajority(START), is(false));
        receive(THIRD, true, false, START);
        assertThat(detector.hearsMajority(START + HALF_SUSPICION_MICROS), is(true));
        assertThat(detector.hearsMajority(START + HALF_SUSPICION_MICROS + 1), is(false));
    }

    @Test
    void aJoiningReplicaIsTrackedUntilAViewWithoutItIsInstalled() {
        detector.handleJoinRequest(new ReplicationMessage.JoinRequest(1, NON_VOTER, 9), START);
        assertThat(detector.silenceMicros(NON_VOTER.id(), START + 50), is(50L));
        detector.handleLeaseRequest(
                new ReplicationMessage.LeaseRequest(1, 0, NON_VOTER, false, true), true, START + 60);
        assertThat(detector.silenceMicros(NON_VOTER.id(), START + 70), is(10L));
        detector.installView(true, START + 80);
        assertThat(detector.silenceMicros(NON_VOTER.id(), START + 90), is(START + 90));
    }

    @Test
    void caughtUpMembersAreReportedUnderEachViewAgain() {
        receive(SECOND, true, true, START);
        receive(THIRD, false, true, START);
        detector.addSelfAsCaughtUp();
        assertThat(detector.caughtUpMembers(), is(Set.of(SELF.id(), SECOND.id())));
        receive(SECOND, false, true, START);
        assertThat(detector.caughtUpMembers(), is(Set.of(SELF.id())));
        detector.installView(true, START);
        assertThat(detector.caughtUpMembers(), is(Set.of()));
    }

    @Test
    void aReplicaThatWasOutsideTheChainCountsAllVotersAsAliveNow() {
        detector.start(START);
        detector.installView(true, START + 500);
        assertThat(detector.silenceMicros(SECOND.id(), START + 500), is(500L));
        detector.installView(false, START + 500);
        assertThat(detector.silenceMicros(SECOND.id(), START + 500), is(0L));
    }
}
