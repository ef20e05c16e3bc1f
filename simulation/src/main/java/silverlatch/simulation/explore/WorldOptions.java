package silverlatch.simulation.explore;

/**
 * The options of a world.
 *
 * @param replicas the number of machines, all of them initially voters and members of the chain, 3 to 6
 * @param copies   the synced copies that an acknowledgement requires
 * @param driftPercent    the percentage by which the clocks of some machines run fast or slow
 * @param mutant   the mutant, that is, the safeguard that is disabled
 */
public record WorldOptions(int replicas, int copies, int driftPercent, Mutant mutant) {
    /** The fewest machines of a world. */
    public static final int MIN_REPLICAS = 3;
    /** The most machines of a world. */
    public static final int MAX_REPLICAS = 6;

    private static final int LARGE_REPLICAS = 5;
    private static final int DRIFT_PERCENT = 3;

    /** Returns the options for a number of machines: two copies, or three with five machines or more. */
    public static WorldOptions of(final int replicas, final Mutant mutant) {
        return new WorldOptions(replicas, replicas < LARGE_REPLICAS ? 2 : 3, DRIFT_PERCENT, mutant);
    }
}
