package silverlatch.dispatch;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.permit.PermitSigner;
import silverlatch.safeguard.Safeguard;
import silverlatch.state.CommandResult;
import silverlatch.util.Digests;

/**
 * Places and dispatches the requests that clients submit to one gateway through the product's own API. It does no I/O: events
 * are passed in as method calls, and {@link #drainEffects()} returns the {@link DispatchEffect effects} to execute.
 *
 * <p>This class passes each event to the component that owns the affected state:
 *
 * <ul>
 *   <li>{@link PlacementHandler} and {@link SubmissionHandler}: permits, rate limits, admission and load shedding;
 *   <li>{@link FairQueues} and {@link QueueDispatcher}: weighted fair order, choice of a worker;
 *   <li>{@link ClaimCoordinator}, {@link AttemptStarter} and {@link AttemptMonitor}: idempotency keys, attempts, retries;
 *   <li>{@link StreamDelivery}: which call reads which response;
 *   <li>{@link RequestTable} and {@link RequestLifecycle}: all requests, their states and how they end;
 *   <li>{@link RequestRevoker}: ends requests that this gateway may no longer serve.
 * </ul>
 *
 * <p>Not thread-safe: used only by the dispatch event loop. Times are readings of the monotonic clock in microseconds. A call id
 * identifies a client's HTTP call at this gateway; an operation id identifies a claim or an attempt.
 */
public final class Dispatcher {
    /** The reason for rejecting a permit that was used before; it does not tell whether the permit's request ran. */
    public static final String ALREADY_SUBMITTED = "the request was submitted before";

    private final DispatcherSettings settings;
    private final ClusterView cluster;
    private final GatewayReadiness readiness;
    private final DispatchOutput output;
    private final RequestTable requests;
    private final FairQueues queues = new FairQueues();
    private final WorkerUsageTable usage;
    private final UsedPermits usedPermits;
    private final StreamDelivery delivery;
    private final RequestLifecycle lifecycle;
    private final ClaimCoordinator claims;
    private final QueueDispatcher queueDispatcher;
    private final AttemptMonitor attempts;
    private final RequestRevoker revoker;
    private final PlacementHandler placements;
    private final SubmissionHandler submissions;

    /**
     * Creates a dispatcher without requests.
     *
     * @param timestamps returns the timestamp of a new local event by the cluster's clock
     */
    public Dispatcher(
            final DispatcherSettings settings,
            final PermitSigner signer,
            final ClusterSnapshot snapshot,
            final Supplier<Stamp> timestamps,
            final RandomGenerator random) {
        this.settings = settings;
        cluster = new ClusterView(settings.maxConfirmationAge(), settings.safeguards(), snapshot);
        readiness = new GatewayReadiness(cluster);
        output = new DispatchOutput(random);
        requests = new RequestTable(settings.maxOpenRequests());
        usage = new WorkerUsageTable(settings.ejectionTime());
        usedPermits = new UsedPermits(settings.permitRetention());
        delivery = new StreamDelivery(requests, output);
        lifecycle = new RequestLifecycle(settings, cluster, requests, queues, usage, delivery, output);
        final RetryBudget retryBudget = new RetryBudget(settings.retryRatio(), 1);
        final PlacementDecider decider =
                new PlacementDecider(cluster, usage, settings.maxReportAge(), settings.safeguards(), random, output);
        final AttemptStarter attemptStarter =
                new AttemptStarter(settings.startTimeout(), cluster, requests, lifecycle, decider, retryBudget, output);
        claims = new ClaimCoordinator(
                settings.claimTimeout(), cluster, requests, lifecycle, attemptStarter, timestamps, output);
        queueDispatcher = new QueueDispatcher(
                cluster, queues, usage, decider, lifecycle, claims, attemptStarter, timestamps, output);
        attempts = new AttemptMonitor(
                settings, requests, queues, usage, lifecycle, queueDispatcher, delivery, retryBudget, output);
        revoker = new RequestRevoker(cluster, requests, queues, lifecycle, queueDispatcher, output);
        placements = new PlacementHandler(
                settings, cluster, readiness, queues, decider, retryBudget, signer, timestamps, random, output);
        submissions = new SubmissionHandler(
                settings, cluster, readiness, requests, queues, usedPermits, lifecycle, delivery, signer, output);
    }

    /** Adopts a newer snapshot of the cluster, and ends the requests that this gateway may no longer serve under it. */
    public void update(final ClusterSnapshot next, final long now) {
        final ClusterSnapshot previous = cluster.snapshot();
        if (next.self().incarnation() != previous.self().incarnation()) {
            revoker.rejectQueued("the carrier joined anew");
        }
        if (next.workers() != previous.workers()) {
            usage.observe(next.workers(), now);
        }
        usage.retain(next.workers());
        cluster.update(next);
        if (next.revision() != previous.revision() && isEnabled(Safeguard.RETENTION_HOME_REGION)) {
            revoker.revokeNoLongerAllowed(now);
        }
        queueDispatcher.run(now);
    }

