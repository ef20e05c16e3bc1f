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
    private static final int DAEMONS = 400;
    private static final int WORKERS = 1_200;
    private static final int TRIALS = 20;
    private static final int SPAN = 20;

    /** What the arguments ask for, or why they are rejected. */
    record Ask(int daemons, int workers, long seed, Optional<String> fault) {
        private static final String USAGE = "usage: bin/measure hollow DAEMONS WORKERS [--seed S]";

        static Ask of(final String... args) {
            final boolean seeded = args.length == 4 && args[2].equals("--seed");
            if (args.length != 2 && !seeded
                    || !Arrays.stream(args).filter(a -> !a.equals("--seed")).allMatch(a -> a.matches("\\d{1,9}"))) {
                return no(USAGE);
            }
            final int daemons = Integer.parseInt(args[0]);
            final int workers = Integer.parseInt(args[1]);
            if (daemons <= Hollow.HARBORS || daemons > DAEMONS) {
                return no("daemons: " + daemons + " are not within " + (Hollow.HARBORS + 1) + " and " + DAEMONS
                        + ", the bounds of this machine");
            }
            if (workers < 1 || workers > WORKERS) {
                return no("workers: " + workers + " are not within 1 and " + WORKERS + ", the bounds of this machine");
            }
            return new Ask(daemons, workers, seeded ? Long.parseLong(args[3]) : 1, Optional.empty());
        }

        private static Ask no(final String why) {
            return new Ask(0, 0, 0, Optional.of(why));
        }
    }

    private Main() {}

    /** Arguments: daemons, workers, and a seed. */
    public static void main(final String[] args) {
        final Ask ask = Ask.of(args);
        if (ask.fault().isPresent()) {
            System.err.println(ask.fault().get());
            System.exit(2);
        }
        final Hollow fleet = new Hollow(ask.daemons(), ask.workers(), ask.seed());
        System.out.println("hollow " + ask.daemons() + " daemons, " + ask.workers() + " workers, seed " + ask.seed());
        fleet.pass(8 * Hollow.SECOND);
        fleet.rule(new Command.PutTable("table", List.of(TableRules.defaultRow("*", "chat")), -1), 5 * Hollow.SECOND);
        fleet.pass(12 * Hollow.SECOND);
        show("start", fleet);
        System.out.println("settled after 20 s: " + fleet.settled());
        System.gc();
        final Runtime r = Runtime.getRuntime();
        System.out.println("heap for each daemon, KB: " + (r.totalMemory() - r.freeMemory()) / 1024 / ask.daemons());
        fleet.clear();
        fleet.pass(SPAN * Hollow.SECOND);
        show("at rest", fleet);
        System.out.println("unsure at rest: " + fleet.unsure());
        fleet.clear();
        final List<Long> words = new ArrayList<>();
        final List<Long> rules = new ArrayList<>();
        for (int i = 0; i < TRIALS; i++) {
            words.add(second(fleet, fleet.change(Hollow.SECOND)));
            rules.add(second(
                    fleet,
                    fleet.rule(
                            new Command.PatchTable(
                                    "rule-" + i, List.of(new Command.Cell("*", "chat", "rate", "" + (500 + i))), -1),
                            Hollow.SECOND)));
        }
        show("under change, a worker's and a rule's in turn, some 0.8 a second", fleet);
        System.out.println("unsure under change: " + fleet.unsure());
        tell("a worker's change known to all", words);
        tell("a rule's change followed by all", rules);
    }

    private static long second(final Hollow fleet, final long time) {
        fleet.pass(Hollow.SECOND - (time < 0 ? Hollow.SECOND : (time + 9_999) / 10_000 * 10_000));
        fleet.drift();
        return time;
    }

    private static void show(final String phase, final Hollow fleet) {
        for (final boolean controller : new boolean[] {false, true}) {
            final Hollow.Tally t = fleet.tally(controller);
            final double each = (double) t.daemons() * fleet.counted() / Hollow.SECOND;
            System.out.printf(
                    "%s: each %s sends %.1f frames/s, %.0f bytes/s, works %.2f ms/s%n",
                    phase,
                    controller ? "controller" : "gateway",
                    t.frames() / each,
                    t.bytes() / each,
                    t.nanos() / 1e6 / each);
        }
    }

    private static void tell(final String what, final List<Long> times) {
        final List<Long> known = times.stream().filter(t -> t >= 0).sorted().toList();
        System.out.println(what + ", ms min/median/max: "
                + (known.isEmpty()
                        ? "none"
                        : known.get(0) / 1000 + "/" + known.get(known.size() / 2) / 1000 + "/"
                                + Lists.last(known) / 1000)
                + ", not within a second: " + (times.size() - known.size()) + " of " + times.size());
    }
}
