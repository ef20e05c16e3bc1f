package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.List;
import silverlatch.safeguard.Safeguards;
import silverlatch.simulation.fleet.Plan;
import silverlatch.state.Command;
import silverlatch.util.Lists;

/**
 * Measures in simulated time how long writes are unavailable after a replica of the chain fails, and how many requests are
 * completed while a region is lost.
 */
public final class FailoverMeasurement {
    private static final long SECOND = 1_000_000L;
    private static final List<String> POSITIONS = List.of("head", "middle", "tail");
    private static final int TRIALS = 12;

    private FailoverMeasurement() {}

    /** Prints one table by the chain position of the failed replica, and one by the lost region. */
    public static void run(final Plan plan, final long seed) {
        System.out.println("| lost | first ack after, ms min/median/max of 12 |");
        System.out.println("| --- | --- |");
        for (int position = 0; position < POSITIONS.size(); position++) {
            final List<Long> durations = new ArrayList<>();
            for (int trial = 0; trial < TRIALS; trial++) {
                durations.add(millisToAcknowledge(plan, seed + trial, position, "m" + trial));
            }
            durations.sort(Long::compare);
            System.out.println("| " + POSITIONS.get(position) + " | " + durations.get(0) + "/"
                    + durations.get(TRIALS / 2) + "/" + Lists.last(durations) + " |");
        }
        System.out.println("| region lost | done a second before, 5 s after the loss, 12 s after the return |");
        System.out.println("| --- | --- |");
        plan.regions().forEach(region -> loseRegion(plan, seed, region.region()));
    }

    private static long millisToAcknowledge(
            final Plan plan, final long seed, final int position, final String commandId) {
        final World world = new World(plan, seed, 20, Safeguards.ALL, false);
        world.start();
        final long wait = SECOND + world.scheduler().random().nextLong(SECOND);
        world.scheduler().runUntil(world.scheduler().now() + wait);
        world.controllers().get(position).kill();
        final long lostAt = world.scheduler().now();
        final long[] acknowledgedAt = {0};
        final SimulatedNode survivor = world.controllers().get((position + 1) % POSITIONS.size());
        final Command.Cell cell = new Command.Cell("*", plan.kinds().get(0).kind(), "rate", "2000");
        survivor.submit(
                new Command.PatchTable(commandId, List.of(cell), -1),
                20 * SECOND,
                result -> acknowledgedAt[0] = world.scheduler().now());
        world.scheduler().runUntil(lostAt + 10 * SECOND);
        return (acknowledgedAt[0] - lostAt) / 1000;
    }

    private static void loseRegion(final Plan plan, final long seed, final String region) {
        final World world = new World(plan, seed, 60, Safeguards.ALL, false);
        world.start();
        final long lostAt = world.scheduler().now() + 5 * SECOND;
        world.scheduler().runUntil(lostAt);
        ProcessFaults.loseRegion(world, region);
        world.scheduler().runUntil(lostAt + 10 * SECOND);
        ProcessFaults.restoreRegion(world, region);
        world.scheduler().runUntil(lostAt + 30 * SECOND);
        System.out.println("| " + region + " | "
                + completedPerSecond(world, lostAt - 3 * SECOND, lostAt) + ", "
                + completedPerSecond(world, lostAt + 5 * SECOND, lostAt + 10 * SECOND) + ", "
                + completedPerSecond(world, lostAt + 22 * SECOND, lostAt + 27 * SECOND) + " |");
    }

    private static long completedPerSecond(final World world, final long from, final long to) {
        return world.observer().completedBetween(from, to) / ((to - from) / SECOND);
    }
}
