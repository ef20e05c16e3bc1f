package silverlatch.routing;

/**
 * The parts of the choice of a worker that can be switched off one at a time in a trial, to measure what each is worth (the
 * table in docs/decisions.md). None of them is needed for a rule: those are safeguards, which no program can disable.
 */
public enum RoutingPolicy {
    /** Each shared prefix of prompts has a worker that likely holds it in its cache. */
    PREFIX_OWNERS,
    /** Some workers of a region decode long responses and the others prefill long prompts. */
    TRAFFIC_SEPARATION,
    /** Of two workers that are nearly as good, one is drawn. */
    NEAR_BEST_DRAW,
    /** A long prompt costs more at a worker that decodes streams, since they pause. */
    PAUSE_PENALTY,
    /** A worker costs more while an attempt there is overdue. */
    OVERDUE_PENALTY,
    /** A region that isn't heard from is taken last. */
    UNREACHABLE_REGIONS,
    /** A worker is taken last for a while after an attempt failed there. */
    OUTLIER_EJECTION,
    /** Fixed part, prefill and round trips are learnt from first events; without, the first guesses hold. */
    OBSERVED_LATENCY,
    /** How slow a worker is compared with its prediction is learnt from its first events. */
    LATENCY_FACTOR,
    /** A retryable request is moved from a worker that is silent. */
    RETRY_AFTER_SILENCE,
    /** A worker that warms up costs more. */
    WARMUP_PENALTY,
    /** Another region costs more than its round trip. */
    CROSS_REGION_PENALTY,
    /** What a worker has still to prefill for this gateway counts as a queue. */
    PREFILL_BACKLOG
}
