package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaParts.SECOND;
import static silverlatch.replication.ReplicaParts.SELF;
import static silverlatch.replication.ReplicaParts.START;
import static silverlatch.replication.ReplicaParts.THIRD;
import static silverlatch.replication.ReplicaParts.view;

import java.util.Collections;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.node.Event;
import silverlatch.safeguard.Safeguard;
import silverlatch.wire.ReplicationMessage;

/** A proposer whose third member is silent: it proposes the chain without that one. */
final class ViewProposerTest {
    private static final long SUSPICION = 800_000;
    private static final long SUSPECTED = START + SUSPICION + 1;
    private static final long BALLOT = 1 << 8;
    private static final View SHORTENED = view(2, SELF, SECOND);
    private final ReplicaParts parts = new ReplicaParts();
    private FailureDetector detector;
    private ViewProposer proposer = proposer(parts);

    private ViewProposer proposer(final ReplicaParts of) {
        of.in(view(1, SELF, SECOND, THIRD));
        detector = new FailureDetector(of.settings, of.role);
        detector.start(START);
        hearSecond(SUSPECTED);
        final GrantedLeases leases = new GrantedLeases(of.settings, of.role, of.effects, START);
        final ViewAcceptor acceptor = new ViewAcceptor(of.settings, of.role, leases, of.effects);
        return new ViewProposer(of.settings, of.role, acceptor, detector, of.effects);
    }

    private void hearSecond(final long now) {
        detector.handleLeaseRequest(new ReplicationMessage.LeaseRequest(1, now, SECOND, true, true), false, now);
    }

    private void promise(final Replica voter) {
        proposer.handlePromise(new ReplicationMessage.Promise(2, BALLOT, voter.id(), 0, List.of()), SUSPECTED);
    }

    @Test
    void nothingIsProposedWhileAllAreHeard() {
        proposer.proposeNextView(false, START);
        assertThat(parts.sent(), is(List.of()));
        assertThat(parts.logged(), is(List.of()));
    }

    @Test
    void aSilentMemberIsSuspectedAndTheVotersAreAskedForPromises() {
        proposer.proposeNextView(false, SUSPECTED);
        assertThat(parts.logged(), is(List.of(Event.CHAIN_SUSPECT, Event.PROPOSED)));
        proposer.proposeNextView(false, SUSPECTED + 1);
        assertThat("once", parts.sent(), is(Collections.nCopies(3, new ReplicationMessage.Prepare(2, BALLOT))));
    }

    @Test
    void acceptancesAreAskedForOnceAMajorityWithThisReplicaHasPromised() {
        proposer.proposeNextView(false, SUSPECTED);
        parts.sent();
        promise(SECOND);
        promise(THIRD);
        assertThat("its own promise isn't synced yet", parts.sent(), is(List.of()));
        promise(SELF);
        assertThat(parts.sent(), is(Collections.nCopies(3, new ReplicationMessage.Accept(2, BALLOT, SHORTENED))));
    }

    @Test
    void aViewThatMayHaveBeenDecidedIsProposedAgain() {
        final View earlier = view(2, SECOND, THIRD);
        proposer.proposeNextView(false, SUSPECTED);
        parts.sent();
        promise(SELF);
        proposer.handlePromise(
                new ReplicationMessage.Promise(2, BALLOT, SECOND.id(), BALLOT - 1, List.of(earlier)), SUSPECTED);
        assertThat(parts.sent(), is(Collections.nCopies(3, new ReplicationMessage.Accept(2, BALLOT, earlier))));
    }

    @Test
    void aMajorityOfAcceptancesDecidesAndAllAreTold() {
        proposer.proposeNextView(false, SUSPECTED);
        promise(SELF);
        promise(SECOND);
        parts.sent();
        assertThat(
                proposer.handleAccepted(new ReplicationMessage.Accepted(2, BALLOT, SELF.id())), is(Optional.empty()));
        assertThat(
                proposer.handleAccepted(new ReplicationMessage.Accepted(2, BALLOT, SECOND.id())),
                is(Optional.of(SHORTENED)));
        assertThat("all but itself, by identity", parts.receivers(), is(List.of(SECOND.address(), THIRD.address())));
    }

    @Test
    void repliesOfOtherBallotsCountForNothing() {
        proposer.proposeNextView(false, SUSPECTED);
        parts.sent();
        promise(SELF);
        proposer.handlePromise(new ReplicationMessage.Promise(2, BALLOT + 1, SECOND.id(), 0, List.of()), SUSPECTED);
        proposer.handlePromise(new ReplicationMessage.Promise(3, BALLOT, SECOND.id(), 0, List.of()), SUSPECTED);
        assertThat(parts.sent(), is(List.of()));
    }

    @Test
    void aPreemptedProposerHoldsBackAndThenUsesAHigherRound() {
        proposer.proposeNextView(false, SUSPECTED);
        parts.sent();
        proposer.handlePreempted(new ReplicationMessage.Preempted(2, 5 << 8 | 1), SUSPECTED);
        proposer.proposeNextView(false, SUSPECTED + 1);
        assertThat(parts.sent(), is(List.of()));
        final long later = SUSPECTED + SUSPICION;
        proposer.proposeNextView(false, later);
        assertThat(parts.sent().get(0), is(new ReplicationMessage.Prepare(2, 6 << 8)));
    }

    @Test
    void itProposesAgainWhenItsProposalIsTooOld() {
        proposer.proposeNextView(false, SUSPECTED);
        parts.sent();
        final long timeout = 2 * 600_000 + SUSPICION;
        hearSecond(SUSPECTED + timeout);
        proposer.proposeNextView(false, SUSPECTED + timeout - 1);
        assertThat(parts.sent(), is(List.of()));
        proposer.proposeNextView(false, SUSPECTED + timeout);
        assertThat("a higher round", parts.sent().get(0), is(new ReplicationMessage.Prepare(2, 2 * BALLOT)));
    }

    @Test
    void joinRequestsCountUntilTheNextView() {
        proposer.handleJoinRequest(new ReplicationMessage.JoinRequest(1, ReplicaParts.STRANGER, 4));
        assertThat(proposer.isJoining(ReplicaParts.STRANGER.id()), is(true));
        proposer.installView();
        assertThat(proposer.joinRequests().isEmpty(), is(true));
    }

    @Test
    void withoutTheSafeguardNoChainIsRepaired() {
        final ReplicaParts unguarded = new ReplicaParts(Safeguard.CHAIN_REPAIR);
        proposer(unguarded).proposeNextView(false, SUSPECTED);
        assertThat(unguarded.sent(), is(List.of()));
    }
}
