package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.List;
import silverlatch.gossip.Gossip;
import silverlatch.safeguard.Safeguards;
import silverlatch.simulation.fleet.Plan;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.util.Lists;

/** Figures taken in simulated time: how fast a table spreads by the fleet's size, and how fast the chain is mended. */
public final class SimulatedMeasurements {
    private static final long SECOND = 1_000_000L;

    private SimulatedMeasurements() {}

    /** Spread of a change and ages of words, for fleets of so many daemons. */
    public static void spread(final Plan plan, final long seed) {
        System.out.println(
                "| daemons | change at the last gateway, ms min/median/max of 20 | word age ms median/max | words over 2 s | frames a daemon a second |");
        System.out.println("| --- | --- | --- | --- | --- |");
        for (final int size : new int[] {10, 50, 200}) {
            final List<Plan.Region> regions = new ArrayList<>();
            for (int i = 0; i < 3; i++) {
                regions.add(new Plan.Region(
                        plan.regions().get(i).region(), plan.regions().get(i).zone(), (size - 3 + i) / 3, 4));
            }
            final World world = new World(
                    new Plan("size", regions, plan.kinds(), plan.tenants(), plan.table()),
                    seed,
                    5,
                    Safeguards.ALL,
                    false);
            world.start();
            world.stopLoad();
            world.scheduler().runUntil(world.scheduler().now() + 5 * SECOND);
            final List<Long> durations = new ArrayList<>();
            final List<Long> ages = new ArrayList<>();
            final long sent = world.network().frameCounts()[0];
            final long start = world.scheduler().now();
            long staleReports = 0;
            for (int i = 0; i < 20; i++) {
                final long[] acknowledged = {0, 0};
                world.controllers()
                        .get(0)
                        .submit(
                                new Command.PatchTable(
                                        "m" + i,
                                        List.of(new Command.Cell(
                                                "*", plan.kinds().get(0).kind(), "rate", "" + (2_000 + i))),
                                        -1),
                                3 * SECOND,
                                result -> {
                                    if (result instanceof CommandResult.Applied applied) {
                                        acknowledged[0] = applied.sequence();
                                        acknowledged[1] = world.scheduler().now();
                                    }
                                });
                for (int poll = 0; poll < 2_000; poll++) {
                    world.scheduler().runUntil(world.scheduler().now() + 5_000);
                    if (acknowledged[0] > 0
                            && world.gateways().stream()
                                    .allMatch(node -> node.clusterSnapshot()
                                            .map(f -> f.revision() >= acknowledged[0])
                                            .orElse(false))) {
                        break;
                    }
                }
                durations.add((world.scheduler().now() - acknowledged[1]) / 1000);
                for (final SimulatedNode node : world.gateways()) {
                    for (final Gossip.ObservedWorker observed :
                            node.clusterSnapshot().orElseThrow().workers().values()) {
                        final long age = observed.age(node.now());
                        ages.add(Math.min(age, 60 * SECOND) / 1000);
                        staleReports += age > 2 * SECOND ? 1 : 0;
                    }
                }
                world.scheduler().runUntil(world.scheduler().now() + SECOND);
            }
            durations.sort(Long::compare);
            ages.sort(Long::compare);
            System.out.printf(
                    "| %d | %d/%d/%d | %d/%d | %.3f %% | %.0f |%n",
                    world.gateways().size() + 3,
                    durations.get(0),
                    durations.get(10),
                    Lists.last(durations),
                    ages.get(ages.size() / 2),
                    Lists.last(ages),
                    100.0 * staleReports / ages.size(),
                    (world.network().frameCounts()[0] - sent)
                            / (double) (world.gateways().size() + 3)
                            / ((world.scheduler().now() - start) / (double) SECOND));
        }
    }

