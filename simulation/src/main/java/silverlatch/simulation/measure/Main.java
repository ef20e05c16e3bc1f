package silverlatch.simulation.measure;

import java.nio.file.Path;
import silverlatch.simulation.fleet.Plan;
import silverlatch.simulation.sim.FailoverMeasurement;
import silverlatch.simulation.sim.LoadMeasurement;
import silverlatch.simulation.sim.SpreadMeasurement;

/** Runs one of the measurements whose results are in docs/measure.md: bits, spread, mend, crowd or disk. */
public final class Main {
    private Main() {}

    /** Runs a measurement; the arguments are the directory of the plan, the name of the measurement and optionally a seed. */
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
