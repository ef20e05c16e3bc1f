package silverlatch.dispatch;

import java.security.MessageDigest;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.buffer.Slab;
import silverlatch.dispatch.permit.Permit;
import silverlatch.dispatch.permit.PermitSigner;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.membership.Member;
import silverlatch.node.Event;
import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.WeightedScorers;
import silverlatch.safeguard.Safeguard;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Value;

/**
 * Picks and carries the tickets of one gateway. It does no input or output: events go in, acts come out.
 * One duty owns it.
 */
public final class Dispatcher {
    private static final long SECOND = 1_000_000L;
    private static final int MAX_RECORDS_PER_WRITE = 256;
    private final DispatcherSettings settings;
    private final PermitSigner signer;
    private final Supplier<Stamp> timestamps;
    private final RandomGenerator random;
    private final WeightedScorers scorers;
    private final WeightedScorers constraints;
    private final Slab<DispatchedRequest> requests;
    private final Map<String, Long> openRequests = new HashMap<>();
    private final Map<Long, Long> handlesByOperation = new HashMap<>();
    private final Map<String, RequestQueue> queues = new TreeMap<>();
    private final TreeMap<String, RequestQueue> nonEmptyQueues = new TreeMap<>();
    private final Map<String, WorkerUsage> workerUsage = new HashMap<>();
    private final Map<String, TenantShare> tenantShares = new HashMap<>();
    private final LinkedHashMap<String, Long> spentPermits = new LinkedHashMap<>();
    private final Deque<EndedRequest> endedRequests = new ArrayDeque<>();
    private final Map<Long, Long> readers = new HashMap<>();
    private final TraceLog traces = new TraceLog(20_000);
    private final RetryBudget retryBudget;
    private final Map<String, Long> counters = new TreeMap<>();
    private final List<DispatchEffect> effects = new ArrayList<>();
    private ClusterSnapshot clusterSnapshot;
    private long requestSerial;
    private long operation;
    private double virtualTime;
    private long lastTick;
    private long lastSweep;
    private int queuedRequests;
    private boolean closing;

    /** A gateway that carries nothing yet. */
    public Dispatcher(
            final DispatcherSettings settings,
            final PermitSigner signer,
            final ClusterSnapshot clusterSnapshot,
            final Supplier<Stamp> timestamps,
            final RandomGenerator random) {
        this.settings = settings;
        this.signer = signer;
        this.clusterSnapshot = clusterSnapshot;
        this.timestamps = timestamps;
        this.random = random;
        this.scorers = WeightedScorers.allScorers(settings.maxReportAge(), settings.safeguards());
        this.constraints = WeightedScorers.constraints(settings.maxReportAge(), settings.safeguards());
        this.requests = new Slab<>(settings.maxOpenRequests());
        this.retryBudget = new RetryBudget(settings.retryRatio(), 1);
    }

    /** Takes what the gateway knows now. */
    public void clusterSnapshot(final ClusterSnapshot next, final long now) {
        if (next.self().incarnation() != clusterSnapshot.self().incarnation()) {
            queues.values()
                    .forEach(queue -> List.copyOf(queue.requests)
                            .forEach(request -> reject(request, 503, "the carrier joined anew", SECOND)));
        }
        if (next.workers() != clusterSnapshot.workers()) {
            next.workers()
                    .forEach((workerId, report) -> workerUsage
                            .computeIfAbsent(
                                    workerId,
                                    k -> new WorkerUsage(report.worker().incarnation()))
                            .observe(report, now));
        }
        workerUsage
                .keySet()
                .removeIf(workerId -> !next.workers().containsKey(workerId) && workerUsage.get(workerId).inFlight == 0);
        final boolean revisionChanged = next.revision() != clusterSnapshot.revision();
        clusterSnapshot = next;
        if (revisionChanged && isEnabled(Safeguard.KEPT)) {
            dropNoLongerAllowed(now);
        }
        dispatchQueued(now);
    }

    /** What is queued, runs or is kept of a tenant follows its homes, its key and its being there. */
    private void dropNoLongerAllowed(final long now) {
        for (final long handle : List.copyOf(openRequests.values())) {
            requests.get(handle).ifPresent(request -> {
                final Optional<Value.Tenant> tenant = currentTenant(request);
                final boolean isServedHere = tenant.map(this::servesTenant).orElse(false);
                final boolean mayRunOn = isServedHere
                        && (request.worker.isEmpty()
                                || !request.holdsWorkerSlot
                                || Optional.ofNullable(clusterSnapshot.workers().get(request.worker))
                                        .map(report ->
                                                tenant.get().homeRegions().isEmpty()
                                                        || tenant.get()
                                                                .homeRegions()
                                                                .contains(report.worker()
                                                                        .region()))
                                        .orElse(true));
                if (!mayRunOn) {
                    count("homeless");
                    revoke(
                            request,
                            isServedHere
                                    ? "the worker is no longer in the tenant's homes"
                                    : "the tenant may not be carried here any more",
                            now);
                }
            });
        }
        endedRequests.stream()
                .filter(ended ->
                        !currentTenant(ended.request()).map(this::servesTenant).orElse(false))
                .toList()
                .forEach(ended -> {
                    endedRequests.remove(ended);
                    discard(ended.request());
                    count("dropped");
                });
    }

    private Optional<Value.Tenant> currentTenant(final DispatchedRequest request) {
        return clusterSnapshot
                .tenant(request.permit.tenant())
                .filter(w -> w.keyHash().equals(request.tenant.keyHash()));
    }

