package silverlatch.routing;

/**
 * The parts of worker selection that can be disabled one at a time in a trial, to measure the effect of each (see the
 * table in docs/decisions.md). No rule depends on them: rules are enforced by safeguards, which no program can disable.
 */
public enum RoutingPolicy {
    /** Each shared prefix of prompts is assigned to a worker that probably has it in its cache. */
    PREFIX_OWNERS,
    /** Some workers of a region decode long responses and the others prefill long prompts. */
    TRAFFIC_SEPARATION,
    /** One of two workers that are nearly as good as the best is drawn at random. */
    NEAR_BEST_DRAW,
    /** A long prompt costs more at a worker that decodes streams, since they pause. */
    PAUSE_PENALTY,
    /** A worker costs more while the first event of an attempt there is overdue. */
    OVERDUE_PENALTY,
    /** Workers of unreachable regions are ranked last. */
    UNREACHABLE_REGIONS,
    /** A worker is ranked last for a while after an attempt failed there. */
    OUTLIER_EJECTION,
    /**
     * The fixed part, prefill time and round trips are estimated from first events; if disabled, the prior estimates
     * are used.
     */
    OBSERVED_LATENCY,
    /** The slowness of a worker compared with its prediction is estimated from its first events. */
    LATENCY_FACTOR,
    /** A retryable request is moved away from a silent worker. */
    RETRY_AFTER_SILENCE,
    /** A worker that is warming up costs more. */
    WARMUP_PENALTY,
    /** A worker in another region costs more than the round trip. */
    CROSS_REGION_PENALTY,
    /** The tokens that a worker still has to prefill for this gateway count as a queue. */
    PREFILL_BACKLOG
}
