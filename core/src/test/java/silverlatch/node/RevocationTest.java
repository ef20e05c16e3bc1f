package silverlatch.node;

import static silverlatch.node.ClusterSteps.SECOND;
import static silverlatch.node.ClusterSteps.acknowledge;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.routing.KeyAcceptance;
import silverlatch.safeguard.Safeguards;

/** Keys that were taken away, at gateways in touch and out of touch; whole nodes on a simulated clock. */
final class RevocationTest {
    private static final long DEADLINE = 5 * SECOND;
    private static final long LEASE = DEADLINE * 9 / 10;
    private static final long GRACE = 3_500_000L;

    private final KeyAcceptance byLease = new KeyAcceptance(DEADLINE);

    private static NodeCluster cluster(final long seed) {
        final NodeCluster cluster = new NodeCluster(3, 4, seed, Safeguards.ALL, GRACE);
        acknowledge(cluster, cluster.controllers(), 1, 5 * SECOND);
        cluster.advance(2 * SECOND);
        return cluster;
    }

    private KeyMonitor watch(final NodeCluster cluster) {
        return new KeyMonitor(cluster, DEADLINE, byLease);
    }

    private static List<String> machines(final NodeCluster cluster) {
        final List<String> all = new ArrayList<>(cluster.controllers());
        all.addAll(cluster.gateways());
        return all;
    }

    private static List<String> seeds(final NodeCluster cluster) {
        final List<String> seeds = new ArrayList<>(cluster.controllers());
        seeds.addAll(List.of("g0", "g1"));
        return seeds;
    }

    @Test
    void zzMeasure() {
        for (int seed = 0; seed < 5; seed++) {
            final NodeCluster cluster = cluster(100 + seed);
            final KeyMonitor keys = watch(cluster);
            cluster.advance(5 * SECOND);
            System.out.println("seed " + seed + " start " + keys.drainLongestRefusal());
            cluster.advance(20 * SECOND);
            System.out.println(" idle " + keys.drainLongestRefusal());
            for (int n = 2; n < 12; n++) {
                acknowledge(cluster, cluster.controllers(), n, 5 * SECOND);
            }
            System.out.println(" ten configurations " + keys.drainLongestRefusal());
            final List<String> side = List.of("g0", "g1");
            final List<String> rest = new ArrayList<>(machines(cluster));
            rest.removeAll(side);
            cluster.links().partition(side, rest);
            cluster.advance(6 * SECOND);
            System.out.println(" cut 6 s " + keys.drainLongestRefusal());
            cluster.links().heal();
            System.out.println(" regained after " + cluster.advanceUntil(10 * SECOND, keys::areAllAccepting));
            System.out.println(" refused then " + keys.drainLongestRefusal());
            final List<String> side2 = List.of("c0", "g0");
            final List<String> rest2 = new ArrayList<>(machines(cluster));
            rest2.removeAll(side2);
            cluster.links().partition(side2, rest2);
            cluster.advance(6 * SECOND);
            System.out.println(" cut with controller 6 s " + keys.drainLongestRefusal());
            cluster.links().heal();
            System.out.println(" regained after " + cluster.advanceUntil(10 * SECOND, keys::areAllAccepting));
            cluster.advance(5 * SECOND);
            machines(cluster).forEach(cluster::powerOff);
            cluster.advance(2 * SECOND);
            keys.drainLongestRefusal();
            machines(cluster).forEach(m -> cluster.start(m, seeds(cluster)));
            System.out.println(" after power loss " + cluster.advanceUntil(20 * SECOND, keys::areAllAccepting));
            machines(cluster).forEach(cluster::powerOff);
            cluster.advance(2 * SECOND);
            cluster.gateways().forEach(m -> cluster.start(m, seeds(cluster)));
            cluster.advance(SECOND + seed * 150_000);
            cluster.controllers().forEach(m -> cluster.start(m, cluster.controllers()));
            System.out.println(" controllers later " + cluster.advanceUntil(20 * SECOND, keys::areAllAccepting));
            System.out.println(keys.violations().size() + " "
                    + keys.violations().stream().limit(2).toList()
                    + cluster.violations().stream().limit(2).toList());
        }
    }
}
