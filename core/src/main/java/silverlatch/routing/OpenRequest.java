package silverlatch.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.clock.Stamp;
import silverlatch.state.Value;

/**
 * A routed request under way: its route, its deadline, and its attempts at workers, of which one is in flight at a time.
 * Once it may have run it is never called rejected, and where its route isn't retryable it isn't sent again. Owned by the
 * routing event loop; times in microseconds.
 */
final class OpenRequest {
    private final RoutedRequest request;
    private final Value.Route route;
    private final Optional<Value.TenantAccess> tenant;
    private final String pool;
    private final long arrivedAt;
    private final long deadline;
    private final Stamp timestamp;
    private final List<String> failedWorkers = new ArrayList<>();
    private long handle;
    private int attempts;
    private long attemptId;
    private String worker = "";
    private boolean responseStarted;
    private boolean mayHaveRun;
    private boolean clientDisconnected;

    /** A request that just came, for which a pool was drawn, and whose tenant is the one of its key. */
    OpenRequest(
            final RoutedRequest request,
            final Value.Route route,
            final Optional<Value.TenantAccess> tenant,
            final String pool,
            final long arrivedAt,
            final Stamp timestamp) {
        this.request = request;
        this.route = route;
        this.tenant = tenant;
        this.pool = pool;
        this.arrivedAt = arrivedAt;
        this.timestamp = timestamp;
        this.deadline = arrivedAt + Math.min(request.timeout(), route.timeoutMicros());
    }

    /** What came. */
    RoutedRequest request() {
        return request;
    }

    /** The route that it matched when it came. */
    Value.Route route() {
        return route;
    }

    /** The tenant whose key it brought when it came, if there was one. */
    Optional<Value.TenantAccess> tenant() {
        return tenant;
    }

    /** The priority of its tenant where that has one, else of its route. */
    int priority() {
        return tenant.map(Value.TenantAccess::priority)
                .filter(priority -> priority != Value.TenantAccess.ROUTE_PRIORITY)
                .orElse(route.priority());
    }

    /** Whether its tenant allows that it runs in a region; what its route allows is another question. */
    boolean tenantAllows(final String region) {
        return tenant.map(Value.TenantAccess::homeRegions)
                .filter(regions -> !regions.isEmpty())
                .map(regions -> regions.contains(region))
                .orElse(true);
    }

    /** The pool that its worker is from. */
    String pool() {
        return pool;
    }

    /** When it came. */
    long arrivedAt() {
        return arrivedAt;
    }

    /** When it fails if its response isn't complete. */
    long deadline() {
        return deadline;
    }

    /** The cluster's timestamp of its arrival. */
    Stamp timestamp() {
        return timestamp;
    }

    /** Its handle in the {@link OpenRequestTable}. */
    long handle() {
        return handle;
    }

    /** Set by the {@link OpenRequestTable}. */
    void setHandle(final long newHandle) {
        handle = newHandle;
    }

    /** A worker is asked to run it. */
    void startAttempt(final long newAttemptId, final String workerId) {
        attempts++;
        attemptId = newAttemptId;
        worker = workerId;
    }

    /** The newest attempt does not count: nothing of it left this gateway. */
    void uncountAttempt() {
        attempts--;
    }

    /** How many attempts count. */
    int attempts() {
        return attempts;
    }

    /** The newest attempt; events of earlier ones are ignored. */
    long attemptId() {
        return attemptId;
    }

    /** The worker of the newest attempt, or empty. */
    String worker() {
        return worker;
    }

    /** The worker of the newest attempt is not tried again. */
    void markWorkerFailed() {
        failedWorkers.add(worker);
    }

    /** Whether a worker is not to be tried again. */
    boolean hasFailedAt(final String workerId) {
        return failedWorkers.contains(workerId);
    }

    /** A part of a response was passed on to the client. */
    void markResponseStarted() {
        responseStarted = true;
    }

    /** Whether a part of a response was passed on to the client. */
    boolean responseStarted() {
        return responseStarted;
    }

    /** The client has left: no further attempt is made. */
    void markClientDisconnected() {
        clientDisconnected = true;
    }

    /** Whether the client has left. */
    boolean hasClientDisconnected() {
        return clientDisconnected;
    }

    /** An attempt may have run. */
    void markMayHaveRun() {
        mayHaveRun = true;
    }

    /** Whether it surely did not run, so that the client may be told to send it again. */
    boolean isKnownNotRun() {
        return !mayHaveRun && !responseStarted;
    }
}