    private void revoke(final DispatchedRequest request, final String reason, final long now) {
        switch (request.state) {
            case QUEUED -> reject(request, 503, reason, SECOND);
            case CLAIMING -> {
                releaseWorkerSlot(request);
                request.mayHoldClaim = true;
                reject(request, 503, reason, SECOND);
            }
            case STARTING, RUNNING -> {
                effects.add(new DispatchEffect.CancelAttempt(request.operationId));
                lose(request, reason, now);
            }
            default -> {}
        }
    }

    /** Whether tickets are taken, or why not. */
    public Optional<String> unreadyReason(final long now) {
        if (closing) {
            return Optional.of("stopping");
        }
        return isConfirmed(now) ? Optional.empty() : Optional.of("the table held here is not confirmed");
    }

    /** No new ticket is taken from now on. */
    public void stopAccepting() {
        closing = true;
    }

    /** How many tickets are under way. */
    public int openRequests() {
        return openRequests.size();
    }

    /** Counts by name. */
    public Map<String, Long> counters() {
        return Map.copyOf(counters);
    }

    /** The stories of tickets. */
    public TraceLog traces() {
        return traces;
    }

    /** What is to be done; it is handed over once. */
    public List<DispatchEffect> drainEffects() {
        final List<DispatchEffect> list = List.copyOf(effects);
        effects.clear();
        return list;
    }

    /** A consumer asks where to go. */
    public void requestPlacement(final PlacementRequest placement, final long callId, final long now) {
        count("picks");
        final Optional<Value.Tenant> tenant = clusterSnapshot.tenant(placement.tenant());
        if (tenant.isEmpty()
                || !PermitSigner.constantTimeEquals(
                        PermitSigner.sha256Hex(placement.secret()), tenant.get().keyHash())) {
            final Optional<String> reason = unreadyReason(now);
            sendRejection(
                    callId,
                    reason.isPresent() ? 503 : 401,
                    "",
                    reason.orElse("the tenant or its key is not known"),
                    reason.isPresent() ? SECOND : 0,
                    "");
            return;
        }
        final List<String> homes = tenant.get().homeRegions();
        final Set<String> evacuatingZones = clusterSnapshot.evacuatingZones();
        final boolean isServedHere = servesTenant(tenant.get());
        if (!isServedHere || isZoneEvacuating() || unreadyReason(now).isPresent()) {
            redirect(callId, homes, evacuatingZones, isServedHere, now);
            return;
        }
        final Optional<Value.Row> row = clusterSnapshot.row(placement.tenant(), placement.kind());
        if (row.isEmpty()) {
            sendRejection(callId, 422, "", "$.kind: no kind " + placement.kind(), 0, "");
            return;
        }
        if (row.get().atMostOnce() && placement.idempotencyKey().isEmpty()) {
            sendRejection(
                    callId, 422, "", "$.key: kind " + placement.kind() + " runs once only and needs a key", 0, "");
            return;
        }
        final RequestQueue queue = queueOf(placement.tenant(), placement.kind());
        final int gatewayCount = gatewayCount(tenant.get());
        if (!queue.tryAcquireRateToken(
                row.get().requestsPerSecond() / gatewayCount,
                Math.max(1, row.get().burstRequests() / gatewayCount),
                now)) {
            sendRejection(
                    callId, 429, "", "over the rate of " + row.get().requestsPerSecond() + " a second", SECOND, "");
            return;
        }
        if (placement.previousAttempts() > 0 && !retryBudget.tryAcquire(now) && isEnabled(Safeguard.TRIES)) {
            sendRejection(callId, 429, "", "too many tickets are tried again", 2 * SECOND, "");
            return;
        }
        final String requestId = clusterSnapshot.self().id() + "-"
                + Long.toString(clusterSnapshot.self().incarnation(), 36) + "-" + Long.toString(++requestSerial, 36)
                + Long.toString(random.nextLong() >>> 20, 36);
        final PlacementContext context = placementContext(
                requestId, tenant.get(), row.get(), saltedDigests(tenant.get(), placement.prefixDigests()));
        final long timestampBits = timestamps.get().bits();
        final WeightedScorers.Decision decision = decide(context, placementInputs(now), timestampBits);
        if (decision instanceof WeightedScorers.Decision.NoneAllowed) {
            traces.put(new TraceLog.RequestTrace(
                    requestId,
                    placement.tenant(),
                    placement.kind(),
                    "",
                    clusterSnapshot.revision(),
                    timestampBits,
                    "rejected",
                    "no worker is allowed",
                    0,
                    decision.scores()));
            sendRejection(callId, 503, requestId, "no worker is allowed", SECOND, "");
            return;
        }
        final String worker = decision instanceof WeightedScorers.Decision.Selected selected
                ? selected.candidate().worker().id()
                : "";
        final Stamp timestamp = new Stamp(timestampBits);
        final Permit permit = new Permit(
                requestId,
                placement.tenant(),
                placement.kind(),
                worker,
                clusterSnapshot.self().id(),
                clusterSnapshot.self().incarnation(),
                clusterSnapshot.revision(),
                timestamp,
                now + settings.permitLifetime(),
                placement.idempotencyKey());
        traces.put(new TraceLog.RequestTrace(
                requestId,
                placement.tenant(),
                placement.kind(),
                worker,
                clusterSnapshot.revision(),
                timestamp.bits(),
                "picked",
                "",
                0,
                decision.scores()));
        effects.add(new DispatchEffect.Placed(
                callId,
                requestId,
                clusterSnapshot.self().httpAddress(),
                signer.sign(permit),
                worker,
                clusterSnapshot.revision(),
                timestamp.bits()));
    }

