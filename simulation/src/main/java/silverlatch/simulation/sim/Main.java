package silverlatch.simulation.sim;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.function.UnaryOperator;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Argument;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;
import org.kohsuke.args4j.Option;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;
import silverlatch.simulation.FormerNames;
import silverlatch.simulation.fleet.Plan;
import silverlatch.util.Threads;

/**
 * Command line program that runs simulated days. Exit codes: 0 if no invariant was violated, 1 if one was or if, over at least
 * 100 days, one was never exercised, 2 if the arguments are invalid.
 */
public final class Main {
    private static final int MIN_SCENARIOS_FOR_COVERAGE = 100;
    private static final int MAX_VIOLATIONS_PRINTED = 6;

    @Argument(index = 0, metaVar = "PLAN-FOLDER", required = true, usage = "folder with a plan.json")
    private String plan = "";

    @Argument(index = 1, metaVar = "FIRST-SEED", required = true, usage = "a whole number")
    private String firstSeed = "";

    @Argument(index = 2, metaVar = "COUNT", required = true, usage = "how many seeds, 1 to 100000")
    private String count = "";

    @Argument(index = 3, metaVar = "FAULTS", usage = "drawn, each, or names of faults joined by commas")
    private String faults = "drawn";

    @Option(name = "--rate", metaVar = "N", usage = "tickets a second, 1 to 5000")
    private String rate = "60";

    @Option(name = "--down", metaVar = "GUARDS", usage = "guards to let down, joined by commas")
    private String disabledSafeguards = "";

    @Option(name = "--loud", usage = "print the story and the daemons' logs; one day at a time")
    private boolean verbose;

    @Option(name = "--shrink", usage = "cut each wrong day down to the fewest faults that still show it")
    private boolean shrink;

    private final List<String> errors = new ArrayList<>();

    private Main() {}

    /** Runs the days and exits with the program's exit code. */
    public static void main(final String[] args) throws Exception {
        System.exit(new Main().run(args));
    }

    /** Runs the program and returns its exit code. */
    public static int exitCode(final String[] args) throws Exception {
        return new Main().run(args);
    }

    /** Parses the arguments; prints every error in them with its position, or runs the days if there is none. */
    private int run(final String[] args) throws Exception {
        final CmdLineParser parser = new CmdLineParser(this);
        try {
            parser.parseArgument(args);
        } catch (final CmdLineException failure) {
            System.err.println(failure.getMessage());
            System.err.print("usage: days");
            parser.printSingleLineUsage(System.err);
            System.err.println();
            return 2;
        }
        final List<Day.Scenario> scenarios = parseScenarios();
        final Safeguards safeguards = new Safeguards(Set.copyOf(
                disabledSafeguards.isEmpty()
                        ? List.of()
                        : parseNames("--down", disabledSafeguards, Safeguard.class, FormerNames::currentSafeguard)));
        final Optional<Plan> parsedPlan = readPlan();
        if (!errors.isEmpty()) {
            errors.forEach(System.err::println);
            return 2;
        }
        return runDays(parsedPlan.orElseThrow(), scenarios, safeguards);
    }

    private List<Day.Scenario> parseScenarios() {
        final long seed = parseNumber("FIRST-SEED", firstSeed, 0, Long.MAX_VALUE / 8192);
        final long days = parseNumber("COUNT", count, 1, 100_000);
        final long requestsPerSecond = parseNumber("--rate", rate, 1, 5_000);
        final boolean isDrawn = faults.equals("drawn");
        final boolean isEach = faults.equals("each");
        final List<Fault> named =
                isDrawn || isEach ? List.of() : parseNames("FAULTS", faults, Fault.class, FormerNames::currentFault);
        final List<Day.Scenario> scenarios = new ArrayList<>();
        for (long i = seed; i < seed + days; i++) {
            if (isDrawn) {
                scenarios.add(Day.Scenario.withRandomFaults(i, requestsPerSecond));
            } else if (isEach) {
                for (final Fault fault : Fault.values()) {
                    scenarios.add(Day.Scenario.of(i, List.of(fault), requestsPerSecond));
                }
            } else {
                scenarios.add(Day.Scenario.of(i, named, requestsPerSecond));
            }
        }
        return scenarios;
    }

    private Optional<Plan> readPlan() {
        try {
            if (Files.isRegularFile(Path.of(plan, "plan.json"))) {
                return Optional.of(Plan.read(Path.of(plan)));
            }
            errors.add("PLAN-FOLDER: there is no plan.json in " + plan);
        } catch (final IOException failure) {
            errors.add("PLAN-FOLDER: " + plan + "/plan.json: " + failure.getMessage());
        }
        return Optional.empty();
    }

