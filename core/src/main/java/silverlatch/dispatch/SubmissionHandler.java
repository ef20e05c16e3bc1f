package silverlatch.dispatch;

import java.util.List;
import java.util.Optional;
import silverlatch.dispatch.permit.Permit;
import silverlatch.dispatch.permit.PermitSigner;
import silverlatch.gossip.Gossip;
import silverlatch.safeguard.Safeguard;
import silverlatch.state.Value;
import silverlatch.util.Digests;

/**
 * Admits requests that clients submit with a permit: verifies the permit, marks it as used, and queues the request. If the
 * queues are full, sheds a queued request of lower priority instead. Used only by the dispatch event loop.
 */
final class SubmissionHandler {
    private final DispatcherSettings settings;
    private final ClusterView cluster;
    private final GatewayReadiness readiness;
    private final RequestTable requests;
    private final FairQueues queues;
    private final UsedPermits usedPermits;
    private final RequestLifecycle lifecycle;
    private final StreamDelivery delivery;
    private final PermitSigner signer;
    private final DispatchOutput output;

    SubmissionHandler(
            final DispatcherSettings settings,
            final ClusterView cluster,
            final GatewayReadiness readiness,
            final RequestTable requests,
            final FairQueues queues,
            final UsedPermits usedPermits,
            final RequestLifecycle lifecycle,
            final StreamDelivery delivery,
            final PermitSigner signer,
            final DispatchOutput output) {
        this.settings = settings;
        this.cluster = cluster;
        this.readiness = readiness;
        this.requests = requests;
        this.queues = queues;
        this.usedPermits = usedPermits;
        this.lifecycle = lifecycle;
        this.delivery = delivery;
        this.signer = signer;
        this.output = output;
    }

    /** Admits or rejects a submitted request; returns true if it was queued. */
    boolean handle(final SubmittedRequest submitted, final long callId, final long now) {
        output.count("tickets");
        final Optional<Permit> verified = signer.verify(submitted.permit());
        if (verified.isEmpty()) {
            output.reject(callId, "", Rejection.permanent(Rejection.FORBIDDEN, "the permit bears no seal of ours"));
            return false;
        }
        final Permit permit = verified.get();
        final Optional<Value.Tenant> tenant = cluster.snapshot()
                .tenant(permit.tenant())
                .filter(known -> Digests.constantTimeEquals(known.keyHash(), Digests.sha256Hex(submitted.secret())));
        if (tenant.isEmpty()) {
            output.reject(
                    callId, "", Rejection.permanent(Rejection.UNAUTHORIZED, "the tenant or its key is not known"));
            return false;
        }
        final Optional<Rejection> permitRejection = permitRejection(permit, now);
        if (permitRejection.isPresent()) {
            output.reject(callId, permit.requestId(), permitRejection.get());
            return false;
        }
        usedPermits.add(permit.requestId(), permit.expiry());
        return admit(permit, tenant.get(), submitted, callId, now);
    }

    private Optional<Rejection> permitRejection(final Permit permit, final long now) {
        if (usedPermits.contains(permit.requestId()) && isEnabled(Safeguard.PERMIT_ONCE)) {
            return Optional.of(Rejection.permanent(Rejection.CONFLICT, Dispatcher.ALREADY_SUBMITTED));
        }
        if (!permit.gateway().equals(cluster.snapshot().self().id())
                || isEnabled(Safeguard.PERMIT_INCARNATION) && isOutsideUsedPermitHistory(permit, now)) {
            return Optional.of(Rejection.permanent(
                    Rejection.GONE, "the permit is of another time; whether its request ran is not known here"));
        }
        return now >= permit.expiry() && isEnabled(Safeguard.PERMIT_INCARNATION)
                ? Optional.of(Rejection.brieflyUnavailable("the permit is stale"))
                : Optional.empty();
    }

    /**
     * Returns whether this gateway may have forgotten that the permit was used: the permit is of another incarnation of the
     * gateway, or its expiry is too long ago.
     */
    private boolean isOutsideUsedPermitHistory(final Permit permit, final long now) {
        return permit.incarnation() != cluster.snapshot().self().incarnation()
                || now - permit.expiry() > settings.permitRetention();
    }