    /** A consumer hands over its ticket. */
    public void submit(final SubmittedRequest submitted, final long callId, final long now) {
        count("tickets");
        final Optional<Permit> verified = signer.verify(submitted.permit());
        if (verified.isEmpty()) {
            sendRejection(callId, 403, "", "the permit bears no seal of ours", 0, "");
            return;
        }
        final Permit permit = verified.get();
        final Optional<Value.Tenant> tenant = clusterSnapshot.tenant(permit.tenant());
        if (tenant.map(w -> !PermitSigner.constantTimeEquals(w.keyHash(), PermitSigner.sha256Hex(submitted.secret())))
                .orElse(true)) {
            sendRejection(callId, 401, "", "the tenant or its key is not known", 0, "");
            return;
        }
        if (spentPermits.containsKey(permit.requestId()) && isEnabled(Safeguard.SPENT)) {
            sendRejection(callId, 409, permit.requestId(), "the ticket was handed over before", 0, "");
            return;
        }
        if (!permit.gateway().equals(clusterSnapshot.self().id())
                || isEnabled(Safeguard.LIFE)
                        && (permit.incarnation() != clusterSnapshot.self().incarnation()
                                || now - permit.expiry() > settings.permitRetention())) {
            sendRejection(
                    callId,
                    410,
                    permit.requestId(),
                    "the permit is of another time; whether its ticket ran is not known here",
                    0,
                    "");
            return;
        }
        if (now >= permit.expiry() && isEnabled(Safeguard.LIFE)) {
            sendRejection(callId, 503, permit.requestId(), "the permit is stale", SECOND / 2, "");
            return;
        }
        spentPermits.put(permit.requestId(), permit.expiry());
        final Optional<String> reason = unreadyReason(now);
        if (reason.isPresent()) {
            rejectSubmission(callId, permit.requestId(), 503, reason.get());
            return;
        }
        final Optional<Value.Row> row = clusterSnapshot.row(permit.tenant(), permit.kind());
        if (row.isEmpty()) {
            rejectSubmission(callId, permit.requestId(), 422, "no kind " + permit.kind() + " any more");
            return;
        }
        if (lacksRequiredKey(row.get(), permit)) {
            rejectSubmission(
                    callId,
                    permit.requestId(),
                    422,
                    "kind " + permit.kind() + " runs once only by now and needs a key");
            return;
        }
        final boolean isServedHere = servesTenant(tenant.get());
        if (!isServedHere || isZoneEvacuating()) {
            rejectSubmission(
                    callId,
                    permit.requestId(),
                    503,
                    isServedHere ? "this zone is being emptied" : "this region is no home");
            return;
        }
        final RequestQueue queue = queueOf(permit.tenant(), permit.kind());
        if (queue.requests.size() >= Math.max(1, row.get().maxQueued() / gatewayCount(tenant.get()))
                || !makeRoom(row.get())) {
            rejectSubmission(callId, permit.requestId(), 429, "the queue is full");
            return;
        }
        final DispatchedRequest request = new DispatchedRequest(
                permit,
                tenant.get(),
                row.get(),
                saltedDigests(tenant.get(), submitted.prefixDigests()),
                submitted.prompt(),
                now + submitted.timeout(),
                now + Math.min(row.get().timeoutMicros(), submitted.timeout()),
                callId);
        final Optional<Long> handle = requests.insert(request);
        if (handle.isEmpty()) {
            rejectSubmission(callId, permit.requestId(), 503, "the slab is full");
            return;
        }
        request.handle = handle.get();
        openRequests.put(permit.requestId(), request.handle);
        readers.put(callId, request.handle);
        transition(request, RequestEvent.ENQUEUE);
        enqueue(queue, request, false);
        final boolean stale = permit.revision() < clusterSnapshot.revision()
                || clusterSnapshot.workers().containsKey(permit.worker())
                        && clusterSnapshot.isPlacedBeforeEvacuation(
                                clusterSnapshot
                                        .workers()
                                        .get(permit.worker())
                                        .worker()
                                        .zone(),
                                permit.timestamp());
        if (stale) {
            count("stale");
        }
        request.preferredWorker =
                stale ? Optional.empty() : Optional.of(permit.worker()).filter(w -> !w.isEmpty());
        dispatchQueued(now);
    }

    /** A consumer comes back to a ticket's stream, from a piece on. */
    public void attach(
            final String requestId, final String secret, final long firstRecord, final long callId, final long now) {
        final Optional<DispatchedRequest> found = Optional.ofNullable(openRequests.get(requestId))
                .flatMap(requests::get)
                .or(() -> endedRequests.stream()
                        .map(EndedRequest::request)
                        .filter(request -> request.permit.requestId().equals(requestId))
                        .findFirst())
                .filter(request ->
                        PermitSigner.constantTimeEquals(request.tenant.keyHash(), PermitSigner.sha256Hex(secret)))
                .filter(request ->
                        currentTenant(request).map(this::servesTenant).orElse(false) || !isEnabled(Safeguard.KEPT));
        if (found.isEmpty()
                || firstRecord < 0
                || firstRecord > found.get().records.size()) {
            sendRejection(callId, 404, "", "no such ticket or piece", 0, "");
            return;
        }
        if (!isConfirmed(now) && isEnabled(Safeguard.KEPT)) {
            sendRejection(
                    callId,
                    425,
                    requestId,
                    "the table held here is not confirmed; read again a little later",
                    SECOND,
                    "");
            return;
        }
        final DispatchedRequest request = found.get();
        if (request.state == RequestState.REJECTED) {
            sendRejection(callId, 503, requestId, request.reason, SECOND, "");
            return;
        }
        request.readerCallId.filter(previousReader -> previousReader != callId).ifPresent(previousReader -> {
            readers.remove(previousReader);
            effects.add(new DispatchEffect.StreamWrite(previousReader, List.of(), true));
        });
        request.readerCallId = Optional.of(callId);
        request.readerLeftAt = Optional.empty();
        request.recordsSent = (int) firstRecord;
        request.readerReady = true;
        readers.put(callId, request.handle);
        writeToReader(request);
    }

