package silverlatch.replication;

import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Injects random faults into a cluster of six machines: crashes, power cuts of all machines, lost disks (fewer than the
 * minimum number of replicas), frozen processes, cut and slow links, and partitions. At most two machines are down or frozen
 * at a time, except in power cuts.
 */
final class ReplicaFaultInjector {
    /** The addresses of the six machines. */
    static final List<String> MACHINES = List.of("a", "b", "c", "d", "e", "f");

    private static final long SECOND = 1_000_000;
    private static final int FAULT_KINDS = 18;

    private final ReplicaCluster cluster;
    private final Random random;
    private final int minReplicas;
    private Optional<String> lastAffected = Optional.empty();
    private int lostDisks;
    private long thawsAtMicros;

    ReplicaFaultInjector(final ReplicaCluster cluster, final Random random, final int minReplicas) {
        this.cluster = cluster;
        this.random = random;
        this.minReplicas = minReplicas;
    }

    /** Returns a random running machine; in half of the cases the one that was last isolated, slowed down or frozen. */
    String randomRunning() {
        if (lastAffected.filter(cluster.running()::contains).isPresent() && random.nextBoolean()) {
            return lastAffected.get();
        }
        final List<String> running = cluster.running().stream().sorted().toList();
        return running.get(random.nextInt(running.size()));
    }

    /** Randomly injects a fault, starts a machine, heals all links, or does nothing. */
    void injectNext() {
        final String one = MACHINES.get(random.nextInt(MACHINES.size()));
        final String other = MACHINES.get(random.nextInt(MACHINES.size()));
        if (isChainComplete()) {
            lostDisks = 0;
        }
        switch (random.nextInt(FAULT_KINDS)) {
            case 0, 1 -> kill(one);
            case 2 -> killAndLoseDisk(one);
            case 3 -> cutLink(one, other);
            case 4 -> slowLinkToHead(one);
            case 5 -> isolate(givenOrHead(one));
            case 6, 7, 14, 15, 17 -> heal();
            case 8 -> maybeCutPowerOfAll();
            case 9 -> killHead();
            case 10, 11, 12 -> startOneThatIsDown();
            case 13 -> partition();
            case 16 -> freeze(givenOrHead(one));
            default -> {}
        }
    }

    /** Heals all links and starts all machines. */
    void recover() {
        cluster.heal();
        MACHINES.stream()
                .filter(address -> !cluster.running().contains(address))
                .forEach(address -> cluster.start(address, false));
    }

    private boolean isChainComplete() {
        return cluster.running().size() == MACHINES.size()
                && MACHINES.stream().allMatch(address -> {
                    final ReplicaStatus status = cluster.replica(address).status(cluster.now());
                    return status.isCaughtUp() && status.view().chain().size() == MACHINES.size();
                });
    }

    /** Returns whether at most two machines are down or frozen after one more is taken down. */
    private boolean mayTakeDownAnother() {
        final int frozen = cluster.now() < thawsAtMicros ? 1 : 0;
        return cluster.running().size() - frozen > 4;
    }

    private Optional<String> head() {
        return cluster.replica(randomRunning())
                .view()
                .head()
                .map(Replica::address)
                .filter(cluster.running()::contains);
    }

    private String givenOrHead(final String one) {
        return random.nextBoolean() ? one : head().orElse(one);
    }

    private void kill(final String address) {
        if (mayTakeDownAnother()) {
            cluster.kill(address);
        }
    }

    private void killHead() {
        head().filter(address -> mayTakeDownAnother()).ifPresent(cluster::kill);
    }

    private void killAndLoseDisk(final String address) {
        if (cluster.running().contains(address) && mayTakeDownAnother() && lostDisks < minReplicas - 1) {
            lostDisks++;
            cluster.kill(address);
            cluster.loseDisk(address);
        }
    }

    private void freeze(final String address) {
        if (cluster.running().contains(address) && cluster.now() >= thawsAtMicros && mayTakeDownAnother()) {
            lastAffected = Optional.of(address);
            final long spanMicros = 200_000 + random.nextInt(20_000_000);
            thawsAtMicros = cluster.now() + spanMicros;
            cluster.freeze(address, spanMicros);
        }
    }

    private void cutLink(final String one, final String other) {
        if (!one.equals(other)) {
            cluster.setCut(one, other, true);
        }
    }

    private void slowLinkToHead(final String address) {
        head().filter(head -> !head.equals(address)).ifPresent(head -> {
            lastAffected = Optional.of(address);
            cluster.setExtraDelay(address, head, SECOND + random.nextInt(9_000_000));
        });
    }

    private void isolate(final String address) {
        lastAffected = Optional.of(address);
        MACHINES.stream()
                .filter(other -> !other.equals(address))
                .forEach(other -> cluster.setCut(address, other, true));
    }

    /** Splits the machines into two random parts and cuts all links between them. */
    private void partition() {
        final Set<String> part =
                MACHINES.stream().filter(address -> random.nextBoolean()).collect(Collectors.toSet());
        part.forEach(address -> MACHINES.stream()
                .filter(other -> !part.contains(other))
                .forEach(other -> cluster.setCut(address, other, true)));
    }

    private void heal() {
        cluster.heal();
        lastAffected = Optional.empty();
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
}
