package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaParts.SECOND;
import static silverlatch.replication.ReplicaParts.SELF;
import static silverlatch.replication.ReplicaParts.START;
import static silverlatch.replication.ReplicaParts.STRANGER;
import static silverlatch.replication.ReplicaParts.THIRD;
import static silverlatch.replication.ReplicaParts.view;

import java.util.Set;
import org.junit.jupiter.api.Test;
import silverlatch.wire.ReplicationMessage;

final class FailureDetectorTest {
    private static final long HALF_SUSPICION = 400_000;
    private final ReplicaParts parts = new ReplicaParts().in(view(1, SELF, SECOND, THIRD));
    private final FailureDetector detector = new FailureDetector(parts.settings, parts.role);

    private void receive(final Replica sender, final boolean caughtUp, final boolean hearsMajority, final long now) {
        detector.handleLeaseRequest(
                new ReplicationMessage.LeaseRequest(1, now, sender, caughtUp, hearsMajority), false, now);
    }

    @Test
    void aVoterThatHearsNoMajorityCountsAsSilent() {
        detector.start(START);
        receive(SECOND, true, true, START + 100);
        receive(THIRD, true, false, START + 100);
        assertThat(detector.silenceMicros(SECOND.id(), START + 300), is(200L));
        assertThat(detector.silenceMicros(THIRD.id(), START + 300), is(300L));
        assertThat("this replica itself", detector.silenceMicros(SELF.id(), START + 300), is(0L));
    }

    @Test
    void aMajorityIsHeardByRequestsOfAnyKindWithinHalfTheSuspicion() {
        detector.start(START);
        assertThat("nothing was received yet", detector.hearsMajority(START), is(false));
        receive(THIRD, true, false, START);
        assertThat(detector.hearsMajority(START + HALF_SUSPICION), is(true));
        assertThat(detector.hearsMajority(START + HALF_SUSPICION + 1), is(false));
    }

    @Test
    void aReplicaThatAsksToJoinIsWatchedUntilAnotherViewWithoutIt() {
        detector.handleJoinRequest(new ReplicationMessage.JoinRequest(1, STRANGER, 9), START);
        assertThat(detector.silenceMicros(STRANGER.id(), START + 50), is(50L));
        detector.handleLeaseRequest(new ReplicationMessage.LeaseRequest(1, 0, STRANGER, false, true), true, START + 60);
        assertThat(detector.silenceMicros(STRANGER.id(), START + 70), is(10L));
        detector.installView(true, START + 80);
        assertThat(detector.silenceMicros(STRANGER.id(), START + 90), is(START + 90));
    }

    @Test
    void membersSayThatTheyHaveCaughtUpUnderEachViewAnew() {
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
    void aReplicaThatWasOutOfTheChainCountsAllVotersAsHeardNow() {
        detector.start(START);
        detector.installView(true, START + 500);
        assertThat(detector.silenceMicros(SECOND.id(), START + 500), is(500L));
        detector.installView(false, START + 500);
        assertThat(detector.silenceMicros(SECOND.id(), START + 500), is(0L));
    }
}
