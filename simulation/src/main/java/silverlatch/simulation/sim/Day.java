package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import silverlatch.safeguard.Safeguards;
import silverlatch.simulation.fleet.Plan;

/** A day in the simulator: it opens, faults come one after another, it heals, it is judged, and some end with one last fault. */
public final class Day {
    private static final long SECOND = 1_000_000L;

    /** What a day of an even seed may end with. */
    private static final List<Fault> CLOSING_FAULTS = List.of(
            Fault.GATEWAYS_KILLED,
            Fault.ALL_KILLED,
            Fault.REGION_LOST,
            Fault.CONTROLLER_KILLED,
            Fault.GATEWAY_FROZEN,
            Fault.KILLED_AT_STEPS,
            Fault.DISK_LOST_ALL_KILLED);

    private Day() {}

    /** What a day is made of. */
    public record Scenario(long seed, List<Fault> faults, long rate, boolean lyingDisks) {
        /** Copies the faults. */
        public Scenario {
            faults = List.copyOf(faults);
        }

        /** A day of the given faults. */
        public static Scenario of(final long seed, final List<Fault> faults, final long rate) {
            return new Scenario(seed, faults, rate, false);
        }

        /** A day whose faults are drawn by the seed. */
        public static Scenario withRandomFaults(final long seed, final long rate) {
            return new Scenario(seed, randomFaults(seed), rate, false);
        }
    }

    /** What came of a day. */
    public record Result(
            Scenario scenario, List<String> violations, Map<String, Long> counters, List<String> timeline) {
        /** Copies the lists. */
        public Result {
            violations = List.copyOf(violations);
            timeline = List.copyOf(timeline);
        }
    }

    /** Runs a day; its faults last as long and overlap as the seed will. */
    public static Result run(
            final Plan plan, final Scenario scenario, final Safeguards safeguards, final boolean verbose) {
        return run(plan, scenario, safeguards, verbose, WorldListener.NONE);
    }

    /** Runs a day, and tells a listener of all that its processes do. */
    static Result run(
            final Plan plan,
            final Scenario scenario,
            final Safeguards safeguards,
            final boolean verbose,
            final WorldListener listener) {
        final World world = new World(plan, scenario.seed(), scenario.rate(), safeguards, verbose, listener);
        world.controllers().forEach(n -> n.disk().ifPresent(d -> d.lying(scenario.lyingDisks())));
        world.start();
        final long start = world.scheduler().now();
        world.scheduler().runUntil(start + 5 * SECOND);
        final Baseline baseline = new Baseline(world, start + SECOND, start + 5 * SECOND);
        final boolean founded = !scenario.faults().contains(Fault.REBOOTSTRAP);
        for (final Fault fault : scenario.faults()) {
            inject(world, fault);
            baseline.advance(randomPause(world));
        }
        healAndCheck(world, baseline, founded);
        if (scenario.seed() % 2 == 0 && founded) {
            injectClosingFault(world, baseline, scenario.seed());
        }
        world.stopLoad();
        world.scheduler().runUntil(world.scheduler().now() + 15 * SECOND);
        return result(world, baseline, scenario);
    }

    /** How long until the next fault: shorter or longer than a fault lasts. */
    private static long randomPause(final World world) {
        return switch (world.scheduler().random().nextInt(4)) {
            case 0 -> SECOND;
            case 1 -> 22 * SECOND;
            default -> 8 * SECOND;
        };
    }

    private static void healAndCheck(final World world, final Baseline baseline, final boolean founded) {
        baseline.advance(35 * SECOND);
        world.controllers().forEach(SimulatedNode::start);
        world.gateways().forEach(SimulatedNode::start);
        world.workers().forEach(SimulatedWorker::start);
        baseline.advance(10 * SECOND);
        checkService(world, baseline, founded, "last");
    }

    private static void checkService(
            final World world, final Baseline baseline, final boolean founded, final String commandId) {
        final long start = world.scheduler().now();
        world.scheduler().runUntil(start + Baseline.WINDOW);
        world.operators().readBackAndChange(commandId);
        baseline.checkService(start, founded);
    }

    /** After a fault that takes a disk away, what was acknowledged is read back, and the fleet must serve again. */
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
        fault.injection(world, duration);
    }

    /**
     * A day's faults drawn by a seed; some come on top of each other. Left out is what has an end of its own (a new
     * founding) and what comes at the end of a day alone.
     */
    public static List<Fault> randomFaults(final long seed) {
        final SplittableRandom random = new SplittableRandom(seed * 7919);
        final List<Fault> candidates = new ArrayList<>(List.of(Fault.values()));
        candidates.removeAll(List.of(Fault.REBOOTSTRAP, Fault.DISK_LOST_ALL_KILLED));
        final List<Fault> list = new ArrayList<>();
        final int count = 3 + random.nextInt(4);
        for (int i = 0; i < count; i++) {
            list.add(candidates.get(random.nextInt(candidates.size())));
        }
        return list;
    }
}
