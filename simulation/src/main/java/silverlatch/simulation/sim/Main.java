package silverlatch.simulation.sim;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;
import silverlatch.simulation.fleet.Plan;

/** Runs many days. Ends with 0 when all are right, 1 when a day is wrong or a check was put to no test, 2 on wrong use. */
public final class Main {
    private static final int MANY = 100;

    @Argument(index = 0, metaVar = "PLAN-FOLDER", required = true, usage = "folder with a plan.json")
    private String plan = "";

    @Argument(index = 1, metaVar = "FIRST-SEED", required = true, usage = "a whole number")
    private String first = "";

    @Argument(index = 2, metaVar = "COUNT", required = true, usage = "how many seeds, 1 to 100000")
    private String count = "";

    @Argument(index = 3, metaVar = "FAULTS", usage = "drawn, each, or names of faults joined by commas")
    private String faults = "drawn";

    @Option(name = "--rate", metaVar = "N", usage = "tickets a second, 1 to 5000")
    private String rate = "60";

    @Option(name = "--down", metaVar = "GUARDS", usage = "guards to let down, joined by commas")
    private String down = "";

    @Option(name = "--loud", usage = "print the story and the daemons' logs; one day at a time")
    private boolean loud;

    @Option(name = "--shrink", usage = "cut each wrong day down to the fewest faults that still show it")
    private boolean shrink;

    private final List<String> wrongs = new ArrayList<>();

    private Main() {}

    /** Runs the sweep. */
    public static void main(final String[] args) throws Exception {
        System.exit(new Main().run(args));
    }

    /** What wrong words end with. */
    static int wrong(final String[] args) throws Exception {
        return new Main().run(args);
    }

    /** Reads the words, says every fault in them with its place, and else runs the days. */
    private int run(final String[] args) throws Exception {
        final CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(args);
        } catch (final CmdLineException e) {
            System.err.println(e.getMessage());
            System.err.print("usage: days");
            parser.printSingleLineUsage(System.err);
            System.err.println();
            return 2;
        }
        final long seed = whole("FIRST-SEED", first, 0, Long.MAX_VALUE / 8192);
        final long days = whole("COUNT", count, 1, 100_000);
        final long load = whole("--rate", rate, 1, 5_000);
        final List<Fault> named =
                faults.equals("drawn") || faults.equals("each") ? List.of() : named("FAULTS", faults, Fault.class);
        final Safeguards guards =
                new Safeguards(Set.copyOf(down.isEmpty() ? List.of() : named("--down", down, Safeguard.class)));
        final List<Plan> read = new ArrayList<>();
        try {
            if (Files.isRegularFile(Path.of(plan, "plan.json"))) {
                read.add(Plan.read(Path.of(plan)));
            } else {
                wrongs.add("PLAN-FOLDER: there is no plan.json in " + plan);
            }
        } catch (final IOException e) {
            wrongs.add("PLAN-FOLDER: " + plan + "/plan.json: " + e.getMessage());
        }
        if (!wrongs.isEmpty()) {
            wrongs.forEach(System.err::println);
            return 2;
        }
        final List<Day.Script> scripts = new ArrayList<>();
        for (long s = seed; s < seed + days; s++) {
            final long mine = s;
            switch (faults) {
                case "drawn" -> scripts.add(Day.Script.drawn(mine, load));
                case "each" ->
                    Arrays.stream(Fault.values()).forEach(f -> scripts.add(Day.Script.of(mine, List.of(f), load)));
                default -> scripts.add(Day.Script.of(mine, named, load));
            }
        }
        return sweep(read.get(0), scripts, guards);
    }

    private int sweep(final Plan what, final List<Day.Script> scripts, final Safeguards guards) throws Exception {
        final ExecutorService pool =
                Executors.newFixedThreadPool(loud ? 1 : Runtime.getRuntime().availableProcessors(), r -> {
                    final Thread t = new Thread(r, "days");
                    t.setDaemon(true);
                    return t;
                });
        final List<Future<Day.Came>> days = scripts.stream()
                .map(s -> pool.submit(() -> Day.run(what, s, guards, loud)))
                .toList();
        int wrong = 0;
        final Map<String, Long> sum = new TreeMap<>();
        for (final Future<Day.Came> day : days) {
            final Day.Came came = day.get();
            add(sum, came.tally());
            if (!came.wrong().isEmpty()) {
                wrong++;
                System.out.println(
                        "seed " + came.script().seed() + " " + came.script().faults());
                came.story().forEach(s -> System.out.println("    " + s));
                came.wrong().stream().limit(6).forEach(s -> System.out.println("  WRONG " + s));
                if (shrink) {
                    System.out.println(
                            "  fewest faults: " + fewest(what, came, guards).faults());
                }
            }
        }
        pool.shutdown();
        sum.forEach((k, v) -> System.out.println("  " + k + " " + v));
        final List<Mark> untried = scripts.size() < MANY
                ? List.of()
                : Arrays.stream(Mark.values())
                        .filter(m -> !sum.containsKey("test-" + m))
                        .toList();
        if (!untried.isEmpty()) {
            System.out.println("put to no test: " + untried);
        }
        System.out.println(days.size() + " days, " + wrong + " wrong");
        return wrong == 0 && untried.isEmpty() ? 0 : 1;
    }

    /** The day without each fault that is not needed for the mark it shows. */
    static Day.Script fewest(final Plan what, final Day.Came came, final Safeguards guards) {
        final String mark = came.wrong().get(0).split(" ")[0];
        Day.Script best = came.script();
        for (int i = best.faults().size() - 1; i >= 0; i--) {
            final List<Fault> less = new ArrayList<>(best.faults());
            less.remove(i);
            final Day.Script next = new Day.Script(best.seed(), less, best.rate(), best.lying());
            if (Day.run(what, next, guards, false).wrong().stream().anyMatch(w -> w.startsWith(mark + " "))) {
                best = next;
            }
        }
        return best;
    }

    /** Adds a day's counts to those of a sweep: the largest of what is a largest, the sum of all else. */
    static void add(final Map<String, Long> sum, final Map<String, Long> day) {
        day.forEach((k, v) -> sum.merge(k, v, k.startsWith("most-") ? Math::max : Long::sum));
    }

    private long whole(final String place, final String text, final long low, final long high) {
        try {
            final long n = Long.parseLong(text);
            if (n >= low && n <= high) {
                return n;
            }
        } catch (final NumberFormatException e) {
            wrongs.add(place + ": not a whole number: " + text);
            return low;
        }
        wrongs.add(place + ": " + text + " is not within " + low + " and " + high);
        return low;
    }

    private <E extends Enum<E>> List<E> named(final String place, final String text, final Class<E> type) {
        final Map<String, E> all =
                EnumSet.allOf(type).stream().collect(Collectors.toMap(Enum::name, e -> e, (a, b) -> a, TreeMap::new));
        final List<E> list = new ArrayList<>();
        final String[] names = text.split(",", -1);
        for (int i = 0; i < names.length; i++) {
            if (all.containsKey(names[i])) {
                list.add(all.get(names[i]));
            } else {
                wrongs.add(place + "[" + i + "]: no " + type.getSimpleName().toLowerCase(java.util.Locale.ROOT) + " "
                        + names[i] + "; there are " + all.keySet());
            }
        }
        return list;
    }
}
