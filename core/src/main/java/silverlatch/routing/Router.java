package silverlatch.routing;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.dispatch.RetryBudget;
import silverlatch.dispatch.TraceLog;
import silverlatch.node.Event;
import silverlatch.state.Value;
import silverlatch.traffic.UsageCounter;
import silverlatch.wire.TrafficMessage;

/**
 * Routes requests to workers by host and path, and decides whether to retry when an attempt fails. It does no input or
 * output: events are method calls, and {@link #drainEffects()} returns the {@link RoutingEffect effects} to apply.
 *
 * <p>Not thread-safe: confined to one event loop. Times are monotonic clock readings in microseconds. A call id
 * identifies a client's call at this gateway, an attempt id one attempt at a worker. Events of attempts that have ended
 * are ignored.
 */
public final class Router {
    private static final long SECOND = 1_000_000L;
    private static final long REJECTED_EJECTION_MICROS = 150_000L;
    private static final int NOT_FOUND = 404;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private static final int GATEWAY_TIMEOUT = 504;
    private final Supplier<Stamp> timestamps;
    private final RandomGenerator random;
    private final OpenRequestTable requests;
    private final WorkerTable workers;
    private final TrafficStatistics traffic = new TrafficStatistics();
    private final GatewayCountWindow gatewayCount = new GatewayCountWindow();
    private final RoutingOutput output = new RoutingOutput();
    private final RetryBudget retryBudget;
    private final RoutingPolicies policies;
    private final Authenticator authenticator;
    private final WorkerSelector selector;
    private final AttemptSender sender;
    private Optional<UsageCounter> usage = Optional.empty();
    private RoutingTable routingTable = RoutingTable.NONE;
    private ClusterSnapshot cluster;
    private boolean draining;
    private boolean stopping;

    /**
     * The settings of a router.
     *
     * @param maxOpenRequests    how many requests may be open at once
     * @param retryRatio         the fraction of the requests that may be retried
     * @param maxReportAge       the age in microseconds beyond which a worker's report is ignored
     * @param prefixLifetime     how long a part of a prompt counts as cached after its last use, in microseconds
     * @param policies           the enabled routing policies
     * @param revocationDeadline how long a key may be accepted after its revocation was acknowledged, in microseconds; 0 for no limit
     */
    public record Settings(
            int maxOpenRequests,
            double retryRatio,
            long maxReportAge,
            long prefixLifetime,
            RoutingPolicies policies,
            long revocationDeadline) {
        /** The default lifetime of a cached part of a prompt, in microseconds. */
        public static final long DEFAULT_PREFIX_LIFETIME = 45 * SECOND;

        /** The default settings. */
        public static final Settings DEFAULT = new Settings(2_048, 0.1, Long.MAX_VALUE);

        /** Creates settings with all policies enabled, the default prefix lifetime and no revocation deadline. */
        public Settings(final int maxOpenRequests, final double retryRatio, final long maxReportAge) {
            this(maxOpenRequests, retryRatio, maxReportAge, DEFAULT_PREFIX_LIFETIME, RoutingPolicies.ALL, 0);
        }

        /** Returns a copy with other policies enabled. */
        public Settings withPolicies(final RoutingPolicies enabled) {
            return new Settings(maxOpenRequests, retryRatio, maxReportAge, prefixLifetime, enabled, revocationDeadline);
        }

        /** Returns a copy with another lifetime of cached parts of prompts, in microseconds. */
        public Settings withPrefixLifetime(final long lifetime) {
            return new Settings(maxOpenRequests, retryRatio, maxReportAge, lifetime, policies, revocationDeadline);
        }

        /** Returns a copy with another revocation deadline, in microseconds; 0 for no limit. */
        public Settings withRevocationDeadline(final long deadline) {
            return new Settings(maxOpenRequests, retryRatio, maxReportAge, prefixLifetime, policies, deadline);
        }
    }

    /**
     * The load that a worker reported with a response.
     *
     * @param running how many requests it is running
     * @param waiting how many requests are queued there
     * @param slots   how many requests it can run at once
     */
    public record ReportedLoad(int running, int waiting, int slots) {}