    /** What is served under a crowd, by kind and by tenant. */
    public static void load(final Plan plan, final long seed) {
        System.out.println(
                "| tickets a second | kind | sent | done | key taken | first piece ms median/p95 | prefix kept | crossings |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (final long rate : new long[] {60, 400, 800, 1600}) {
            final World world = new World(plan, seed, rate, Safeguards.ALL, false);
            world.start();
            world.scheduler().runUntil(world.scheduler().now() + 15 * SECOND);
            world.stopLoad();
            world.scheduler().runUntil(world.scheduler().now() + 14 * SECOND);
            final double runs = Math.max(1, world.observer().counters().getOrDefault("runs", 0L));
            for (final Plan.Kind kind : plan.kinds()) {
                final List<Long> firstChunkTimes = world.observer().firstChunkTimes(kind.kind());
                final long requests = world.observer().outcomesByKind().entrySet().stream()
                        .filter(e -> e.getKey().startsWith(kind.kind() + " "))
                        .mapToLong(e -> e.getValue())
                        .sum();
                System.out.printf(
                        "| %d | %s | %d | %d | %d | %s | %.1f %% | %.1f %% |%n",
                        rate,
                        kind.kind(),
                        requests,
                        firstChunkTimes.size(),
                        kind.atMostOnce() ? world.observer().counters().getOrDefault("stands", 0L) : 0L,
                        firstChunkTimes.isEmpty()
                                ? "-"
                                : firstChunkTimes.get(firstChunkTimes.size() / 2) / 1000 + "/"
                                        + firstChunkTimes.get(firstChunkTimes.size() * 95 / 100) / 1000,
                        100 * world.observer().counters().getOrDefault("prefixKept", 0L) / runs,
                        100 * world.observer().counters().getOrDefault("crossings", 0L) / runs);
            }
        }
        System.out.println("| tenant, the first sending ten times as much at 800 a second | sent | done |");
        System.out.println("| --- | --- | --- |");
        final World world = new World(plan, seed, 800, Safeguards.ALL, false);
        world.start();
        world.load().multiplyFirstTenant(10);
        world.scheduler().runUntil(world.scheduler().now() + 15 * SECOND);
        world.stopLoad();
        world.scheduler().runUntil(world.scheduler().now() + 14 * SECOND);
        for (final Plan.Tenant tenant : plan.tenants()) {
            final String start = "tenant " + tenant.name() + " ";
            System.out.println("| " + tenant.name() + " | "
                    + world.observer().outcomesByKind().entrySet().stream()
                            .filter(e -> e.getKey().startsWith(start))
                            .mapToLong(e -> e.getValue())
                            .sum()
                    + " | " + world.observer().outcomesByKind().getOrDefault(start + "done", 0L) + " |");
        }
    }

    /** How long writes stop when a member of the chain dies, and what is served with a region gone. */
    public static void failover(final Plan plan, final long seed) {
        System.out.println("| lost | first ack after, ms min/median/max of 12 |");
        System.out.println("| --- | --- |");
        for (int position = 0; position < 3; position++) {
            final List<Long> durations = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                final World world = new World(plan, seed + i, 20, Safeguards.ALL, false);
                world.start();
                world.scheduler()
                        .runUntil(world.scheduler().now()
                                + SECOND
                                + world.scheduler().random().nextLong(SECOND));
                world.controllers().get(position).kill();
                final long lostAt = world.scheduler().now();
                final long[] acknowledgedAt = {0};
                final SimulatedNode survivor = world.controllers().get((position + 1) % 3);
                survivor.submit(
                        new Command.PatchTable(
                                "m" + i,
                                List.of(new Command.Cell(
                                        "*", plan.kinds().get(0).kind(), "rate", "2000")),
                                -1),
                        20 * SECOND,
                        region -> acknowledgedAt[0] = world.scheduler().now());
                world.scheduler().runUntil(lostAt + 10 * SECOND);
                durations.add((acknowledgedAt[0] - lostAt) / 1000);
            }
            durations.sort(Long::compare);
            System.out.println("| " + List.of("head", "middle", "tail").get(position) + " | " + durations.get(0) + "/"
                    + durations.get(6) + "/" + Lists.last(durations) + " |");
        }
        System.out.println("| region lost | done a second before, 5 s after the loss, 12 s after the return |");
        System.out.println("| --- | --- |");
        for (final Plan.Region region : plan.regions()) {
            final World world = new World(plan, seed, 60, Safeguards.ALL, false);
            world.start();
            final long lostAt = world.scheduler().now() + 5 * SECOND;
            world.scheduler().runUntil(lostAt);
            ProcessFaults.loseRegion(world, region.region());
            world.scheduler().runUntil(lostAt + 10 * SECOND);
            ProcessFaults.restoreRegion(world, region.region());
            world.scheduler().runUntil(lostAt + 30 * SECOND);
            System.out.println("| " + region.region() + " | "
                    + world.observer().completedBetween(lostAt - 3 * SECOND, lostAt) / 3 + ", "
                    + world.observer().completedBetween(lostAt + 5 * SECOND, lostAt + 10 * SECOND) / 5 + ", "
                    + world.observer().completedBetween(lostAt + 22 * SECOND, lostAt + 27 * SECOND) / 5 + " |");
        }
    }
}
