package silverlatch.node;

import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import silverlatch.clock.PhysicalClock;
import silverlatch.gossip.Gossip;
import silverlatch.log.LogRecord;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.replication.Replica;
import silverlatch.replication.ReplicaSettings;
import silverlatch.safeguard.Safeguards;

/**
 * Creates the nodes of a {@link NodeCluster}, all with the same settings.
 *
 * @param startupGrace the time after its start, in microseconds, during which a gateway may route by an unconfirmed configuration
 * @param safeguards   the enabled safeguards
 * @param random       the source of randomness; each node gets a generator split off from it
 */
record NodeFactory(long startupGrace, Safeguards safeguards, SplittableRandom random) {
    /**
     * A machine on which a node is started.
     *
     * @param name         the machine's name and address; names of controllers begin with {@code c}
     * @param index        the number of its region and zone
     * @param identity     the identity stored on its disk
     * @param isFirstStart whether the node may take part in bootstrapping the fleet
     * @param disk         the records in its log
     * @param clock        its clocks
     */
    record Host(
            String name, int index, String identity, boolean isFirstStart, List<LogRecord> disk, MachineClock clock) {
        boolean isController() {
            return name.startsWith("c");
        }
    }

    /** Creates a node that starts now. */
    Node create(final Host host, final List<String> seeds, final long simulatedTime) {
        final Optional<ReplicaSettings> chain = host.isController()
                ? Optional.of(ReplicaSettings.of(new Replica(host.identity(), host.name()), seeds)
                        .withBootstrap(host.isFirstStart()))
                : Optional.empty();
        final long now = host.clock().monotonicMicros(simulatedTime);
        return new Node(
                new Node.Settings(
                        member(host, simulatedTime),
                        seeds,
                        7,
                        50_000,
                        Membership.Settings.LARGE_FLEET,
                        Gossip.Settings.LARGE_FLEET,
                        startupGrace,
                        safeguards),
                chain,
                List.copyOf(host.disk()),
                new PhysicalClock(host.clock().wallNanos(simulatedTime), now, 0),
                random.split(),
                now);
    }

    private static Member member(final Host host, final long simulatedTime) {
        return Member.starting(
                host.name(),
                host.isController() ? "controller" : "gateway",
                "z" + host.index(),
                "r" + host.index(),
                host.name(),
                host.name(),
                host.clock().wallMicros(simulatedTime));
    }
}
