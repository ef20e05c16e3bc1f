package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import silverlatch.node.Event;
import silverlatch.state.Command;
import silverlatch.state.Value;

/** Hundreds of large changes over links of 7 Mbit/s and disks of 64 MB at 5 ms a sync, with a member away for them. */
final class CatchUpTest {
    private static final long SECOND = 1_000_000;
    private static final long LINK_BYTES_PER_SECOND = 7_000_000 / 8;
    private static final long SYNC_MICROS = 5_000;
    private static final long DISK_BYTES = 64L << 20;
    private static final List<String> SIX = List.of("a", "b", "c", "d", "e", "f");
    private static final int ROUTES = 500;
    private static final int DOCUMENT_BYTES = 150_000;

    private static ReplicaCluster cluster(final int members) {
        final List<String> seeds = SIX.subList(0, 3);
        final ReplicaCluster cluster = new ReplicaCluster(seeds, 1_000, s -> s.withCounts(2, members))
                .withLimits(LINK_BYTES_PER_SECOND, SYNC_MICROS, DISK_BYTES);
        SIX.subList(0, members).forEach(s -> cluster.start(s, true));
        cluster.advanceUntil(60 * SECOND, () -> isChainComplete(cluster, members));
        assertThat("the chain is whole" + cluster, isChainComplete(cluster, members), is(true));
        return cluster;
    }

    private static boolean isChainComplete(final ReplicaCluster cluster, final int members) {
        return cluster.running().size() == members
                && cluster.running().stream().allMatch(s -> {
                    final ReplicaStatus status = cluster.replica(s).status(cluster.now());
                    return status.isCaughtUp()
                            && status.isLeased()
                            && status.view().chain().size() == members;
                });
    }

    /** A document of some 150 KB and 500 routes; all routes of an odd one differ from those before. */
    private static Command.PutConfiguration document(final long number, final boolean renamed) {
        final List<Value.Route> routes = new ArrayList<>();
        for (int i = 0; i < ROUTES; i++) {
            final long latencyTarget = number % 2 == 1 || i == number % ROUTES ? number : 0;
            routes.add(new Value.Route(
                    "route-" + i,
                    "host-" + i + (renamed ? "-" + number : "") + ".tenant.example",
                    "/v1/completions/" + i + "/",
                    false,
                    false,
                    false,
                    false,
                    1,
                    1_000 + latencyTarget,
                    0,
                    0,
                    1,
                    List.of(),
                    List.of(new Value.WeightedBackend("pool", 1))));
        }
        return new Command.PutConfiguration(
                "document-" + number,
                new Value.RoutingConfiguration(number, 1, 1, 1, 1),
                routes,
                List.of(new Value.BackendPool("pool", "/", 1, 0, 1, 1, 0, 1)),
                "x".repeat(DOCUMENT_BYTES - 20) + number,
                -1);
    }

    /** Prints a measured figure where one is asked for. */
    private static void printMeasurement(final String text) {
        if (Boolean.getBoolean("silverlatch.figures")) {
            System.out.println(text);
        }
    }

    private static void put(final ReplicaCluster cluster, final String at, final long number) {
        put(cluster, at, number, false);
    }

    private static void put(final ReplicaCluster cluster, final String at, final long number, final boolean renamed) {
        final PendingCall call = cluster.submit(at, document(number, renamed), 20 * SECOND);
        cluster.advanceUntil(20 * SECOND, () -> call.answer().isPresent());
        assertThat("document " + number + " at " + at + " " + call.answer() + cluster, call.isAcknowledged(), is(true));
    }

