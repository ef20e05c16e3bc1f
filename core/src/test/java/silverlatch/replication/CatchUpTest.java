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

/**
 * Guards against members that never catch up, or are suspected by others meanwhile, because large entries fill slow links and small
 * disks: a member misses many large documents, with links of 7 Mbit/s and disks of 64 MiB that need 5 ms per sync.
 */
final class CatchUpTest {
    private static final long SECOND = 1_000_000;
    private static final long LINK_BYTES_PER_SECOND = 7_000_000 / 8;
    private static final long SYNC_MICROS = 5_000;
    private static final long DISK_BYTES = 64L << 20;
    private static final List<String> ADDRESSES = List.of("a", "b", "c", "d", "e", "f");
    private static final int ROUTES = 500;
    private static final int DOCUMENT_BYTES = 150_000;

    private static ReplicaCluster cluster(final int members) {
        final List<String> seeds = ADDRESSES.subList(0, 3);
        final ReplicaCluster cluster = new ReplicaCluster(seeds, 1_000, s -> s.withCounts(2, members))
                .withLimits(LINK_BYTES_PER_SECOND, SYNC_MICROS, DISK_BYTES);
        ADDRESSES.subList(0, members).forEach(s -> cluster.start(s, true));
        cluster.advanceUntil(60 * SECOND, () -> isChainComplete(cluster, members));
        assertThat("the chain is complete" + cluster, isChainComplete(cluster, members), is(true));
        return cluster;
    }

    private static boolean isChainComplete(final ReplicaCluster cluster, final int members) {
        return cluster.running().size() == members
                && cluster.running().stream().allMatch(address -> {
                    final ReplicaStatus status = cluster.replica(address).status(cluster.now());
                    return status.isCaughtUp()
                            && status.isLeased()
                            && status.view().chain().size() == members;
                });
    }

    /**
     * Returns a command that puts a document of about 150 KB with 500 routes. All routes of an odd
     * number have a latency target that no earlier document had; those of an even number have the same one, except for one
     * route. {@code renamed} gives all routes new keys.
     */
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

    /** Prints a measurement if {@code -Dsilverlatch.figures=true} is set. */
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
        final String missing = ADDRESSES.get(members - 1);
        put(cluster, "a", 1);
        cluster.kill(missing);
        cluster.advance(3 * SECOND);
        final int count = Integer.getInteger("silverlatch.documents", 60);
        for (int number = 2; number <= count; number++) {
            put(cluster, "a", number);
        }
        final long bytesBefore = cluster.links().receivedBytes(missing);
        final long suspected = cluster.loggedCount(Event.CHAIN_SUSPECT);
        cluster.start(missing, false);
        final long span = cluster.advanceUntil(60 * SECOND, () -> isChainComplete(cluster, members));
        final long bytes = cluster.links().receivedBytes(missing) - bytesBefore;
        final long disk = cluster.running().stream()
                .mapToLong(s -> cluster.simulatedDisk(s).peakBytes())
                .max()
                .orElseThrow();
        printMeasurement("members " + members + " documents " + count + " rejoined after us " + span + " bytes " + bytes
                + " largest disk " + disk + " entries "
                + cluster.replica(missing).stateMachine().allEntries().size());
        assertThat("the member rejoins" + cluster, span, greaterThan(0L));
        assertThat("time to rejoin", span, lessThan(4 * SECOND));
        assertThat("bytes received", bytes, lessThan(2L << 20));
        assertThat("largest disk usage", disk, lessThan(DISK_BYTES / 8));
        assertThat("no member was suspected", cluster.loggedCount(Event.CHAIN_SUSPECT), is(suspected));
        ADDRESSES.subList(0, members - 2).forEach(cluster::kill);
        cluster.advance(SECOND);
        assertThat(cluster.committedNumber(missing), is((long) count));
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
            printMeasurement("eight at once took us " + span + ", rejoined " + isChainComplete(cluster, 3));
            assertThat("eight documents are acknowledged in time" + cluster, span, greaterThan(0L));
            slowest = Math.max(slowest, span);
            hasRejoined |= isChainComplete(cluster, 3);
        }
        assertThat("time of the slowest eight documents", slowest, lessThan(10 * SECOND));
        assertThat("the member rejoins during the writes" + cluster, hasRejoined, is(true));
        assertThat("no member was suspected" + cluster, cluster.loggedCount(Event.CHAIN_SUSPECT), is(suspected));
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
        final long bytesBefore = cluster.links().receivedBytes("c");
        cluster.start("c", false);
        final long span = cluster.advanceUntil(60 * SECOND, () -> isChainComplete(cluster, 3));
        final long bytes = cluster.links().receivedBytes("c") - bytesBefore;
        printMeasurement("empty machine, " + count + " documents with new route keys: entries "
                + cluster.replica("a").stateMachine().allEntries().size() + " bytes of state " + stateBytes
                + " rejoined after us "
                + span
                + " bytes "
                + bytes + " largest disk "
                + cluster.running().stream()
                        .mapToLong(s -> cluster.simulatedDisk(s).peakBytes())
                        .max()
                        .orElseThrow());
        assertThat("the member rejoins" + cluster, span, greaterThan(0L));
        assertThat("bytes received", bytes, lessThan(stateBytes));
        assertThat("no member was suspected", cluster.loggedCount(Event.CHAIN_SUSPECT), is(suspected));
    }
}
