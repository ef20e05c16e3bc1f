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
 * Routes the requests that come by host and path to workers, and decides what follows when an attempt breaks. It does no
 * input or output: events go in as method calls, {@link RoutingEffect effects} come out by {@link #drainEffects()}.
 *
 * <p>Not thread-safe: one event loop owns it. Times are readings of the monotonic clock in microseconds. A call id names a
 * client's HTTP call at this gateway; an attempt id names one attempt at a worker, and events of an attempt that is over
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
     * Settings.
     *
     * @param maxOpenRequests how many requests may be open at once
     * @param retryRatio      the part of the requests that may be retried
     * @param maxReportAge    the age beyond which a report of a worker does not count, in microseconds
     * @param prefixLifetime  for how long after its last use a part of a prompt counts as cached at a worker, in microseconds
     * @param policies        the routing policies in force
     * @param revocationDeadline how long after the acknowledgement of a configuration a key that it took away may still be accepted,
     *                        in microseconds; 0 where that isn't bounded
     */
    public record Settings(
            int maxOpenRequests,
            double retryRatio,
            long maxReportAge,
            long prefixLifetime,
            RoutingPolicies policies,
            long revocationDeadline) {
        /** How long a part of a prompt counts as cached when nothing is said. */
        public static final long DEFAULT_PREFIX_LIFETIME = 45 * SECOND;

        /** What holds when nothing is said. */
        public static final Settings DEFAULT = new Settings(2_048, 0.1, Long.MAX_VALUE);

        /** Settings with all policies in force. */
        public Settings(final int maxOpenRequests, final double retryRatio, final long maxReportAge) {
            this(maxOpenRequests, retryRatio, maxReportAge, DEFAULT_PREFIX_LIFETIME, RoutingPolicies.ALL, 0);
        }

        /** The same with other policies in force. */
        public Settings withPolicies(final RoutingPolicies inForce) {
            return new Settings(maxOpenRequests, retryRatio, maxReportAge, prefixLifetime, inForce, revocationDeadline);
        }

        /** The same with another time for which a part of a prompt counts as cached, in microseconds. */
        public Settings withPrefixLifetime(final long lifetime) {
            return new Settings(maxOpenRequests, retryRatio, maxReportAge, lifetime, policies, revocationDeadline);
        }

        /** The same with another time for which a key may be accepted after it was taken away, in microseconds. */
        public Settings withRevocationDeadline(final long deadline) {
            return new Settings(maxOpenRequests, retryRatio, maxReportAge, prefixLifetime, policies, deadline);
        }
    }

    /**
     * What a worker's response told of its load.
     *
     * @param running how many requests it runs
     * @param waiting how many wait there
     * @param slots   how many it can run at once
     */
    public record ReportedLoad(int running, int waiting, int slots) {}

    /** A router without requests; timestamps are those of local events of the cluster's clock. */
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

    /** Has the requests of tenants counted that workers begin to run: each attempt at its first event. */
    public void countUsage(final UsageCounter counter) {
        usage = Optional.of(counter);
    }

    /** Takes a newer snapshot of the cluster. */
    public void update(final ClusterSnapshot next, final long now) {
        if (next.revision() != cluster.revision() || routingTable == RoutingTable.NONE) {
            routingTable = new RoutingTable(next.policy());
        }
        cluster = next;
        selector.update(next, routingTable);
        workers.update(next.workers(), now);
        gatewayCount.observe(next.peers().size() + 1, now);
    }

    /** The number of the routing configuration in force here, or 0. */
    public long configurationNumber() {
        return routingTable.configurationNumber();
    }

    /** What clients may send and how long they may idle, by the configuration in force here. */
    public Optional<Value.RoutingConfiguration> limits() {
        return routingTable.limits();
    }

    /** Why this gateway isn't ready, or nothing when it is. */
    public Optional<String> unreadyReason() {
        if (draining || stopping) {
            return Optional.of("stopping");
        }
        return configurationNumber() == 0 ? Optional.of("no configuration is known here yet") : Optional.empty();
    }

    /** This gateway is about to stop: it is no longer ready, but still takes what comes. */
    public void startDraining() {
        draining = true;
    }

    /** No new request is taken from now on. */
    public void stopAccepting() {
        stopping = true;
    }

    /** How many requests are under way. */
    public int openRequests() {
        return requests.size();
    }

    /** What clients ask of each pool; any thread may read it. */
    public List<TrafficMessage.PoolDemand> demand() {
        return requests.demand().latest();
    }

    /** The counters by name. */
    public Map<String, Long> counters() {
        return output.counters();
    }

    /** The traces of requests. */
    public TraceLog traces() {
        return output.traces();
    }

    /** What is to be done, in order; each effect is handed over once. */
    public List<RoutingEffect> drainEffects() {
        return output.drain();
    }

    /** A request came in complete. */
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

    /** The response's head came from the worker and is passed on. */
    public void responseStarted(final long attemptId, final Optional<ReportedLoad> load, final long now) {
        requests.byAttempt(attemptId).ifPresent(open -> {
            recordResponse(open, load, now);
            open.markResponseStarted();
        });
    }

    /** An event of the response's stream was passed on. */
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

    /** A worker's complete response that is no success is there; it was not passed on yet. */
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

    /** The worker's response was passed on complete. */
    public void responseCompleted(final long attemptId, final boolean succeeded, final long now) {
        requests.byAttempt(attemptId).ifPresent(open -> {
            final String state = succeeded ? "done" : "passed";
            output.count(state);
            output.traces().recordState(open.request().requestId(), state, "");
            sender.endAttempt(open, !succeeded, now);
            requests.remove(open);
        });
    }

    /** An attempt broke. */
    public void attemptFailed(final long attemptId, final FailurePoint point, final long now) {
        requests.byAttempt(attemptId).ifPresent(open -> attemptFailed(open, point, now));
    }

    private void attemptFailed(final OpenRequest open, final FailurePoint point, final long now) {
        output.count("broke_" + point.name().toLowerCase(Locale.ROOT));
        output.traces().recordState(open.request().requestId(), "broke", point + " at " + open.worker());
        output.log(Event.RUN_BROKE, open.worker() + " " + point + " after " + (now - open.arrivedAt()) / 1000 + " ms");
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

    /** The client is gone. */
    public void clientDisconnected(final long callId, final long now) {
        requests.byCall(callId).ifPresent(open -> {
            output.count("left");
            sender.cancel(open, now);
        });
    }

    /** The client has left; an attempt that may not be repeated runs to its end, but no further one is made. */
    public void stopRetrying(final long callId) {
        requests.byCall(callId).ifPresent(OpenRequest::markClientDisconnected);
    }

    /** A timer event, several times a second. */
    public void tick(final long now) {
        requests.demand().sample(now);
        requests.forEach(open -> checkTimeouts(open, now));
    }

    /** Ends all that is under way. */
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
            output.log(Event.RUN_BROKE, open.worker() + " silent for " + (now - attempt.lastEventAt()) / 1000 + " ms");
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
