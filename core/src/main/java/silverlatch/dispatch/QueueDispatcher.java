package silverlatch.dispatch;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Supplier;
import silverlatch.clock.Stamp;
import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.WeightedScorers;
import silverlatch.state.Value;

/**
 * Dispatches requests from the queues to workers in fair order as long as workers have capacity. {@link #run} has to be called
 * after each event that adds a request or frees capacity. Used only by the dispatch event loop.
 */
final class QueueDispatcher {
    private final ClusterView cluster;
    private final FairQueues queues;
    private final WorkerUsageTable usage;
    private final PlacementDecider decider;
    private final RequestLifecycle lifecycle;
    private final ClaimCoordinator claims;
    private final AttemptStarter attemptStarter;
    private final Supplier<Stamp> timestamps;
    private final DispatchOutput output;

    QueueDispatcher(
            final ClusterView cluster,
            final FairQueues queues,
            final WorkerUsageTable usage,
            final PlacementDecider decider,
            final RequestLifecycle lifecycle,
            final ClaimCoordinator claims,
            final AttemptStarter attemptStarter,
            final Supplier<Stamp> timestamps,
            final DispatchOutput output) {
        this.cluster = cluster;
        this.queues = queues;
        this.usage = usage;
        this.decider = decider;
        this.lifecycle = lifecycle;
        this.claims = claims;
        this.attemptStarter = attemptStarter;
        this.timestamps = timestamps;
        this.output = output;
    }

    /** Dispatches all requests for which there is capacity now; none if the snapshot isn't confirmed. */
    void run(final long now) {
        if (!cluster.isConfirmed(now)) {
            return;
        }
        final Set<RequestQueue> blocked = new HashSet<>();
        for (var next = queues.next(blocked); next.isPresent(); next = queues.next(blocked)) {
            if (!tryDispatchFirst(next.get(), now)) {
                blocked.add(next.get());
            }
        }
    }

    /** Dispatches or rejects the first request of a queue; returns false if the request has to wait. */
    private boolean tryDispatchFirst(final RequestQueue queue, final long now) {
        final DispatchedRequest request = queue.first();
        final Value.Row row = cluster.snapshot()
                .row(request.permit().tenant(), request.permit().kind())
                .orElse(request.row());
        if (queue.inFlight() >= maxInFlight(request, row)) {
            return false;
        }
        return switch (selectWorker(request, row, now)) {
            case WeightedScorers.Decision.Selected selected -> {
                dispatch(queue, request, selected.candidate().worker().id(), now);
                yield true;
            }
            case WeightedScorers.Decision.AllBusy allBusy -> false;
            case WeightedScorers.Decision.NoneAllowed noneAllowed -> {
                lifecycle.reject(request, Rejection.unavailable("no worker is allowed"));
                yield true;
            }
        };
    }

    /** Returns this gateway's part, rounded up, of the tenant's limit of concurrent requests of this kind. */
    private int maxInFlight(final DispatchedRequest request, final Value.Row row) {
        final int gatewayCount = cluster.gatewayCount(request.tenant());
        return Math.max(1, (row.maxRunning() + gatewayCount - 1) / gatewayCount);
    }

    private void dispatch(
            final RequestQueue queue, final DispatchedRequest request, final String worker, final long now) {
        queues.serve(queue);
        request.assignWorker(worker);
        usage.recordAttemptStart(worker, now);
        if (request.permit().hasIdempotencyKey() && !request.mayHoldClaim()) {
            claims.claim(request);
        } else {
            attemptStarter.start(request, now);
        }
    }

    private WeightedScorers.Decision selectWorker(
            final DispatchedRequest request, final Value.Row row, final long now) {
        final Optional<Value.Tenant> tenant =
                cluster.snapshot().tenant(request.permit().tenant());
        if (tenant.isEmpty() || !cluster.servesTenant(tenant.get())) {
            return new WeightedScorers.Decision.NoneAllowed(List.of());
        }
        final PlacementContext context =
                cluster.placementContext(request.id(), tenant.get(), row, request.prefixDigests());
        final List<PlacementInput> candidates = decider.candidates(now);
        final Optional<PlacementInput> preferred = preferredCandidate(request, context, candidates);
        if (preferred.isPresent()
                && request.permit().revision() == cluster.snapshot().revision()) {
            return new WeightedScorers.Decision.Selected(preferred.get(), List.of());
        }
        final long timestamp = timestamps.get().bits();
        final WeightedScorers.Decision decision = decider.decide(context, candidates, timestamp);
        if (decision instanceof WeightedScorers.Decision.Selected) {
            recordTrace(request, decision, timestamp);
        }
        return decision;
    }

    /** Returns the worker that the request's placement chose, if no scorer vetoes or defers it now. */
    private Optional<PlacementInput> preferredCandidate(
            final DispatchedRequest request, final PlacementContext context, final List<PlacementInput> candidates) {
        return request.preferredWorker()
                .flatMap(worker -> candidates.stream()
                        .filter(candidate -> candidate.worker().id().equals(worker))
                        .findFirst())
                .filter(candidate -> decider.accepts(context, candidate));
    }

    private void recordTrace(
            final DispatchedRequest request, final WeightedScorers.Decision decision, final long timestamp) {
        output.traces()
                .put(new TraceLog.RequestTrace(
                        request.id(),
                        request.permit().tenant(),
                        request.permit().kind(),
                        PlacementDecider.chosenWorker(decision),
                        cluster.snapshot().revision(),
                        timestamp,
                        request.state().label(),
                        "",
                        request.attempts(),
                        decision.scores()));
    }
}
