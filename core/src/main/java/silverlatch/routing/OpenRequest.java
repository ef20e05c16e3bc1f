package silverlatch.routing;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.clock.Stamp;
import silverlatch.state.Value;

/**
 * A routed request that is not completed yet: its route, its deadline, and its attempts at workers, of which at most
 * one is in flight. Invariants: a request that may have run is never reported as rejected, and it is not sent again if
 * its route isn't retryable. Confined to the routing event loop; times are microseconds.
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

    /**
     * Creates a request that just arrived.
     *
     * @param tenant the tenant of the request's key, if any
     * @param pool   the pool that was drawn for it
     */
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

    /** Returns the request as it arrived. */
    RoutedRequest request() {
        return request;
    }

    /** Returns the route that the request matched when it arrived. */
    Value.Route route() {
        return route;
    }

    /** Returns the tenant to which the request's key belonged when it arrived, if any. */
    Optional<Value.TenantAccess> tenant() {
        return tenant;
    }

    /** Returns the tenant's priority if it has one, else the route's. */
    int priority() {
        return tenant.map(Value.TenantAccess::priority)
                .filter(priority -> priority != Value.TenantAccess.ROUTE_PRIORITY)
                .orElse(route.priority());
    }

    /** Returns whether the tenant's home regions include a region. The route's home regions are checked separately. */
    boolean tenantAllows(final String region) {
        return tenant.map(Value.TenantAccess::homeRegions)
                .filter(regions -> !regions.isEmpty())
                .map(regions -> regions.contains(region))
                .orElse(true);
    }

    /** Returns the pool from which the worker is chosen. */
    String pool() {
        return pool;
    }

    /** Returns when the request arrived. */
    long arrivedAt() {
        return arrivedAt;
    }

    /** Returns the time at which the request fails if its response isn't complete. */
    long deadline() {
        return deadline;
    }

    /** Returns the cluster clock's timestamp of the arrival. */
    Stamp timestamp() {
        return timestamp;
    }

    /** Returns the handle in the {@link OpenRequestTable}. */
    long handle() {
        return handle;
    }

    /** Sets the handle; called by the {@link OpenRequestTable}. */
    void setHandle(final long newHandle) {
        handle = newHandle;
    }

    /** Records a new attempt at a worker. */
    void startAttempt(final long newAttemptId, final String workerId) {
        attempts++;
        attemptId = newAttemptId;
        worker = workerId;
    }

    /** Excludes the current attempt from the count, as nothing of it left this gateway. */
    void uncountAttempt() {
        attempts--;
    }

    /** Returns the number of attempts that count against the route's maximum. */
    int attempts() {
        return attempts;
    }

    /** Returns the id of the current attempt; events of earlier attempts are ignored. */
    long attemptId() {
        return attemptId;
    }

    /** Returns the worker of the current attempt, or an empty string before the first attempt. */
    String worker() {
        return worker;
    }

    /** Excludes the worker of the current attempt from further attempts. */
    void markWorkerFailed() {
        failedWorkers.add(worker);
    }

    /** Returns whether a worker is excluded from further attempts. */
    boolean hasFailedAt(final String workerId) {
        return failedWorkers.contains(workerId);
    }

    /** Records that a part of a response was forwarded to the client. */
    void markResponseStarted() {
        responseStarted = true;
    }

    /** Returns whether a part of a response was forwarded to the client. */
    boolean responseStarted() {
        return responseStarted;
    }

    /** Records that the client has disconnected, so that no further attempt is made. */
    void markClientDisconnected() {
        clientDisconnected = true;
    }

    /** Returns whether the client has disconnected. */
    boolean hasClientDisconnected() {
        return clientDisconnected;
    }

    /** Records that an attempt may have run. */
    void markMayHaveRun() {
        mayHaveRun = true;
    }

    /** Returns whether the request is known not to have run, so that the client may be told to send it again. */
    boolean isKnownNotRun() {
        return !mayHaveRun && !responseStarted;
    }
}
