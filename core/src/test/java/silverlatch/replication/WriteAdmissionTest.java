package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaFixture.SECOND;
import static silverlatch.replication.ReplicaFixture.SELF;
import static silverlatch.replication.ReplicaFixture.START;
import static silverlatch.replication.ReplicaFixture.view;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Value;
import silverlatch.wire.ChainClientMessage;
import silverlatch.wire.ReplicationMessage;

/** Guards against writes that are admitted without a lease or answered too early: the head of a chain of two, which writes it admits and when it replies. */
final class WriteAdmissionTest {
    private static final long LEASE_MICROS = 600_000;
    private final ReplicaFixture fixture = new ReplicaFixture().withView(view(1, SELF, SECOND));
    private final HeldLease lease = new HeldLease(fixture.settings, fixture.role, fixture.effects);
    private final PendingWrites[] pendingWrites = new PendingWrites[1];
    private final ReplicaLog log =
            ReplicaFixture.log(fixture, syncedAt -> {}, sequence -> pendingWrites[0].onCommitted(sequence));
    private long stamp = 100;
    private final WriteAdmission admission = admission();

    private WriteAdmission admission() {
        pendingWrites[0] = new PendingWrites(log.stateMachine()::get, fixture.effects);
        return new WriteAdmission(
                fixture.settings, fixture.role, lease, log, pendingWrites[0], () -> new Stamp(++stamp));
    }

    private void grantLease(final long now) {
        lease.add(new ReplicationMessage.LeaseGrant(1, now, SELF.id(), 0), now);
        lease.add(new ReplicationMessage.LeaseGrant(1, now, SECOND.id(), 0), now);
    }

    private static ChainClientMessage.WriteRequest evacuation(final String id, final long expectedRevision) {
        return new ChainClientMessage.WriteRequest(
                7, "client", new Command.SetEvacuation(id, "zone", true, expectedRevision));
    }

    private List<CommandResult> results() {
        return fixture.sent().stream()
                .map(message -> ((ChainClientMessage.WriteReply) message).result())
                .toList();
    }

    private void commitAll() {
        fixture.syncAll(START);
        log.commit(log.lastSequence(), START);
    }

    @Test
    void aWriteIsAcknowledgedOnceItsEntryIsCommitted() {
        grantLease(START);
        admission.handleWriteRequest(evacuation("one", -1), START);
        assertThat(log.lastSequence(), is(1L));
        fixture.syncAll(START);
        assertThat(results(), is(List.of()));
        log.commit(1, START);
        assertThat(results(), is(List.of(new CommandResult.Applied(1))));
    }

    @Test
    void usageCommandsAreAdmittedOnlyWithTheCurrentFencingToken() {
        grantLease(START);
        final Value.UsageWindow window = new Value.UsageWindow(9, List.of());
        for (final long token : List.of(0L, 2L)) {
            admission.handleWriteRequest(request(new Command.CloseUsageWindow("close", token, window)), START);
            admission.handleWriteRequest(request(new Command.MarkUsageReported("mark", token, 9)), START);
        }
        assertThat(log.lastSequence(), is(0L));
        admission.handleWriteRequest(request(new Command.CloseUsageWindow("close", 1, window)), START);
        admission.handleWriteRequest(request(new Command.MarkUsageReported("mark", 1, 9)), START);
        assertThat(log.lastSequence(), is(2L));
    }

    private static ChainClientMessage.WriteRequest request(final Command command) {
        return new ChainClientMessage.WriteRequest(7, "client", command);
    }

    @Test
    void aWriteWithoutALeaseWaitsForOneForNoLongerThanALease() {
        admission.handleWriteRequest(evacuation("early", -1), START);
        admission.onLeaseGranted(START + 1);
        assertThat("no lease yet", log.lastSequence(), is(0L));
        grantLease(START + LEASE_MICROS - 1);
        admission.onLeaseGranted(START + LEASE_MICROS - 1);
        assertThat(log.lastSequence(), is(1L));
        final WriteAdmissionTest expired = new WriteAdmissionTest();
        expired.admission.handleWriteRequest(evacuation("old", -1), START);
        expired.grantLease(START + LEASE_MICROS);
        expired.admission.onLeaseGranted(START + LEASE_MICROS);
        assertThat("it was queued for too long", expired.log.lastSequence(), is(0L));
    }

    @Test
    void onlyTheActiveHeadOfALongEnoughChainAdmits() {
        grantLease(START);
        fixture.role.install(view(2, SECOND, SELF), false);
        admission.handleWriteRequest(evacuation("no head", -1), START);
        fixture.role.install(view(3, SELF), false);
        admission.handleWriteRequest(evacuation("too short", -1), START);
        assertThat(log.lastSequence(), is(0L));
        assertThat(fixture.sent(), is(List.of()));
    }

    @Test
    void aRejectionThatDependsOnAPendingEntryIsSentOnceThatIsCommitted() {
        grantLease(START);
        admission.handleWriteRequest(evacuation("winner", 0), START);
        admission.handleWriteRequest(evacuation("loser", 0), START);
        assertThat(results(), is(List.of()));
        commitAll();
        final List<CommandResult> results = results();
        assertThat(results.get(0), is(new CommandResult.Applied(1)));
        assertThat(results.get(1), instanceOf(CommandResult.Rejected.class));
    }

    @Test
    void aWriteSentAgainWhileItsOutcomeIsPendingGetsThatOutcome() {
        grantLease(START);
        admission.handleWriteRequest(evacuation("twice", -1), START);
        admission.handleWriteRequest(evacuation("twice", -1), START);
        commitAll();
        assertThat(results(), is(List.of(new CommandResult.Applied(1), new CommandResult.Applied(1))));
    }

    @Test
    void anOldFencingTokenIsRejectedAtOnce() {
        grantLease(START);
        admission.handleWriteRequest(
                new ChainClientMessage.WriteRequest(7, "client", new Command.AdvanceEpoch("sweep-1", 1, 0)), START);
        final CommandResult result = results().get(0);
        assertThat(((CommandResult.Rejected) result).code(), is(409));
    }

    @Test
    void aWriteIsNotAdmittedIfItsStampIsNotTheHighest() {
        grantLease(START);
        admission.handleWriteRequest(evacuation("one", -1), START);
        stamp = 0;
        admission.handleWriteRequest(evacuation("two", -1), START);
        assertThat(log.lastSequence(), is(1L));
    }

    @Test
    void writesThatWaitForDroppedEntriesHaveAnUnknownOutcome() {
        grantLease(START);
        admission.handleWriteRequest(evacuation("dropped", -1), START);
        pendingWrites[0].abandon();
        assertThat(results(), is(List.of(new CommandResult.Unknown("dropped"))));
        commitAll();
        assertThat("answered once", results(), is(List.of()));
    }
}
