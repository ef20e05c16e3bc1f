package silverlatch.server.proxy;

import java.util.List;
import java.util.Map;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.CopyOnWriteArrayList;

/** Records what scripted clients and workers sent and received, for {@link ExchangeChecker}. */
final class ExchangeLog {
    /** The number of tenants, each of which has one key. */
    static final int TENANTS = 3;

    /** The prefix of each tenant's key; no worker may receive a key. */
    static final String KEY_PREFIX = "secret-";

    /** The prefix of each tenant's name. */
    static final String TENANT_PREFIX = "tenant-";

    final Map<String, ClientRequest> requests = new ConcurrentHashMap<>();
    final Map<String, Run> runsBySeal = new ConcurrentHashMap<>();
    final List<Run> runs = new CopyOnWriteArrayList<>();
    final List<ReceivedResponse> responses = new CopyOnWriteArrayList<>();
    final List<String> violations = new CopyOnWriteArrayList<>();
    final List<String> reuses = new CopyOnWriteArrayList<>();

    /** The kind of a request: whether it may be executed more than once, and whether its response is a stream. */
    enum Kind {
        /** A stream whose request may be executed only once. */
        ONCE("/once/", false, true),
        /** An idempotent request whose response is not a stream. */
        AGAIN("/again/", true, false),
        /** An idempotent request whose stream may be resumed at another worker. */
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

    /** A request as a client sends it, and whether it sends all of it. */
    record ClientRequest(String id, Kind kind, String path, String body, boolean complete) {
        /** Returns the number of the tenant whose key the client sends. */
        int tenant() {
            return Math.floorMod(id.hashCode(), TENANTS);
        }
    }

    /**
     * A request that a worker has read completely, and the response that it intends to send.
     *
     * @param requestHead the request line and headers
     * @param seal        the unique seal of the response
     * @param executed    whether the worker executed the request
     * @param status      the status of the response
     * @param body        the complete body of the response
     * @param complete    whether a client may receive the complete body
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

    /** A response as a client received it, also if it is incomplete or not a response at all. */
    record ReceivedResponse(ClientRequest request, HttpResponseReader.Message message) {}

    void addRun(final Run run) {
        runsBySeal.put(run.seal(), run);
        runs.add(run);
    }
}
