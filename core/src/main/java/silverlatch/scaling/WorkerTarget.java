package silverlatch.scaling;

/**
 * The worker count that a pool should have in a zone.
 *
 * @param pool   the pool
 * @param zone   the zone
 * @param count  the wanted number of workers
 * @param reason the figures on which the decision is based, for operators
 */
public record WorkerTarget(String pool, String zone, int count, String reason) {}
