package silverlatch.simulation.explore;

/**
 * What a world is made of.
 *
 * @param replicas how many machines there are, all of them voters and members of the chain at first, 3 to 6
 * @param copies   how many synced copies an acknowledgement needs
 * @param driftPercent    by how many percent the clocks of some machines run fast or slow
 * @param mutant   the safeguard that is let down
 */
public record WorldOptions(int replicas, int copies, int driftPercent, Mutant mutant) {
    /** The fewest machines of a world. */
    public static final int MIN_REPLICAS = 3;
    /** The most machines of a world. */
    public static final int MAX_REPLICAS = 6;

    private static final int LARGE_REPLICAS = 5;
    private static final int DRIFT_PERCENT = 3;

    /** The options for a count of machines: two copies, or three where there are five machines or more. */
    public static WorldOptions of(final int replicas, final Mutant mutant) {
        return new WorldOptions(replicas, replicas < LARGE_REPLICAS ? 2 : 3, DRIFT_PERCENT, mutant);
    }
}
