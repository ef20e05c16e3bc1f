package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import silverlatch.safeguard.Safeguards;
import silverlatch.simulation.fleet.Plan;

/**
 * One simulated day: the world starts, faults are injected one after another, everything is healed and service is checked. Days
 * with an even seed end with one more fault. Times are microseconds.
 */
public final class Day {
    private static final long SECOND = 1_000_000L;

    /** The faults with which days with an even seed end. */
    private static final List<Fault> CLOSING_FAULTS = List.of(
            Fault.GATEWAYS_KILLED,
            Fault.ALL_KILLED,
            Fault.REGION_LOST,
            Fault.CONTROLLER_KILLED,
            Fault.GATEWAY_FROZEN,
            Fault.KILLED_AT_STEPS,
            Fault.DISK_LOST_ALL_KILLED);

    private Day() {}

    /**
     * The input of a day: its seed, the faults to inject, the clients' requests per second, and whether disks report syncs
     * early.
     */
    public record Scenario(long seed, List<Fault> faults, long rate, boolean lyingDisks) {
        /** Copies the faults. */
        public Scenario {
            faults = List.copyOf(faults);
        }

        /** Returns a day with the given faults. */
        public static Scenario of(final long seed, final List<Fault> faults, final long rate) {
            return new Scenario(seed, faults, rate, false);
        }

        /** Returns a day whose faults are drawn at random from the seed. */
        public static Scenario withRandomFaults(final long seed, final long rate) {
            return new Scenario(seed, randomFaults(seed), rate, false);
        }
    }

    /** The result of a day: the violated invariants, the counters, and the injected faults in order. */
    public record Result(
            Scenario scenario, List<String> violations, Map<String, Long> counters, List<String> timeline) {
        /** Copies the lists. */
        public Result {
            violations = List.copyOf(violations);
            timeline = List.copyOf(timeline);
        }
    }

    /** Runs a day; the seed determines how long its faults last and how they overlap. */
    public static Result run(
            final Plan plan, final Scenario scenario, final Safeguards safeguards, final boolean verbose) {
        return run(plan, scenario, safeguards, verbose, WorldListener.NONE);
    }

    /** Runs a day, and notifies a listener of every frame and effect of its processes. */
    static Result run(
            final Plan plan,
            final Scenario scenario,
            final Safeguards safeguards,
            final boolean verbose,
            final WorldListener listener) {
        final World world = new World(plan, scenario.seed(), scenario.rate(), safeguards, verbose, listener);
        world.controllers().forEach(n -> n.disk().ifPresent(d -> d.setLying(scenario.lyingDisks())));
        world.start();
        final long start = world.scheduler().now();
        world.scheduler().runUntil(start + 5 * SECOND);
        final Baseline baseline = new Baseline(world, start + SECOND, start + 5 * SECOND);
        final boolean keepsState = !scenario.faults().contains(Fault.REBOOTSTRAP);
        for (final Fault fault : scenario.faults()) {
            inject(world, fault);
            baseline.advance(randomPause(world));
        }
        healAndCheck(world, baseline, keepsState);
        if (scenario.seed() % 2 == 0 && keepsState) {
            injectClosingFault(world, baseline, scenario.seed());
        }
        world.stopLoad();
        world.scheduler().runUntil(world.scheduler().now() + 15 * SECOND);
        return result(world, baseline, scenario);
    }

    /** Draws the time until the next fault, which may be shorter or longer than a fault lasts. */
    private static long randomPause(final World world) {
        return switch (world.scheduler().random().nextInt(4)) {
            case 0 -> SECOND;
            case 1 -> 22 * SECOND;
            default -> 8 * SECOND;
        };
    }

    private static void healAndCheck(final World world, final Baseline baseline, final boolean keepsState) {
        baseline.advance(35 * SECOND);
        world.controllers().forEach(SimulatedNode::start);
        world.gateways().forEach(SimulatedNode::start);
        world.workers().forEach(SimulatedWorker::start);
        baseline.advance(10 * SECOND);
        checkService(world, baseline, keepsState, "last");
    }

    private static void checkService(
            final World world, final Baseline baseline, final boolean keepsState, final String commandId) {
        final long start = world.scheduler().now();
        world.scheduler().runUntil(start + Baseline.WINDOW);
        world.operators().readBackAndChange(commandId);
        baseline.checkService(start, keepsState);
    }

    /**
     * Injects the last fault; if that destroys a disk, acknowledged changes are then read back, and the cluster must serve
     * again.
     */
    private static void injectClosingFault(final World world, final Baseline baseline, final long seed) {
        final Fault fault = CLOSING_FAULTS.get((int) (seed / 2 % CLOSING_FAULTS.size()));
        inject(world, fault);
        world.observer().count("lastFaults");
        if (fault.losesDisk()) {
            world.waitForFullChain();
            world.scheduler().runUntil(world.scheduler().now() + Baseline.RECOVERY_TIME);
            checkService(world, baseline, true, "after-closing-fault");
        }
        world.scheduler().runUntil(world.scheduler().now() + 2 * SECOND);
    }

    private static Result result(final World world, final Baseline baseline, final Scenario scenario) {
        final Observer observer = world.observer();
        observer.exercise(Invariant.EXERCISED);
        if (baseline.completed() == 0 || observer.counters().getOrDefault("runs", 0L) < 20) {
            observer.violated(Invariant.EXERCISED, "nothing was exercised");
        }
        world.controllers().forEach(n -> n.disk().ifPresent(d -> observer.recordMaximum("torn", d.tornWrites())));
        return new Result(scenario, observer.violations(), observer.counters(), world.timeline());
    }

    private static void inject(final World world, final Fault fault) {
        final long duration = SECOND / 2 + world.scheduler().random().nextLong(7 * SECOND);
        if (fault.losesDisk()) {
            world.waitForFullChain();
        }
        world.disturbances().recordChange();
        fault.inject(world, duration);
    }

    /**
     * Draws a day's three to six faults from a seed; a fault may occur twice. Never drawn are {@link Fault#REBOOTSTRAP}, after
     * which the earlier state isn't expected to survive, {@link Fault#DISK_LOST_ALL_KILLED}, which occurs only at the end
     * of a day, and {@link Fault#COMMAND_HELD}, whose drains would meet those of other faults.
     */
    public static List<Fault> randomFaults(final long seed) {
        final SplittableRandom random = new SplittableRandom(seed * 7919);
        final List<Fault> candidates = new ArrayList<>(List.of(Fault.values()));
        candidates.removeAll(List.of(Fault.REBOOTSTRAP, Fault.DISK_LOST_ALL_KILLED, Fault.COMMAND_HELD));
        final List<Fault> list = new ArrayList<>();
        final int count = 3 + random.nextInt(4);
        for (int i = 0; i < count; i++) {
            list.add(candidates.get(random.nextInt(candidates.size())));
        }
        return list;
    }
}
