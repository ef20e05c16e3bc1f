package silverlatch.simulation.explore;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Option;
import silverlatch.simulation.FormerNames;

/** The command line arguments of the program, which are kept as text until they are checked. */
final class Arguments {
    private static final int MAX_THREADS = 64;
    private static final int MAX_DEPTH = 100;
    private static final int MAX_STEPS = 100_000;
    private static final int MAX_MINUTES = 1_440;

    @Option(name = "--seeds", metaVar = "N", usage = "number of random walks")
    private String seeds = "100000";

    @Option(name = "--first-seed", metaVar = "N", usage = "the seed of the first walk")
    private String firstSeed = "1";

    @Option(name = "--depth", metaVar = "N", usage = "depth of the breadth-first search, 0 to 100")
    private String depth = "3";

    @Option(name = "--steps", metaVar = "N", usage = "steps of each walk, 1 to 100000")
    private String steps = "700";

    @Option(name = "--states", metaVar = "N", usage = "most states that the breadth-first search visits")
    private String states = "50000";

    @Option(name = "--minutes", metaVar = "N", usage = "time limit in minutes, 1 to 1440; a third is for breadth first")
    private String minutes = "5";

    @Option(name = "--replicas", metaVar = "N", usage = "machines, 3 to 6")
    private String replicas = "3";

    @Option(name = "--threads", metaVar = "N", usage = "threads, 1 to 64")
    private String threads = "4";

    @Option(name = "--mutant", metaVar = "NAME", usage = "disables one safeguard")
    private String mutant = "NONE";

    @Option(name = "--mutants", usage = "disables each safeguard in turn and prints a table")
    private boolean mutants;

    @Option(name = "--replay", metaVar = "FILE", usage = "replays a schedule")
    private String replay = "";

    @Option(name = "--out", metaVar = "FOLDER", usage = "directory for shrunk schedules")
    private String out = "target/explore";

    private final List<String> errors = new ArrayList<>();

    /** The checked arguments. */
    record Checked(
            long seeds,
            long firstSeed,
            int depth,
            int steps,
            long states,
            int minutes,
            int replicas,
            int threads,
            Mutant mutant) {}

    /** Checks all values; {@link #errors()} then describes each invalid one by the name of its argument. */
    Checked check() {
        final Checked checked = new Checked(
                parseNumber("--seeds", seeds, 0, Long.MAX_VALUE / 2),
                parseNumber("--first-seed", firstSeed, 0, Long.MAX_VALUE / 4),
                (int) parseNumber("--depth", depth, 0, MAX_DEPTH),
                (int) parseNumber("--steps", steps, 1, MAX_STEPS),
                parseNumber("--states", states, 1, Long.MAX_VALUE),
                (int) parseNumber("--minutes", minutes, 1, MAX_MINUTES),
                (int) parseNumber("--replicas", replicas, WorldOptions.MIN_REPLICAS, WorldOptions.MAX_REPLICAS),
                (int) parseNumber("--threads", threads, 1, MAX_THREADS),
                parseMutant());
        if (!replay.isEmpty() && !Files.isReadable(Path.of(replay))) {
            errors.add("--replay: " + replay + " can't be read");
        }
        if (mutants && !mutant.equals(Mutant.NONE.name())) {
            errors.add("--mutants: not together with --mutant");
        }
        return checked;
    }

    List<String> errors() {
        return errors;
    }

    boolean mutants() {
        return mutants;
    }

    String replay() {
        return replay;
    }

    Path out() {
        return Path.of(out);
    }

    private Mutant parseMutant() {
        final String name = FormerNames.currentSafeguard(mutant);
        for (final Mutant one : Mutant.values()) {
            if (one.name().equals(name)) {
                return one;
            }
        }
        errors.add("--mutant: there is no " + mutant + "; there are "
                + Arrays.stream(Mutant.values()).map(Enum::name).collect(Collectors.joining(", ")));
        return Mutant.NONE;
    }

    private long parseNumber(final String name, final String text, final long least, final long most) {
        if (text.matches("\\d{1,18}") && Long.parseLong(text) >= least && Long.parseLong(text) <= most) {
            return Long.parseLong(text);
        }
        errors.add(name + ": " + text + " is not a whole number from " + least + " to " + most);
        return least;
    }
}