    /** Returns why this gateway accepts no requests, or empty if it accepts them. */
    public Optional<String> unreadyReason(final long now) {
        return readiness.unreadyReason(now);
    }

    /** Stops accepting new requests. */
    public void stopAccepting() {
        readiness.stopAccepting();
    }

    /** Returns how many requests have not ended. */
    public int openRequests() {
        return requests.openCount();
    }

    /** Returns the counters by name. */
    public Map<String, Long> counters() {
        return output.counters();
    }

    /** Returns the traces of requests. */
    public TraceLog traces() {
        return output.traces();
    }

    /** Returns the effects to execute, in order; each is returned once. */
    public List<DispatchEffect> drainEffects() {
        return output.drain();
    }

    /** Handles a client's call for a placement: where to submit its request. */
    public void requestPlacement(final PlacementRequest placement, final long callId, final long now) {
        placements.handle(placement, callId, now);
    }

    /** Handles a request that a client submits with its permit. */
    public void submit(final SubmittedRequest submitted, final long callId, final long now) {
        if (submissions.handle(submitted, callId, now)) {
            queueDispatcher.run(now);
        }
    }

    /** Handles a client that reconnects to read a request's response from the given record on. */
    public void attach(
            final String requestId, final String secret, final long firstRecord, final long callId, final long now) {
        final Optional<DispatchedRequest> found = requests.byId(requestId)
                .filter(request -> Digests.constantTimeEquals(request.tenant().keyHash(), Digests.sha256Hex(secret)))
                .filter(request -> cluster.stillServes(request) || !isEnabled(Safeguard.RETENTION_HOME_REGION));
        if (found.isEmpty()
                || firstRecord < 0
                || firstRecord > found.get().response().size()) {
            output.reject(callId, "", Rejection.permanent(Rejection.NOT_FOUND, "no such request or chunk"));
            return;
        }
        if (!cluster.isConfirmed(now) && isEnabled(Safeguard.RETENTION_HOME_REGION)) {
            output.reject(
                    callId,
                    requestId,
                    Rejection.retryable(
                            Rejection.TOO_EARLY,
                            "the table held here is not confirmed; read again a little later",
                            Rejection.SECOND_MICROS));
            return;
        }
        final DispatchedRequest request = found.get();
        if (request.state() == RequestState.REJECTED) {
            output.reject(callId, requestId, Rejection.unavailable(request.reason()));
            return;
        }
        delivery.attach(request, callId, (int) firstRecord);
    }

    /** Handles the event that the transport of a client's call can accept the next write. */
    public void onReaderReady(final long callId) {
        delivery.onReaderReady(callId);
    }

    /** Handles the loss of a client's connection; a request that still waits in a queue is rejected. */
    public void onReaderDisconnected(final long callId, final long now) {
        delivery.onReaderDisconnected(callId, now)
                .filter(request -> request.state() == RequestState.QUEUED)
                .ifPresent(request -> lifecycle.reject(
                        request, Rejection.permanent(Rejection.UNAVAILABLE, "the consumer went away")));
    }

    /** Handles the result of the claim that an operation submitted. */
    public void onClaimResult(final long operationId, final CommandResult result, final long now) {
        claims.onResult(operationId, result, now);
        queueDispatcher.run(now);
    }

    /** Handles the indication by the worker of an attempt that it runs the request. */
    public void onAttemptStarted(final long operationId) {
        attempts.onStarted(operationId);
    }

    /** Handles a record of the response from the worker of an attempt. */
    public void onRecord(final long operationId, final StreamRecord received, final long now) {
        attempts.onRecord(operationId, received, now);
    }

    /**
     * Handles an exchange with a worker that ended without a trailer.
     *
     * @param started false only if the request provably did not start at the worker
     */
    public void onAttemptFailed(final long operationId, final boolean started, final String reason, final long now) {
        attempts.onFailed(operationId, started, reason, now);
    }

    /** Handles a timer event, several times a second: ends requests that timed out and drops state that is too old. */
    public void tick(final long now) {
        usedPermits.removeExpired(now, requests::isOpen);
        lifecycle.tick(now);
        attempts.tick(now);
        queues.removeIdle(now);
        queueDispatcher.run(now);
    }

    /** Ends all open requests. Called at the end of a graceful shutdown. */
    public void shutdown(final long now) {
        revoker.shutdown(now);
    }

    private boolean isEnabled(final Safeguard safeguard) {
        return settings.safeguards().isEnabled(safeguard);
    }
}
