package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import silverlatch.log.LogRecord;
import silverlatch.node.Event;
import silverlatch.state.Command;
import silverlatch.state.Value;

/**
 * Guards against stale reads, lost writes and members that don't rejoin when a disk fills up, stalls, slows down, or is restored
 * from an older copy of the data directory, for each position in the chain.
 */
final class DiskFailureTest {
    private static final long SECOND = 1_000_000;
    private static final List<String> SEEDS = List.of("a", "b", "c");
    private final ReplicaCluster cluster =
            new ReplicaCluster(SEEDS, 1_000, s -> s.withCounts(2, 3)).withLimits(7_000_000 / 8, 5_000, 64L << 20);
    private long number;
    private int documentCharacters = 300_000;

    private void start() {
        SEEDS.forEach(s -> cluster.start(s, true));
        assertThat(
                "the chain is complete", cluster.advanceUntil(20 * SECOND, () -> isChainComplete()), greaterThan(0L));
    }

    private boolean isChainComplete() {
        return cluster.running().size() == 3
                && cluster.running().stream().allMatch(address -> {
                    final ReplicaStatus status = cluster.replica(address).status(cluster.now());
                    return status.isCaughtUp()
                            && status.isLeased()
                            && status.view().chain().size() == 3;
                });
    }

    /** Puts documents until one is acknowledged; each attempt uses another document. */
    private void put(final String at) {
        for (int attempt = 0; attempt < 10; attempt++) {
            final PendingCall call = cluster.submit(at, document(++number), 3 * SECOND);
            cluster.advanceUntil(4 * SECOND, () -> call.answer().isPresent());
            if (call.isAcknowledged()) {
                return;
            }
        }
        throw new AssertionError("no document is acknowledged at " + at + cluster);
    }

    private Command.PutConfiguration document(final long number) {
        final Command.PutConfiguration base = ReplicaCluster.configuration(number, -1);
        return new Command.PutConfiguration(
                "document-" + number,
                base.configuration(),
                base.routes(),
                base.pools(),
                "x".repeat(documentCharacters) + number,
                -1);
    }

    private long readAt(final String address) {
        final PendingCall call = cluster.read(address, 3 * SECOND);
        cluster.advanceUntil(4 * SECOND, () -> call.answer().isPresent());
        return number(call);
    }

    /** Returns the number of the document that was read, or -1 if the read wasn't answered. */
    private static long number(final PendingCall call) {
        return call.answer()
                .filter(r -> r instanceof ChainClient.ReadResult p && p.answered())
                .map(r -> ((ChainClient.ReadResult) r)
                        .entries().stream()
                                .filter(e -> !e.isDeleted())
                                .mapToLong(e ->
                                        ((Value.ConfigurationDocument) e.value().get(0)).number())
                                .max()
                                .orElse(0))
                .orElse(-1L);
    }

    private String other(final String address) {
        return SEEDS.stream().filter(s -> !s.equals(address)).findFirst().orElseThrow();
    }

