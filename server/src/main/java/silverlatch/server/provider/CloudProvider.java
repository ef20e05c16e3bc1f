package silverlatch.server.provider;

import java.util.concurrent.CompletableFuture;
import silverlatch.state.Value;

/**
 * The provider of the machines, to which one process at a time reports usage and whom it asks for workers. Calls don't block; a
 * result comes on any thread, and never exceptionally.
 *
 * <p>A call that isn't answered is aborted, and its outcome is unknown, well within the {@link
 * silverlatch.server.settings.SingletonSettings#tenureMicros}: none may arrive under an old fencing token when the next owner acts.
 */
public interface CloudProvider {
    /** Reports the usage of a closed window. A repeat with the same counts is harmless. */
    CompletableFuture<Outcome> reportUsage(Caller caller, Value.UsageWindow window);

    /** Sets how many workers of a pool a zone is to have. A repeat is harmless. */
    CompletableFuture<Outcome> setWorkerCount(Caller caller, WorkerCount target);

    /**
     * Who calls.
     *
     * @param holderName   the name of the process that owns the singleton role
     * @param fencingToken the token under which it owns the role; a call with a lower one than was seen is refused
     */
    record Caller(String holderName, long fencingToken) {}

    /**
     * How many workers a zone is to have.
     *
     * @param pool  the workers' pool
     * @param zone  the zone
     * @param count how many
     */
    record WorkerCount(String pool, String zone, int count) {}

    /** How a call ended. */
    enum Outcome {
        /** It was accepted. */
        ACCEPTED,
        /** A higher fencing token was seen: the caller doesn't own the role any more. */
        FENCED,
        /** Too many calls were made; it was not accepted. */
        THROTTLED,
        /** It was refused for another reason, and would be again. */
        REFUSED,
        /** No answer came, or one that tells nothing: it may have been accepted. */
        UNKNOWN
    }
}
