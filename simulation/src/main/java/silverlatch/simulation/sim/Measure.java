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
public final class Measure {
    private static final long SECOND = 1_000_000L;

    private Measure() {}

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
            final World w = new World(
                    new Plan("size", regions, plan.kinds(), plan.tenants(), plan.table()),
                    seed,
                    5,
                    Safeguards.ALL,
                    false);
            w.open();
            w.hush();
            w.engine().run(w.engine().now() + 5 * SECOND);
            final List<Long> spans = new ArrayList<>();
            final List<Long> ages = new ArrayList<>();
            final long sent = w.net().counts()[0];
            final long began = w.engine().now();
            long old = 0;
            for (int i = 0; i < 20; i++) {
                final long[] got = {0, 0};
                w.controllers()
                        .get(0)
                        .wish(
                                new Command.PatchTable(
                                        "m" + i,
                                        List.of(new Command.Cell(
                                                "*", plan.kinds().get(0).kind(), "rate", "" + (2_000 + i))),
                                        -1),
                                3 * SECOND,
                                r -> {
                                    if (r instanceof CommandResult.Applied k) {
                                        got[0] = k.sequence();
                                        got[1] = w.engine().now();
                                    }
                                });
                for (int t = 0; t < 2_000; t++) {
                    w.engine().run(w.engine().now() + 5_000);
                    if (got[0] > 0
                            && w.gateways().stream()
                                    .allMatch(n -> n.facts()
                                            .map(f -> f.revision() >= got[0])
                                            .orElse(false))) {
                        break;
                    }
                }
                spans.add((w.engine().now() - got[1]) / 1000);
                for (final SimulatedNode n : w.gateways()) {
                    for (final Gossip.ObservedWorker h :
                            n.facts().orElseThrow().workers().values()) {
                        final long age = h.age(n.now());
                        ages.add(Math.min(age, 60 * SECOND) / 1000);
                        old += age > 2 * SECOND ? 1 : 0;
                    }
                }
                w.engine().run(w.engine().now() + SECOND);
            }
            spans.sort(Long::compare);
            ages.sort(Long::compare);
            System.out.printf(
                    "| %d | %d/%d/%d | %d/%d | %.3f %% | %.0f |%n",
                    w.gateways().size() + 3,
                    spans.get(0),
                    spans.get(10),
                    Lists.last(spans),
                    ages.get(ages.size() / 2),
                    Lists.last(ages),
                    100.0 * old / ages.size(),
                    (w.net().counts()[0] - sent)
                            / (double) (w.gateways().size() + 3)
                            / ((w.engine().now() - began) / (double) SECOND));
        }
    }

    /** What is served under a crowd, by kind and by tenant. */
    public static void crowd(final Plan plan, final long seed) {
        System.out.println(
                "| tickets a second | kind | sent | done | key taken | first piece ms median/p95 | prefix kept | crossings |");
        System.out.println("| --- | --- | --- | --- | --- | --- | --- | --- |");
        for (final long rate : new long[] {60, 400, 800, 1600}) {
            final World w = new World(plan, seed, rate, Safeguards.ALL, false);
            w.open();
            w.engine().run(w.engine().now() + 15 * SECOND);
            w.hush();
            w.engine().run(w.engine().now() + 14 * SECOND);
            final double runs = Math.max(1, w.watch().tally().getOrDefault("runs", 0L));
            for (final Plan.Kind k : plan.kinds()) {
                final List<Long> firsts = w.watch().firsts(k.kind());
                final long sent = w.watch().kinds().entrySet().stream()
                        .filter(e -> e.getKey().startsWith(k.kind() + " "))
                        .mapToLong(e -> e.getValue())
                        .sum();
                System.out.printf(
                        "| %d | %s | %d | %d | %d | %s | %.1f %% | %.1f %% |%n",
                        rate,
                        k.kind(),
                        sent,
                        firsts.size(),
                        k.once() ? w.watch().tally().getOrDefault("stands", 0L) : 0L,
                        firsts.isEmpty()
                                ? "-"
                                : firsts.get(firsts.size() / 2) / 1000 + "/"
                                        + firsts.get(firsts.size() * 95 / 100) / 1000,
                        100 * w.watch().tally().getOrDefault("prefixKept", 0L) / runs,
                        100 * w.watch().tally().getOrDefault("crossings", 0L) / runs);
            }
        }
        System.out.println("| tenant, the first sending ten times as much at 800 a second | sent | done |");
        System.out.println("| --- | --- | --- |");
        final World w = new World(plan, seed, 800, Safeguards.ALL, false);
        w.open();
        w.greedy(10);
        w.engine().run(w.engine().now() + 15 * SECOND);
        w.hush();
        w.engine().run(w.engine().now() + 14 * SECOND);
        for (final Plan.Tenant t : plan.tenants()) {
            final String start = "tenant " + t.name() + " ";
            System.out.println("| " + t.name() + " | "
                    + w.watch().kinds().entrySet().stream()
                            .filter(e -> e.getKey().startsWith(start))
                            .mapToLong(e -> e.getValue())
                            .sum()
                    + " | " + w.watch().kinds().getOrDefault(start + "done", 0L) + " |");
        }
    }

    /** How long writes stop when a member of the chain dies, and what is served with a region gone. */
    public static void mend(final Plan plan, final long seed) {
        System.out.println("| lost | first ack after, ms min/median/max of 12 |");
        System.out.println("| --- | --- |");
        for (int place = 0; place < 3; place++) {
            final List<Long> spans = new ArrayList<>();
            for (int i = 0; i < 12; i++) {
                final World w = new World(plan, seed + i, 20, Safeguards.ALL, false);
                w.open();
                w.engine().run(w.engine().now() + SECOND + w.engine().luck().nextLong(SECOND));
                w.controllers().get(place).kill();
                final long at = w.engine().now();
                final long[] got = {0};
                final SimulatedNode asker = w.controllers().get((place + 1) % 3);
                asker.wish(
                        new Command.PatchTable(
                                "m" + i,
                                List.of(new Command.Cell(
                                        "*", plan.kinds().get(0).kind(), "rate", "2000")),
                                -1),
                        20 * SECOND,
                        r -> got[0] = w.engine().now());
                w.engine().run(at + 10 * SECOND);
                spans.add((got[0] - at) / 1000);
            }
            spans.sort(Long::compare);
            System.out.println("| " + List.of("head", "middle", "tail").get(place) + " | " + spans.get(0) + "/"
                    + spans.get(6) + "/" + Lists.last(spans) + " |");
        }
        System.out.println("| region lost | done a second before, 5 s after the loss, 12 s after the return |");
        System.out.println("| --- | --- |");
        for (final Plan.Region r : plan.regions()) {
            final World w = new World(plan, seed, 60, Safeguards.ALL, false);
            w.open();
            final long at = w.engine().now() + 5 * SECOND;
            w.engine().run(at);
            Blows.lose(w, r.region());
            w.engine().run(at + 10 * SECOND);
            Blows.back(w, r.region());
            w.engine().run(at + 30 * SECOND);
            System.out.println("| " + r.region() + " | " + w.watch().done(at - 3 * SECOND, at) / 3 + ", "
                    + w.watch().done(at + 5 * SECOND, at + 10 * SECOND) / 5 + ", "
                    + w.watch().done(at + 22 * SECOND, at + 27 * SECOND) / 5 + " |");
        }
    }
}
