package silverlatch.dispatch;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Optional;
import java.util.Random;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.permit.Permit;
import silverlatch.dispatch.permit.PermitSigner;
import silverlatch.placement.PlacementContext;
import silverlatch.placement.WeightedScorers;
import silverlatch.safeguard.Safeguard;
import silverlatch.state.Value;
import silverlatch.util.Digests;

/**
 * Handles clients' calls for a placement. Replies with a permit for this gateway, which names the worker that is best now; with
 * the addresses of other gateways; or with a rejection. Used only by the dispatch event loop.
 */
final class PlacementHandler {
    private static final int MAX_REDIRECT_ENDPOINTS = 3;
    private final DispatcherSettings settings;
    private final ClusterView cluster;
    private final GatewayReadiness readiness;
    private final FairQueues queues;
    private final PlacementDecider decider;
    private final RetryBudget retryBudget;
    private final PermitSigner signer;
    private final Supplier<Stamp> timestamps;
    private final RandomGenerator random;
    private final DispatchOutput output;
    private long lastRequestNumber;

    PlacementHandler(
            final DispatcherSettings settings,
            final ClusterView cluster,
            final GatewayReadiness readiness,
            final FairQueues queues,
            final PlacementDecider decider,
            final RetryBudget retryBudget,
            final PermitSigner signer,
            final Supplier<Stamp> timestamps,
            final RandomGenerator random,
            final DispatchOutput output) {
        this.settings = settings;
        this.cluster = cluster;
        this.readiness = readiness;
        this.queues = queues;
        this.decider = decider;
        this.retryBudget = retryBudget;
        this.signer = signer;
        this.timestamps = timestamps;
        this.random = random;
        this.output = output;
    }

    /** Handles a call for a placement. */
    void handle(final PlacementRequest placement, final long callId, final long now) {
        output.count("picks");
        final Optional<Value.Tenant> tenant = cluster.snapshot()
                .tenant(placement.tenant())
                .filter(known -> Digests.constantTimeEquals(Digests.sha256Hex(placement.secret()), known.keyHash()));
        if (tenant.isEmpty()) {
            output.reject(callId, "", unknownTenantRejection(now));
            return;
        }
        if (!cluster.servesTenant(tenant.get())
                || cluster.isZoneEvacuating()
                || readiness.unreadyReason(now).isPresent()) {
            redirect(callId, tenant.get(), now);
            return;
        }
        final Optional<Value.Row> row = cluster.snapshot().row(placement.tenant(), placement.kind());
        if (row.isEmpty()) {
            output.reject(
                    callId, "", Rejection.permanent(Rejection.UNPROCESSABLE, "$.kind: no kind " + placement.kind()));
            return;
        }
        final Optional<Rejection> rejection = admissionRejection(placement, tenant.get(), row.get(), now);
        if (rejection.isPresent()) {
            output.reject(callId, "", rejection.get());
        } else {
            place(placement, tenant.get(), row.get(), callId, now);
        }
    }

    /**
     * Returns the rejection of an unknown tenant or key. It is retryable if this gateway isn't ready, because its snapshot may
     * lack a new tenant or key.
     */
    private Rejection unknownTenantRejection(final long now) {
        return readiness
                .unreadyReason(now)
                .map(Rejection::unavailable)
                .orElseGet(() -> Rejection.permanent(Rejection.UNAUTHORIZED, "the tenant or its key is not known"));
    }

    /** Redirects the client to a few other gateways that may serve the tenant, or rejects the call if there are none. */
    private void redirect(final long callId, final Value.Tenant tenant, final long now) {
        final List<String> endpoints = new ArrayList<>(cluster.endpointsFor(tenant));
        if (endpoints.isEmpty()) {
            final String reason = readiness
                    .unreadyReason(now)
                    .orElse(
                            cluster.servesTenant(tenant)
                                    ? "this zone is being emptied"
                                    : "no gateway in the homes is ready");
            output.reject(callId, "", Rejection.unavailable(reason));
            return;
        }
        Collections.shuffle(endpoints, new Random(random.nextLong()));
        output.count("pointed");
        output.add(new DispatchEffect.Redirected(
                callId, endpoints.subList(0, Math.min(MAX_REDIRECT_ENDPOINTS, endpoints.size()))));
    }

