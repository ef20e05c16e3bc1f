package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaFixture.SECOND;
import static silverlatch.replication.ReplicaFixture.SELF;
import static silverlatch.replication.ReplicaFixture.START;
import static silverlatch.replication.ReplicaFixture.THIRD;
import static silverlatch.replication.ReplicaFixture.view;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.node.Event;
import silverlatch.safeguard.Safeguard;
import silverlatch.wire.ReplicationMessage;

/** Guards against wrong proposals of views: a proposer whose third member is silent, so that it proposes the chain without it. */
final class ViewProposerTest {
    private static final long SUSPICION_MICROS = 800_000;
    private static final long SUSPECTED_AT = START + SUSPICION_MICROS + 1;
    private static final long BALLOT = 1 << 8;
    private static final View VIEW_WITHOUT_THIRD = view(2, SELF, SECOND);
    private final ReplicaFixture fixture = new ReplicaFixture();
    private FailureDetector detector;
    private ViewProposer proposer = proposer(fixture);

    private ViewProposer proposer(final ReplicaFixture fixture) {
        fixture.withView(view(1, SELF, SECOND, THIRD));
        detector = new FailureDetector(fixture.settings, fixture.role);
        detector.start(START);
        receiveHeartbeatOfSecond(SUSPECTED_AT);
        final GrantedLeases leases = new GrantedLeases(fixture.settings, fixture.role, fixture.effects, START);
        final ViewAcceptor acceptor = new ViewAcceptor(fixture.settings, fixture.role, leases, fixture.effects);
        return new ViewProposer(fixture.settings, fixture.role, acceptor, detector, fixture.effects);
    }

    private void receiveHeartbeatOfSecond(final long now) {
        detector.handleLeaseRequest(new ReplicationMessage.LeaseRequest(1, now, SECOND, true, true), false, now);
    }

    private void promise(final Replica voter) {
        proposer.handlePromise(new ReplicationMessage.Promise(2, BALLOT, voter.id(), 0, List.of()), SUSPECTED_AT);
    }

    @Test
    void nothingIsProposedWhileNoMemberIsSilent() {
        proposer.proposeNextView(false, START);
        assertThat(fixture.sent(), is(List.of()));
        assertThat(fixture.logged(), is(List.of()));
    }

    @Test
    void aSilentMemberIsSuspectedAndEachVoterIsSentOnePrepareRequest() {
        proposer.proposeNextView(false, SUSPECTED_AT);
        assertThat(fixture.logged(), is(List.of(Event.CHAIN_SUSPECT, Event.PROPOSED)));
        proposer.proposeNextView(false, SUSPECTED_AT + 1);
        assertThat("sent once", fixture.sent(), is(Collections.nCopies(3, new ReplicationMessage.Prepare(2, BALLOT))));
    }

    @Test
    void acceptRequestsAreSentOnceAMajorityIncludingThisReplicaHasPromised() {
        proposer.proposeNextView(false, SUSPECTED_AT);
        fixture.sent();
        promise(SECOND);
        promise(THIRD);
        assertThat("no own promise yet", fixture.sent(), is(List.of()));
        promise(SELF);
        assertThat(
                fixture.sent(),
                is(Collections.nCopies(3, new ReplicationMessage.Accept(2, BALLOT, VIEW_WITHOUT_THIRD))));
    }

    @Test
    void aViewThatMayHaveBeenDecidedIsProposedAgain() {
        final View earlier = view(2, SECOND, THIRD);
        proposer.proposeNextView(false, SUSPECTED_AT);
        fixture.sent();
        promise(SELF);
        proposer.handlePromise(
                new ReplicationMessage.Promise(2, BALLOT, SECOND.id(), BALLOT - 1, List.of(earlier)), SUSPECTED_AT);
        assertThat(fixture.sent(), is(Collections.nCopies(3, new ReplicationMessage.Accept(2, BALLOT, earlier))));
    }

    @Test
    void aMajorityOfAcceptancesDecidesTheViewAndTheOthersAreNotified() {
        proposer.proposeNextView(false, SUSPECTED_AT);
        promise(SELF);
        promise(SECOND);
        fixture.sent();
        assertThat(
                proposer.handleAccepted(new ReplicationMessage.Accepted(2, BALLOT, SELF.id())), is(Optional.empty()));
        assertThat(
                proposer.handleAccepted(new ReplicationMessage.Accepted(2, BALLOT, SECOND.id())),
                is(Optional.of(VIEW_WITHOUT_THIRD)));
        assertThat("all members but itself", fixture.receivers(), is(List.of(SECOND.address(), THIRD.address())));
    }

    @Test
    void promisesForOtherBallotsOrNumbersAreIgnored() {
        proposer.proposeNextView(false, SUSPECTED_AT);
        fixture.sent();
        promise(SELF);
        proposer.handlePromise(new ReplicationMessage.Promise(2, BALLOT + 1, SECOND.id(), 0, List.of()), SUSPECTED_AT);
        proposer.handlePromise(new ReplicationMessage.Promise(3, BALLOT, SECOND.id(), 0, List.of()), SUSPECTED_AT);
        assertThat(fixture.sent(), is(List.of()));
    }

    @Test
    void aPreemptedProposerBacksOffAndThenUsesAHigherRound() {
        proposer.proposeNextView(false, SUSPECTED_AT);
        fixture.sent();
        proposer.handlePreempted(new ReplicationMessage.Preempted(2, 5 << 8 | 1), SUSPECTED_AT);
        proposer.proposeNextView(false, SUSPECTED_AT + 1);
        assertThat(fixture.sent(), is(List.of()));
        final long later = SUSPECTED_AT + SUSPICION_MICROS;
        proposer.proposeNextView(false, later);
        assertThat(fixture.sent().get(0), is(new ReplicationMessage.Prepare(2, 6 << 8)));
    }

    @Test
    void aNewRoundStartsWhenTheProposalTimesOut() {
        proposer.proposeNextView(false, SUSPECTED_AT);
        fixture.sent();
        final long timeout = 2 * 600_000 + SUSPICION_MICROS;
        receiveHeartbeatOfSecond(SUSPECTED_AT + timeout);
        proposer.proposeNextView(false, SUSPECTED_AT + timeout - 1);
        assertThat(fixture.sent(), is(List.of()));
        proposer.proposeNextView(false, SUSPECTED_AT + timeout);
        assertThat("a higher round", fixture.sent().get(0), is(new ReplicationMessage.Prepare(2, 2 * BALLOT)));
    }

    @Test
    void joinRequestsAreKeptUntilTheNextView() {
        proposer.handleJoinRequest(new ReplicationMessage.JoinRequest(1, ReplicaFixture.NON_VOTER, 4));
        assertThat(proposer.isJoining(ReplicaFixture.NON_VOTER.id()), is(true));
        proposer.installView();
        assertThat(proposer.joinRequests().isEmpty(), is(true));
    }

    @Test
    void withoutTheSafeguardNoShorterChainIsProposed() {
        final ReplicaFixture unguarded = new ReplicaFixture(Safeguard.CHAIN_REPAIR);
        proposer(unguarded).proposeNextView(false, SUSPECTED_AT);
        assertThat(unguarded.sent(), is(List.of()));
    }
}
