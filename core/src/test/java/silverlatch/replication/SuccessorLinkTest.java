package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static silverlatch.replication.ReplicaFixture.NON_VOTER;
import static silverlatch.replication.ReplicaFixture.SECOND;
import static silverlatch.replication.ReplicaFixture.SELF;
import static silverlatch.replication.ReplicaFixture.START;
import static silverlatch.replication.ReplicaFixture.entry;
import static silverlatch.replication.ReplicaFixture.view;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.state.ConfigurationValidator;
import silverlatch.state.Entry;
import silverlatch.state.Value;
import silverlatch.wire.Codec;
import silverlatch.wire.Message;
import silverlatch.wire.ReplicationMessage;

/** Guards against a successor that lacks entries: they can be lost, and a catch-up target sent too early can be too low. */
final class SuccessorLinkTest {
    private static final long BACKOFF_MICROS = 600_000;
    private final ReplicaFixture fixture = new ReplicaFixture().withView(view(2, SELF, SECOND));
    private final ReplicaLog log = ReplicaFixture.log(fixture, syncedAt -> {}, sequence -> {});
    private final SuccessorLink link = new SuccessorLink(fixture.role, log, fixture.effects);

    private void append(final long... sequences) {
        for (final long sequence : sequences) {
            log.append(List.of(entry(sequence)), START);
        }
    }

    @Test
    void onlySyncedEntriesAreSentAndEachOnce() {
        link.reset(0, START);
        append(1, 2);
        link.sendEntries();
        assertThat("no entry is synced", fixture.sent(), is(List.of()));
        fixture.syncAll(START);
        link.sendEntries();
        link.sendEntries();
        assertThat(fixture.sent(), is(List.of(new ReplicationMessage.Replicate(2, List.of(entry(1), entry(2))))));
    }

    @Test
    void theTailSendsNothing() {
        fixture.withView(view(3, SECOND, SELF));
        link.reset(0, START);
        append(1);
        fixture.syncAll(START);
        link.sendEntries();
        link.retry(START + BACKOFF_MICROS);
        assertThat(fixture.sent(), is(List.of()));
    }

    @Test
    void theCatchUpTargetIsSentOnlyOnceTheViewIsSynced() {
        fixture.role.install(view(3, SELF, SECOND), false);
        link.retry(START + BACKOFF_MICROS);
        link.handleFetchEntries(new ReplicationMessage.FetchEntries(3, SECOND.id(), 0), SECOND.address(), START);
        assertThat(fixture.sent(), is(List.of()));
        fixture.role.markViewSynced(3);
        link.retry(START + 2 * BACKOFF_MICROS);
        assertThat(fixture.sent(), is(List.of(new ReplicationMessage.CatchUpTarget(3, 0))));
    }

    @Test
    void unacknowledgedEntriesAreResentAfterTheBackoff() {
        link.reset(0, START);
        append(1);
        fixture.syncAll(START);
        link.sendEntries();
        fixture.sent();
        link.retry(START + BACKOFF_MICROS - 1);
        assertThat(fixture.sent(), is(List.of(new ReplicationMessage.CatchUpTarget(2, 1))));
        link.retry(START + BACKOFF_MICROS);
        assertThat(
                fixture.sent(),
                is(List.of(
                        new ReplicationMessage.CatchUpTarget(2, 1),
                        new ReplicationMessage.Replicate(2, List.of(entry(1))))));
    }

    @Test
    void aSuccessorThatLacksEntriesIsSentCommittedOnesToo() {
        append(1, 2, 3);
        fixture.syncAll(START);
        log.commit(2, START);
        link.reset(2, START);
        fixture.sent();
        link.handleFetchEntries(new ReplicationMessage.FetchEntries(2, SECOND.id(), 0), SECOND.address(), START);
        assertThat(
                fixture.sent(),
                is(List.of(
                        new ReplicationMessage.CatchUpTarget(2, 3),
                        new ReplicationMessage.Replicate(2, List.of(entry(1), entry(2), entry(3))))));
        link.handleFetchEntries(new ReplicationMessage.FetchEntries(1, SECOND.id(), 0), SECOND.address(), START);
        assertThat("another view", fixture.sent(), is(List.of()));
    }

    @Test
    void anAcknowledgementLetsTheNextEntryIntoTheWindow() {
        final int largeEntries = 3;
        link.reset(0, START);
        for (long sequence = 1; sequence <= largeEntries; sequence++) {
            log.append(List.of(large(sequence)), START);
        }
        fixture.syncAll(START);
        link.sendEntries();
        assertThat(fixture.sent(), is(List.of(new ReplicationMessage.Replicate(2, List.of(large(1))))));
        link.handleReplicateAck(new ReplicationMessage.ReplicateAck(2, NON_VOTER.id(), 1), START);
        link.handleReplicateAck(new ReplicationMessage.ReplicateAck(1, SECOND.id(), 1), START);
        assertThat("of another replica, and of another view", fixture.sent(), is(List.of()));
        link.handleReplicateAck(new ReplicationMessage.ReplicateAck(2, SECOND.id(), 1), START);
        assertThat(fixture.sent(), is(List.of(new ReplicationMessage.Replicate(2, List.of(large(2))))));
    }

    @Test
    void anEntryOfTheMaximumSizeIsSentInItsOwnFrame() {
        link.reset(0, START);
        log.append(List.of(entry(1)), START);
        log.append(List.of(entry(2)), START);
        log.append(List.of(withDocument(3, ConfigurationValidator.MAX_DOCUMENT_BYTES)), START);
        fixture.syncAll(START);
        link.sendEntries();
        assertThat(fixture.sent(), is(List.of(new ReplicationMessage.Replicate(2, List.of(entry(1), entry(2))))));
        link.handleReplicateAck(new ReplicationMessage.ReplicateAck(2, SECOND.id(), 2), START);
        final Message large = fixture.sent().get(0);
        assertThat(((ReplicationMessage.Replicate) large).entries().size(), is(1));
        assertThat(new Codec().encode(large).length, lessThan(Codec.MAX_BYTES));
    }

    @Test
    void aFrameOfManySmallEntriesStaysWithinTheWindow() {
        final int count = 900;
        link.reset(0, START);
        for (long sequence = 1; sequence <= count; sequence++) {
            append(sequence);
        }
        fixture.syncAll(START);
        link.sendEntries();
        final List<LogEntry> batch =
                ((ReplicationMessage.Replicate) fixture.sent().get(0)).entries();
        final long bytes = batch.stream().mapToLong(LogEntry::estimatedBytes).sum();
        assertThat(bytes, lessThanOrEqualTo(ReplicationWindow.LIMIT_BYTES));
        assertThat(bytes + entry(1).estimatedBytes(), greaterThan(ReplicationWindow.LIMIT_BYTES));
        assertThat(batch.size(), lessThanOrEqualTo(512));
    }

    private static LogEntry large(final long sequence) {
        return withDocument(sequence, 100_000);
    }

    private static LogEntry withDocument(final long sequence, final int bytes) {
        final Value document = new Value.ConfigurationDocument(sequence, "x".repeat(bytes));
        return new LogEntry(
                sequence, 1, new Stamp(sequence), List.of(new Entry("q/paper", sequence, List.of(document))));
    }
}
