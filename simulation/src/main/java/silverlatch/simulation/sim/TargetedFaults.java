package silverlatch.simulation.sim;

import java.util.List;

/** Faults that are injected when a node reaches an {@link InjectionPoint}. Durations are microseconds. */
final class TargetedFaults {
    private TargetedFaults() {}

    static void frozenAtPlacement(final World world, final long duration) {
        freezeAt(world, InjectionPoint.PLACED, duration);
    }

    static void frozenAtClaim(final World world, final long duration) {
        freezeAt(world, InjectionPoint.CLAIMING, duration);
    }

    static void frozenAtSend(final World world, final long duration) {
        freezeAt(world, InjectionPoint.SENDING, duration);
        world.disturbances()
                .scheduleChange(200_000, () -> world.randomOf(world.workers()).drain());
        final String zone = world.randomOf(world.plan().regions()).zone();
        world.disturbances().scheduleChange(300_000, () -> world.operators().drain(zone, true));
        world.disturbances().scheduleChange(duration + 8_000_000, () -> {
            world.operators().drain(zone, false);
            world.workers().forEach(worker -> {
                worker.kill();
                worker.start();
            });
        });
    }

    static void frozenAtChunk(final World world, final long duration) {
        freezeAt(world, InjectionPoint.STREAMING, duration);
    }

    static void frozenAtHead(final World world, final long duration) {
        freezeAt(world, InjectionPoint.HEAD_SYNCED, duration);
    }

    static void frozenAtTail(final World world, final long duration) {
        freezeAt(world, InjectionPoint.TAIL_SYNCED, duration);
    }

    static void killedAtSteps(final World world, final long duration) {
        world.record("kill at pick, claim, ask and piece");
        for (final InjectionPoint point : List.of(
                InjectionPoint.PLACED, InjectionPoint.CLAIMING, InjectionPoint.SENDING, InjectionPoint.STREAMING)) {
            world.disturbances().arm(point, node -> {
                world.record("kill " + node.name() + " at " + point);
                node.kill();
                world.disturbances().scheduleChange(world.scheduler().random().nextLong(1_500_000), node::start);
            });
        }
    }

    static void killedAtSync(final World world, final long duration) {
        final InjectionPoint point =
                world.scheduler().random().nextBoolean() ? InjectionPoint.HEAD_SYNCED : InjectionPoint.TAIL_SYNCED;
        world.disturbances().arm(point, node -> {
            world.record("kill " + node.name() + " at " + point);
            node.kill();
            world.disturbances().scheduleChange(duration, node::start);
        });
    }

    static void freezeAt(final World world, final InjectionPoint point, final long duration) {
        world.record("freeze at " + point);
        final long freezeTime = world.scheduler().random().nextBoolean()
                ? duration
                : 30_000 + world.scheduler().random().nextLong(500_000);
        world.disturbances().arm(point, node -> {
            world.record("freeze " + node.name() + " at " + point + " for " + freezeTime / 1000 + " ms");
            node.freeze(true);
            world.disturbances().scheduleChange(freezeTime, () -> node.freeze(false));
        });
    }
}
