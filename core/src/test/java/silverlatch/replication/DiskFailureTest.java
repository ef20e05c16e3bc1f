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

/** Disks that fill, stall, slow down, or come back with an older copy of the folder, at each place of the chain. */
final class DiskFailureTest {
    private static final long SECOND = 1_000_000;
    private static final List<String> SEATS = List.of("a", "b", "c");
    private final ReplicaCluster cluster =
            new ReplicaCluster(SEATS, 1_000, s -> s.counts(2, 3)).limited(7_000_000 / 8, 5_000, 64L << 20);
    private long number;
    private int characters = 300_000;

    private void start() {
        SEATS.forEach(s -> cluster.start(s, true));
        assertThat("the chain is whole", cluster.until(20 * SECOND, () -> whole()), greaterThan(0L));
    }

    private boolean whole() {
        return cluster.up().size() == 3
                && cluster.up().stream().allMatch(s -> {
                    final ChainReplica.State state = cluster.quay(s).state(cluster.now());
                    return state.level()
                            && state.leased()
                            && state.view().chain().size() == 3;
                });
    }

    /** Puts documents until one is acknowledged; each try is a document of its own. */
    private void put(final String at) {
        for (int tries = 0; tries < 10; tries++) {
            final ReplicaCluster.Asked asked = cluster.order(at, document(++number), 3 * SECOND);
            cluster.until(4 * SECOND, () -> asked.answer().isPresent());
            if (asked.kept()) {
                return;
            }
        }
        throw new AssertionError("no document is taken at " + at + cluster);
    }

    private Command.PutConfiguration document(final long number) {
        final Command.PutConfiguration plain = ReplicaCluster.charter(number, -1);
        return new Command.PutConfiguration(
                "document-" + number,
                plain.configuration(),
                plain.routes(),
                plain.pools(),
                "x".repeat(characters) + number,
                -1);
    }

    private long readAt(final String seat) {
        final ReplicaCluster.Asked asked = cluster.read(seat, 3 * SECOND);
        cluster.until(4 * SECOND, () -> asked.answer().isPresent());
        return number(asked);
    }

    /** The number that was read; -1 where nobody answered. */
    private static long number(final ReplicaCluster.Asked asked) {
        return asked.answer()
                .filter(r -> r instanceof ChainClient.Page p && p.ok())
                .map(r -> ((ChainClient.Page) r)
                        .entries().stream()
                                .filter(e -> !e.isDeleted())
                                .mapToLong(e ->
                                        ((Value.ConfigurationDocument) e.value().get(0)).number())
                                .max()
                                .orElse(0))
                .orElse(-1L);
    }

    private String other(final String seat) {
        return SEATS.stream().filter(s -> !s.equals(seat)).findFirst().orElseThrow();
    }

    /** All but one other lose power: what the member has now must be what was acknowledged. */
    private void isLeftWithOneOther(final String seat) {
        final long acknowledged = number;
        SEATS.stream().filter(s -> !s.equals(seat) && !s.equals(other(seat))).forEach(cluster::kill);
        cluster.pass(3 * SECOND);
        assertThat("it answers with what was acknowledged" + cluster, readAt(seat), is(acknowledged));
        put(seat);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void aDiskThatFillsInTheMiddleOfASnapshotCostsItsMemberOnlyTheTimeThatItIsFull(final String seat) {
        start();
        cluster.modelDisk(seat).fullAtSnapshot();
        for (int i = 0; i < 20; i++) {
            put(other(seat));
        }
        assertThat("the disk failed", cluster.logged(Event.DISK_BROKEN), greaterThanOrEqualTo(1L));
        assertThat("it takes no part", cluster.quay(seat).state(cluster.now()).leased(), is(false));
        cluster.modelDisk(seat).full(false);
        assertThat("it is back without a restart" + cluster, cluster.until(6 * SECOND, () -> whole()), greaterThan(0L));
        put(other(seat));
        isLeftWithOneOther(seat);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void aDiskThatStallsForSecondsCostsItsMemberOnlyThatTime(final String seat) {
        start();
        put(other(seat));
        cluster.modelDisk(seat).stall(cluster.now() + 8 * SECOND);
        final long began = cluster.now();
        put(other(seat));
        assertThat("the others went on", cluster.now() - began < 6 * SECOND, is(true));
        cluster.pass(8 * SECOND);
        assertThat("it is back" + cluster, cluster.until(6 * SECOND, () -> whole()), greaterThanOrEqualTo(0L));
        put(other(seat));
        isLeftWithOneOther(seat);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void aSlowDiskSlowsChangesAndNothingElse(final String seat) {
        start();
        cluster.modelDisk(seat).sync(150_000);
        for (int i = 0; i < 5; i++) {
            put(other(seat));
        }
        cluster.modelDisk(seat).sync(5_000);
        assertThat("the chain is whole" + cluster, cluster.until(6 * SECOND, () -> whole()), greaterThanOrEqualTo(0L));
        isLeftWithOneOther(seat);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void anOldCopyOfAFolderNeitherAnswersNorLeads(final String seat) {
        characters = 300;
        start();
        put(other(seat));
        final List<LogRecord> copy = List.copyOf(cluster.disk(seat));
        for (int i = 0; i < 5; i++) {
            put(other(seat));
        }
        final long acknowledged = number;
        cluster.pass(SECOND);
        cluster.kill(seat);
        cluster.disk(seat).clear();
        cluster.disk(seat).addAll(copy);
        cluster.start(seat, false);
        final List<ReplicaCluster.Asked> reads = new ArrayList<>();
        final List<ReplicaCluster.Asked> writes = new ArrayList<>();
        for (int i = 0; i < 100; i++) {
            reads.add(cluster.read(SEATS.get(i % 3), SECOND));
            if (i % 20 == 0) {
                writes.add(cluster.order(seat, document(acknowledged), SECOND));
            }
            cluster.pass(50_000);
            reads.removeIf(r -> {
                final Optional<Object> answer = r.answer();
                assertThat("nothing older is read" + cluster, number(r) == -1 || number(r) >= acknowledged, is(true));
                return answer.isPresent();
            });
        }
        assertThat("it is back" + cluster, cluster.until(10 * SECOND, () -> whole()), greaterThanOrEqualTo(0L));
        put(other(seat));
        isLeftWithOneOther(seat);
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void afterALossOfPowerOfAllNobodyAnswersWithLessThanWasAcknowledged(final String missing) {
        characters = 300;
        start();
        for (int i = 0; i < 3; i++) {
            put("a");
        }
        final long acknowledged = number;
        SEATS.forEach(cluster::kill);
        SEATS.stream().filter(s -> !s.equals(missing)).forEach(s -> cluster.start(s, false));
        final List<ReplicaCluster.Asked> reads = new ArrayList<>();
        for (int i = 0; i < 150; i++) {
            for (final String seat : cluster.up()) {
                reads.add(cluster.read(seat, 5 * SECOND));
            }
            cluster.pass(20_000);
        }
        cluster.pass(5 * SECOND);
        reads.forEach(r -> assertThat("a read" + cluster, number(r) == -1 || number(r) == acknowledged, is(true)));
        assertThat("reads are answered", reads.stream().anyMatch(r -> number(r) == acknowledged), is(true));
        cluster.start(missing, false);
        assertThat("all are back" + cluster, cluster.until(10 * SECOND, () -> whole()), greaterThanOrEqualTo(0L));
        isLeftWithOneOther(missing);
    }
}