    /** The consumer's side can take more. */
    public void readerReady(final long callId) {
        Optional.ofNullable(readers.get(callId))
                .flatMap(requests::get)
                .filter(request -> request.readerCallId.map(r -> r == callId).orElse(false))
                .ifPresent(request -> {
                    request.readerReady = true;
                    writeToReader(request);
                });
    }

    /** The consumer's connection went away. */
    public void readerDisconnected(final long callId, final long now) {
        Optional.ofNullable(readers.remove(callId))
                .flatMap(requests::get)
                .filter(request -> request.readerCallId.map(r -> r == callId).orElse(false))
                .ifPresent(request -> {
                    request.readerCallId = Optional.empty();
                    request.readerLeftAt = Optional.of(now);
                    if (request.state == RequestState.QUEUED) {
                        reject(request, 503, "the consumer went away", 0);
                    }
                });
    }

    /** A verdict of the chain on a job's wish. */
    public void claimDecided(final long operationId, final CommandResult result, final long now) {
        operation(operationId)
                .filter(request -> request.state == RequestState.CLAIMING)
                .ifPresent(request -> {
                    switch (result) {
                        case CommandResult.Applied applied -> {
                            request.mayHoldClaim = true;
                            startAttempt(request, now);
                        }
                        case CommandResult.AlreadyClaimed taken -> {
                            releaseWorkerSlot(request);
                            if (taken.claim().state().equals("rejected")) {
                                reject(request, 503, "the key was claimed by a ticket that was rejected", SECOND / 2);
                                return;
                            }
                            request.reason = "the key is taken";
                            finish(request, RequestEvent.REJECT);
                            sendRejection(
                                    request,
                                    409,
                                    "the key is taken",
                                    0,
                                    taken.claim().state() + " at "
                                            + taken.claim().gatewayId() + " as "
                                            + taken.claim().requestId());
                        }
                        case CommandResult.Rejected rejected -> {
                            releaseWorkerSlot(request);
                            reject(
                                    request,
                                    rejected.code() == 507 ? 507 : 503,
                                    String.join("; ", rejected.faults()),
                                    SECOND);
                        }
                        case CommandResult.Unknown unknown -> {
                            request.mayHoldClaim = true;
                            releaseWorkerSlot(request);
                            reject(request, 503, "the claim could not be confirmed in time", SECOND);
                        }
                    }
                });
        dispatchQueued(now);
    }

    /** The worker said that it starts. */
    public void attemptStarted(final long operationId) {
        operation(operationId)
                .filter(request -> request.state == RequestState.STARTING)
                .ifPresent(request -> transition(request, RequestEvent.RUN));
    }

    /** The worker sent a line. */
    public void recordReceived(final long operationId, final StreamRecord received, final long now) {
        operation(operationId).ifPresent(request -> {
            if (request.state == RequestState.STARTING) {
                transition(request, RequestEvent.RUN);
            }
            final Optional<String> violation = protocolViolation(request, received);
            if (violation.isPresent()) {
                effects.add(new DispatchEffect.Log(
                        Event.WORKER_BROKE,
                        request.worker + " ticket " + request.permit.requestId() + " " + violation.get()));
                effects.add(new DispatchEffect.CancelAttempt(operationId));
                lose(request, "the worker broke the stream: " + violation.get(), now);
                return;
            }
            request.records.add(received);
            if (received instanceof StreamRecord.Chunk chunk) {
                final byte[] bytes = chunk.text().getBytes(java.nio.charset.StandardCharsets.UTF_8);
                request.responseDigest.update(bytes);
                request.responseBytes += bytes.length;
                if (request.responseBytes > settings.maxResponseBytes()) {
                    effects.add(new DispatchEffect.CancelAttempt(operationId));
                    lose(request, "the reply is larger than the buffer", now);
                    return;
                }
                writeToReader(request);
            } else {
                releaseWorkerSlot(request);
                finish(request, RequestEvent.COMPLETE);
                writeToReader(request);
                dispatchQueued(now);
            }
        });
    }

    /** The exchange with the worker ended without a seal; started is false only where it provably did not begin. */
    public void attemptFailed(final long operationId, final boolean started, final String reason, final long now) {
        operation(operationId).ifPresent(request -> {
            if ((started || request.state == RequestState.RUNNING) && isEnabled(Safeguard.BEGUN)) {
                lose(request, reason, now);
                return;
            }
            if (request.state == RequestState.RUNNING) {
                request.state = RequestState.STARTING;
            }
            eject(request.worker, now);
            releaseWorkerSlot(request);
            if (now < request.queueDeadline
                    && request.attempts < 2
                    && (retryBudget.tryAcquire(now) || !isEnabled(Safeguard.TRIES))) {
                count("again");
                transition(request, RequestEvent.RETRY);
                request.preferredWorker = Optional.empty();
                enqueue(queueOf(request.permit.tenant(), request.permit.kind()), request, true);
            } else {
                reject(request, 503, "the worker did not take it: " + reason, SECOND);
            }
            dispatchQueued(now);
        });
    }

