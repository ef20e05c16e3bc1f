package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import silverlatch.util.Lists;

/** Faults of the network and of wall clocks. Durations are microseconds. */
final class NetworkFaults {
    private NetworkFaults() {}

    static void controllerPartitioned(final World world, final long duration) {
        final SimulatedNode node = world.randomOf(world.controllers());
        world.record("split off " + node.name() + " from the controllers");
        final Set<String> rest = world.controllers().stream()
                .map(SimulatedNode::name)
                .filter(x -> !x.equals(node.name()))
                .collect(Collectors.toSet());
        final Runnable healOutbound = world.network().blockOneWay(Set.of(node.name()), rest);
        final Runnable healInbound = world.scheduler().random().nextBoolean()
                ? world.network().blockOneWay(rest, Set.of(node.name()))
                : () -> {};
        world.disturbances().scheduleChange(duration, () -> {
            healOutbound.run();
            healInbound.run();
        });
    }

    static void controllersPartitioned(final World world, final long duration) {
        world.record("cut the controllers off");
        final Set<String> controllers =
                world.controllers().stream().map(SimulatedNode::name).collect(Collectors.toSet());
        final Set<String> rest =
                world.gateways().stream().map(SimulatedNode::name).collect(Collectors.toSet());
        final Runnable healOutbound = world.network().blockOneWay(controllers, rest);
        final Runnable healInbound = world.network().blockOneWay(rest, controllers);
        world.disturbances().scheduleChange(duration, () -> {
            healOutbound.run();
            healInbound.run();
            world.disturbances().recordRecovery("");
        });
    }

    static void regionPartitioned(final World world, final long duration) {
        final String region = world.randomOf(world.plan().regions()).region();
        world.record("cut off " + region);
        final Runnable heal = world.network().isolate(endpoints(world, region));
        world.disturbances().scheduleChange(duration, () -> {
            heal.run();
            world.disturbances().recordRecovery(region);
        });
    }

    static void tailRegionPartitioned(final World world, final long duration) {
        final String region = Lists.last(world.controllers()).region();
        world.record("cut off " + region + ", where the tail is");
        final Runnable heal = world.network().isolate(endpoints(world, region));
        world.disturbances().scheduleChange(9_000_000, () -> {
            heal.run();
            world.disturbances().recordRecovery(region);
        });
    }

    static void clockJumps(final World world, final long duration) {
        final List<SimulatedNode> nodes = new ArrayList<>(world.gateways());
        nodes.addAll(world.controllers());
        final SimulatedNode node = world.randomOf(nodes);
        final long offset = (world.scheduler().random().nextBoolean() ? 1 : -1)
                * (100_000 + world.scheduler().random().nextLong(600_000_000L));
        world.disturbances().recordClockSkew();
        world.record("clock of " + node.name() + " jumps by " + offset / 1000 + " ms");
        node.clock().setWallOffset(offset);
        world.disturbances().scheduleChange(duration, () -> node.clock().setWallOffset(0));
    }

    static void clockSkewed(final World world, final long duration) {
        final List<SimulatedNode> nodes = new ArrayList<>(world.gateways());
        nodes.addAll(world.controllers());
        final SimulatedNode node = world.randomOf(nodes);
        final long offset = (world.scheduler().random().nextBoolean() ? 1 : -1)
                * (100_000 + world.scheduler().random().nextLong(600_000_000L));
        world.disturbances().recordClockSkew();
        world.record("restart " + node.name() + " with its clock off by " + offset / 1000 + " ms");
        node.kill();
        node.clock().setWallOffset(offset);
        world.disturbances().scheduleChange(500_000, node::start);
    }

    static void lossyNetwork(final World world, final long duration) {
        world.record("rough network");
        world.network().setLossAndReordering(0.1, 0.1);
        world.disturbances().scheduleChange(duration, () -> world.network().setLossAndReordering(0, 0));
    }

