package silverlatch.dispatch;

import java.util.Optional;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.placement.PlacementContext;
import silverlatch.state.Value;

/** Sends an attempt to the chosen worker if the worker is still allowed. Used only by the dispatch event loop. */
final class AttemptStarter {
    private final long startTimeout;
    private final ClusterView cluster;
    private final RequestTable requests;
    private final RequestLifecycle lifecycle;
    private final PlacementDecider decider;
    private final RetryBudget retryBudget;
    private final DispatchOutput output;

    /**
     * Creates a starter.
     *
     * @param startTimeout within how many microseconds the first byte of an attempt has to be sent
     */
    AttemptStarter(
            final long startTimeout,
            final ClusterView cluster,
            final RequestTable requests,
            final RequestLifecycle lifecycle,
            final PlacementDecider decider,
            final RetryBudget retryBudget,
            final DispatchOutput output) {
        this.startTimeout = startTimeout;
        this.cluster = cluster;
        this.requests = requests;
        this.lifecycle = lifecycle;
        this.decider = decider;
        this.retryBudget = retryBudget;
        this.output = output;
    }

    /** Starts an attempt at the request's worker, or rejects the request if that is no longer allowed. */
    void start(final DispatchedRequest request, final long now) {
        final Optional<Gossip.ObservedWorker> report =
                Optional.ofNullable(cluster.snapshot().workers().get(request.worker()));
        if (report.isEmpty() || !isStillAllowed(request, report.get(), now)) {
            lifecycle.releaseWorkerSlot(request);
            lifecycle.reject(request, Rejection.brieflyUnavailable("the pick grew stale before it was sent"));
            return;
        }
        lifecycle.transition(request, RequestEvent.START_ATTEMPT);
        requests.beginOperation(request);
        request.startAttempt(now);
        countAttempt(request, now);
        output.add(startAttemptEffect(request, report.get().worker(), now));
    }

    private boolean isStillAllowed(
            final DispatchedRequest request, final Gossip.ObservedWorker report, final long now) {
        final ClusterSnapshot snapshot = cluster.snapshot();
        final Optional<Value.Row> row =
                snapshot.row(request.permit().tenant(), request.permit().kind());
        final Optional<Value.Tenant> tenant = snapshot.tenant(request.permit().tenant());
        if (row.isEmpty()
                || tenant.isEmpty()
                || !cluster.isConfirmed(now)
                || now >= request.deadline()
                || row.get().atMostOnce() && !request.permit().hasIdempotencyKey()) {
            return false;
        }
        final PlacementContext context =
                cluster.placementContext(request.id(), tenant.get(), row.get(), request.prefixDigests());
        return decider.isAllowed(context, report, now);
    }

    private void countAttempt(final DispatchedRequest request, final long now) {
        output.count("asked");
        if (request.attempts() > 1) {
            output.count("extra");
        } else {
            retryBudget.recordRequest(now);
        }
    }

    private DispatchEffect.StartAttempt startAttemptEffect(
            final DispatchedRequest request, final Worker worker, final long now) {
        return new DispatchEffect.StartAttempt(
                request.operationId(),
                now + startTimeout,
                worker.id(),
                worker.address(),
                request.id(),
                request.attemptId(),
                request.permit().tenant(),
                request.permit().kind(),
                request.prefixDigests(),
                request.prompt());
    }
}
