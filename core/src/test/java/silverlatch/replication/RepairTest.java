package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static silverlatch.replication.ReplicaFixture.SECOND;
import static silverlatch.replication.ReplicaFixture.SELF;
import static silverlatch.replication.ReplicaFixture.START;
import static silverlatch.replication.ReplicaFixture.entry;
import static silverlatch.replication.ReplicaFixture.view;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.log.LogRecord;
import silverlatch.node.Event;
import silverlatch.safeguard.Safeguard;
import silverlatch.state.Entry;
import silverlatch.state.Value;
import silverlatch.wire.Message;
import silverlatch.wire.ReplicationMessage;

/**
 * Guards against repairs that lose entries, mix pieces of different repairs, or join too early. A requester outside the chain and a
 * responder in it exchange messages; both use the identity of replica 0.
 */
final class RepairTest {
    private static final long RETRY_MICROS = 900_000;
    private static final String SOURCE = "source";
    private final ReplicaFixture source = new ReplicaFixture();
    private final ReplicaLog sourceLog = ReplicaFixture.log(source, syncedAt -> {}, sequence -> {});
    private final ReplicaFixture target = new ReplicaFixture();
    private final ReplicaLog targetLog = ReplicaFixture.log(target, syncedAt -> {}, sequence -> {});
    private final GracefulLeave gracefulLeave = new GracefulLeave(target.settings, target.role, target.effects);
    private final RepairRequester requester = requester();
    private final RepairResponder responder = responder(source, sourceLog);

    private static RepairResponder responder(final ReplicaFixture fixture, final ReplicaLog log) {
        fixture.withView(view(2, SELF, SECOND));
        return new RepairResponder(fixture.settings, fixture.role, log, fixture.effects);
    }

    private RepairRequester requester() {
        target.role.install(view(2, SECOND), false);
        final Committer committer = new Committer(target.settings, target.role, targetLog, target.effects);
        return new RepairRequester(
                target.settings,
                target.role,
                targetLog,
                new SuccessorLink(target.role, targetLog, target.effects),
                new CatchUpProgress(target.role, targetLog, target.effects),
                committer,
                gracefulLeave,
                target.effects);
    }

    private void appendAtSource(final LogEntry... entries) {
        sourceLog.append(List.of(entries), START);
        source.syncAll(START);
        source.sent();
    }

    private static LogEntry large(final long sequence) {
        final Value document = new Value.ConfigurationDocument(sequence, "x".repeat(40_000));
        return new LogEntry(
                sequence, 1, new Stamp(sequence), List.of(new Entry("d/" + sequence, sequence, List.of(document))));
    }

    /** Delivers the requester's messages and the responder's replies until there are no more; returns the pieces that were sent. */
    private List<ReplicationMessage.RepairRanges> exchange(final long now) {
        final List<ReplicationMessage.RepairRanges> pieces = new ArrayList<>();
        for (List<Message> requests = target.sent(); !requests.isEmpty(); requests = target.sent()) {
            for (final Message request : requests) {
                if (request instanceof ReplicationMessage.CompareDigests digests) {
                    responder.handleCompareDigests(digests, now);
                } else if (request instanceof ReplicationMessage.RepairPieceRequest next) {
                    responder.handleRepairNext(next);
                }
            }
            for (final Message reply : source.sent()) {
                pieces.add((ReplicationMessage.RepairRanges) reply);
                requester.handleRepairRanges((ReplicationMessage.RepairRanges) reply, SOURCE, now);
            }
        }
        return pieces;
    }

    @Test
    void theStateIsReplacedOnceAllPiecesArrivedAndAJoinRequestFollowsTheSync() {
        for (long sequence = 1; sequence <= 6; sequence++) {
            appendAtSource(large(sequence));
        }
        sourceLog.commit(6, START);
        requester.request(SOURCE, START);
        final List<ReplicationMessage.RepairRanges> pieces = exchange(START);
        assertThat("number of pieces", pieces.size(), greaterThan(2));
        assertThat(targetLog.committedSequence(), is(6L));
        assertThat(requester.isJoining(), is(true));
        assertThat("no join request before its log is synced", target.sent(), is(List.of()));
        assertThat(target.written().get(0), instanceOf(LogRecord.Snapshot.class));
        target.syncAll(START);
        assertThat(target.sent().get(0), is(new ReplicationMessage.JoinRequest(2, SELF, 6)));
        assertThat(target.logged().contains(Event.MENDED), is(true));
    }

