package silverlatch.simulation.explore;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import org.kohsuke.args4j.CmdLineException;
import org.kohsuke.args4j.CmdLineParser;

/**
 * Explores the states of the replicated part of the control plane. Exits with 0, with 1 if a property was violated or a
 * mutant survived, and with 2 on invalid arguments.
 */
public final class Main {
    private static final int SHRINK_REPLAYS = 2_000;
    private static final int SHRINK_REPLAYS_RECOVERY = 400;
    private static final int SECONDS_PER_MINUTE = 60;
    /** The divisor of the whole time that gives the time of the breadth-first search; the walks use the rest. */
    private static final int BREADTH_FIRST_SHARE = 3;

    private static final int MUTANT_SECONDS = 120;
    private static final int MAX_FAULTS = 2;
    private static final int MAX_OPERATIONS = 3;
    private static final double NANOSECONDS_PER_SECOND = 1e9;

    private final Arguments arguments = new Arguments();

    private Main() {}

    /** Runs the program. */
    public static void main(final String[] args) throws IOException {
        System.exit(new Main().run(args));
    }

    /** Runs the program without ending the process and returns the exit code. */
    static int exitCode(final String... args) throws IOException {
        return new Main().run(args);
    }

    private int run(final String... args) throws IOException {
        final CmdLineParser parser = new CmdLineParser(arguments);
        try {
            parser.parseArgument(args);
        } catch (final CmdLineException failure) {
            System.err.println(failure.getMessage());
            System.err.print("usage: explore");
            parser.printSingleLineUsage(System.err);
            System.err.println();
            return 2;
        }
        final Arguments.Checked checked = arguments.check();
        if (!arguments.errors().isEmpty()) {
            arguments.errors().forEach(System.err::println);
            return 2;
        }
        if (!arguments.replay().isEmpty()) {
            return replay(Path.of(arguments.replay()));
        }
        return arguments.mutants() ? mutants(checked) : explore(checked);
    }

    private int replay(final Path file) throws IOException {
        final Schedule schedule;
        try {
            schedule = Schedule.parse(Files.readString(file));
        } catch (final IllegalArgumentException failure) {
            System.err.println("--replay: " + file + ": " + failure.getMessage());
            return 2;
        }
        final World world = schedule.replay();
        System.out.println(schedule.actions().size() + " actions, "
                + world.violation()
                        .map(violation -> violation.property() + ": " + violation.detail())
                        .orElse("no property broke"));
        return world.violation().isPresent() ? 1 : 0;
    }

    private int mutants(final Arguments.Checked checked) {
        final List<MutantTable.Row> rows = new ArrayList<>();
        for (final Mutant mutant : Mutant.values()) {
            if (mutant != Mutant.NONE) {
                final SearchLimits limits = SearchLimits.within(checked.threads(), checked.states(), MUTANT_SECONDS);
                rows.add(new MutantTable(checked.steps(), checked.firstSeed(), checked.seeds(), limits).row(mutant));
            }
        }
        System.out.println(MutantTable.text(rows));
        return rows.stream().allMatch(row -> row.caught().isPresent()) ? 0 : 1;
    }

    private int explore(final Arguments.Checked checked) throws IOException {
        final long begin = System.nanoTime();
        final WorldOptions options = WorldOptions.of(checked.replicas(), checked.mutant());
        final Counters counters = new Counters();
        final Findings findings = new Findings();
        final int seconds = checked.minutes() * SECONDS_PER_MINUTE;
        final int depth = new BreadthFirstSearch(options, new Moves(MAX_FAULTS, MAX_OPERATIONS), counters, findings)
                .run(
                        checked.depth(),
                        SearchLimits.within(checked.threads(), checked.states(), seconds / BREADTH_FIRST_SHARE));
        System.out.printf(
                Locale.ROOT,
                "breadth first: %d machines, whole to depth %d of %d, %d states, %d steps, %.1f s%n",
                checked.replicas(),
                depth,
                checked.depth(),
                counters.states(),
                counters.steps(),
                (System.nanoTime() - begin) / NANOSECONDS_PER_SECOND);
        final SearchLimits rest = new SearchLimits(
                checked.threads(), checked.states(), begin + (long) (seconds * NANOSECONDS_PER_SECOND));
        new WalkSearch(options, checked.steps(), counters, findings).run(checked.firstSeed(), checked.seeds(), rest);
        System.out.printf(
                Locale.ROOT,
                "in all: %d walks, %d states and steps, %d operations of which %d ended, %.1f s%n",
                counters.walks(),
                counters.states() + counters.steps(),
                counters.operations(),
                counters.answered(),
                (System.nanoTime() - begin) / NANOSECONDS_PER_SECOND);
        return report(findings);
    }

    private int report(final Findings findings) throws IOException {
        for (final Finding finding : findings.all()) {
            final Property property = finding.violation().property();
            final int replays = property == Property.RECOVERS ? SHRINK_REPLAYS_RECOVERY : SHRINK_REPLAYS;
            final Schedule shrunk = ScheduleShrinker.shrink(finding.schedule(), property, replays);
            final Path file = arguments.out().resolve(property.name().toLowerCase(Locale.ROOT) + ".schedule");
            Files.createDirectories(arguments.out());
            Files.writeString(file, shrunk.text());
            System.out.println(property + " broke " + findings.count(property) + " times: "
                    + finding.violation().detail());
            System.out.println("shrunk from " + finding.schedule().actions().size() + " to "
                    + shrunk.actions().size() + " actions, in " + file + ":");
            System.out.print(shrunk.text());
        }
        return findings.all().isEmpty() ? 0 : 1;
    }
}