    /** Creates a router without requests; the supplier returns a new timestamp of the cluster's clock. */
    public Router(
            final Settings settings,
            final ClusterSnapshot cluster,
            final Supplier<Stamp> timestamps,
            final RandomGenerator random) {
        this.cluster = cluster;
        this.timestamps = timestamps;
        this.random = random;
        this.requests = new OpenRequestTable(settings.maxOpenRequests());
        this.retryBudget = new RetryBudget(settings.retryRatio(), 2);
        this.policies = settings.policies();
        this.authenticator = new Authenticator(new RevocationLease(settings.revocationDeadline()), random);
        this.workers = new WorkerTable(settings.prefixLifetime());
        this.selector =
                new WorkerSelector(cluster, workers, traffic, new WarmupLimiter(gatewayCount), settings, random);
        this.sender = new AttemptSender(requests, workers, selector, random, output);
    }

    /** Enables usage counting: each attempt for a tenant is counted when its first event is forwarded. */
    public void countUsage(final UsageCounter counter) {
        usage = Optional.of(counter);
    }

    /** Applies a newer snapshot of the cluster. */
    public void update(final ClusterSnapshot next, final long now) {
        if (next.revision() != cluster.revision() || routingTable == RoutingTable.NONE) {
            routingTable = new RoutingTable(next.policy());
        }
        cluster = next;
        selector.update(next, routingTable);
        workers.update(next.workers(), now);
        gatewayCount.observe(next.peers().size() + 1, now);
    }

    /** Returns the number of the routing configuration in force, or 0 if there is none. */
    public long configurationNumber() {
        return routingTable.configurationNumber();
    }

    /** Returns the limits on requests and idle connections of the configuration in force. */
    public Optional<Value.RoutingConfiguration> limits() {
        return routingTable.limits();
    }

    /** Returns why this gateway isn't ready; empty if it is ready. */
    public Optional<String> unreadyReason() {
        if (draining || stopping) {
            return Optional.of("stopping");
        }
        return configurationNumber() == 0 ? Optional.of("no configuration is known here yet") : Optional.empty();
    }

    /** Marks this gateway as not ready, as it is about to stop. New requests are still accepted. */
    public void startDraining() {
        draining = true;
    }

    /** Rejects all new requests from now on. */
    public void stopAccepting() {
        stopping = true;
    }

    /** Returns how many requests are open. */
    public int openRequests() {
        return requests.size();
    }

    /** Returns the demand of clients for each pool. May be called by any thread. */
    public List<TrafficMessage.PoolDemand> demand() {
        return requests.demand().latest();
    }

    /** Returns the counters by name. */
    public Map<String, Long> counters() {
        return output.counters();
    }

    /** Returns the traces of recent requests. */
    public TraceLog traces() {
        return output.traces();
    }

    /** Returns the effects to apply, in order, and clears them: each effect is returned once. */
    public List<RoutingEffect> drainEffects() {
        return output.drain();
    }

    /** Handles a request that was received completely: starts an attempt or rejects the request. */
    public void requestArrived(final RoutedRequest request, final long now) {
        output.count("tickets");
        if (stopping) {
            output.reject(request.callId(), UNAVAILABLE, SECOND / 20, "stopping");
            return;
        }
        if (configurationNumber() == 0) {
            final long retryAfter = SECOND + random.nextLong(SECOND / 2);
            output.reject(request.callId(), UNAVAILABLE, retryAfter, "no configuration is known here yet");
            return;
        }
        final Optional<Value.Route> route = routingTable.route(request.host(), request.path());
        if (route.isEmpty()) {
            output.reject(request.callId(), NOT_FOUND, 0, "no rule for " + request.host() + request.path());
            return;
        }
        switch (authenticator.decide(request, route.get(), routingTable.access(), cluster, now)) {
            case Authenticator.Decision.Allowed allowed -> open(request, route.get(), allowed.tenant(), now);
            case Authenticator.Decision.Rejected rejected ->
                output.reject(request.callId(), rejected.statusCode(), rejected.retryAfter(), rejected.reason());
        }
    }