    private boolean admit(
            final Permit permit,
            final Value.Tenant tenant,
            final SubmittedRequest submitted,
            final long callId,
            final long now) {
        final Optional<Value.Row> row = cluster.snapshot().row(permit.tenant(), permit.kind());
        final Optional<Rejection> rejection = admissionRejection(permit, tenant, row, now);
        if (rejection.isPresent()) {
            reject(callId, permit, rejection.get());
            return false;
        }
        final List<Long> prefixDigests = PrefixDigests.salted(tenant.prefixSalt(), submitted.prefixDigests());
        final DispatchedRequest request =
                new DispatchedRequest(permit, tenant, row.orElseThrow(), submitted, prefixDigests, callId, now);
        if (!requests.add(request)) {
            reject(callId, permit, Rejection.unavailable("the slab is full"));
            return false;
        }
        delivery.open(request, callId);
        lifecycle.transition(request, RequestEvent.ENQUEUE);
        queues.addLast(request);
        request.setPreferredWorker(preferredWorker(permit));
        return true;
    }

    private Optional<Rejection> admissionRejection(
            final Permit permit, final Value.Tenant tenant, final Optional<Value.Row> row, final long now) {
        final Optional<String> unreadyReason = readiness.unreadyReason(now);
        if (unreadyReason.isPresent()) {
            return unreadyReason.map(Rejection::unavailable);
        }
        if (row.isEmpty()) {
            return retryableRejection(Rejection.UNPROCESSABLE, "no kind " + permit.kind() + " any more");
        }
        if (row.get().atMostOnce() && !permit.hasIdempotencyKey()) {
            return retryableRejection(
                    Rejection.UNPROCESSABLE, "kind " + permit.kind() + " runs once only by now and needs a key");
        }
        if (!cluster.servesTenant(tenant)) {
            return retryableRejection(Rejection.UNAVAILABLE, "this region is no home");
        }
        if (cluster.isZoneEvacuating()) {
            return retryableRejection(Rejection.UNAVAILABLE, "this zone is being emptied");
        }
        return hasCapacity(permit, tenant, row.get())
                ? Optional.empty()
                : retryableRejection(Rejection.TOO_MANY_REQUESTS, "the queue is full");
    }

    private static Optional<Rejection> retryableRejection(final int statusCode, final String reason) {
        return Optional.of(Rejection.retryable(statusCode, reason, Rejection.SECOND_MICROS));
    }

    /** Returns whether there is capacity to queue a request, if necessary after shedding one of lower priority. */
    private boolean hasCapacity(final Permit permit, final Value.Tenant tenant, final Value.Row row) {
        final int maxQueued = Math.max(1, row.maxQueued() / cluster.gatewayCount(tenant));
        return queues.queueOf(permit.tenant(), permit.kind()).size() < maxQueued && shedIfFull(row.priority());
    }

    private boolean shedIfFull(final int priority) {
        if (queues.size() < settings.maxQueuedRequests() && !requests.isFull()) {
            return true;
        }
        final Optional<DispatchedRequest> shed =
                queues.lowestPriority().filter(request -> request.row().priority() < priority);
        shed.ifPresent(request -> {
            lifecycle.reject(request, Rejection.unavailable("shed for a kind that goes before"));
            lifecycle.discard(request);
        });
        return shed.isPresent();
    }

    /**
     * Returns the worker that the permit names, unless the choice is stale: the replicated state has a newer revision, or the
     * worker's zone was evacuated since.
     */
    private Optional<String> preferredWorker(final Permit permit) {
        final ClusterSnapshot snapshot = cluster.snapshot();
        final boolean isEvacuated = Optional.ofNullable(snapshot.workers().get(permit.worker()))
                .map(Gossip.ObservedWorker::worker)
                .filter(worker -> snapshot.isPlacedBeforeEvacuation(worker.zone(), permit.timestamp()))
                .isPresent();
        if (permit.revision() < snapshot.revision() || isEvacuated) {
            output.count("stale");
            return Optional.empty();
        }
        return Optional.of(permit.worker()).filter(worker -> !worker.isEmpty());
    }

    /** Rejects a request whose permit was already marked as used. */
    private void reject(final long callId, final Permit permit, final Rejection rejection) {
        output.traces().recordState(permit.requestId(), RequestState.REJECTED.label(), rejection.reason());
        output.count(RequestState.REJECTED.label());
        output.reject(callId, permit.requestId(), rejection);
    }

    private boolean isEnabled(final Safeguard safeguard) {
        return settings.safeguards().isEnabled(safeguard);
    }
}
