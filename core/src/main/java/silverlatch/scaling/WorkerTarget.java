package silverlatch.scaling;

/**
 * How many workers of a pool a zone is to have.
 *
 * @param pool   the workers' pool
 * @param zone   the zone
 * @param count  how many
 * @param reason the figures that the decision came from, for operators
 */
public record WorkerTarget(String pool, String zone, int count, String reason) {}
