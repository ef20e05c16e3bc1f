package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import silverlatch.simulation.worker.WorkerFault;

/** Faults of workers, and load changes by clients: crashes, slowness, broken streams, load spikes. Durations are microseconds. */
final class WorkloadFaults {
    private WorkloadFaults() {}

    static void workerCrashed(final World world, final long duration) {
        final SimulatedWorker worker = world.randomOf(world.workers());
        world.record("crash " + worker.name());
        worker.kill();
        world.disturbances().scheduleChange(duration, worker::start);
    }

    static void workerUnresponsive(final World world, final long duration) {
        final SimulatedWorker worker = world.randomOf(world.workers());
        world.record("dark " + worker.name());
        worker.setFault(WorkerFault.DARK);
        final Runnable heal = world.network().isolate(Set.of(worker.name()));
        world.disturbances().scheduleChange(duration, () -> {
            heal.run();
            worker.setFault(WorkerFault.NONE);
        });
    }

    static void workerDrains(final World world, final long duration) {
        final SimulatedWorker worker = world.randomOf(world.workers());
        world.record("leave " + worker.name());
        worker.drain();
        world.disturbances().scheduleChange(duration + 4_000_000, worker::kill);
        world.disturbances().scheduleChange(duration + 6_000_000, worker::start);
    }

    static void workersReplaced(final World world, final long duration) {
        final String region = world.randomOf(world.plan().regions()).region();
        world.record("replace workers of " + region);
        long delay = 0;
        for (final SimulatedWorker worker : world.workers()) {
            if (worker.region().equals(region)) {
                world.disturbances().scheduleChange(delay, worker::drain);
                world.disturbances().scheduleChange(delay + 1_500_000, worker::kill);
                world.disturbances().scheduleChange(delay + 2_500_000, worker::start);
                delay += 3_000_000;
            }
        }
    }

    static void workersMisbehave(final World world, final long duration) {
        final List<WorkerFault> faults = new ArrayList<>(List.of(
                WorkerFault.GAP,
                WorkerFault.REPEAT,
                WorkerFault.FOREIGN,
                WorkerFault.NOSEAL,
                WorkerFault.WRONGSEAL,
                WorkerFault.DENY,
                WorkerFault.SLOW,
                WorkerFault.DROP));
        for (int round = 0; round < 2; round++) {
            world.disturbances().scheduleChange(round * duration, () -> {
                final List<SimulatedWorker> candidates = new ArrayList<>(world.workers());
                for (int i = 0; i < 4; i++) {
                    final SimulatedWorker worker =
                            candidates.remove(world.scheduler().random().nextInt(candidates.size()));
                    final WorkerFault fault =
                            faults.remove(world.scheduler().random().nextInt(faults.size()));
                    world.record(fault + " " + worker.name());
                    worker.setFault(fault);
                    world.disturbances().scheduleChange(duration - 1, () -> worker.setFault(WorkerFault.NONE));
                }
            });
        }
    }

    static void clientsMove(final World world, final long duration) {
        world.record("consumers move");
        world.load().setClientsMoving(true);
        world.disturbances().scheduleChange(duration * 2, () -> world.load().setClientsMoving(false));
    }

    static void loadSpike(final World world, final long duration) {
        final long usualRate = world.load().requestsPerSecond();
        final int lengthBias = world.scheduler().random().nextInt(3) - 1;
        world.record("crowd, leaning " + lengthBias);
        world.load().setLoad(usualRate * 4, lengthBias);
        world.disturbances()
                .scheduleChange(
                        Math.min(duration, 6_000_000), () -> world.load().setLoad(usualRate, 0));
    }

    static void regionWorkersLost(final World world, final long duration) {
        final String region = world.randomOf(world.plan().regions()).region();
        world.record("lose the workers of " + region);
        final List<SimulatedWorker> lost =
                world.workers().stream().filter(m -> m.region().equals(region)).toList();
        lost.forEach(SimulatedWorker::kill);
        world.disturbances().scheduleChange(duration, () -> {
            lost.forEach(SimulatedWorker::start);
            world.disturbances().recordRecovery(region);
        });
    }

    static void workersReject(final World world, final long duration) {
        world.record("most workers deny");
        world.workers().stream().skip(world.workers().size() / 3).forEach(m -> m.setFault(WorkerFault.DENY));
        world.disturbances()
                .scheduleChange(
                        duration + 20_000_000, () -> world.workers().forEach(m -> m.setFault(WorkerFault.NONE)));
    }

    static void workerSlowUnderLoad(final World world, final long duration) {
        final SimulatedWorker worker = world.randomOf(world.workers());
        final long usualRate = world.load().requestsPerSecond();
        world.record("crowd, and " + worker.name() + " limps");
        worker.setFault(WorkerFault.SLOW);
        world.load().setLoad(usualRate * 4, 0);
        world.disturbances().scheduleChange(Math.min(duration, 5_000_000), () -> {
            world.load().setLoad(usualRate, 0);
            worker.setFault(WorkerFault.NONE);
        });
    }

    static void mixSwings(final World world, final long duration) {
        final long usualRate = world.load().requestsPerSecond();
        world.record("the mix swings");
        for (int i = 0; i < 6; i++) {
            final int lengthBias = i % 2 == 0 ? 1 : -1;
            world.disturbances()
                    .scheduleChange(i * 1_000_000L, () -> world.load().setLoad(usualRate * 4, lengthBias));
        }
        world.disturbances().scheduleChange(6_000_000, () -> world.load().setLoad(usualRate, 0));
    }
}