    private int runDays(final Plan plan, final List<Day.Scenario> scenarios, final Safeguards safeguards)
            throws InterruptedException, ExecutionException {
        final int threads = verbose ? 1 : Runtime.getRuntime().availableProcessors();
        final ExecutorService pool = Executors.newFixedThreadPool(threads, task -> Threads.daemon("days", task));
        final List<Future<Day.Result>> days = scenarios.stream()
                .map(scenario -> pool.submit(() -> Day.run(plan, scenario, safeguards, verbose)))
                .toList();
        int daysWithViolations = 0;
        final Map<String, Long> totals = new TreeMap<>();
        for (final Future<Day.Result> day : days) {
            final Day.Result result = day.get();
            accumulate(totals, result.counters());
            if (!result.violations().isEmpty()) {
                daysWithViolations++;
                printViolations(plan, result, safeguards);
            }
        }
        pool.shutdown();
        totals.forEach((counter, value) -> System.out.println("  " + counter + " " + value));
        final List<Invariant> notExercised =
                scenarios.size() < MIN_SCENARIOS_FOR_COVERAGE ? List.of() : notExercised(totals);
        if (!notExercised.isEmpty()) {
            System.out.println("put to no test: " + notExercised);
        }
        System.out.println(days.size() + " days, " + daysWithViolations + " wrong");
        return daysWithViolations == 0 && notExercised.isEmpty() ? 0 : 1;
    }

    private void printViolations(final Plan plan, final Day.Result result, final Safeguards safeguards) {
        System.out.println(
                "seed " + result.scenario().seed() + " " + result.scenario().faults());
        result.timeline().forEach(event -> System.out.println("    " + event));
        result.violations().stream()
                .limit(MAX_VIOLATIONS_PRINTED)
                .forEach(violation -> System.out.println("  WRONG " + violation));
        if (shrink) {
            System.out.println("  fewest faults: "
                    + shrinkScenario(plan, result, safeguards).faults());
        }
    }

    private static List<Invariant> notExercised(final Map<String, Long> totals) {
        return Arrays.stream(Invariant.values())
                .filter(invariant -> !totals.containsKey("test-" + invariant))
                .toList();
    }

    /**
     * Returns the day's scenario without the faults that aren't needed to reproduce a violation of its first violated
     * invariant.
     */
    static Day.Scenario shrinkScenario(final Plan plan, final Day.Result result, final Safeguards safeguards) {
        final String invariant = result.violations().get(0).split(" ")[0];
        Day.Scenario best = result.scenario();
        for (int i = best.faults().size() - 1; i >= 0; i--) {
            final List<Fault> fewerFaults = new ArrayList<>(best.faults());
            fewerFaults.remove(i);
            final Day.Scenario candidate = new Day.Scenario(best.seed(), fewerFaults, best.rate(), best.lyingDisks());
            if (Day.run(plan, candidate, safeguards, false).violations().stream()
                    .anyMatch(w -> w.startsWith(invariant + " "))) {
                best = candidate;
            }
        }
        return best;
    }

    /**
     * Adds a day's counters to the totals: takes the maximum of counters with the prefix {@code most-}, and the sum of the
     * others.
     */
    static void accumulate(final Map<String, Long> totals, final Map<String, Long> dayCounters) {
        dayCounters.forEach((k, v) -> totals.merge(k, v, k.startsWith("most-") ? Math::max : Long::sum));
    }

    private long parseNumber(final String argument, final String text, final long minimum, final long maximum) {
        try {
            final long number = Long.parseLong(text);
            if (number >= minimum && number <= maximum) {
                return number;
            }
        } catch (final NumberFormatException failure) {
            errors.add(argument + ": not a whole number: " + text);
            return minimum;
        }
        errors.add(argument + ": " + text + " is not within " + minimum + " and " + maximum);
        return minimum;
    }

    private <E extends Enum<E>> List<E> parseNames(
            final String argument, final String text, final Class<E> type, final UnaryOperator<String> currentName) {
        final Map<String, E> byName =
                EnumSet.allOf(type).stream().collect(Collectors.toMap(Enum::name, e -> e, (a, b) -> a, TreeMap::new));
        final List<E> parsed = new ArrayList<>();
        final String[] names = text.split(",", -1);
        for (int i = 0; i < names.length; i++) {
            final String name = currentName.apply(names[i]);
            if (byName.containsKey(name)) {
                parsed.add(byName.get(name));
            } else {
                errors.add(argument + "[" + i + "]: no " + type.getSimpleName().toLowerCase(java.util.Locale.ROOT) + " "
                        + names[i] + "; there are " + byName.keySet());
            }
        }
        return parsed;
    }
}
