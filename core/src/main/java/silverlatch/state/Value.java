package silverlatch.state;

import java.util.List;
import silverlatch.clock.Stamp;

/**
 * Value of an entry of the state. Values are stored in data directories and sent between processes as a type number and
 * the components in their order ({@link silverlatch.wire.WireTypes}), so types and components may be renamed, but
 * components not reordered. Times are in microseconds.
 */
public sealed interface Value {
    /**
     * A tenant.
     *
     * @param name        its name
     * @param homeRegions the regions in which its requests may run; empty means all
     * @param quotaShare  its weight when the fleet's capacity is divided among tenants
     * @param keyHash     the SHA-256 of its key, in hexadecimal
     * @param prefixSalt  the salt for the digests of its prompts' prefixes
     */
    record Tenant(String name, List<String> homeRegions, double quotaShare, String keyHash, String prefixSalt)
            implements Value {
        /** Copies the regions. */
        public Tenant {
            homeRegions = List.copyOf(homeRegions);
        }
    }

    /**
     * One row of the table: the weights of the placement scorers and the limits, for a tenant and a kind of request.
     *
     * @param tenant            the tenant's name, or * for all tenants without a row of their own
     * @param kind              the kind of request
     * @param prefixWeight      the weight of a prefix cache that contains the beginning of the prompt
     * @param loadWeight        the weight of a low load
     * @param warmupWeight      the weight of a worker that has warmed up
     * @param localityWeight    the weight of a worker in the same zone or region
     * @param requestsPerSecond the rate limit
     * @param burstRequests     how many requests may exceed the rate limit in a burst
     * @param maxRunning        the maximum number of concurrently running requests
     * @param maxQueued         the maximum number of queued requests
     * @param timeoutMicros     the maximum time that a request is queued
     * @param atMostOnce        whether a request whose execution may have begun is never executed again
     * @param priority          the priority, 0 to 9; a higher value is served first within its tenant and shed last
     */
    record Row(
            String tenant,
            String kind,
            double prefixWeight,
            double loadWeight,
            double warmupWeight,
            double localityWeight,
            double requestsPerSecond,
            double burstRequests,
            int maxRunning,
            int maxQueued,
            long timeoutMicros,
            boolean atMostOnce,
            int priority)
            implements Value {}

    /**
     * Whether a zone is being evacuated. A zone under evacuation receives no new work.
     *
     * @param zone   the zone's name
     * @param active whether the zone is being evacuated
     * @param stamp  the stamp of the command that began or ended the evacuation
     */
    record Evacuation(String zone, boolean active, Stamp stamp) implements Value {}

    /**
     * A schedule. At the times given by a cron expression, it sets cells of the table, or begins or ends the evacuation
     * of a zone.
     *
     * @param name     its name
     * @param cron     the cron expression
     * @param cells    the cells that it sets
     * @param zone     the zone, or an empty string if there is none
     * @param evacuate whether it begins (true) or ends (false) the zone's evacuation
     */
    record Schedule(String name, String cron, List<Command.Cell> cells, String zone, boolean evacuate)
            implements Value {
        /** Copies the cells. */
        public Schedule {
            cells = List.copyOf(cells);
        }
    }

    /**
     * A client's idempotency key, bound to the one request that may run under it.
     *
     * @param requestId the request
     * @param gatewayId the gateway that handles the request
     * @param state     {@link #RUNNING}, {@link #REJECTED}, or how the request ended
     * @param claimedAt the bits of the stamp with which the request arrived
     * @param epoch     the epoch in which the claim was written
     */
    record Claim(String requestId, String gatewayId, String state, long claimedAt, long epoch) implements Value {
        /** State of a claim whose request may be running. */
        public static final String RUNNING = "running";
        /** State of a claim whose request never ran. */
        public static final String REJECTED = "rejected";

        /** Returns a copy of the claim in another state. */
        Claim withState(final String newState) {
            return new Claim(requestId, gatewayId, newState, claimedAt, epoch);
        }
    }

    /** The epoch: the fleet's shared time, in steps of ten minutes that are measured by monotonic clocks only. */
    record Epoch(long number) implements Value {}

    /**
     * Maps requests to backend pools by host and path. Of the routes of a host, the one with the longest matching path
     * prefix applies.
     *
     * @param name                the operators' name for the route
     * @param host                the host
     * @param pathPrefix          the prefix of the paths
     * @param atMostOnce          whether a request whose execution may have begun is never executed again
     * @param streaming           whether the response is a stream of events
     * @param resumable           whether an interrupted stream may be continued by another worker
     * @param prefixCached        whether prompts share prefixes that are worth caching
     * @param timeoutMicros       the maximum duration of a request
     * @param latencyTargetMicros the time within which a response, or its first event, has its full value
     * @param maxEventGapMicros   the longest time between two events of a stream that is still on time
     * @param priority            the priority; 0 is the highest
     * @param maxAttempts         how many workers one request may be sent to
     * @param homeRegions         the regions in which its requests may run; empty means all
     * @param backends            the backend pools, with weights
     */
    record Route(
            String name,
            String host,
            String pathPrefix,
            boolean atMostOnce,
            boolean streaming,
            boolean resumable,
            boolean prefixCached,
            long timeoutMicros,
            long latencyTargetMicros,
            long maxEventGapMicros,
            int priority,
            int maxAttempts,
            List<String> homeRegions,
            List<WeightedBackend> backends)
            implements Value {
        /** Copies the lists. */
        public Route {
            homeRegions = List.copyOf(homeRegions);
            backends = List.copyOf(backends);
        }

        /** Returns whether a request whose execution may have begun may be sent again. */
        public boolean isRetryable() {
            return !atMostOnce || resumable;
        }
    }