    private void open(
            final RoutedRequest request,
            final Value.Route route,
            final Optional<Value.TenantAccess> tenant,
            final long now) {
        final String pool = selector.drawPool(route);
        final OpenRequest open = new OpenRequest(request, route, tenant, pool, now, timestamps.get());
        if (!requests.add(open)) {
            output.reject(request.callId(), UNAVAILABLE, SECOND / 2, "the slab is full");
            return;
        }
        retryBudget.recordRequest(now);
        traffic.observe(request, route, now);
        sender.send(open, cluster.revision(), now);
    }

    /** Handles the head of a worker's response, which is forwarded to the client, and the load reported with it. */
    public void responseStarted(final long attemptId, final Optional<ReportedLoad> load, final long now) {
        requests.byAttempt(attemptId).ifPresent(open -> {
            recordResponse(open, load, now);
            open.markResponseStarted();
        });
    }

    /** Handles an event of the response stream that was forwarded to the client. */
    public void eventForwarded(final long attemptId, final long now) {
        requests.byAttempt(attemptId).ifPresent(open -> {
            final WorkerState worker = workers.get(open.worker());
            final WorkerState.Attempt attempt = worker.attempt(attemptId);
            workers.reachabilityOf(worker).recordResponse(now);
            if (attempt.recordEvent(now)) {
                usage.ifPresent(counter -> open.tenant().ifPresent(tenant -> counter.count(tenant.name(), now)));
                worker.recordSuccess(attempt, now);
                selector.recordFirstEvent(worker, attempt, now);
            }
        });
    }

    /** Handles a complete error response that was not forwarded yet: retries the request or forwards the response. */
    public void errorResponse(
            final long attemptId, final int statusCode, final Optional<ReportedLoad> load, final long now) {
        requests.byAttempt(attemptId).ifPresent(open -> {
            recordResponse(open, load, now);
            if (mayRetryAfterResponse(open, statusCode, now)) {
                output.count("again_ill");
                open.markMayHaveRun();
                sender.endAttempt(open, true, now);
                sender.send(open, cluster.revision(), now);
            } else {
                output.add(new RoutingEffect.ForwardResponse(open.request().callId(), attemptId));
            }
        });
    }

    private void recordResponse(final OpenRequest open, final Optional<ReportedLoad> load, final long now) {
        final WorkerState worker = workers.get(open.worker());
        workers.reachabilityOf(worker).recordResponse(now);
        load.ifPresent(reported -> worker.updateLoad(reported, now));
    }

    private boolean mayRetryAfterResponse(final OpenRequest open, final int statusCode, final long now) {
        if (!RetryPolicy.allowsAfterResponse(open, statusCode, now)) {
            return false;
        }
        open.markWorkerFailed();
        return !selector.candidates(open, now).isEmpty() && retryBudget.tryAcquire(now);
    }

    /** Handles the end of a response that was forwarded completely; it may be a success or an error. */
    public void responseCompleted(final long attemptId, final boolean succeeded, final long now) {
        requests.byAttempt(attemptId).ifPresent(open -> {
            final String state = succeeded ? "done" : "passed";
            output.count(state);
            output.traces().recordState(open.request().requestId(), state, "");
            sender.endAttempt(open, !succeeded, now);
            requests.remove(open);
        });
    }

    /** Handles the failure of an attempt: retries the request at another worker, or rejects or fails it. */
    public void attemptFailed(final long attemptId, final FailurePoint point, final long now) {
        requests.byAttempt(attemptId).ifPresent(open -> attemptFailed(open, point, now));
    }