    /** A clock event. */
    public void tick(final long now) {
        lastTick = now;
        for (final var iterator = spentPermits.entrySet().iterator(); iterator.hasNext(); ) {
            final Map.Entry<String, Long> entry = iterator.next();
            if (now - entry.getValue() <= 3 * settings.permitRetention()) {
                break;
            }
            if (!openRequests.containsKey(entry.getKey())) {
                iterator.remove();
            }
        }
        while (!endedRequests.isEmpty()
                && (endedRequests.peek().endedAt() + settings.endedRetention() < now
                        || endedRequests.size() > settings.maxOpenRequests())) {
            discard(endedRequests.poll().request());
        }
        for (final RequestQueue queue : List.copyOf(nonEmptyQueues.values())) {
            for (final DispatchedRequest request : List.copyOf(queue.requests)) {
                if (now >= request.queueDeadline) {
                    reject(request, 503, "no room came in time", SECOND);
                }
            }
        }
        for (final long handle : List.copyOf(openRequests.values())) {
            requests.get(handle)
                    .filter(request -> request.state == RequestState.RUNNING || request.state == RequestState.STARTING)
                    .ifPresent(request -> {
                        final boolean isAbandoned = request.readerLeftAt
                                .map(at -> now - at > settings.readerAbsenceTimeout())
                                .orElse(false);
                        final boolean isSilent = request.state == RequestState.STARTING
                                && now - request.attemptStartedAt > settings.startTimeout();
                        if (now >= request.deadline || isAbandoned || isSilent) {
                            effects.add(new DispatchEffect.CancelAttempt(request.operationId));
                            lose(
                                    request,
                                    isAbandoned
                                            ? "the consumer went away"
                                            : isSilent
                                                    ? "the worker gave no sign of a start in time"
                                                    : "the expiry passed",
                                    now);
                        }
                    });
        }
        if (now - lastSweep >= SECOND) {
            lastSweep = now;
            if (queues.values().removeIf(queue -> queue.isIdle(now))) {
                tenantShares
                        .keySet()
                        .retainAll(queues.values().stream()
                                .map(queue -> queue.tenant)
                                .collect(java.util.stream.Collectors.toSet()));
            }
        }
        dispatchQueued(now);
    }

    /** Ends all that is under way, as a process does at the end of its grace. */
    public void shutdown(final long now) {
        queues.values()
                .forEach(queue ->
                        List.copyOf(queue.requests).forEach(request -> reject(request, 503, "stopping", SECOND)));
        for (final long handle : List.copyOf(openRequests.values())) {
            requests.get(handle).ifPresent(request -> {
                revoke(request, "stopping", now);
            });
        }
    }

    private Optional<DispatchedRequest> operation(final long operationId) {
        return Optional.ofNullable(handlesByOperation.get(operationId))
                .flatMap(requests::get)
                .filter(request -> request.operationId == operationId);
    }

    private void redirect(
            final long callId,
            final List<String> homes,
            final Set<String> evacuatingZones,
            final boolean isServedHere,
            final long now) {
        final List<String> endpoints = new ArrayList<>(clusterSnapshot.peers().stream()
                .filter(Member::ready)
                .filter(m -> m.state().equals("up") && !evacuatingZones.contains(m.zone()))
                .filter(m -> homes.isEmpty() || homes.contains(m.region()))
                .map(Member::httpAddress)
                .toList());
        if (endpoints.isEmpty()) {
            sendRejection(
                    callId,
                    503,
                    "",
                    unreadyReason(now)
                            .orElse(isServedHere ? "this zone is being emptied" : "no gateway in the homes is ready"),
                    SECOND,
                    "");
            return;
        }
        java.util.Collections.shuffle(endpoints, new java.util.Random(random.nextLong()));
        count("pointed");
        effects.add(new DispatchEffect.Redirected(callId, endpoints.subList(0, Math.min(3, endpoints.size()))));
    }

    private boolean isEnabled(final Safeguard guard) {
        return settings.safeguards().isEnabled(guard);
    }

    private boolean isConfirmed(final long now) {
        return clusterSnapshot.isConfirmedWithin(now, settings.maxConfirmationAge()) || !isEnabled(Safeguard.SURE);
    }

    /** Whether this gateway may take the tenant's tickets, as far as homes go. */
    private boolean servesTenant(final Value.Tenant tenant) {
        return tenant.homeRegions().isEmpty()
                || tenant.homeRegions().contains(clusterSnapshot.self().region())
                || !isEnabled(Safeguard.SENT);
    }

    private static boolean lacksRequiredKey(final Value.Row row, final Permit permit) {
        return row.atMostOnce() && permit.idempotencyKey().isEmpty();
    }

    private boolean isZoneEvacuating() {
        return clusterSnapshot.evacuatingZones().contains(clusterSnapshot.self().zone()) && isEnabled(Safeguard.ZONE);
    }

