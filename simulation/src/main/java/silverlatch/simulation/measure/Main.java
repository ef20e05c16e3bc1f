package silverlatch.simulation.measure;

import java.nio.file.Path;
import silverlatch.simulation.fleet.Plan;
import silverlatch.simulation.sim.Measure;

/** Takes the figures of docs/measure.md: bits, spread, mend, crowd or disk. */
public final class Main {
    private Main() {}

    /** Arguments: the plan's folder, which figures, the seed. */
    public static void main(final String[] args) throws Exception {
        final long seed = args.length > 2 ? Long.parseLong(args[2]) : 1;
        switch (args[1]) {
            case "bits" -> Bits.run(seed, 10);
            case "spread" -> Measure.spread(Plan.read(Path.of(args[0])), seed);
            case "mend" -> Measure.mend(Plan.read(Path.of(args[0])), seed);
            case "crowd" -> Measure.crowd(Plan.read(Path.of(args[0])), seed);
            case "disk" -> Disks.run();
            default -> System.exit(2);
        }
    }
}
