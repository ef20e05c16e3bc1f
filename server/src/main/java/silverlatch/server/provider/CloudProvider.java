package silverlatch.server.provider;

import java.util.concurrent.CompletableFuture;
import silverlatch.state.Value;

/**
 * The cloud provider that runs the machines. One process at a time, the owner of the singleton role, reports usage to it and sets
 * the number of workers. Calls don't block; the returned future is completed on any thread, and never exceptionally.
 *
 * <p>A call that isn't answered must be aborted with outcome {@link Outcome#UNKNOWN} well before {@link
 * silverlatch.server.settings.SingletonSettings#tenureMicros} have passed, so that no call with an old fencing token arrives after
 * the next owner has started to make calls.
 */
public interface CloudProvider {
    /** Reports the usage of a closed window. Idempotent for the same counts. */
    CompletableFuture<Outcome> reportUsage(Caller caller, Value.UsageWindow window);

    /** Sets how many workers of a pool a zone should have. Idempotent. */
    CompletableFuture<Outcome> setWorkerCount(Caller caller, WorkerCount target);

    /**
     * The process that makes a call.
     *
     * @param holderName   the name of the process that owns the singleton role
     * @param fencingToken the token under which it owns the role; a call with a lower token than an earlier call's is refused
     */
    record Caller(String holderName, long fencingToken) {}

    /**
     * The number of workers of a pool that a zone should have.
     *
     * @param pool  the workers' pool
     * @param zone  the zone
     * @param count the number of workers
     */
    record WorkerCount(String pool, String zone, int count) {}

    /** The outcome of a call. */
    enum Outcome {
        /** The call was accepted. */
        ACCEPTED,
        /** The provider has seen a higher fencing token: the caller no longer owns the role. */
        FENCED,
        /** The call was not accepted because the rate limit was exceeded. */
        THROTTLED,
        /** The call was refused for another reason, and would be refused again. */
        REFUSED,
        /** No conclusive answer was received: the call may have been accepted. */
        UNKNOWN
    }
}
