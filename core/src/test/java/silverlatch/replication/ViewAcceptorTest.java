package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaFixture.SECOND;
import static silverlatch.replication.ReplicaFixture.SELF;
import static silverlatch.replication.ReplicaFixture.START;
import static silverlatch.replication.ReplicaFixture.THIRD;
import static silverlatch.replication.ReplicaFixture.view;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.log.LogRecord;
import silverlatch.wire.ReplicationMessage;

/** Guards against two views of one number: which promises and acceptances are made, when they are sent, and what a restart recovers. */
final class ViewAcceptorTest {
    private static final long LEASE_MICROS = 600_000;
    private static final View NEXT = view(2, SELF, SECOND);
    private final ReplicaFixture fixture = new ReplicaFixture().withView(view(1, SELF, SECOND, THIRD));
    private final GrantedLeases leases =
            new GrantedLeases(fixture.settings, fixture.role, fixture.effects, START - LEASE_MICROS);
    private final ViewAcceptor acceptor = new ViewAcceptor(fixture.settings, fixture.role, leases, fixture.effects);

    private boolean prepare(final long number, final long ballot) {
        return acceptor.handlePrepare(new ReplicationMessage.Prepare(number, ballot), "proposer", START);
    }

    private void accept(final long number, final long ballot, final View view) {
        acceptor.handleAccept(new ReplicationMessage.Accept(number, ballot, view), "proposer", START);
    }

    @Test
    void aPromiseIsSyncedBeforeItIsSent() {
        assertThat(prepare(2, 256), is(true));
        assertThat(fixture.sent(), is(List.of()));
        assertThat(fixture.written(), is(List.of(new LogRecord.Promised(2, 256))));
        fixture.syncAll(START);
        assertThat(fixture.sent(), is(List.of(new ReplicationMessage.Promise(2, 256, SELF.id(), 0, List.of()))));
    }

    @Test
    void aLowerBallotIsPreemptedAndTheSameOneIsNotPromisedTwice() {
        prepare(2, 512);
        fixture.syncAll(START);
        fixture.sent();
        assertThat(prepare(2, 256), is(false));
        assertThat(prepare(2, 512), is(false));
        accept(2, 256, NEXT);
        assertThat(
                fixture.sent(),
                is(List.of(new ReplicationMessage.Preempted(2, 512), new ReplicationMessage.Preempted(2, 512))));
        assertThat(acceptor.acceptedView(), is(Optional.empty()));
    }

    @Test
    void aPrepareRequestForADecidedNumberIsAnsweredWithTheInstalledView() {
        assertThat(prepare(1, 256), is(false));
        assertThat(fixture.sent(), is(List.of(new ReplicationMessage.ViewDecided(fixture.role.view()))));
        assertThat("a number after the next one", prepare(3, 256), is(false));
        accept(3, 256, NEXT);
        assertThat(fixture.sent(), is(List.of()));
        assertThat(fixture.written(), is(List.of()));
    }

    @Test
    void anAcceptanceIsReportedToLaterProposers() {
        accept(2, 256, NEXT);
        fixture.syncAll(START);
        fixture.sent();
        prepare(2, 512);
        fixture.syncAll(START);
        assertThat(fixture.sent(), is(List.of(new ReplicationMessage.Promise(2, 512, SELF.id(), 256, List.of(NEXT)))));
    }

    @Test
    void anAcceptanceIsDelayedUntilTheLeasesOfRemovedMembersHaveExpired() {
        leases.grant(new ReplicationMessage.LeaseRequest(1, 0, THIRD, true, true), 0, START);
        fixture.sent();
        accept(2, 256, NEXT);
        fixture.syncAll(START);
        acceptor.sendDelayed(START + LEASE_MICROS - 1);
        assertThat(fixture.sent(), is(List.of()));
        acceptor.sendDelayed(START + LEASE_MICROS);
        acceptor.sendDelayed(START + LEASE_MICROS + 1);
        assertThat("sent once", fixture.sent(), is(List.of(new ReplicationMessage.Accepted(2, 256, SELF.id()))));
    }

    @Test
    void aDelayedAcceptanceIsNotSentUnderALaterView() {
        leases.grant(new ReplicationMessage.LeaseRequest(1, 0, THIRD, true, true), 0, START);
        fixture.sent();
        accept(2, 256, NEXT);
        fixture.syncAll(START);
        fixture.withView(NEXT);
        acceptor.sendDelayed(START + 2 * LEASE_MICROS);
        assertThat(
                fixture.sent().stream()
                        .filter(ReplicationMessage.Accepted.class::isInstance)
                        .toList(),
                is(List.of()));
    }

    @Test
    void anInstalledViewClearsPromiseAndAcceptance() {
        prepare(2, 512);
        accept(2, 512, NEXT);
        acceptor.installView();
        assertThat(acceptor.promisedBallot(), is(0L));
        assertThat(acceptor.acceptedBallot(), is(0L));
        assertThat(acceptor.acceptedView(), is(Optional.empty()));
    }

    @Test
    void aRestartRecoversPromiseAndAcceptanceOfTheNextNumberOnly() {
        acceptor.replay(new LogRecord.Promised(2, 256));
        assertThat(acceptor.promisedBallot(), is(256L));
        acceptor.replay(new LogRecord.Accepted(2, 512, NEXT));
        acceptor.replay(new LogRecord.Promised(3, 1024));
        assertThat(acceptor.promisedBallot(), is(512L));
        assertThat(acceptor.acceptedView(), is(Optional.of(NEXT)));
        acceptor.replay(new LogRecord.ViewInstalled(fixture.role.view(), true));
        assertThat("the same view installed again", acceptor.acceptedBallot(), is(512L));
        acceptor.replay(new LogRecord.ViewInstalled(NEXT, true));
        assertThat(acceptor.acceptedBallot(), is(0L));
    }
}
