package silverlatch.simulation.hollow;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Optional;
import silverlatch.state.Command;
import silverlatch.state.TableRules;
import silverlatch.util.Lists;

/** Takes the figures of docs/CAPACITY.md with daemons that share a process. */
public final class Main {
    private static final int MAX_NODES = 400;
    private static final int MAX_WORKERS = 1_200;
    private static final int TRIALS = 20;
    private static final int MEASURED_SECONDS = 20;

    /** What the arguments ask for, or why they are rejected. */
    record Arguments(int nodes, int workers, long seed, Optional<String> error) {
        private static final String USAGE = "usage: bin/measure hollow DAEMONS WORKERS [--seed S]";

        static Arguments of(final String... args) {
            final boolean seeded = args.length == 4 && args[2].equals("--seed");
            if (args.length != 2 && !seeded
                    || !Arrays.stream(args).filter(a -> !a.equals("--seed")).allMatch(a -> a.matches("\\d{1,9}"))) {
                return invalid(USAGE);
            }
            final int daemons = Integer.parseInt(args[0]);
            final int workers = Integer.parseInt(args[1]);
            if (daemons <= HollowCluster.CONTROLLERS || daemons > MAX_NODES) {
                return invalid("daemons: " + daemons + " are not within " + (HollowCluster.CONTROLLERS + 1) + " and "
                        + MAX_NODES + ", the bounds of this machine");
            }
            if (workers < 1 || workers > MAX_WORKERS) {
                return invalid("workers: " + workers + " are not within 1 and " + MAX_WORKERS
                        + ", the bounds of this machine");
            }
            return new Arguments(daemons, workers, seeded ? Long.parseLong(args[3]) : 1, Optional.empty());
        }

        private static Arguments invalid(final String why) {
            return new Arguments(0, 0, 0, Optional.of(why));
        }
    }

    private Main() {}

    /** Arguments: daemons, workers, and a seed. */
    public static void main(final String[] args) {
        final Arguments arguments = Arguments.of(args);
        if (arguments.error().isPresent()) {
            System.err.println(arguments.error().get());
            System.exit(2);
        }
        final HollowCluster fleet = new HollowCluster(arguments.nodes(), arguments.workers(), arguments.seed());
        System.out.println("hollow " + arguments.nodes() + " daemons, " + arguments.workers() + " workers, seed "
                + arguments.seed());
        startAndSettle(fleet, arguments.nodes());
        measureAtRest(fleet);
        measureUnderChange(fleet);
    }

    private static void startAndSettle(final HollowCluster fleet, final int nodes) {
        fleet.advance(8 * HollowCluster.SECOND);
        fleet.propagateTableChange(
                new Command.PutTable("table", List.of(TableRules.defaultRow("*", "chat")), -1),
                5 * HollowCluster.SECOND);
        fleet.advance(12 * HollowCluster.SECOND);
        printUsage("start", fleet);
        System.out.println("settled after 20 s: " + fleet.isConverged());
        System.gc();
        final Runtime runtime = Runtime.getRuntime();
        System.out.println(
                "heap for each daemon, KB: " + (runtime.totalMemory() - runtime.freeMemory()) / 1024 / nodes);
    }

    private static void measureAtRest(final HollowCluster fleet) {
        fleet.resetUsage();
        fleet.advance(MEASURED_SECONDS * HollowCluster.SECOND);
        printUsage("at rest", fleet);
        System.out.println("unsure at rest: " + fleet.staleNodes());
    }

    private static void measureUnderChange(final HollowCluster fleet) {
        fleet.resetUsage();
        final List<Long> workerTimes = new ArrayList<>();
        final List<Long> tableTimes = new ArrayList<>();
        for (int trial = 0; trial < TRIALS; trial++) {
            workerTimes.add(finishSecond(fleet, fleet.propagateWorkerChange(HollowCluster.SECOND)));
            final Command.Cell cell = new Command.Cell("*", "chat", "rate", "" + (500 + trial));
            final Command change = new Command.PatchTable("rule-" + trial, List.of(cell), -1);
            tableTimes.add(finishSecond(fleet, fleet.propagateTableChange(change, HollowCluster.SECOND)));
        }
        printUsage("under change, a worker's and a rule's in turn, some 0.8 a second", fleet);
        System.out.println("unsure under change: " + fleet.staleNodes());
        printTimes("a worker's change known to all", workerTimes);
        printTimes("a rule's change followed by all", tableTimes);
    }

    private static long finishSecond(final HollowCluster fleet, final long elapsed) {
        fleet.advance(
                HollowCluster.SECOND - (elapsed < 0 ? HollowCluster.SECOND : (elapsed + 9_999) / 10_000 * 10_000));
        fleet.advanceRandomly();
        return elapsed;
    }

    private static void printUsage(final String phase, final HollowCluster fleet) {
        for (final boolean controller : new boolean[] {false, true}) {
            final HollowCluster.ResourceUsage usage = fleet.usage(controller);
            final double each = (double) usage.nodes() * fleet.countedMicros() / HollowCluster.SECOND;
            System.out.printf(
                    "%s: each %s sends %.1f frames/s, %.0f bytes/s, works %.2f ms/s%n",
                    phase,
                    controller ? "controller" : "gateway",
                    usage.frames() / each,
                    usage.bytes() / each,
                    usage.cpuNanos() / 1e6 / each);
        }
    }

    private static void printTimes(final String what, final List<Long> times) {
        final List<Long> known = times.stream().filter(t -> t >= 0).sorted().toList();
        System.out.println(what + ", ms min/median/max: "
                + (known.isEmpty()
                        ? "none"
                        : known.get(0) / 1000 + "/" + known.get(known.size() / 2) / 1000 + "/"
                                + Lists.last(known) / 1000)
                + ", not within a second: " + (times.size() - known.size()) + " of " + times.size());
    }
}
