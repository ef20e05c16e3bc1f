package silverlatch.dispatch;

import java.util.function.Supplier;
import silverlatch.clock.Stamp;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Value;

/**
 * Claims the idempotency keys of requests in the replicated state before the first attempt, so that at most one request runs
 * for a key. Used only by the dispatch event loop.
 */
final class ClaimCoordinator {
    private final long claimTimeout;
    private final ClusterView cluster;
    private final RequestTable requests;
    private final RequestLifecycle lifecycle;
    private final AttemptStarter attemptStarter;
    private final Supplier<Stamp> timestamps;
    private final DispatchOutput output;

    /**
     * Creates a coordinator.
     *
     * @param claimTimeout after how many microseconds a claim without a result counts as unconfirmed
     */
    ClaimCoordinator(
            final long claimTimeout,
            final ClusterView cluster,
            final RequestTable requests,
            final RequestLifecycle lifecycle,
            final AttemptStarter attemptStarter,
            final Supplier<Stamp> timestamps,
            final DispatchOutput output) {
        this.claimTimeout = claimTimeout;
        this.cluster = cluster;
        this.requests = requests;
        this.lifecycle = lifecycle;
        this.attemptStarter = attemptStarter;
        this.timestamps = timestamps;
        this.output = output;
    }

    /** Submits the claim for a request that holds a worker slot. */
    void claim(final DispatchedRequest request) {
        lifecycle.transition(request, RequestEvent.CLAIM);
        final long operationId = requests.beginOperation(request);
        request.setClaimTimestamp(timestamps.get().bits());
        output.add(new DispatchEffect.SubmitCommand(
                operationId,
                new Command.Claim(
                        request.id(),
                        request.claimKey(),
                        request.id(),
                        cluster.snapshot().self().id(),
                        request.claimTimestamp()),
                claimTimeout));
    }

    /** Handles the result of a claim; ignored if the request no longer waits for it. */
    void onResult(final long operationId, final CommandResult result, final long now) {
        requests.byOperation(operationId)
                .filter(request -> request.state() == RequestState.CLAIMING)
                .ifPresent(request -> onResult(request, result, now));
    }

    private void onResult(final DispatchedRequest request, final CommandResult result, final long now) {
        switch (result) {
            case CommandResult.Applied applied -> {
                request.markMayHoldClaim();
                attemptStarter.start(request, now);
            }
            case CommandResult.AlreadyClaimed claimed -> rejectAfterRelease(request, rejectionFor(claimed.claim()));
            case CommandResult.Rejected rejected -> rejectAfterRelease(request, rejectionFor(rejected));
            case CommandResult.Unknown unknown -> {
                request.markMayHoldClaim();
                rejectAfterRelease(request, Rejection.unavailable("the claim could not be confirmed in time"));
            }
        }
    }

    private void rejectAfterRelease(final DispatchedRequest request, final Rejection rejection) {
        lifecycle.releaseWorkerSlot(request);
        lifecycle.reject(request, rejection);
    }

    private static Rejection rejectionFor(final Value.Claim claim) {
        return claim.state().equals(RequestState.REJECTED.label())
                ? Rejection.brieflyUnavailable("the key was claimed by a request that was rejected")
                : Rejection.keyAlreadyClaimed(
                        "the key is taken", claim.state() + " at " + claim.gatewayId() + " as " + claim.requestId());
    }

    private static Rejection rejectionFor(final CommandResult.Rejected rejected) {
        final int statusCode = rejected.code() == Rejection.INSUFFICIENT_STORAGE
                ? Rejection.INSUFFICIENT_STORAGE
                : Rejection.UNAVAILABLE;
        return Rejection.retryable(statusCode, String.join("; ", rejected.faults()), Rejection.SECOND_MICROS);
    }
}