    @ParameterizedTest
    @ValueSource(ints = {3, 6})
    void aMemberThatMissedManyDocumentsCatchesUpInBoundedTime(final int members) {
        final ReplicaCluster cluster = cluster(members);
        final String away = SIX.get(members - 1);
        put(cluster, "a", 1);
        cluster.kill(away);
        cluster.advance(3 * SECOND);
        final int count = Integer.getInteger("silverlatch.documents", 60);
        for (int number = 2; number <= count; number++) {
            put(cluster, "a", number);
        }
        final long before = cluster.links().receivedBytes(away);
        final long suspected = cluster.loggedCount(Event.CHAIN_SUSPECT);
        cluster.start(away, false);
        final long span = cluster.advanceUntil(60 * SECOND, () -> isChainComplete(cluster, members));
        final long bytes = cluster.links().receivedBytes(away) - before;
        final long disk = cluster.running().stream()
                .mapToLong(s -> cluster.simulatedDisk(s).peakBytes())
                .max()
                .orElseThrow();
        printMeasurement("members " + members + " documents " + count + " back after us " + span + " bytes " + bytes
                + " largest disk " + disk + " entries "
                + cluster.replica(away).stateMachine().allEntries().size());
        assertThat("it is back" + cluster, span, greaterThan(0L));
        assertThat("in a bounded time", span, lessThan(4 * SECOND));
        assertThat("with bounded bytes", bytes, lessThan(2L << 20));
        assertThat("in an eighth of the disk", disk, lessThan(DISK_BYTES / 8));
        assertThat("nobody was taken for dead", cluster.loggedCount(Event.CHAIN_SUSPECT), is(suspected));
        SIX.subList(0, members - 2).forEach(cluster::kill);
        cluster.advance(SECOND);
        assertThat(cluster.committedNumber(away), is((long) count));
    }

    @Test
    void aMemberCatchesUpWhileEightLargeDocumentsAreInFlight() {
        final ReplicaCluster cluster = cluster(3);
        put(cluster, "a", 1);
        cluster.kill("c");
        cluster.advance(3 * SECOND);
        long number = 1;
        for (int i = 0; i < 10; i++) {
            put(cluster, "a", ++number);
        }
        final long suspected = cluster.loggedCount(Event.CHAIN_SUSPECT);
        cluster.start("c", false);
        boolean hasRejoined = false;
        long slowest = 0;
        for (int round = 0; round < 10; round++) {
            final List<PendingCall> calls = new ArrayList<>();
            for (int i = 0; i < 8; i++) {
                calls.add(cluster.submit(i % 2 == 0 ? "a" : "b", document(++number, false), 30 * SECOND));
            }
            final long span = cluster.advanceUntil(
                    30 * SECOND, () -> calls.stream().allMatch(a -> a.answer().isPresent()));
            printMeasurement("eight at once took us " + span + ", back " + isChainComplete(cluster, 3));
            assertThat("eight are taken in a bounded time" + cluster, span, greaterThan(0L));
            slowest = Math.max(slowest, span);
            hasRejoined |= isChainComplete(cluster, 3);
        }
        assertThat("the slowest eight", slowest, lessThan(10 * SECOND));
        assertThat("it is back while the writes go on" + cluster, hasRejoined, is(true));
        assertThat("nobody was taken for dead" + cluster, cluster.loggedCount(Event.CHAIN_SUSPECT), is(suspected));
    }

    @Test
    void anEmptyMachineIsSentALargeStateOnlyOnce() {
        final ReplicaCluster cluster = cluster(3);
        final int count = Integer.getInteger("silverlatch.renamed", 40);
        for (int number = 1; number <= count; number++) {
            put(cluster, "a", number, true);
        }
        final long stateBytes = cluster.replica("a").stateMachine().allEntries().stream()
                .mapToLong(silverlatch.state.Entry::estimatedBytes)
                .sum();
        cluster.kill("c");
        cluster.loseDisk("c");
        cluster.advance(3 * SECOND);
        final long suspected = cluster.loggedCount(Event.CHAIN_SUSPECT);
        final long before = cluster.links().receivedBytes("c");
        cluster.start("c", false);
        final long span = cluster.advanceUntil(60 * SECOND, () -> isChainComplete(cluster, 3));
        final long bytes = cluster.links().receivedBytes("c") - before;
        printMeasurement("empty machine, " + count + " documents of new names: entries "
                + cluster.replica("a").stateMachine().allEntries().size() + " weight " + stateBytes + " back after us "
                + span
                + " bytes "
                + bytes + " largest disk "
                + cluster.running().stream()
                        .mapToLong(s -> cluster.simulatedDisk(s).peakBytes())
                        .max()
                        .orElseThrow());
        assertThat("it is in the chain" + cluster, span, greaterThan(0L));
        assertThat("the state was sent once", bytes, lessThan(stateBytes));
        assertThat("nobody was taken for dead", cluster.loggedCount(Event.CHAIN_SUSPECT), is(suspected));
    }
}