    /** A backend pool and its weight among the backends of a route. */
    record WeightedBackend(String pool, int weight) {}

    /**
     * A pool of workers.
     *
     * @param name                    its name
     * @param healthPath              the path of the health check
     * @param maxConnections          how many connections a worker accepts from all callers together
     * @param warmupMicros            how long a worker warms up (slow start)
     * @param warmupRequestsPerSecond the rate that a worker can handle while it warms up
     * @param slots                   how many requests a worker runs concurrently
     * @param cacheTokens             the capacity of a worker's KV cache, in tokens
     * @param tokensPerEvent          the number of tokens of one event
     */
    record BackendPool(
            String name,
            String healthPath,
            int maxConnections,
            long warmupMicros,
            double warmupRequestsPerSecond,
            int slots,
            int cacheTokens,
            int tokensPerEvent)
            implements Value {}

    /**
     * The routing configuration in force, without its routes and pools.
     *
     * @param number               the number chosen by the operators, which only increases
     * @param maxHeaderBytes       the maximum size of the head of a client's request
     * @param maxBodyBytes         the maximum size of the body of a client's request
     * @param requestTimeoutMicros how long a client may take to send a request
     * @param idleTimeoutMicros    how long a client's connection may be idle
     */
    record RoutingConfiguration(
            long number, int maxHeaderBytes, int maxBodyBytes, long requestTimeoutMicros, long idleTimeoutMicros)
            implements Value {}

    /** The routing configuration exactly as the operator wrote it. */
    record ConfigurationDocument(long number, String text) implements Value {}

    /**
     * Outcome of a command.
     *
     * @param sequence the command's sequence if it was accepted, otherwise the revision that was current
     * @param code     0 if it was accepted, otherwise the code of the rejection
     * @param faults   why it was rejected
     */
    record CommandOutcome(long sequence, int code, List<String> faults) implements Value {
        /** Copies the faults. */
        public CommandOutcome {
            faults = List.copyOf(faults);
        }
    }

    /**
     * Records that a routing configuration was accepted. The type was added in a later version.
     *
     * @param number           the configuration's number
     * @param expectedRevision the number that it builds on; negative if the command disabled the check
     * @param previousNumber   the number that was in force before it, 0 if there was none
     * @param digest           the SHA-256 of its document, in URL-safe base64 without padding
     */
    record AcceptedConfiguration(long number, long expectedRevision, long previousNumber, String digest)
            implements Value {}

    /**
     * How requests are authenticated under the routing configuration in force. The type was added in a later version;
     * without this entry no request needs a key.
     *
     * @param keysRequired whether a request needs a tenant's key, except on a {@link PublicRoute}
     */
    record AccessControl(boolean keysRequired) implements Value {}

    /**
     * A route of the routing configuration on which a request needs no key.
     *
     * @param host       the route's host
     * @param pathPrefix the route's path prefix
     */
    record PublicRoute(String host, String pathPrefix) implements Value {}

    /**
     * A tenant of the routing configuration: the keys that identify its requests, and the rules that apply to them.
     *
     * @param name        its name, which is forwarded to workers
     * @param keyDigests  the SHA-256 of each of its keys, in hexadecimal
     * @param priority    the priority of its requests, which overrides that of their route, or {@link #ROUTE_PRIORITY}
     * @param homeRegions the regions in which its requests may run; their route must allow the region too. Empty means
     *                    all
     */
    record TenantAccess(String name, List<String> keyDigests, int priority, List<String> homeRegions) implements Value {
        /** Priority of a tenant whose requests have the priority of their route. */
        public static final int ROUTE_PRIORITY = -1;

        /** Copies the lists. */
        public TenantAccess {
            keyDigests = List.copyOf(keyDigests);
            homeRegions = List.copyOf(homeRegions);
        }
    }

    /**
     * Limits on the number of a pool's workers, which apply in each zone in which the pool runs.
     *
     * @param pool       the pool's name
     * @param minWorkers the minimum number of workers in a zone
     * @param maxWorkers the maximum number of workers in a zone
     * @param bootMicros how long it takes until a new worker serves requests
     */
    record PoolScaling(String pool, int minWorkers, int maxWorkers, long bootMicros) implements Value {}

    /**
     * The usage in one closed window of wall-clock time. It is immutable once written, so what is reported of the
     * window never changes.
     *
     * @param number the window, which begins this many window lengths after the Unix epoch
     * @param counts the number of requests that began to run in it, by tenant in the order of names; tenants without
     *               any are omitted
     */
    record UsageWindow(long number, List<TenantCount> counts) implements Value {
        /** Copies the counts. */
        public UsageWindow {
            counts = List.copyOf(counts);
        }
    }

    /**
     * How far usage has been reported. The type was added in a later version than {@link UsageWindow}.
     *
     * @param window the newest window that the provider has received; it has received all closed windows before it too
     */
    record UsageReported(long window) implements Value {}

    /** Number of a tenant's requests that began to run. */
    record TenantCount(String tenant, long requests) {}
}
