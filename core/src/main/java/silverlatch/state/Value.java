package silverlatch.state;

import java.util.List;
import silverlatch.clock.Stamp;

/**
 * What an entry of the state holds. Values are stored in data folders and sent between processes by number and order of
 * components ({@link silverlatch.wire.WireTypes}); the names of types and components are free. Times are in
 * microseconds.
 */
public sealed interface Value {
    /**
     * A tenant.
     *
     * @param name        its name
     * @param homeRegions the regions that its requests may run in; none means all
     * @param quotaShare  its share of the fleet's capacity, by weight
     * @param keyHash     the SHA-256 of its key, in hexadecimal
     * @param prefixSalt  the salt of the digests of its prompts' prefixes
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
     * @param tenant            the tenant's name, or * for all that have no row of their own
     * @param kind              the kind of request
     * @param prefixWeight      the weight of a prefix cache that holds the beginning of the prompt
     * @param loadWeight        the weight of a low load
     * @param warmupWeight      the weight of a worker that has warmed up
     * @param localityWeight    the weight of a worker in the same zone or region
     * @param requestsPerSecond the rate limit
     * @param burstRequests     how many requests may come at once above the rate limit
     * @param maxRunning        how many requests run at once
     * @param maxQueued         how many requests wait
     * @param timeoutMicros     how long a request waits at most
     * @param atMostOnce        whether a request that may have begun is never run again
     * @param priority          0 comes first
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
     * Whether a zone is being evacuated: while it is, it gets no work.
     *
     * @param zone   the zone's name
     * @param active whether it is
     * @param stamp  when that was decided
     */
    record Evacuation(String zone, boolean active, Stamp stamp) implements Value {}

    /**
     * A schedule: at the times of a cron expression it sets cells of the table, or begins or ends the evacuation of a
     * zone.
     *
     * @param name     its name
     * @param cron     the cron expression
     * @param cells    the cells that it sets
     * @param zone     the zone, or an empty text where there is none
     * @param evacuate whether it begins the zone's evacuation
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
     * @param gatewayId the gateway that holds the request
     * @param state     {@link #RUNNING}, {@link #REJECTED}, or how the request ended
     * @param claimedAt the bits of the stamp that the request came with
     * @param epoch     the epoch in which the claim was written
     */
    record Claim(String requestId, String gatewayId, String state, long claimedAt, long epoch) implements Value {
        /** The state of a claim whose request may run. */
        public static final String RUNNING = "running";
        /** The state of a claim whose request never ran. */
        public static final String REJECTED = "rejected";

        /** The same claim in another state. */
        Claim withState(final String newState) {
            return new Claim(requestId, gatewayId, newState, claimedAt, epoch);
        }
    }

    /** The epoch: the fleet's own count of time, in steps of ten minutes by monotonic clocks only. */
    record Epoch(long number) implements Value {}