    private void dispatchQueued(final long now) {
        if (!isConfirmed(now)) {
            return;
        }
        final Set<RequestQueue> blocked = new java.util.HashSet<>();
        while (true) {
            final Optional<RequestQueue> next = nonEmptyQueues.values().stream()
                    .filter(queue -> !blocked.contains(queue))
                    .min(Comparator.comparingDouble((RequestQueue queue) -> shareOf(queue).virtualFinishTime)
                            .thenComparing(queue -> -queue.requests.peek().row.priority())
                            .thenComparingDouble(queue -> queue.lastServedVirtualTime));
            if (next.isEmpty()) {
                return;
            }
            final RequestQueue queue = next.get();
            final DispatchedRequest request = queue.requests.peek();
            final Value.Row row = clusterSnapshot
                    .row(request.permit.tenant(), request.permit.kind())
                    .orElse(request.row);
            if (queue.inFlight
                    >= Math.max(
                            1, (row.maxRunning() + gatewayCount(request.tenant) - 1) / gatewayCount(request.tenant))) {
                blocked.add(queue);
                continue;
            }
            switch (selectWorker(request, row, now)) {
                case WeightedScorers.Decision.Selected selected -> {
                    dequeue(queue, request);
                    final TenantShare share = shareOf(queue);
                    virtualTime = Math.max(virtualTime, share.virtualFinishTime);
                    share.virtualFinishTime =
                            virtualTime + request.cost() / Math.max(0.001, request.tenant.quotaShare());
                    queue.lastServedVirtualTime = virtualTime;
                    queue.inFlight++;
                    request.worker = selected.candidate().worker().id();
                    request.holdsWorkerSlot = true;
                    workerUsage.get(request.worker).attemptStarted(now);
                    if (!request.permit.idempotencyKey().isEmpty() && !request.mayHoldClaim) {
                        claim(request);
                    } else {
                        startAttempt(request, now);
                    }
                }
                case WeightedScorers.Decision.AllBusy full -> blocked.add(queue);
                case WeightedScorers.Decision.NoneAllowed barred ->
                    reject(request, 503, "no worker is allowed", SECOND);
            }
        }
    }

    private WeightedScorers.Decision selectWorker(
            final DispatchedRequest request, final Value.Row row, final long now) {
        final Optional<Value.Tenant> tenant = clusterSnapshot.tenant(request.permit.tenant());
        if (tenant.isEmpty() || !servesTenant(tenant.get())) {
            return new WeightedScorers.Decision.NoneAllowed(List.of());
        }
        final PlacementContext context =
                placementContext(request.permit.requestId(), tenant.get(), row, request.prefixDigests);
        final List<PlacementInput> candidates = placementInputs(now);
        final Optional<PlacementInput> preferred = request.preferredWorker
                .flatMap(w -> candidates.stream()
                        .filter(s -> s.worker().id().equals(w))
                        .findFirst())
                .filter(s -> scorers.accepts(context, s));
        if (preferred.isPresent() && request.permit.revision() == clusterSnapshot.revision()) {
            return new WeightedScorers.Decision.Selected(preferred.get(), List.of());
        }
        final long timestamp = timestamps.get().bits();
        final WeightedScorers.Decision decision = decide(context, candidates, timestamp);
        if (decision instanceof WeightedScorers.Decision.Selected selected) {
            traces.put(new TraceLog.RequestTrace(
                    request.permit.requestId(),
                    request.permit.tenant(),
                    request.permit.kind(),
                    selected.candidate().worker().id(),
                    clusterSnapshot.revision(),
                    timestamp,
                    request.state.label(),
                    "",
                    request.attempts,
                    decision.scores()));
        }
        return decision;
    }

    private WeightedScorers.Decision decide(
            final PlacementContext context, final List<PlacementInput> candidates, final long timestamp) {
        final long seed = random.nextLong() >>> 12;
        final WeightedScorers.Decision decision =
                scorers.select(context, candidates, new java.util.SplittableRandom(seed));
        if (!(decision instanceof WeightedScorers.Decision.AllBusy)) {
            effects.add(new DispatchEffect.PlacementDecided(
                    context,
                    candidates,
                    seed,
                    clusterSnapshot.revision(),
                    timestamp,
                    decision instanceof WeightedScorers.Decision.Selected selected
                            ? selected.candidate().worker().id()
                            : ""));
        }
        return decision;
    }

    private void claim(final DispatchedRequest request) {
        transition(request, RequestEvent.CLAIM);
        operation(request);
        request.claimTimestamp = timestamps.get().bits();
        effects.add(new DispatchEffect.SubmitCommand(
                request.operationId,
                new Command.Claim(
                        request.permit.requestId(),
                        request.claimKey(),
                        request.permit.requestId(),
                        clusterSnapshot.self().id(),
                        request.claimTimestamp),
                settings.claimTimeout()));
    }

    private void startAttempt(final DispatchedRequest request, final long now) {
        final Optional<Gossip.ObservedWorker> report =
                Optional.ofNullable(clusterSnapshot.workers().get(request.worker));
        final Optional<Value.Row> row = clusterSnapshot.row(request.permit.tenant(), request.permit.kind());
        final Optional<Value.Tenant> tenant = clusterSnapshot.tenant(request.permit.tenant());
        final boolean isStillValid = report.isPresent()
                && row.isPresent()
                && tenant.isPresent()
                && isConfirmed(now)
                && now < request.deadline
                && !lacksRequiredKey(row.get(), request.permit)
                && isStillAllowed(request, tenant.get(), row.get(), report.get(), now);
        if (!isStillValid) {
            releaseWorkerSlot(request);
            reject(request, 503, "the pick grew stale before it was sent", SECOND / 2);
            return;
        }
        transition(request, RequestEvent.START_ATTEMPT);
        operation(request);
        request.attempts++;
        request.attemptStartedAt = now;
        request.attemptId = request.permit.requestId() + "." + request.attempts;
        count("asked");
        if (request.attempts > 1) {
            count("extra");
        } else {
            retryBudget.recordRequest(now);
        }
        final Worker worker = report.get().worker();
        effects.add(new DispatchEffect.StartAttempt(
                request.operationId,
                now + settings.startTimeout(),
                worker.id(),
                worker.address(),
                request.permit.requestId(),
                request.attemptId,
                request.permit.tenant(),
                request.permit.kind(),
                request.prefixDigests,
                request.prompt));
    }

