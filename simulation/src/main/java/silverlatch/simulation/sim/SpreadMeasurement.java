package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.List;
import silverlatch.gossip.Gossip;
import silverlatch.safeguard.Safeguards;
import silverlatch.simulation.fleet.Plan;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.util.Lists;

/**
 * Measures in simulated time how long a change of the table takes to reach all gateways, and how old workers' reports are, for
 * several cluster sizes. Times are microseconds unless a name says otherwise.
 */
public final class SpreadMeasurement {
    private static final long SECOND = 1_000_000L;
    private static final long POLL_INTERVAL = 5_000L;
    private static final int MAX_POLLS = 2_000;
    private static final int TRIALS = 20;
    private static final int CONTROLLERS = 3;
    private static final int WORKERS_PER_REGION = 4;
    private final Plan plan;
    private final World world;
    private final List<Long> durationsMillis = new ArrayList<>();
    private final List<Long> agesMillis = new ArrayList<>();
    private long staleReports;

    private SpreadMeasurement(final Plan plan, final int nodes, final long seed) {
        this.plan = plan;
        final List<Plan.Region> regions = new ArrayList<>();
        for (int i = 0; i < CONTROLLERS; i++) {
            final Plan.Region region = plan.regions().get(i);
            final int gateways = (nodes - CONTROLLERS + i) / CONTROLLERS;
            regions.add(new Plan.Region(region.region(), region.zone(), gateways, WORKERS_PER_REGION));
        }
        final Plan sized = new Plan("size", regions, plan.kinds(), plan.tenants(), plan.table());
        this.world = new World(sized, seed, 5, Safeguards.ALL, false);
    }

    /** Prints a table with a row for each of three cluster sizes. */
    public static void run(final Plan plan, final long seed) {
        System.out.println(
                "| daemons | change at the last gateway, ms min/median/max of 20 | word age ms median/max | words over 2 s | frames a daemon a second |");
        System.out.println("| --- | --- | --- | --- | --- |");
        for (final int nodes : new int[] {10, 50, 200}) {
            new SpreadMeasurement(plan, nodes, seed).measure();
        }
    }

    private void measure() {
        world.start();
        world.stopLoad();
        advance(5 * SECOND);
        final long sentBefore = world.network().framesSent();
        final long start = world.scheduler().now();
        for (int i = 0; i < TRIALS; i++) {
            durationsMillis.add(measureSpread(i) / 1000);
            recordAges();
            advance(SECOND);
        }
        print(world.network().framesSent() - sentBefore, world.scheduler().now() - start);
    }

    private void advance(final long duration) {
        world.scheduler().runUntil(world.scheduler().now() + duration);
    }

    /** Changes a cell and returns the time from its acknowledgement until all gateways used it, as observed every 5 ms. */
    private long measureSpread(final int trial) {
        final long[] acknowledged = {0, 0};
        final Command.Cell cell = new Command.Cell("*", plan.kinds().get(0).kind(), "rate", "" + (2_000 + trial));
        final Command command = new Command.PatchTable("m" + trial, List.of(cell), -1);
        world.controllers().get(0).submit(command, 3 * SECOND, result -> {
            if (result instanceof CommandResult.Applied applied) {
                acknowledged[0] = applied.sequence();
                acknowledged[1] = world.scheduler().now();
            }
        });
        boolean isSpread = false;
        for (int poll = 0; poll < MAX_POLLS && !isSpread; poll++) {
            advance(POLL_INTERVAL);
            isSpread = acknowledged[0] > 0 && isAppliedEverywhere(acknowledged[0]);
        }
        return world.scheduler().now() - acknowledged[1];
    }

    private boolean isAppliedEverywhere(final long sequence) {
        return world.gateways().stream()
                .allMatch(gateway -> gateway.clusterSnapshot()
                        .map(snapshot -> snapshot.revision() >= sequence)
                        .orElse(false));
    }

    private void recordAges() {
        for (final SimulatedNode gateway : world.gateways()) {
            for (final Gossip.ObservedWorker worker :
                    gateway.clusterSnapshot().orElseThrow().workers().values()) {
                final long age = worker.age(gateway.now());
                agesMillis.add(Math.min(age, 60 * SECOND) / 1000);
                staleReports += age > 2 * SECOND ? 1 : 0;
            }
        }
    }

    private void print(final long frames, final long duration) {
        durationsMillis.sort(Long::compare);
        agesMillis.sort(Long::compare);
        final int nodes = world.gateways().size() + CONTROLLERS;
        System.out.printf(
                "| %d | %d/%d/%d | %d/%d | %.3f %% | %.0f |%n",
                nodes,
                durationsMillis.get(0),
                durationsMillis.get(TRIALS / 2),
                Lists.last(durationsMillis),
                agesMillis.get(agesMillis.size() / 2),
                Lists.last(agesMillis),
                100.0 * staleReports / agesMillis.size(),
                frames / (double) nodes / (duration / (double) SECOND));
    }
}
