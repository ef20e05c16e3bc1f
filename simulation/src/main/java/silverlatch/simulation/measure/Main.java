package silverlatch.simulation.measure;

import java.nio.file.Path;
import silverlatch.simulation.fleet.Plan;
import silverlatch.simulation.sim.FailoverMeasurement;
import silverlatch.simulation.sim.LoadMeasurement;
import silverlatch.simulation.sim.SpreadMeasurement;

/** Takes the figures of docs/measure.md: bits, spread, mend, crowd or disk. */
public final class Main {
    private Main() {}

    /** Arguments: the plan's folder, which figures, the seed. */
    public static void main(final String[] args) throws Exception {
        final long seed = args.length > 2 ? Long.parseLong(args[2]) : 1;
        switch (args[1]) {
            case "bits" -> LogicalBits.run(seed, 10);
            case "spread" -> SpreadMeasurement.run(Plan.read(Path.of(args[0])), seed);
            case "mend" -> FailoverMeasurement.run(Plan.read(Path.of(args[0])), seed);
            case "crowd" -> LoadMeasurement.run(Plan.read(Path.of(args[0])), seed);
            case "disk" -> DiskLatency.run();
            default -> System.exit(2);
        }
    }
}