    private Optional<Rejection> admissionRejection(
            final PlacementRequest placement, final Value.Tenant tenant, final Value.Row row, final long now) {
        if (row.atMostOnce() && placement.idempotencyKey().isEmpty()) {
            return Optional.of(Rejection.permanent(
                    Rejection.UNPROCESSABLE, "$.key: kind " + placement.kind() + " runs once only and needs a key"));
        }
        final int gatewayCount = cluster.gatewayCount(tenant);
        final double rate = row.requestsPerSecond() / gatewayCount;
        final double burst = Math.max(1, row.burstRequests() / gatewayCount);
        if (!queues.queueOf(placement.tenant(), placement.kind()).tryAcquireRateToken(rate, burst, now)) {
            return Optional.of(Rejection.retryable(
                    Rejection.TOO_MANY_REQUESTS,
                    "over the rate of " + row.requestsPerSecond() + " a second",
                    Rejection.SECOND_MICROS));
        }
        if (placement.previousAttempts() > 0
                && !retryBudget.tryAcquire(now)
                && settings.safeguards().isEnabled(Safeguard.RETRY_BUDGET)) {
            return Optional.of(Rejection.retryable(
                    Rejection.TOO_MANY_REQUESTS, "too many requests are retried", 2 * Rejection.SECOND_MICROS));
        }
        return Optional.empty();
    }

    /** Chooses a worker and replies with a signed permit, which names no worker if all are busy now. */
    private void place(
            final PlacementRequest placement,
            final Value.Tenant tenant,
            final Value.Row row,
            final long callId,
            final long now) {
        final String requestId = nextRequestId();
        final PlacementContext context = cluster.placementContext(
                requestId, tenant, row, PrefixDigests.salted(tenant.prefixSalt(), placement.prefixDigests()));
        final Stamp timestamp = timestamps.get();
        final WeightedScorers.Decision decision = decider.decide(context, decider.candidates(now), timestamp.bits());
        if (decision instanceof WeightedScorers.Decision.NoneAllowed) {
            final Rejection rejection = Rejection.unavailable("no worker is allowed");
            recordTrace(placement, requestId, timestamp, decision, RequestState.REJECTED.label(), rejection.reason());
            output.reject(callId, requestId, rejection);
            return;
        }
        recordTrace(placement, requestId, timestamp, decision, "picked", "");
        output.add(placedEffect(placement, requestId, timestamp, decision, callId, now));
    }

    private String nextRequestId() {
        lastRequestNumber++;
        return cluster.snapshot().self().id()
                + "-" + Long.toString(cluster.snapshot().self().incarnation(), Character.MAX_RADIX)
                + "-" + Long.toString(lastRequestNumber, Character.MAX_RADIX)
                + Long.toString(random.nextLong() >>> 20, Character.MAX_RADIX);
    }

    private DispatchEffect.Placed placedEffect(
            final PlacementRequest placement,
            final String requestId,
            final Stamp timestamp,
            final WeightedScorers.Decision decision,
            final long callId,
            final long now) {
        final ClusterSnapshot snapshot = cluster.snapshot();
        final String worker = PlacementDecider.chosenWorker(decision);
        final Permit permit = new Permit(
                requestId,
                placement.tenant(),
                placement.kind(),
                worker,
                snapshot.self().id(),
                snapshot.self().incarnation(),
                snapshot.revision(),
                timestamp,
                now + settings.permitLifetime(),
                placement.idempotencyKey());
        return new DispatchEffect.Placed(
                callId,
                requestId,
                snapshot.self().httpAddress(),
                signer.sign(permit),
                worker,
                snapshot.revision(),
                timestamp.bits());
    }

    private void recordTrace(
            final PlacementRequest placement,
            final String requestId,
            final Stamp timestamp,
            final WeightedScorers.Decision decision,
            final String state,
            final String reason) {
        output.traces()
                .put(new TraceLog.RequestTrace(
                        requestId,
                        placement.tenant(),
                        placement.kind(),
                        PlacementDecider.chosenWorker(decision),
                        cluster.snapshot().revision(),
                        timestamp.bits(),
                        state,
                        reason,
                        0,
                        decision.scores()));
    }
}