    static void gatewayPartitionedFromNodes(final World world, final long duration) {
        final SimulatedNode node = world.randomOf(world.gateways());
        final SimulatedWorker worker = world.randomOf(world.workers());
        world.record("cut the news of " + node.name() + ", and " + worker.name() + " leaves");
        final Set<String> rest =
                world.gateways().stream().map(SimulatedNode::name).collect(Collectors.toSet());
        world.controllers().forEach(h -> rest.add(h.name()));
        rest.remove(node.name());
        final Set<String> senders = new HashSet<>(rest);
        senders.add(worker.name());
        final Runnable healOutbound = world.network().blockOneWay(Set.of(node.name()), rest);
        final Runnable healInbound = world.network().blockOneWay(senders, Set.of(node.name()));
        world.disturbances().scheduleChange(300_000, worker::drain);
        world.disturbances().scheduleChange(duration + 6_000_000, () -> {
            healOutbound.run();
            healInbound.run();
            worker.kill();
            worker.start();
        });
    }

    static void clocksSkewed(final World world, final long duration) {
        final List<SimulatedNode> nodes = new ArrayList<>(world.controllers());
        nodes.addAll(ProcessFaults.randomSubset(world, world.gateways()));
        final boolean same = world.scheduler().random().nextBoolean();
        final long offset = 60_000 + world.scheduler().random().nextLong(60_000_000L);
        world.record("restart " + nodes.stream().map(SimulatedNode::name).toList() + " with clocks ahead by "
                + (same ? offset / 1000 + " ms" : "as many spans"));
        nodes.remove(0);
        long delay = 0;
        for (final SimulatedNode node : nodes) {
            final long nodeOffset =
                    same ? offset : offset + world.scheduler().random().nextLong(5_000_000L);
            world.disturbances().scheduleChange(delay, () -> {
                node.kill();
                node.clock().setWallOffset(nodeOffset);
                world.disturbances().scheduleChange(500_000, node::start);
            });
            delay += 6_000_000;
        }
    }

    static void overflowStorm(final World world, final long duration) {
        final SimulatedNode node = world.randomOf(world.gateways());
        world.record("storm at " + node.name());
        for (long time = 0; time < 1_500_000; time += 5_000) {
            world.scheduler().schedule(time, () -> world.frames().replayNewestFrame(node, 400));
        }
        world.disturbances().scheduleChange(1_500_000, () -> {});
    }

    static void oneWayPartition(final World world, final long duration) {
        final String region = world.randomOf(world.plan().regions()).region();
        final boolean isMuted = world.scheduler().random().nextBoolean();
        world.record(region + (isMuted ? " is not heard" : " does not hear"));
        final Set<String> inside = endpoints(world, region);
        final Set<String> outside = new HashSet<>();
        world.plan().regions().stream()
                .filter(r -> !r.region().equals(region))
                .forEach(r -> outside.addAll(endpoints(world, r.region())));
        final Runnable heal = isMuted
                ? world.network().blockOneWay(inside, outside)
                : world.network().blockOneWay(outside, inside);
        world.disturbances().scheduleChange(duration, () -> {
            heal.run();
            world.disturbances().recordRecovery(region);
        });
    }

    static void slowLinks(final World world, final long duration) {
        world.record("slow links between regions");
        world.network().setExtraDelay(150_000);
        world.disturbances().scheduleChange(duration, () -> world.network().setExtraDelay(0));
    }

    static Set<String> endpoints(final World world, final String region) {
        final Set<String> set = new HashSet<>(Set.of("consumers-" + region));
        world.gateways().stream().filter(n -> n.region().equals(region)).forEach(n -> set.add(n.name()));
        world.controllers().stream().filter(n -> n.region().equals(region)).forEach(n -> set.add(n.name()));
        world.workers().stream().filter(m -> m.region().equals(region)).forEach(m -> set.add(m.name()));
        return set;
    }
}
