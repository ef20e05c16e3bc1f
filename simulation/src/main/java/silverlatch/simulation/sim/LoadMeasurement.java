package silverlatch.simulation.sim;

import java.util.List;
import silverlatch.safeguard.Safeguards;
import silverlatch.simulation.fleet.Plan;

/**
 * Measures in simulated time how many requests are completed under load, by kind of request and by tenant. Times are
 * microseconds.
 */
public final class LoadMeasurement {
    private static final long SECOND = 1_000_000L;
    private static final long LOAD_TIME = 15 * SECOND;
    private static final long DRAIN_TIME = 14 * SECOND;
    private static final long GREEDY_RATE = 800;
    private static final int GREEDY_FACTOR = 10;

    private LoadMeasurement() {}

    /** Prints one table by load and kind, and one by tenant while the first tenant sends ten times as much as each other. */
    public static void run(final Plan plan, final long seed) {
        System.out.println(
                "| tickets a second | kind | sent | done | key taken | first piece ms median/p95 | prefix kept | crossings |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (final long rate : new long[] {60, 400, 800, 1600}) {
            final World world = new World(plan, seed, rate, Safeguards.ALL, false);
            world.start();
            applyLoad(world);
            plan.kinds().forEach(kind -> printKind(world, rate, kind));
        }
        System.out.println("| tenant, the first sending ten times as much at 800 a second | sent | done |");
        System.out.println("| --- | --- | --- |");
        final World world = new World(plan, seed, GREEDY_RATE, Safeguards.ALL, false);
        world.start();
        world.load().multiplyFirstTenant(GREEDY_FACTOR);
        applyLoad(world);
        plan.tenants().forEach(tenant -> printTenant(world, tenant));
    }

    private static void applyLoad(final World world) {
        world.scheduler().runUntil(world.scheduler().now() + LOAD_TIME);
        world.stopLoad();
        world.scheduler().runUntil(world.scheduler().now() + DRAIN_TIME);
    }

    private static long sent(final World world, final String outcomePrefix) {
        return world.observer().outcomesByKind().entrySet().stream()
                .filter(outcome -> outcome.getKey().startsWith(outcomePrefix))
                .mapToLong(outcome -> outcome.getValue())
                .sum();
    }

    private static void printKind(final World world, final long rate, final Plan.Kind kind) {
        final double runs = Math.max(1, world.observer().counter("runs"));
        final List<Long> times = world.observer().firstChunkTimes(kind.kind());
        System.out.printf(
                "| %d | %s | %d | %d | %d | %s | %.1f %% | %.1f %% |%n",
                rate,
                kind.kind(),
                sent(world, kind.kind() + " "),
                times.size(),
                kind.atMostOnce() ? world.observer().counter("stands") : 0L,
                times.isEmpty()
                        ? "-"
                        : times.get(times.size() / 2) / 1000 + "/" + times.get(times.size() * 95 / 100) / 1000,
                100 * world.observer().counter("prefixKept") / runs,
                100 * world.observer().counter("crossings") / runs);
    }

    private static void printTenant(final World world, final Plan.Tenant tenant) {
        final String start = "tenant " + tenant.name() + " ";
        System.out.println("| " + tenant.name() + " | " + sent(world, start) + " | "
                + world.observer().outcomesByKind().getOrDefault(start + "done", 0L) + " |");
    }
}
