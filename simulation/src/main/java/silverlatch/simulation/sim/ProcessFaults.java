package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import silverlatch.simulation.fleet.Plan;

/** Faults of processes and their disks: of a single node, of a region, or of all nodes at once. Durations are microseconds. */
final class ProcessFaults {
    private static final long SECOND = 1_000_000L;
    private static final long CONTROLLER_START = 3 * SECOND;
    private static final long MAX_WAIT_FOR_ACKNOWLEDGEMENT = 20 * SECOND;
    private static final long MIN_RESTART_DELAY = SECOND / 5;

    private ProcessFaults() {}

    static void gatewayKilled(final World world, final long duration) {
        final SimulatedNode node = world.randomOf(world.gateways());
        world.record("kill " + node.name());
        node.kill();
        world.disturbances().scheduleChange(duration, node::start);
    }

    static void gatewaysKilled(final World world, final long duration) {
        final List<SimulatedNode> killed = randomSubset(world, world.gateways());
        world.record("kill " + killed.stream().map(SimulatedNode::name).toList());
        killed.forEach(SimulatedNode::kill);
        killed.forEach(n -> world.disturbances()
                .scheduleChange(duration / 2 + world.scheduler().random().nextLong(duration), n::start));
    }

    static void gatewayFrozen(final World world, final long duration) {
        final SimulatedNode node = world.randomOf(world.gateways());
        world.record("freeze " + node.name());
        node.freeze(true);
        world.disturbances().scheduleChange(duration, () -> node.freeze(false));
    }

    static void gatewayStopped(final World world, final long duration) {
        final SimulatedNode node = world.randomOf(world.gateways());
        world.record("stop " + node.name());
        node.stop();
        world.disturbances().scheduleChange(duration + 5_000_000, node::start);
    }

    static void controllerKilled(final World world, final long duration) {
        final SimulatedNode node = world.randomOf(world.controllers());
        world.record("kill " + node.name());
        node.kill();
        world.disturbances().scheduleChange(duration, node::start);
    }

    static void controllerStopped(final World world, final long duration) {
        final SimulatedNode node = world.randomOf(world.controllers());
        world.record("stop " + node.name());
        node.stop();
        world.disturbances().scheduleChange(duration + 5_000_000, node::start);
    }

    static void allRestartedInTurn(final World world, final long duration) {
        world.record("stop every daemon");
        final List<SimulatedNode> nodes = new ArrayList<>(world.controllers());
        nodes.addAll(world.gateways());
        long delay = 0;
        for (final SimulatedNode node : nodes) {
            world.disturbances().scheduleChange(delay, node::stop);
            world.disturbances().scheduleChange(delay + 20_000_000, node::start);
            delay += 1_000_000;
        }
        world.disturbances()
                .scheduleChange(delay + 20_000_000, () -> world.disturbances().recordRecovery(""));
    }

    static void controllerWiped(final World world, final long duration) {
        final SimulatedNode node = world.randomOf(world.controllers());
        world.record("wipe " + node.name());
        node.kill();
        node.disk().ifPresent(SimulatedDisk::wipe);
        world.disturbances().scheduleChange(duration, node::start);
    }

    static void controllerFrozen(final World world, final long duration) {
        final SimulatedNode node = world.randomOf(world.controllers());
        world.record("freeze " + node.name());
        node.freeze(true);
        world.disturbances().scheduleChange(duration, () -> node.freeze(false));
    }

    static void diskStalled(final World world, final long duration) {
        final SimulatedNode node = world.randomOf(world.controllers());
        world.record("stall " + node.name());
        node.disk().ifPresent(d -> d.stall(true));
        world.disturbances().scheduleChange(duration, () -> node.disk().ifPresent(d -> d.stall(false)));
    }

    static void diskFull(final World world, final long duration) {
        final SimulatedNode node = world.randomOf(world.controllers());
        world.record("full " + node.name());
        node.disk().ifPresent(d -> d.setFull(true));
        world.disturbances().scheduleChange(duration, () -> node.disk().ifPresent(d -> d.setFull(false)));
    }

    static void diskSlow(final World world, final long duration) {
        final SimulatedNode node = world.randomOf(world.controllers());
        world.record("limp " + node.name());
        node.disk().ifPresent(d -> d.slowDown(60));
        world.disturbances().scheduleChange(duration, () -> node.disk().ifPresent(d -> d.slowDown(1)));
    }

    static void controllerReplaced(final World world, final long duration) {
        final SimulatedNode node = world.randomOf(world.controllers());
        world.record(
                "swap " + node.name() + " for " + world.replaceController(node).name());
    }

    static void controllersReplaced(final World world, final long duration) {
        replaceOneByOne(world, new ArrayList<>(world.controllers()));
    }

