package silverlatch.dispatch;

import java.util.Optional;
import silverlatch.state.Value;

/**
 * Ends requests that this gateway may no longer serve: because their tenant was removed, its home regions or its key were
 * changed, because this gateway has rejoined the cluster with a new incarnation, or because it shuts down. Used only by the
 * dispatch event loop.
 */
final class RequestRevoker {
    private final ClusterView cluster;
    private final RequestTable requests;
    private final FairQueues queues;
    private final RequestLifecycle lifecycle;
    private final QueueDispatcher queueDispatcher;
    private final DispatchOutput output;

    RequestRevoker(
            final ClusterView cluster,
            final RequestTable requests,
            final FairQueues queues,
            final RequestLifecycle lifecycle,
            final QueueDispatcher queueDispatcher,
            final DispatchOutput output) {
        this.cluster = cluster;
        this.requests = requests;
        this.queues = queues;
        this.lifecycle = lifecycle;
        this.queueDispatcher = queueDispatcher;
        this.output = output;
    }

    /** Rejects all queued requests. */
    void rejectQueued(final String reason) {
        queues.forEachQueued(request -> lifecycle.reject(request, Rejection.unavailable(reason)));
    }

    /** Ends all open requests. Called at the end of a graceful shutdown. */
    void shutdown(final long now) {
        rejectQueued("stopping");
        requests.forEachOpen(request -> revoke(request, "stopping", now));
    }

    /** Ends the open requests that a new revision of the policy no longer allows here, and removes such ended requests. */
    void revokeNoLongerAllowed(final long now) {
        requests.forEachOpen(request -> {
            final Optional<String> reason = revocationReason(request);
            if (reason.isPresent()) {
                output.count("homeless");
                revoke(request, reason.get(), now);
            }
        });
        requests.ended().stream()
                .filter(request -> !cluster.stillServes(request))
                .toList()
                .forEach(request -> {
                    lifecycle.discard(request);
                    output.count("dropped");
                });
    }

    private Optional<String> revocationReason(final DispatchedRequest request) {
        final Optional<Value.Tenant> tenant = cluster.currentTenant(request).filter(cluster::servesTenant);
        if (tenant.isEmpty()) {
            return Optional.of("the tenant may not be carried here any more");
        }
        return request.holdsWorkerSlot() && isWorkerOutsideHomeRegions(request.worker(), tenant.get())
                ? Optional.of("the worker is no longer in the tenant's homes")
                : Optional.empty();
    }

    private boolean isWorkerOutsideHomeRegions(final String worker, final Value.Tenant tenant) {
        return Optional.ofNullable(cluster.snapshot().workers().get(worker))
                .map(report -> !ClusterView.isHomeRegion(tenant, report.worker().region()))
                .orElse(false);
    }

    private void revoke(final DispatchedRequest request, final String reason, final long now) {
        switch (request.state()) {
            case QUEUED -> lifecycle.reject(request, Rejection.unavailable(reason));
            case CLAIMING -> {
                lifecycle.releaseWorkerSlot(request);
                request.markMayHoldClaim();
                lifecycle.reject(request, Rejection.unavailable(reason));
            }
            case STARTING, RUNNING -> {
                output.add(new DispatchEffect.CancelAttempt(request.operationId()));
                lifecycle.markLost(request, reason, now);
                queueDispatcher.run(now);
            }
            default -> {}
        }
    }
}
