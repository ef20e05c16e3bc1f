package silverlatch.simulation.measure;

import java.nio.file.Path;
import silverlatch.simulation.fleet.Plan;
import silverlatch.simulation.sim.SimulatedMeasurements;

/** Takes the figures of docs/measure.md: bits, spread, mend, crowd or disk. */
public final class Main {
    private Main() {}

    /** Arguments: the plan's folder, which figures, the seed. */
    public static void main(final String[] args) throws Exception {
        final long seed = args.length > 2 ? Long.parseLong(args[2]) : 1;
        switch (args[1]) {
            case "bits" -> LogicalBits.run(seed, 10);
            case "spread" -> SimulatedMeasurements.spread(Plan.read(Path.of(args[0])), seed);
            case "mend" -> SimulatedMeasurements.failover(Plan.read(Path.of(args[0])), seed);
            case "crowd" -> SimulatedMeasurements.load(Plan.read(Path.of(args[0])), seed);
            case "disk" -> DiskLatency.run();
            default -> System.exit(2);
        }
    }
}
