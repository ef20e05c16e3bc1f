package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import silverlatch.state.Value;

/**
 * A random workload with faults on six machines: crashes, power cuts of all machines, lost disks (fewer than the minimum
 * number of replicas) and cut links, with a write and a read through random machines in each step. It checks that no read
 * returns a number lower than one acknowledged before the read began, and that after the recovery every machine has the
 * newest acknowledged write. Times are microseconds of the simulated clock.
 */
final class FaultWorkload {
    private static final List<String> SEEDS = List.of("a", "b", "c");
    private static final List<String> MACHINES = List.of("a", "b", "c", "d", "e", "f");
    private static final long SECOND = 1_000_000;
    private static final long CALL_TIMEOUT_MICROS = 900_000;
    private static final int STEPS = 300;

    private final Random random;
    private final ReplicaCluster cluster;
    private final int minReplicas;
    private final List<Read> reads = new ArrayList<>();
    private final List<Write> writes = new ArrayList<>();
    private long lastNumber;
    private int lostDisks;
    private int answeredReads;

    FaultWorkload(final long seed, final int minReplicas) {
        this.minReplicas = minReplicas;
        random = new Random(seed);
        cluster = new ReplicaCluster(
                SEEDS, 1_000 + random.nextInt(60_000), settings -> settings.withCounts(minReplicas, MACHINES.size()));
    }

    private record Read(PendingCall call, long minNumber) {}

    private record Write(PendingCall call, long number) {}

    /** Returns how many writes were acknowledged. */
    long acknowledgedWrites() {
        return writes.stream().filter(write -> write.call().isAcknowledged()).count();
    }

    /** Returns how many reads were answered. */
    int answeredReads() {
        return answeredReads;
    }

    /** Runs the workload and the recovery after it; throws AssertionError if a check fails. */
    void run() {
        MACHINES.forEach(address -> cluster.start(address, true));
        cluster.advance(20 * SECOND);
        for (int i = 0; i < STEPS; i++) {
            injectFault();
            callReplicas();
            cluster.advance(20_000L + random.nextInt(300_000));
            checkReads();
        }
        cluster.heal();
        MACHINES.stream()
                .filter(address -> !cluster.running().contains(address))
                .forEach(address -> cluster.start(address, false));
        cluster.advance(40 * SECOND);
        checkReads();
        checkRecovered();
    }

    private void checkRecovered() {
        final long newest = newestAcknowledged();
        MACHINES.forEach(address -> assertThat(
                address + " has the newest acknowledged write after the recovery" + cluster,
                cluster.committedNumber(address),
                greaterThanOrEqualTo(newest)));
        final PendingCall last = cluster.putConfiguration("d", ++lastNumber, -1, 5 * SECOND);
        cluster.advance(6 * SECOND);
        assertThat("a write is acknowledged after the recovery" + cluster, last.isAcknowledged(), is(true));
    }

    private long newestAcknowledged() {
        return writes.stream()
                .filter(write -> write.call().isAcknowledged())
                .mapToLong(Write::number)
                .max()
                .orElse(0);
    }

    private boolean isChainComplete() {
        return cluster.running().size() == MACHINES.size()
                && MACHINES.stream().allMatch(address -> {
                    final ReplicaStatus status = cluster.replica(address).status(cluster.now());
                    return status.isCaughtUp() && status.view().chain().size() == MACHINES.size();
                });
    }

    private void injectFault() {
        final String one = MACHINES.get(random.nextInt(MACHINES.size()));
        final String other = MACHINES.get(random.nextInt(MACHINES.size()));
        if (isChainComplete()) {
            lostDisks = 0;
        }
        switch (random.nextInt(14)) {
            case 0, 1 -> kill(one);
            case 2 -> killAndLoseDisk(one);
            case 3 -> cutLink(one, other);
            case 4 -> cluster.heal();
            case 5 -> maybeCutPowerOfAll();
            case 6, 7, 8 -> startOneThatIsDown();
            default -> {}
        }
    }

    private void kill(final String address) {
        if (cluster.running().size() > 4) {
            cluster.kill(address);
        }
    }

    private void killAndLoseDisk(final String address) {
        if (cluster.running().contains(address) && cluster.running().size() > 4 && lostDisks < minReplicas - 1) {
            lostDisks++;
            cluster.kill(address);
            cluster.loseDisk(address);
        }
    }

    private void cutLink(final String one, final String other) {
        if (!one.equals(other)) {
            cluster.setCut(one, other, true);
        }
    }

    /** Kills and restarts all machines with their disks, with a probability of 1/4. */
    private void maybeCutPowerOfAll() {
        if (random.nextInt(4) == 0) {
            List.copyOf(cluster.running()).forEach(cluster::kill);
            cluster.advance(random.nextInt(500_000));
            MACHINES.forEach(address -> cluster.start(address, false));
        }
    }

    private void startOneThatIsDown() {
        MACHINES.stream()
                .filter(address -> !cluster.running().contains(address))
                .findFirst()
                .ifPresent(address -> cluster.start(address, false));
    }

    private void callReplicas() {
        final List<String> running = cluster.running().stream().sorted().toList();
        final String writeAt = running.get(random.nextInt(running.size()));
        writes.add(new Write(cluster.putConfiguration(writeAt, ++lastNumber, -1, CALL_TIMEOUT_MICROS), lastNumber));
        final String readAt = running.get(random.nextInt(running.size()));
        reads.add(new Read(cluster.read(readAt, CALL_TIMEOUT_MICROS), newestAcknowledged()));
    }

    private void checkReads() {
        reads.removeIf(read -> {
            final Optional<Object> answer = read.call().answer();
            answer.map(ChainClient.ReadResult.class::cast)
                    .filter(ChainClient.ReadResult::answered)
                    .ifPresent(result -> checkRead(read, result));
            return answer.isPresent();
        });
    }

    private void checkRead(final Read read, final ChainClient.ReadResult result) {
        answeredReads++;
        final long number = result.entries().stream()
                .filter(entry -> !entry.isDeleted())
                .map(entry -> (Value.ConfigurationDocument) entry.value().get(0))
                .mapToLong(Value.ConfigurationDocument::number)
                .max()
                .orElse(0);
        assertThat("a read after an acknowledgement", number, greaterThanOrEqualTo(read.minNumber()));
    }
}