    /** Kills all machines except this one and one other, and checks that the newest acknowledged document is read and writes work. */
    private void assertServesWithOneOther(final String address) {
        final long acknowledged = number;
        SEEDS.stream()
                .filter(s -> !s.equals(address) && !s.equals(other(address)))
                .forEach(cluster::kill);
        cluster.advance(3 * SECOND);
        assertThat("the newest acknowledged document is read" + cluster, readAt(address), is(acknowledged));
        put(address);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void aMemberWhoseDiskFillsDuringASnapshotRejoinsOnceThereIsSpace(final String address) {
        start();
        cluster.simulatedDisk(address).failFromNextSnapshot();
        for (int i = 0; i < 20; i++) {
            put(other(address));
        }
        assertThat("disk failures", cluster.loggedCount(Event.DISK_BROKEN), greaterThanOrEqualTo(1L));
        assertThat(
                "the member holds a lease",
                cluster.replica(address).status(cluster.now()).isLeased(),
                is(false));
        cluster.simulatedDisk(address).setFull(false);
        assertThat(
                "the member rejoins without a restart" + cluster,
                cluster.advanceUntil(6 * SECOND, () -> isChainComplete()),
                greaterThan(0L));
        put(other(address));
        assertServesWithOneOther(address);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void aMemberWhoseDiskStallsRejoinsAfterTheStall(final String address) {
        start();
        put(other(address));
        cluster.simulatedDisk(address).stallUntil(cluster.now() + 8 * SECOND);
        final long startedAt = cluster.now();
        put(other(address));
        assertThat("the others acknowledge writes meanwhile", cluster.now() - startedAt < 6 * SECOND, is(true));
        cluster.advance(8 * SECOND);
        assertThat(
                "the member rejoins" + cluster,
                cluster.advanceUntil(6 * SECOND, () -> isChainComplete()),
                greaterThanOrEqualTo(0L));
        put(other(address));
        assertServesWithOneOther(address);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void aSlowDiskOnlySlowsDownWrites(final String address) {
        start();
        cluster.simulatedDisk(address).setSyncMicros(150_000);
        for (int i = 0; i < 5; i++) {
            put(other(address));
        }
        cluster.simulatedDisk(address).setSyncMicros(5_000);
        assertThat(
                "the chain is complete" + cluster,
                cluster.advanceUntil(6 * SECOND, () -> isChainComplete()),
                greaterThanOrEqualTo(0L));
        assertServesWithOneOther(address);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void aMemberWithAnOldCopyOfItsDataDirectoryAnswersNoReadFromIt(final String address) {
        documentCharacters = 300;
        start();
        put(other(address));
        final List<LogRecord> copy = List.copyOf(cluster.syncedRecords(address));
        for (int i = 0; i < 5; i++) {
            put(other(address));
        }
        final long acknowledged = number;
        cluster.advance(SECOND);
        cluster.kill(address);
        cluster.syncedRecords(address).clear();
        cluster.syncedRecords(address).addAll(copy);
        cluster.start(address, false);
        final List<PendingCall> reads = new ArrayList<>();
        final List<PendingCall> writes = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            reads.add(cluster.read(SEEDS.get(i % 3), SECOND));
            if (i % 20 == 0) {
                writes.add(cluster.submit(address, document(acknowledged), SECOND));
            }
            cluster.advance(50_000);
            reads.removeIf(r -> {
                final Optional<Object> answer = r.answer();
                assertThat(
                        "no older document is read" + cluster, number(r) == -1 || number(r) >= acknowledged, is(true));
                return answer.isPresent();
            });
        }
        assertThat(
                "the member rejoins" + cluster,
                cluster.advanceUntil(10 * SECOND, () -> isChainComplete()),
                greaterThanOrEqualTo(0L));
        put(other(address));
        assertServesWithOneOther(address);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void afterAPowerCutOfAllNoReadIsOlderThanTheAcknowledgedWrite(final String missing) {
        documentCharacters = 300;
        start();
        for (int i = 0; i < 3; i++) {
            put("a");
        }
        final long acknowledged = number;
        SEEDS.forEach(cluster::kill);
        SEEDS.stream().filter(s -> !s.equals(missing)).forEach(s -> cluster.start(s, false));
        final List<PendingCall> reads = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            for (final String address : cluster.running()) {
                reads.add(cluster.read(address, 5 * SECOND));
            }
            cluster.advance(20_000);
        }
        cluster.advance(5 * SECOND);
        reads.forEach(r -> assertThat("a read" + cluster, number(r) == -1 || number(r) == acknowledged, is(true)));
        assertThat("reads are answered", reads.stream().anyMatch(r -> number(r) == acknowledged), is(true));
        cluster.start(missing, false);
        assertThat(
                "all members rejoin" + cluster,
                cluster.advanceUntil(10 * SECOND, () -> isChainComplete()),
                greaterThanOrEqualTo(0L));
        assertServesWithOneOther(missing);
    }
}
