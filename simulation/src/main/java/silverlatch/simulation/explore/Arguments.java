package silverlatch.simulation.explore;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.stream.Collectors;
import org.kohsuke.args4j.Option;

/** The arguments of the program, as text until they are checked. */
final class Arguments {
    private static final int MOST_THREADS = 64;
    private static final int MOST_DEPTH = 100;
    private static final int MOST_STEPS = 100_000;
    private static final int MOST_MINUTES = 1_440;

    @Option(name = "--seeds", metaVar = "N", usage = "how many random walks")
    private String seeds = "100000";

    @Option(name = "--first-seed", metaVar = "N", usage = "the seed of the first walk")
    private String firstSeed = "1";

    @Option(name = "--depth", metaVar = "N", usage = "how deep the breadth-first search goes, 0 to 100")
    private String depth = "3";

    @Option(name = "--steps", metaVar = "N", usage = "how many steps a walk has, 1 to 100000")
    private String steps = "700";

    @Option(name = "--states", metaVar = "N", usage = "how many states the breadth-first search visits at most")
    private String states = "50000";

    @Option(name = "--minutes", metaVar = "N", usage = "ends after so many minutes, 1 to 1440: a third breadth first")
    private String minutes = "5";

    @Option(name = "--replicas", metaVar = "N", usage = "machines, 3 to 6")
    private String replicas = "3";

    @Option(name = "--threads", metaVar = "N", usage = "threads, 1 to 64")
    private String threads = "4";

    @Option(name = "--mutant", metaVar = "NAME", usage = "lets one safeguard down")
    private String mutant = "NONE";

    @Option(name = "--mutants", usage = "lets every safeguard down in turn and prints the table")
    private boolean mutants;

    @Option(name = "--replay", metaVar = "FILE", usage = "replays a schedule")
    private String replay = "";

    @Option(name = "--out", metaVar = "FOLDER", usage = "where shrunk schedules are written")
    private String out = "target/explore";

    private final List<String> wrong = new ArrayList<>();

    /** The arguments once checked. */
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

    /** Checks all values; {@link #fail()} tells what is wrong with them, each with its name. */
    Checked check() {
        final Checked checked = new Checked(
                whole("--seeds", seeds, 0, Long.MAX_VALUE / 2),
                whole("--first-seed", firstSeed, 0, Long.MAX_VALUE / 4),
                (int) whole("--depth", depth, 0, MOST_DEPTH),
                (int) whole("--steps", steps, 1, MOST_STEPS),
                whole("--states", states, 1, Long.MAX_VALUE),
                (int) whole("--minutes", minutes, 1, MOST_MINUTES),
                (int) whole("--replicas", replicas, WorldOptions.FEWEST, WorldOptions.MOST),
                (int) whole("--threads", threads, 1, MOST_THREADS),
                named());
        if (!replay.isEmpty() && !Files.isReadable(Path.of(replay))) {
            wrong.add("--replay: " + replay + " can't be read");
        }
        if (mutants && !mutant.equals(Mutant.NONE.name())) {
            wrong.add("--mutants: not together with --mutant");
        }
        return checked;
    }

    List<String> wrong() {
        return wrong;
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

    private Mutant named() {
        for (final Mutant one : Mutant.values()) {
            if (one.name().equals(mutant)) {
                return one;
            }
        }
        wrong.add("--mutant: there is no " + mutant + "; there are "
                + Arrays.stream(Mutant.values()).map(Enum::name).collect(Collectors.joining(", ")));
        return Mutant.NONE;
    }

    private long whole(final String name, final String text, final long least, final long most) {
        if (text.matches("\\d{1,18}") && Long.parseLong(text) >= least && Long.parseLong(text) <= most) {
            return Long.parseLong(text);
        }
        wrong.add(name + ": " + text + " is not a whole number from " + least + " to " + most);
        return least;
    }
}