    private void attemptFailed(final OpenRequest open, final FailurePoint point, final long now) {
        output.count("broke_" + point.name().toLowerCase(Locale.ROOT));
        output.traces().recordState(open.request().requestId(), "broke", point + " at " + open.worker());
        output.log(Event.RUN_BROKE, open.worker() + ": " + point + " after " + (now - open.arrivedAt()) / 1000 + " ms");
        recordFailure(open, point, now);
        final List<Candidate> others =
                RetryPolicy.allowsAfterFailure(open, point, now) ? selector.candidates(open, now) : List.of();
        if (others.isEmpty() || point != FailurePoint.UNSENT && !retryBudget.tryAcquire(now)) {
            sender.endWithoutWorker(open, "no worker ran it", "the worker broke off");
            return;
        }
        if (point == FailurePoint.UNSENT) {
            open.uncountAttempt();
        }
        output.count("again");
        sender.send(open, others, cluster.revision(), now);
    }

    private void recordFailure(final OpenRequest open, final FailurePoint point, final long now) {
        final WorkerState worker = workers.get(open.worker());
        if (point == FailurePoint.UNSENT) {
            workers.reachabilityOf(worker).recordConnectFailure(now);
        } else if (point.isKnownNotRun()) {
            workers.reachabilityOf(worker).recordResponse(now);
        }
        sender.endAttempt(open, point != FailurePoint.NOT_RUN, now);
        open.markWorkerFailed();
        if (point == FailurePoint.NOT_RUN) {
            worker.ejectFor(REJECTED_EJECTION_MICROS, now);
        }
        if (!point.isKnownNotRun()) {
            open.markMayHaveRun();
        }
    }

    /** Handles a disconnected client: cancels the attempt in flight and removes the request. */
    public void clientDisconnected(final long callId, final long now) {
        requests.byCall(callId).ifPresent(open -> {
            output.count("left");
            sender.cancel(open, now);
        });
    }

    /** Makes no further attempt for a request whose client has disconnected; one in flight that can't be repeated continues. */
    public void stopRetrying(final long callId) {
        requests.byCall(callId).ifPresent(OpenRequest::markClientDisconnected);
    }

    /** Handles a timer event: checks deadlines and silent workers. Must be called several times a second. */
    public void tick(final long now) {
        requests.demand().sample(now);
        requests.forEach(open -> checkTimeouts(open, now));
    }

    /** Cancels and fails all open requests. */
    public void shutdown(final long now) {
        requests.forEach(open -> {
            sender.cancel(open, now);
            output.add(new RoutingEffect.Fail(open.request().callId(), BAD_GATEWAY, "stopping"));
        });
    }

    private void checkTimeouts(final OpenRequest open, final long now) {
        if (now >= open.deadline()) {
            expire(open, now);
            return;
        }
        final WorkerState worker = workers.get(open.worker());
        final WorkerState.Attempt attempt = worker.attempt(open.attemptId());
        if (policies.isEnabled(RoutingPolicy.RETRY_AFTER_SILENCE)
                && RetryPolicy.allowsAfterSilence(open, attempt, now)) {
            output.log(
                    Event.RUN_BROKE, open.worker() + ": no event for " + (now - attempt.lastEventAt()) / 1000 + " ms");
            if (hasOtherCandidate(open, now) && retryBudget.tryAcquire(now)) {
                moveFromSilentWorker(open, worker, now);
            }
        }
    }

    private void expire(final OpenRequest open, final long now) {
        output.count("expired");
        output.traces().recordState(open.request().requestId(), "expired", "its time is up");
        sender.cancel(open, now);
        output.add(new RoutingEffect.Fail(open.request().callId(), GATEWAY_TIMEOUT, "its time is up"));
    }

    private boolean hasOtherCandidate(final OpenRequest open, final long now) {
        return selector.candidates(open, now).stream()
                .anyMatch(candidate -> !candidate.worker().id().equals(open.worker()));
    }

    private void moveFromSilentWorker(final OpenRequest open, final WorkerState worker, final long now) {
        output.count("moved");
        open.markMayHaveRun();
        open.markWorkerFailed();
        output.add(new RoutingEffect.CancelAttempt(open.attemptId()));
        worker.recordFailure(now);
        sender.endAttempt(open, false, now);
        sender.send(open, cluster.revision(), now);
    }
}