    private boolean isStillAllowed(
            final DispatchedRequest request,
            final Value.Tenant tenant,
            final Value.Row row,
            final Gossip.ObservedWorker report,
            final long now) {
        final PlacementContext context =
                placementContext(request.permit.requestId(), tenant, row, request.prefixDigests);
        final PlacementInput input =
                new PlacementInput(report.worker(), report.age(now), 0, 0, Long.MAX_VALUE, false, 1);
        return constraints.accepts(context, input);
    }

    private void operation(final DispatchedRequest request) {
        handlesByOperation.remove(request.operationId);
        request.operationId = ++operation;
        handlesByOperation.put(request.operationId, request.handle);
    }

    private Optional<String> protocolViolation(final DispatchedRequest request, final StreamRecord received) {
        return switch (received) {
            case StreamRecord.Chunk chunk ->
                isEnabled(Safeguard.LINE) && !chunk.requestId().equals(request.permit.requestId())
                        ? Optional.of("a piece of another ticket")
                        : isEnabled(Safeguard.LINE) && !chunk.attemptId().equals(request.attemptId)
                                ? Optional.of("a piece of another run")
                                : isEnabled(Safeguard.PIECE) && chunk.index() != request.records.size()
                                        ? Optional.of("piece " + chunk.index() + " where " + request.records.size()
                                                + " was due")
                                        : Optional.empty();
            case StreamRecord.Trailer trailer ->
                !isEnabled(Safeguard.SEAL)
                        ? Optional.empty()
                        : !trailer.requestId().equals(request.permit.requestId())
                                        || !trailer.attemptId().equals(request.attemptId)
                                        || !trailer.worker().equals(request.worker)
                                ? Optional.of("a seal of another ticket, run or worker")
                                : trailer.chunkCount() != request.records.size()
                                        ? Optional.of("a seal over " + trailer.chunkCount() + " pieces where "
                                                + request.records.size() + " came")
                                        : !trailer.sha256()
                                                        .equals(HexFormat.of()
                                                                .formatHex(currentDigest(request.responseDigest)))
                                                ? Optional.of("a seal that does not fit")
                                                : Optional.empty();
            case StreamRecord.Lost lost -> Optional.of(lost.reason());
        };
    }

    private static byte[] currentDigest(final MessageDigest digest) {
        try {
            return ((MessageDigest) digest.clone()).digest();
        } catch (final CloneNotSupportedException e) {
            throw new IllegalStateException(e);
        }
    }

    private void writeToReader(final DispatchedRequest request) {
        final boolean isEnded = request.state.isFinal();
        if (request.readerCallId.isEmpty()
                || !request.readerReady
                || request.state == RequestState.REJECTED
                || request.records.size() == request.recordsSent && !isEnded) {
            return;
        }
        final int end = Math.min(request.records.size(), request.recordsSent + MAX_RECORDS_PER_WRITE);
        final boolean endOfStream = isEnded && end == request.records.size();
        effects.add(new DispatchEffect.StreamWrite(
                request.readerCallId.get(), request.records.subList(request.recordsSent, end), endOfStream));
        request.recordsSent = end;
        request.readerReady = false;
        if (endOfStream) {
            readers.remove(request.readerCallId.get());
            request.readerCallId = Optional.empty();
        }
    }

    private void lose(final DispatchedRequest request, final String reason, final long now) {
        releaseWorkerSlot(request);
        request.reason = reason;
        request.records.add(new StreamRecord.Lost(request.permit.requestId(), reason));
        effects.add(new DispatchEffect.Log(Event.TICKET_LOST, request.permit.requestId() + " " + reason));
        if (request.state == RequestState.STARTING) {
            eject(request.worker, now);
        }
        finish(request, RequestEvent.LOSE);
        writeToReader(request);
        dispatchQueued(now);
    }

    private void reject(
            final DispatchedRequest request, final int statusCode, final String reason, final long retryAfter) {
        dequeue(queueOf(request.permit.tenant(), request.permit.kind()), request);
        request.reason = reason;
        finish(request, RequestEvent.REJECT);
        sendRejection(request, statusCode, reason, retryAfter, "");
    }

    private void sendRejection(
            final DispatchedRequest request,
            final int statusCode,
            final String reason,
            final long retryAfter,
            final String claimState) {
        request.readerCallId.ifPresent(reader -> {
            readers.remove(reader);
            sendRejection(reader, statusCode, request.permit.requestId(), reason, retryAfter, claimState);
        });
        request.readerCallId = Optional.empty();
    }

    private void finish(final DispatchedRequest request, final RequestEvent event) {
        transition(request, event);
        count(request.state.label());
        effects.add(new DispatchEffect.RequestEnded(request.permit.requestId(), request.state.label(), request.reason));
        handlesByOperation.remove(request.operationId);
        openRequests.remove(request.permit.requestId());
        if (request.mayHoldClaim) {
            effects.add(new DispatchEffect.SubmitCommand(
                    0,
                    new Command.CompleteClaim(
                            request.attemptId + "/" + request.state.label(),
                            request.claimKey(),
                            request.permit.requestId(),
                            clusterSnapshot.self().id(),
                            request.state.label(),
                            request.claimTimestamp),
                    30 * SECOND));
        }
        endedRequests.add(new EndedRequest(request, lastTick));
        request.prompt = "";
    }

