package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import silverlatch.state.Entry;
import silverlatch.state.Value;

/** Helpers for simulated clusters of up to six machines with a link delay of 35 ms: start, views, and checked writes and reads. */
final class SixReplicas {
    static final List<String> ADDRESSES = List.of("a", "b", "c", "d", "e", "f");
    static final List<String> SEEDS = List.of("a", "b", "c");
    static final long LINK_DELAY_MICROS = 35_000;
    private static final long SECOND = 1_000_000;

    private SixReplicas() {}

    /** Starts six machines, three of them seeds, and waits until all six are voters. */
    static ReplicaCluster startSix(final int minReplicas) {
        final ReplicaCluster cluster = new ReplicaCluster(
                SEEDS, LINK_DELAY_MICROS, settings -> settings.withCounts(minReplicas, ADDRESSES.size()));
        ADDRESSES.forEach(address -> cluster.start(address, true));
        assertThat(
                "all six are voters",
                cluster.advanceUntil(30 * SECOND, () -> voters(cluster).equals(Set.copyOf(ADDRESSES))) >= 0,
                is(true));
        cluster.advance(2 * SECOND);
        return cluster;
    }

    /** Returns the newest view that a running machine has installed. */
    static View view(final ReplicaCluster cluster) {
        return cluster.running().stream()
                .map(address -> cluster.replica(address).view())
                .max(Comparator.comparingLong(View::number))
                .orElseThrow();
    }

    /** Returns the addresses of the voters of the newest view. */
    static Set<String> voters(final ReplicaCluster cluster) {
        return view(cluster).voters().stream().map(Replica::address).collect(Collectors.toSet());
    }

    /** Returns the addresses of the chain members of the newest view. */
    static Set<String> chain(final ReplicaCluster cluster) {
        return view(cluster).chain().stream().map(Replica::address).collect(Collectors.toSet());
    }

    /** Puts a configuration on top of the expected revision through one machine; fails unless it is acknowledged. */
    static void put(final ReplicaCluster cluster, final String at, final long number, final long expectedRevision) {
        final PendingCall call = cluster.putConfiguration(at, number, expectedRevision, 6 * SECOND);
        cluster.advanceUntil(7 * SECOND, () -> call.latency() > 0);
        assertThat(number + " by " + at + ": " + call.answerOrThrow(), call.isAcknowledged(), is(true));
    }

    /** Fails unless a read through each running machine returns the configuration of this number. */
    static void assertNewest(final ReplicaCluster cluster, final long number) {
        cluster.running().forEach(address -> {
            final PendingCall call = cluster.read(address, 3 * SECOND);
            cluster.advanceUntil(4 * SECOND, () -> call.latency() > 0);
            final ChainClient.ReadResult result = (ChainClient.ReadResult) call.answerOrThrow();
            assertThat(address + " answers the read" + cluster, result.answered(), is(true));
            assertThat(
                    address,
                    result.entries().stream()
                            .filter(entry -> !entry.isDeleted())
                            .map(SixReplicas::documentText)
                            .toList(),
                    is(List.of("paper " + number)));
        });
    }

    /** Returns the text of a configuration document. */
    static String documentText(final Entry entry) {
        return ((Value.ConfigurationDocument) entry.value().get(0)).text();
    }

    /** Reads the configuration through one machine and returns the answer. */
    static Object read(final ReplicaCluster cluster, final String at) {
        final PendingCall call = cluster.read(at, SECOND);
        cluster.advanceUntil(2 * SECOND, () -> call.latency() > 0);
        return call.answerOrThrow();
    }
}
