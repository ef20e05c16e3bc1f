package silverlatch.simulation.sim;

import java.util.List;
import silverlatch.clock.PhysicalClock;
import silverlatch.gossip.Gossip;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.node.Node;
import silverlatch.replication.Replica;
import silverlatch.replication.ReplicaSettings;

/** Creates the production nodes that the simulated machines of a world run. */
record NodeFactory(World world) {
    private static final int STAMP_LOW_BITS = 7;
    /** By how much clocks may differ, in microseconds. */
    private static final long MAX_SKEW = 50_000L;

    /** Creates a node that starts now on a machine, with the records on the machine's disk. */
    Node create(final SimulatedNode machine, final List<String> seeds) {
        final List<String> controllers =
                world.controllers().stream().map(SimulatedNode::address).toList();
        final List<String> knownSeeds = controllers.stream().anyMatch(seeds::contains) ? seeds : controllers;
        return new Node(
                new Node.Settings(
                        newMember(machine),
                        knownSeeds,
                        STAMP_LOW_BITS,
                        MAX_SKEW,
                        Membership.Settings.DEFAULTS,
                        Gossip.Settings.DEFAULTS,
                        world.safeguards()),
                machine.disk()
                        .map(disk -> ReplicaSettings.of(new Replica(disk.identity(), machine.address()), knownSeeds)),
                machine.disk().map(SimulatedDisk::records).orElse(List.of()),
                new PhysicalClock(machine.clock().wallNanos(), machine.now(), 0),
                world.scheduler().random().split(),
                machine.now());
    }

    private static Member newMember(final SimulatedNode machine) {
        final String role = machine.isController() ? "controller" : "gateway";
        return Member.starting(
                machine.name(),
                role,
                machine.zone(),
                machine.region(),
                machine.address(),
                machine.address(),
                machine.clock().wallNanos() / 1000);
    }
}