    static void regionLost(final World world, final long duration) {
        final Plan.Region region = world.randomOf(world.plan().regions());
        world.record("lose " + region.region());
        loseRegion(world, region.region());
        world.disturbances().scheduleChange(duration, () -> restoreRegion(world, region.region()));
    }

    static void allKilled(final World world, final long duration) {
        world.record("kill every daemon");
        killAndRestartAll(world, duration, () -> {});
    }

    /** Adds a controller without a vote before the kill, which also loses its power; each fault of this kind adds another one. */
    static void diskLostAllKilled(final World world, final long duration) {
        world.addControllerWithoutVote();
        world.disturbances().expectDiskLossesFor(MAX_WAIT_FOR_ACKNOWLEDGEMENT + duration);
        world.disturbances()
                .scheduleChange(
                        CONTROLLER_START,
                        () -> world.operators().afterAcknowledgement(() -> loseDiskAndKillAll(world, duration)));
    }

    /**
     * Wipes one voter's disk and kills all nodes. While a controller is missing from the chain it waits for another
     * acknowledgement first, because the controllers tolerate the loss of only one disk at a time.
     */
    private static void loseDiskAndKillAll(final World world, final long duration) {
        if (!world.isChainComplete()) {
            world.operators().afterAcknowledgement(() -> loseDiskAndKillAll(world, duration));
            return;
        }
        final List<SimulatedNode> voters = world.controllers().stream()
                .filter(node -> node.disk().isPresent())
                .toList();
        final SimulatedNode diskLost = world.randomOf(voters);
        world.record("kill every daemon, and " + diskLost.name() + " loses its disk");
        world.observer().count("disksLostWithAllKilled");
        world.disturbances().expectDiskLossesFor(MIN_RESTART_DELAY + duration);
        killAndRestartAll(world, duration, () -> diskLost.disk().ifPresent(SimulatedDisk::wipe));
    }

    private static void killAndRestartAll(final World world, final long duration, final Runnable beforeRestart) {
        final List<SimulatedNode> nodes = new ArrayList<>(world.gateways());
        nodes.addAll(world.controllers());
        nodes.forEach(SimulatedNode::kill);
        beforeRestart.run();
        nodes.forEach(node -> world.disturbances()
                .scheduleChange(MIN_RESTART_DELAY + world.scheduler().random().nextLong(duration), node::start));
        world.disturbances()
                .scheduleChange(
                        MIN_RESTART_DELAY + duration, () -> world.disturbances().recordRecovery(""));
    }

    static void rebootstrap(final World world, final long duration) {
        final List<SimulatedNode> wiped =
                world.controllers().subList(1, world.controllers().size());
        final SimulatedNode survivor = world.controllers().get(0);
        world.record(
                "wipe " + wiped.stream().map(SimulatedNode::name).toList() + " with " + survivor.name() + " cut off");
        final Runnable heal = world.network().isolate(Set.of(survivor.name()));
        wiped.forEach(node -> {
            node.kill();
            node.disk().ifPresent(SimulatedDisk::wipe);
            node.start();
        });
        world.disturbances().scheduleChange(duration, heal);
    }

    static void loseRegion(final World world, final String region) {
        world.gateways().stream().filter(n -> n.region().equals(region)).forEach(SimulatedNode::kill);
        world.controllers().stream().filter(n -> n.region().equals(region)).forEach(SimulatedNode::kill);
        world.workers().stream().filter(m -> m.region().equals(region)).forEach(SimulatedWorker::kill);
    }

    static void restoreRegion(final World world, final String region) {
        world.disturbances().recordRecovery(region);
        world.record("back " + region);
        world.gateways().stream().filter(n -> n.region().equals(region)).forEach(SimulatedNode::start);
        world.controllers().stream().filter(n -> n.region().equals(region)).forEach(SimulatedNode::start);
        world.workers().stream().filter(m -> m.region().equals(region)).forEach(SimulatedWorker::start);
    }

    static void replaceOneByOne(final World world, final List<SimulatedNode> remaining) {
        world.disturbances().expectDiskLossesFor(remaining.isEmpty() ? 0 : 60_000_000);
        if (remaining.isEmpty()) {
            return;
        }
        if (world.isChainComplete()) {
            final SimulatedNode node = remaining.remove(0);
            world.record("swap " + node.name() + " for "
                    + world.replaceController(node).name());
        }
        world.disturbances().scheduleChange(3_000_000, () -> replaceOneByOne(world, remaining));
    }

    static List<SimulatedNode> randomSubset(final World world, final List<SimulatedNode> nodes) {
        final List<SimulatedNode> chosen = new ArrayList<>();
        for (final SimulatedNode node : nodes) {
            if (world.scheduler().random().nextBoolean()) {
                chosen.add(node);
            }
        }
        return chosen;
    }
}
