package silverlatch.server.proxy;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** All that scripted clients and workers sent and received, for the checker. */
final class ExchangeLog {
    /** How many tenants there are; each has one key. */
    static final int TENANTS = 3;

    /** How each tenant's key begins; no worker may get one. */
    static final String KEY_PREFIX = "secret-";

    /** How each tenant's name begins. */
    static final String TENANT_PREFIX = "tenant-";

    final Map<String, ClientRequest> requests = new ConcurrentHashMap<>();
    final Map<String, Run> runsBySeal = new ConcurrentHashMap<>();
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final List<ReceivedResponse> responses = new CopyOnWriteArrayList<>();
    final List<String> violations = new CopyOnWriteArrayList<>();
    final List<String> reuses = new CopyOnWriteArrayList<>();

    /** How often a request may run, and what its response is. */
    enum Kind {
        /** A stream that may run once. */
        ONCE("/once/", false, true),
        /** A whole response that may run again. */
        AGAIN("/again/", true, false),
        /** A stream that may be resumed. */
        RESUMABLE("/resume/", true, true);

        final String prefix;
        final boolean idempotent;
        final boolean stream;

        Kind(final String prefix, final boolean idempotent, final boolean stream) {
            this.prefix = prefix;
            this.idempotent = idempotent;
            this.stream = stream;
        }
    }

    /** What a client sends, and whether it sends it whole. */
    record ClientRequest(String id, Kind kind, String path, String body, boolean complete) {
        /** The number of the tenant whose key the client sends. */
        int tenant() {
            return Math.floorMod(id.hashCode(), TENANTS);
        }
    }

    /**
     * A request that a worker has read whole.
     *
     * @param requestHead     the request's head
     * @param seal     the seal of the response, unlike any other
     * @param executed whether the worker ran it
     * @param status   the status that the worker gives
     * @param body     the whole body that the worker means to give
     * @param complete    whether it lets the body get through whole
     */
    record Run(
            String workerId,
            String requestId,
            String requestHead,
            String path,
            String requestBody,
            String lastEventId,
            String seal,
            ScriptedWorker.Behaviour behaviour,
            boolean executed,
            int status,
            String body,
            boolean complete) {}

    /** A response as a client has read it, or why it is none. */
    record ReceivedResponse(ClientRequest request, HttpResponseReader.Message message) {}

    void addRun(final Run run) {
        runsBySeal.put(run.seal(), run);
        runs.add(run);
    }
}