    @Test
    void aRepairedReplicaRequestsToJoinAgainWhenNoDigestDiffers() {
        appendAtSource(entry(1));
        sourceLog.commit(1, START);
        requester.request(SOURCE, START);
        exchange(START);
        target.syncAll(START);
        target.sent();
        requester.request(SOURCE, START + RETRY_MICROS);
        final ReplicationMessage.CompareDigests request =
                (ReplicationMessage.CompareDigests) target.sent().get(0);
        responder.handleCompareDigests(request, START);
        requester.handleRepairRanges(
                (ReplicationMessage.RepairRanges) source.sent().get(0), SOURCE, START);
        assertThat(target.sent().get(0), is(new ReplicationMessage.JoinRequest(2, SELF, 1)));
        assertThat(
                "no second snapshot is written",
                target.written().stream()
                        .filter(LogRecord.Snapshot.class::isInstance)
                        .count(),
                is(1L));
    }

    @Test
    void aLeavingReplicaIsRepairedButDoesNotRequestToJoin() {
        appendAtSource(entry(1));
        sourceLog.commit(1, START);
        gracefulLeave.begin();
        requester.request(SOURCE, START);
        exchange(START);
        target.syncAll(START);
        assertThat(targetLog.committedSequence(), is(1L));
        assertThat(target.sent(), is(List.of()));
    }

    @Test
    void entriesSyncedButNotCommittedAtTheSourceAreRepairedToo() {
        appendAtSource(entry(1), entry(2));
        sourceLog.commit(1, START);
        requester.request(SOURCE, START);
        exchange(START);
        assertThat(targetLog.pendingEntries(), is(List.of(entry(2))));
        final ReplicaFixture unguarded = new ReplicaFixture(Safeguard.REPAIR_PENDING);
        final ReplicaLog log = ReplicaFixture.log(unguarded, syncedAt -> {}, sequence -> {});
        final RepairResponder unguardedResponder = responder(unguarded, log);
        log.append(List.of(entry(1)), START);
        unguarded.syncAll(START);
        unguardedResponder.handleCompareDigests(
                new ReplicationMessage.CompareDigests(2, SECOND, 0, new long[ReplicaLog.DIGEST_RANGES]), START);
        assertThat(
                "with the safeguard disabled",
                ((ReplicationMessage.RepairRanges) unguarded.sent().get(0)).pending(),
                is(List.of()));
    }

    @Test
    void aRequestIsSentOncePerRetryAndOnlyToAnActiveMemberOfTheView() {
        requester.request(SOURCE, START);
        requester.request(SOURCE, START + RETRY_MICROS - 1);
        assertThat(target.sent().size(), is(1));
        requester.request(SOURCE, START + RETRY_MICROS);
        final ReplicationMessage.CompareDigests request =
                (ReplicationMessage.CompareDigests) target.sent().get(0);
        source.role.fenceOutdatedLog();
        responder.handleCompareDigests(request, START);
        assertThat(source.sent(), is(List.of()));
    }

    @Test
    void aPieceOfAnOlderRepairOrOfNoneIsNotSent() {
        responder.handleRepairNext(new ReplicationMessage.RepairPieceRequest(2, SECOND, 0, 0));
        assertThat("no repair in progress", source.sent(), is(List.of()));
        for (long sequence = 1; sequence <= 6; sequence++) {
            appendAtSource(large(sequence));
        }
        sourceLog.commit(6, START);
        responder.handleCompareDigests(
                new ReplicationMessage.CompareDigests(2, SECOND, 0, new long[ReplicaLog.DIGEST_RANGES]), START);
        source.sent();
        responder.handleRepairNext(new ReplicationMessage.RepairPieceRequest(2, SECOND, 5, 1));
        responder.handleRepairNext(new ReplicationMessage.RepairPieceRequest(2, SECOND, 6, -1));
        responder.handleRepairNext(new ReplicationMessage.RepairPieceRequest(2, SECOND, 6, 99));
        responder.handleRepairNext(new ReplicationMessage.RepairPieceRequest(1, SECOND, 6, 1));
        assertThat(source.sent(), is(List.of()));
        responder.handleRepairNext(new ReplicationMessage.RepairPieceRequest(2, SECOND, 6, 1));
        assertThat(((ReplicationMessage.RepairRanges) source.sent().get(0)).piece(), is(1));
        responder.installView();
        responder.handleRepairNext(new ReplicationMessage.RepairPieceRequest(2, SECOND, 6, 1));
        assertThat("after another view was installed", source.sent(), is(List.of()));
    }
}
