package silverlatch.state;

import java.util.List;
import silverlatch.clock.Stamp;

/** What an entry of the shared books can hold. */
public sealed interface Value {
    /** A tenant: its homes (regions; none means all), its share of the fleet, and the hash of its key. */
    record Tenant(String name, List<String> homeRegions, double quotaShare, String keyHash, String keySalt)
            implements Value {
        /** Copies the homes. */
        public Tenant {
            homeRegions = List.copyOf(homeRegions);
        }
    }

    /** One row of the table: weights of the judges and limits, for a tenant (or *) and a kind. */
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

    /** An order to empty a zone, or to take that back. */
    record Evacuation(String zone, boolean active, Stamp stamp) implements Value {}

    /** A calendar: at the times of a cron line it sets cells, or empties a zone or gives it back; no zone is an empty text. */
    record Schedule(String name, String cron, List<Command.Cell> cells, String zone, boolean evacuate)
            implements Value {
        /** Copies the cells. */
        public Schedule {
            cells = List.copyOf(cells);
        }
    }

    /** A consumer's key, bound to the one ticket that may run under it; the stamp it came with, and the turn of the glass then. */
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

    /** How often the glass was turned: the fleet's own count of time, by monotonic clocks only. */
    record Epoch(long number) implements Value {}

    /**
     * Where tickets that come by host and path go: the longest path of a host that begins a ticket's path rules it.
     *
     * @param name   what operators call it
     * @param host   the host it rules
     * @param pathPrefix   how the paths it rules begin
     * @param atMostOnce   whether a ticket may run at most once
     * @param streaming whether the reply is a stream of events
     * @param resumable whether a broken stream may go on at another worker
     * @param prefixCached   whether prompts share parts that are worth keeping
     * @param timeoutMicros   the longest time a ticket is held, in microseconds
     * @param latencyTargetMicros    the time within which a reply, or its first event, has its full worth, in microseconds
     * @param maxEventGapMicros    the longest pause between events of a stream that is in time, in microseconds
     * @param priority   0 comes first
     * @param maxAttempts  how many workers one ticket may be sent to
     * @param homeRegions  the regions it may run in; none means all
     * @param backends   the pools it goes to, by weight
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

        /** Whether a ticket may be run a second time where the first came to nothing. */
        public boolean isRetryable() {
            return !atMostOnce || resumable;
        }
    }

    /** A pool's part in a rule. */
    record WeightedBackend(String pool, int weight) {}

    /**
     * A pool of workers.
     *
     * @param name   its name
     * @param healthPath the path of a worker's health reply
     * @param maxConnections  how many connections a worker takes from all callers together
     * @param warmupMicros   how long a worker stays cold, in microseconds
     * @param warmupRequestsPerSecond   how many tickets a second a cold worker bears
     * @param slots  how many tickets a worker runs at once
     * @param cacheTokens how many tokens a worker holds
     * @param tokensPerEvent how many tokens an event holds
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

    /** The charter in force: the operators' own number, and what a consumer may send (bytes, microseconds). */
    record RoutingConfiguration(
            long number, int maxHeaderBytes, int maxBodyBytes, long requestTimeoutMicros, long idleTimeoutMicros)
            implements Value {}

    /** The charter as the operator wrote it, to the letter. */
    record ConfigurationDocument(long number, String text) implements Value {}

    /** How a change was decided, by its id: kept when the code is 0, else rejected with its faults. */
    record CommandOutcome(long sequence, int code, List<String> faults) implements Value {
        /** Copies the faults. */
        public CommandOutcome {
            faults = List.copyOf(faults);
        }
    }

    /**
     * That a configuration was accepted. It came with a later version; the codec numbers it after all others.
     *
     * @param number   its number
     * @param expectedRevision    the number it said it builds on; negative where it asked for no comparison
     * @param previousNumber the number that was in force before it, 0 where there was none
     * @param digest   the SHA-256 of its text in base64 without padding
     */
    record AcceptedConfiguration(long number, long expectedRevision, long previousNumber, String digest)
            implements Value {}
}