    /**
     * Where requests of a host and a path go: of the routes of a host, the one with the longest matching path prefix
     * holds.
     *
     * @param name                what operators call it
     * @param host                the host
     * @param pathPrefix          how the paths begin
     * @param atMostOnce          whether a request that may have begun is never run again
     * @param streaming           whether the response is a stream of events
     * @param resumable           whether a stream that broke off may go on at another worker
     * @param prefixCached        whether prompts share prefixes that are worth caching
     * @param timeoutMicros       how long a request takes at most
     * @param latencyTargetMicros the time within which a response, or its first event, has its full value
     * @param maxEventGapMicros   the longest pause between the events of a stream that is in time
     * @param priority            0 comes first
     * @param maxAttempts         how many workers one request may be sent to
     * @param homeRegions         the regions that it may run in; none means all
     * @param backends            the pools that it goes to, by weight
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

        /** Whether a request that may have begun may be sent again. */
        public boolean isRetryable() {
            return !atMostOnce || resumable;
        }
    }

    /** A backend pool and its weight among those of a route. */
    record WeightedBackend(String pool, int weight) {}

    /**
     * A pool of workers.
     *
     * @param name                    its name
     * @param healthPath              the path of a worker's health check
     * @param maxConnections          how many connections a worker takes from all callers together
     * @param warmupMicros            how long a worker warms up (slow start)
     * @param warmupRequestsPerSecond the rate that a worker bears while it warms up
     * @param slots                   how many requests a worker runs at once
     * @param cacheTokens             how many tokens a worker's KV cache holds
     * @param tokensPerEvent          how many tokens an event holds
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
     * @param number               the operators' own number, which only rises
     * @param maxHeaderBytes       the largest head of a client's request
     * @param maxBodyBytes         the largest body of a client's request
     * @param requestTimeoutMicros how long a client may take to send a request
     * @param idleTimeoutMicros    how long a client's connection may be idle
     */
    record RoutingConfiguration(
            long number, int maxHeaderBytes, int maxBodyBytes, long requestTimeoutMicros, long idleTimeoutMicros)
            implements Value {}

    /** The routing configuration as the operator wrote it, to the letter. */
    record ConfigurationDocument(long number, String text) implements Value {}

    /**
     * How a command was decided.
     *
     * @param sequence where it was accepted its sequence, else the revision that was current
     * @param code     0 where it was accepted, else the code of the rejection
     * @param faults   why it was rejected
     */
    record CommandOutcome(long sequence, int code, List<String> faults) implements Value {
        /** Copies the faults. */
        public CommandOutcome {
            faults = List.copyOf(faults);
        }
    }

    /**
     * That a routing configuration was accepted. The type came with a later version than the others.
     *
     * @param number           its number
     * @param expectedRevision the number that it was to build on; negative where it asked for no comparison
     * @param previousNumber   the number that was in force before it, 0 where there was none
     * @param digest           the SHA-256 of its document in base64 without padding
     */
    record AcceptedConfiguration(long number, long expectedRevision, long previousNumber, String digest)
            implements Value {}

    /**
     * How requests are authenticated under the routing configuration in force. The type came with a later version; where it is
     * missing no request needs a key.
     *
     * @param keysRequired whether a request needs the key of a tenant, except on a {@link PublicRoute}
     */
    record AccessControl(boolean keysRequired) implements Value {}

    /**
     * A route of the routing configuration on which a request needs no key.
     *
     * @param host       the route's host
     * @param pathPrefix how the route's paths begin
     */
    record PublicRoute(String host, String pathPrefix) implements Value {}

    /**
     * A tenant of the routing configuration: the keys by which its requests are known, and what holds for them.
     *
     * @param name        its name, which is forwarded to workers
     * @param keyDigests  the SHA-256 of each of its keys, in hexadecimal
     * @param priority    the priority of its requests in place of their route's, or {@link #ROUTE_PRIORITY}
     * @param homeRegions the regions that its requests may run in, besides what their route allows; none means all
     */
    record TenantAccess(String name, List<String> keyDigests, int priority, List<String> homeRegions) implements Value {
        /** The priority of a tenant whose requests have that of their route. */
        public static final int ROUTE_PRIORITY = -1;

        /** Copies the lists. */
        public TenantAccess {
            keyDigests = List.copyOf(keyDigests);
            homeRegions = List.copyOf(homeRegions);
        }
    }

    /**
     * The bounds within which the number of a pool's workers may be set in each zone in which it runs.
     *
     * @param pool       the pool's name
     * @param minWorkers the fewest workers of a zone
     * @param maxWorkers the most workers of a zone
     * @param bootMicros how long a new worker takes until it serves
     */
    record PoolScaling(String pool, int minWorkers, int maxWorkers, long bootMicros) implements Value {}

    /**
     * The usage of one window of the wall clock, closed: what is reported of it never changes.
     *
     * @param number which window: it begins this many window lengths after the Unix epoch
     * @param counts the requests that began to run in it by tenant, in the order of names; tenants without one are left out
     */
    record UsageWindow(long number, List<TenantCount> counts) implements Value {
        /** Copies the counts. */
        public UsageWindow {
            counts = List.copyOf(counts);
        }
    }

    /**
     * Up to where usage was reported. The type came with a later version than {@link UsageWindow}.
     *
     * @param window the newest window that the provider has; it has all closed ones before it
     */
    record UsageReported(long window) implements Value {}

    /** How many requests of a tenant began to run. */
    record TenantCount(String tenant, long requests) {}
}