    private void discard(final DispatchedRequest request) {
        request.readerCallId.ifPresent(reader -> {
            readers.remove(reader);
            effects.add(new DispatchEffect.StreamWrite(reader, List.of(), true));
        });
        requests.remove(request.handle);
    }

    private void rejectSubmission(
            final long callId, final String requestId, final int statusCode, final String reason) {
        traces.recordState(requestId, "rejected", reason);
        count("rejected");
        sendRejection(callId, statusCode, requestId, reason, SECOND, "");
    }

    private void sendRejection(
            final long callId,
            final int statusCode,
            final String requestId,
            final String reason,
            final long retryAfter,
            final String claimState) {
        count("code" + statusCode);
        if (!requestId.isEmpty()) {
            effects.add(new DispatchEffect.Log(Event.TICKET_REJECTED, requestId + " " + statusCode + " " + reason));
        }
        effects.add(new DispatchEffect.Rejected(
                callId,
                statusCode,
                requestId,
                reason,
                retryAfter == 0 ? 0 : retryAfter + random.nextLong(retryAfter),
                claimState));
    }

    private void transition(final DispatchedRequest request, final RequestEvent event) {
        request.state = request.state.after(event);
        traces.recordState(request.permit.requestId(), request.state.label(), request.reason);
    }

    private void releaseWorkerSlot(final DispatchedRequest request) {
        if (request.holdsWorkerSlot) {
            request.holdsWorkerSlot = false;
            Optional.ofNullable(workerUsage.get(request.worker)).ifPresent(WorkerUsage::attemptEnded);
            final RequestQueue queue = queueOf(request.permit.tenant(), request.permit.kind());
            queue.inFlight--;
        }
    }

    private void eject(final String worker, final long now) {
        Optional.ofNullable(workerUsage.get(worker))
                .ifPresent(usage -> usage.ejectedUntil = now + settings.ejectionTime());
    }

    private boolean makeRoom(final Value.Row row) {
        if (queuedRequests < settings.maxQueuedRequests() && requests.used() < requests.capacity()) {
            return true;
        }
        final Optional<DispatchedRequest> leastImportant = nonEmptyQueues.values().stream()
                .flatMap(queue -> queue.requests.stream())
                .min(Comparator.comparingInt((DispatchedRequest request) -> request.row.priority())
                        .thenComparing(request -> -request.permitExpiry));
        if (leastImportant.isPresent() && leastImportant.get().row.priority() < row.priority()) {
            reject(leastImportant.get(), 503, "shed for a kind that goes before", SECOND);
            Optional.of(leastImportant.get()).ifPresent(request -> {
                endedRequests.removeIf(ended -> ended.request() == request);
                discard(request);
            });
            return true;
        }
        return false;
    }

    private List<PlacementInput> placementInputs(final long now) {
        final int gatewayCount = gatewayCount();
        return clusterSnapshot.workers().values().stream()
                .sorted(Comparator.comparing(report -> report.worker().id()))
                .map(report -> workerUsage
                        .computeIfAbsent(
                                report.worker().id(),
                                k -> new WorkerUsage(report.worker().incarnation()))
                        .placementInput(report, now, gatewayCount))
                .toList();
    }

    private int gatewayCount() {
        return 1 + (int) clusterSnapshot.peers().stream().filter(Member::ready).count();
    }

    /** How many gateways share a cell of the tenant: those that may carry for it. */
    private int gatewayCount(final Value.Tenant tenant) {
        final Set<String> evacuatingZones = clusterSnapshot.evacuatingZones();
        return 1
                + (int) clusterSnapshot.peers().stream()
                        .filter(m -> m.ready()
                                && !evacuatingZones.contains(m.zone())
                                && (tenant.homeRegions().isEmpty()
                                        || tenant.homeRegions().contains(m.region())))
                        .count();
    }

    private PlacementContext placementContext(
            final String requestId, final Value.Tenant tenant, final Value.Row row, final List<Long> prefixDigests) {
        return new PlacementContext(
                requestId,
                tenant,
                row,
                prefixDigests,
                clusterSnapshot.self().zone(),
                clusterSnapshot.self().region(),
                clusterSnapshot.evacuatingZones());
    }

    private static List<Long> saltedDigests(final Value.Tenant tenant, final List<String> prefixDigests) {
        return prefixDigests.stream()
                .map(d -> PermitSigner.saltedDigest(tenant.keySalt(), d))
                .toList();
    }

    private void enqueue(final RequestQueue queue, final DispatchedRequest request, final boolean first) {
        if (first) {
            queue.requests.addFirst(request);
        } else {
            queue.requests.add(request);
        }
        queuedRequests++;
        nonEmptyQueues.put(queue.name, queue);
    }

    private void dequeue(final RequestQueue queue, final DispatchedRequest request) {
        if (queue.requests.remove(request)) {
            queuedRequests--;
            if (queue.requests.isEmpty()) {
                nonEmptyQueues.remove(queue.name);
            }
        }
    }

    private RequestQueue queueOf(final String tenant, final String kind) {
        return queues.computeIfAbsent(tenant + "/" + kind, k -> new RequestQueue(k, tenant, virtualTime));
    }

    private TenantShare shareOf(final RequestQueue queue) {
        return tenantShares.computeIfAbsent(queue.tenant, k -> new TenantShare(virtualTime));
    }

    private void count(final String name) {
        counters.merge(name, 1L, Long::sum);
    }

    private record EndedRequest(DispatchedRequest request, long endedAt) {}
}
