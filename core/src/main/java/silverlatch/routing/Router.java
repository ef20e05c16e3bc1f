package silverlatch.routing;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.Supplier;
import java.util.random.RandomGenerator;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.dispatch.RetryBudget;
import silverlatch.dispatch.TraceLog;
import silverlatch.dispatch.buffer.Slab;
import silverlatch.gossip.Worker;
import silverlatch.node.Event;
import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.placement.ScorerResult;
import silverlatch.placement.WeightedScorers;
import silverlatch.state.TableRules;
import silverlatch.state.Value;

/**
 * Places the tickets that come by host and path, and decides what follows when a run breaks. It does no input or
 * output: events go in, moves come out. One duty owns it.
 */
public final class Router {
    private static final long SECOND = 1_000_000L;
    private static final double NEAR_BEST_RATIO = 0.08;
    private static final int MAX_TRACES = 2_000;
    private static final int MAX_TRACED_SCORES = 8;
    private final Settings settings;
    private final Supplier<Stamp> timestamps;
    private final RandomGenerator random;
    private final WeightedScorers constraints;
    private final Slab<OpenRequest> requests;
    private final Map<Long, Long> places = new HashMap<>();
    private final Map<Long, Long> handlesByAttempt = new HashMap<>();
    private final Map<String, WorkerState> workers = new TreeMap<>();
    private final Map<String, Value.Tenant> tenantsByRoute = new HashMap<>();
    private final Map<String, Long> counters = new TreeMap<>();
    private final List<RoutingEffect> effects = new ArrayList<>();
    private final RetryBudget retryBudget;
    private final TrafficStatistics traffic = new TrafficStatistics();
    private final Map<String, Reachability> reachabilityByRegion = new HashMap<>();
    private final TraceLog traces = new TraceLog(MAX_TRACES);
    private RoutingTable routingTable = RoutingTable.NONE;
    private ClusterSnapshot clusterSnapshot;
    private long lastAttemptId;
    private int gatewayCount = 1;
    private int peakGatewayCount = 1;
    private long peakWindowStart;
    private boolean draining;
    private boolean closing;

    /** Settings: open tickets at most, the part of extra tries, how old a word on a worker may be, in microseconds. */
    public record Settings(int maxOpenRequests, double retryRatio, long maxReportAge) {
        /** What holds when nothing is said. */
        public static final Settings DEFAULT = new Settings(2_048, 0.1, Long.MAX_VALUE);
    }

    private static final class OpenRequest {
        final RoutedRequest request;
        final Value.Route route;
        final String pool;
        final long arrivedAt;
        final long deadline;
        final Stamp timestamp;
        int attempts;
        long handle;
        long attemptId;
        String worker = "";
        boolean responseStarted;
        boolean mayHaveRun;
        final List<String> failedWorkers = new ArrayList<>();

        OpenRequest(
                final RoutedRequest request,
                final Value.Route route,
                final String pool,
                final long arrivedAt,
                final Stamp timestamp) {
            this.request = request;
            this.route = route;
            this.pool = pool;
            this.arrivedAt = arrivedAt;
            this.timestamp = timestamp;
            this.deadline = arrivedAt + Math.min(request.timeout(), route.timeoutMicros());
        }
    }

    /** A gateway that carries nothing yet. */
    public Router(
            final Settings settings,
            final ClusterSnapshot clusterSnapshot,
            final Supplier<Stamp> timestamps,
            final RandomGenerator random) {
        this.settings = settings;
        this.clusterSnapshot = clusterSnapshot;
        this.timestamps = timestamps;
        this.random = random;
        this.constraints = WeightedScorers.constraints(settings.maxReportAge(), silverlatch.safeguard.Safeguards.ALL);
        this.requests = new Slab<>(settings.maxOpenRequests());
        this.retryBudget = new RetryBudget(settings.retryRatio(), 2);
    }

    /** Takes what the gateway knows now. */
    public void clusterSnapshot(final ClusterSnapshot next, final long now) {
        if (next.revision() != clusterSnapshot.revision() || routingTable == RoutingTable.NONE) {
            routingTable = new RoutingTable(next.policy());
            tenantsByRoute.clear();
        }
        clusterSnapshot = next;
        clusterSnapshot.workers().forEach((id, report) -> {
            final WorkerState worker = workers.computeIfAbsent(id, k -> new WorkerState(report, now));
            if (!worker.worker.equals(report.worker()) || worker.silent != report.silent()) {
                worker.update(report, now);
            }
        });
        workers.values()
                .removeIf(worker ->
                        worker.attempts.isEmpty() && !clusterSnapshot.workers().containsKey(worker.worker.id()));
        if (now - peakWindowStart > 30 * SECOND) {
            peakWindowStart = now;
            gatewayCount = peakGatewayCount;
            peakGatewayCount = 1;
        }
        peakGatewayCount = Math.max(peakGatewayCount, clusterSnapshot.peers().size() + 1);
        gatewayCount = Math.max(gatewayCount, peakGatewayCount);
    }

    /** The number of the charter in force here, or 0. */
    public long configurationNumber() {
        return routingTable.configurationNumber();
    }

    /** What clients may send and how long they may rest, by the configuration in force here. */
    public Optional<Value.RoutingConfiguration> limits() {
        return routingTable.limits();
    }

    /** Whether tickets are taken, or why not. */
    public Optional<String> unreadyReason() {
        return draining || closing
                ? Optional.of("stopping")
                : routingTable.configurationNumber() == 0
                        ? Optional.of("no charter is known here yet")
                        : Optional.empty();
    }

    /** This gateway is about to stop: it is no longer ready, but still takes what comes. */
    public void startDraining() {
        draining = true;
    }

    /** No new ticket is taken from now on. */
    public void close() {
        closing = true;
    }

    /** How many tickets are under way. */
    public int openRequests() {
        return requests.used();
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
    public List<RoutingEffect> drainEffects() {
        final List<RoutingEffect> list = List.copyOf(effects);
        effects.clear();
        return list;
    }

    /** A ticket came in whole. */
    public void requestArrived(final RoutedRequest request, final long now) {
        count("tickets");
        if (closing || routingTable.configurationNumber() == 0) {
            reject(
                    request.callId(),
                    503,
                    closing ? SECOND / 20 : SECOND + random.nextLong(SECOND / 2),
                    closing ? "stopping" : "no charter is known here yet");
            return;
        }
        final Optional<Value.Route> route = routingTable.route(request.host(), request.path());
        if (route.isEmpty()) {
            reject(request.callId(), 404, 0, "no rule for " + request.host() + request.path());
            return;
        }
        final OpenRequest open = new OpenRequest(request, route.get(), drawPool(route.get()), now, timestamps.get());
        final Optional<Long> handle = requests.insert(open);
        if (handle.isEmpty()) {
            reject(request.callId(), 503, SECOND / 2, "the slab is full");
            return;
        }
        open.handle = handle.get();
        places.put(request.callId(), open.handle);
        retryBudget.recordRequest(now);
        traffic.observe(request, open.route, now);
        startAttempt(open, now);
    }

    /** The reply's head has come and is passed on. */
    public void responseStarted(final long attemptId, final Optional<ReportedLoad> load, final long now) {
        findAttempt(attemptId).ifPresent(open -> {
            reachabilityOf(workers.get(open.worker)).heard(now);
            open.responseStarted = true;
            final WorkerState worker = workers.get(open.worker);
            load.ifPresent(report -> worker.updateLoad(report.running(), report.waiting(), report.slots(), now));
        });
    }

    /** An event was passed on. */
    public void eventForwarded(final long attemptId, final long now) {
        findAttempt(attemptId).ifPresent(open -> {
            final WorkerState worker = workers.get(open.worker);
            final WorkerState.Attempt attempt = worker.attempts.get(attemptId);
            attempt.lastEventAt = now;
            reachabilityOf(worker).heard(now);
            if (!attempt.firstEventSeen) {
                attempt.firstEventSeen = true;
                worker.recordSuccess(attempt, now);
            }
        });
    }

    /** A worker's whole reply that is no success is at hand; not passed on yet. */
    public void errorResponse(
            final long attemptId, final int status, final Optional<ReportedLoad> load, final long now) {
        findAttempt(attemptId).ifPresent(open -> {
            reachabilityOf(workers.get(open.worker)).heard(now);
            load.ifPresent(report ->
                    workers.get(open.worker).updateLoad(report.running(), report.waiting(), report.slots(), now));
            final boolean mayRetry = status >= 500
                    && open.route.isRetryable()
                    && open.attempts < open.route.maxAttempts()
                    && now < open.deadline;
            if (mayRetry) {
                open.failedWorkers.add(open.worker);
            }
            if (mayRetry && !places(open, now).isEmpty() && retryBudget.tryAcquire(now)) {
                count("again_ill");
                open.mayHaveRun = true;
                endAttempt(open, true, now);
                startAttempt(open, now);
            } else {
                effects.add(new RoutingEffect.ForwardResponse(open.request.callId(), attemptId));
            }
        });
    }

    /** The worker's reply was passed on whole. */
    public void responseCompleted(final long attemptId, final boolean succeeded, final long now) {
        findAttempt(attemptId).ifPresent(open -> {
            count(succeeded ? "done" : "passed");
            traces.recordState(open.request.requestId(), succeeded ? "done" : "passed", "");
            endAttempt(open, !succeeded, now);
            close(open);
        });
    }

    /** A run broke. */
    public void attemptFailed(final long attemptId, final FailurePoint point, final long now) {
        findAttempt(attemptId).ifPresent(open -> {
            count("broke_" + point.name().toLowerCase(java.util.Locale.ROOT));
            traces.recordState(open.request.requestId(), "broke", point + " at " + open.worker);
            effects.add(new RoutingEffect.Log(
                    Event.RUN_BROKE, open.worker + " " + point + " after " + (now - open.arrivedAt) / 1000 + " ms"));
            final WorkerState worker = workers.get(open.worker);
            if (point == FailurePoint.UNSENT) {
                reachabilityOf(worker).connectFailed(now);
            } else if (point == FailurePoint.NOT_RUN || point == FailurePoint.STRANGER) {
                reachabilityOf(worker).heard(now);
            }
            endAttempt(open, point != FailurePoint.NOT_RUN, now);
            open.failedWorkers.add(open.worker);
            if (point == FailurePoint.NOT_RUN) {
                worker.ejectedUntil = Math.max(worker.ejectedUntil, now + 150_000);
            }
            final boolean surelyNotRun =
                    point == FailurePoint.UNSENT || point == FailurePoint.NOT_RUN || point == FailurePoint.STRANGER;
            open.mayHaveRun |= !surelyNotRun;
            final boolean mayRetry = (surelyNotRun
                            || open.route.isRetryable()
                                    && (point != FailurePoint.BEGUN
                                            || open.route.resumable() && open.route.streaming()))
                    && now < open.deadline;
            final boolean hasAttemptsLeft =
                    point == FailurePoint.UNSENT && open.attempts <= open.route.maxAttempts() + 1
                            || open.attempts < open.route.maxAttempts();
            if (mayRetry
                    && hasAttemptsLeft
                    && !places(open, now).isEmpty()
                    && (point == FailurePoint.UNSENT || retryBudget.tryAcquire(now))) {
                open.attempts -= point == FailurePoint.UNSENT ? 1 : 0;
                count("again");
                startAttempt(open, now);
            } else if (!open.mayHaveRun && !open.responseStarted) {
                close(open);
                reject(open.request.callId(), 503, retryAfter(open), "no worker ran it");
            } else {
                close(open);
                effects.add(new RoutingEffect.Fail(open.request.callId(), 502, "the worker broke off"));
            }
        });
    }

    /** The consumer is gone. */
    public void clientDisconnected(final long callId, final long now) {
        Optional.ofNullable(places.get(callId)).flatMap(requests::get).ifPresent(open -> {
            count("left");
            cancelAttempt(open, now);
            close(open);
        });
    }

    /** A clock event. */
    public void tick(final long now) {
        for (final long callId : List.copyOf(places.keySet())) {
            requests.get(places.get(callId)).ifPresent(open -> checkTimeouts(open, now));
        }
    }

    /** Ends all that is under way. */
    public void shutdown(final long now) {
        for (final long handle : List.copyOf(places.values())) {
            requests.get(handle).ifPresent(open -> {
                cancelAttempt(open, now);
                close(open);
                effects.add(new RoutingEffect.Fail(open.request.callId(), 502, "stopping"));
            });
        }
    }

    private void checkTimeouts(final OpenRequest open, final long now) {
        if (now >= open.deadline) {
            count("expired");
            traces.recordState(open.request.requestId(), "expired", "its time is up");
            cancelAttempt(open, now);
            close(open);
            effects.add(new RoutingEffect.Fail(open.request.callId(), 504, "its time is up"));
            return;
        }
        final WorkerState worker = workers.get(open.worker);
        final WorkerState.Attempt attempt = worker.attempts.get(open.attemptId);
        final long silenceLimit = attempt.firstEventSeen
                ? Math.max(SECOND, 2 * open.route.maxEventGapMicros())
                : Math.max(open.route.latencyTargetMicros() * 3 / 4, 3 * attempt.predictedLatency);
        if (open.route.isRetryable()
                && (!open.responseStarted || open.route.resumable())
                && open.attempts < open.route.maxAttempts()
                && now - attempt.lastEventAt > silenceLimit
                && !open.failedWorkers.contains(open.worker)) {
            effects.add(new RoutingEffect.Log(
                    Event.RUN_BROKE, open.worker + " silent for " + (now - attempt.lastEventAt) / 1000 + " ms"));
            final List<Candidate> others = places(open, now).stream()
                    .filter(p -> !p.worker().worker.id().equals(open.worker))
                    .toList();
            if (!others.isEmpty() && retryBudget.tryAcquire(now)) {
                count("moved");
                open.mayHaveRun = true;
                open.failedWorkers.add(open.worker);
                effects.add(new RoutingEffect.CancelAttempt(open.attemptId));
                worker.recordFailure(now);
                endAttempt(open, false, now);
                startAttempt(open, now);
            }
        }
    }

    private Reachability reachabilityOf(final WorkerState worker) {
        return reachabilityByRegion.computeIfAbsent(worker.worker.region(), Reachability::new);
    }

    private String drawPool(final Value.Route route) {
        final int totalWeight = route.backends().stream()
                .mapToInt(Value.WeightedBackend::weight)
                .sum();
        int remaining = totalWeight <= 0 ? 0 : random.nextInt(totalWeight);
        for (final Value.WeightedBackend backend : route.backends()) {
            remaining -= backend.weight();
            if (remaining < 0) {
                return backend.pool();
            }
        }
        return route.backends().isEmpty() ? "" : route.backends().get(0).pool();
    }

    private record Candidate(WorkerState worker, LatencyPredictor.Prediction prediction) {}

    private List<Candidate> places(final OpenRequest open, final long now) {
        final Value.Tenant tenant = tenantsByRoute.computeIfAbsent(
                open.route.name(), n -> new Value.Tenant(n, open.route.homeRegions(), 1, "", ""));
        final PlacementContext context = new PlacementContext(
                open.request.requestId(),
                tenant,
                TableRules.defaultRow("*", open.route.name()),
                List.of(),
                clusterSnapshot.self().zone(),
                clusterSnapshot.self().region(),
                clusterSnapshot.evacuatingZones());
        final List<WorkerState> eligible = workers.values().stream()
                .filter(s -> s.worker.pool().equals(open.pool)
                        && clusterSnapshot.workers().containsKey(s.worker.id()))
                .filter(s -> constraints.accepts(
                        context,
                        new PlacementInput(
                                s.worker,
                                clusterSnapshot.workers().get(s.worker.id()).age(now),
                                0,
                                0,
                                0,
                                false,
                                1)))
                .filter(s -> !open.failedWorkers.contains(s.worker.id()))
                .filter(s -> !s.isWarmingUp(now) || maySendWhileWarmingUp(s, open.pool, now))
                .toList();
        final Set<String> decodeWorkers = traffic.decodeWorkers(
                workers.values().stream()
                        .filter(s -> s.worker.pool().equals(open.pool))
                        .toList(),
                now);
        final Map<Long, String> prefixOwners = prefixOwners(open.request, eligible, decodeWorkers);
        final Map<String, Boolean> unreachable = new HashMap<>();
        eligible.forEach(s -> unreachable.computeIfAbsent(
                s.worker.region(), r -> reachabilityOf(s).isUnreachable(workers.values(), now)));
        return eligible.stream()
                .map(s -> new Candidate(
                        s,
                        LatencyPredictor.predict(
                                open.request,
                                open.route,
                                s,
                                clusterSnapshot.self().zone(),
                                clusterSnapshot.self().region(),
                                prefixOwners,
                                decodeWorkers,
                                now)))
                .sorted(Comparator.comparingLong(p -> p.prediction().cost()
                        + (unreachable.get(p.worker().worker.region()) ? open.route.latencyTargetMicros() * 2 : 0)
                        + (p.worker().isEjected(now) ? open.route.latencyTargetMicros() * 4 : 0)))
                .toList();
    }

    private Optional<Candidate> choose(final OpenRequest open, final List<Candidate> candidates, final long now) {
        if (candidates.isEmpty()) {
            return Optional.empty();
        }
        final long lowestCost = candidates.get(0).prediction().cost();
        final List<Candidate> nearBest = candidates.stream()
                .filter(p -> p.worker().isEjected(now)
                                == candidates.get(0).worker().isEjected(now)
                        && p.worker()
                                .worker
                                .region()
                                .equals(candidates.get(0).worker().worker.region())
                        && p.prediction().cost() <= lowestCost + NEAR_BEST_RATIO * open.route.latencyTargetMicros())
                .toList();
        final List<Candidate> leastLoaded = nearBest.stream()
                .sorted(Comparator.comparingInt(p -> p.worker().attempts.size()))
                .toList();
        return LatencyPredictor.hasLargeSharedPrefix(open.request.promptParts())
                ? Optional.of(candidates.get(0))
                : Optional.of(leastLoaded.get(random.nextInt(Math.min(2, leastLoaded.size()))));
    }

    /**
     * For each shared part of a prompt the worker that keeps it by common rule: one of this region where such parts come up
     * often, else one of all regions, so that it is read once only.
     */
    private Map<Long, String> prefixOwners(
            final RoutedRequest request, final List<WorkerState> eligible, final Set<String> decodeWorkers) {
        final Map<Long, String> owners = new HashMap<>();
        if (!LatencyPredictor.hasLargeSharedPrefix(request.promptParts())) {
            return owners;
        }
        final String ownRegion = clusterSnapshot.self().region();
        final List<WorkerState> prefillWorkers = eligible.stream()
                .filter(s -> !decodeWorkers.contains(s.worker.id()))
                .toList();
        final int gatewaysInRegion = 1
                + (int) clusterSnapshot.peers().stream()
                        .filter(m -> m.region().equals(ownRegion))
                        .count();
        final boolean keepInRegion =
                prefillWorkers.stream().anyMatch(s -> s.worker.region().equals(ownRegion))
                        && traffic.arePrefixesReused(gatewaysInRegion);
        final long key = LatencyPredictor.sharedPrefixKey(request);
        prefillWorkers.stream()
                .filter(s -> !keepInRegion || s.worker.region().equals(ownRegion))
                .max(Comparator.comparingLong(s -> LatencyPredictor.rendezvousHash(key, s.worker.id())))
                .ifPresent(s -> request.promptParts()
                        .subList(0, request.promptParts().size() - 1)
                        .forEach(p -> owners.put(p.digest(), s.worker.id())));
        return owners;
    }

    /** Whether this gateway may send to a cold worker now: a few gateways named by hashing share what it bears. */
    private boolean maySendWhileWarmingUp(final WorkerState worker, final String pool, final long now) {
        final double rate = routingTable
                .pool(pool)
                .map(Value.BackendPool::warmupRequestsPerSecond)
                .filter(r -> r > 0)
                .orElse(1.0);
        final int gatewaysAllowed = Math.max(1, Math.min(gatewayCount, (int) Math.floor(rate)));
        final long ownHash = LatencyPredictor.rendezvousHash(
                7, worker.worker.id() + clusterSnapshot.self().id());
        final long gatewaysAhead = clusterSnapshot.peers().stream()
                .filter(m -> LatencyPredictor.rendezvousHash(7, worker.worker.id() + m.id()) > ownHash)
                .count();
        final long minInterval = Math.max(SECOND, Math.round(gatewaysAllowed * SECOND / rate));
        return gatewaysAhead < gatewaysAllowed && now - worker.lastSentAt >= minInterval;
    }

    private void startAttempt(final OpenRequest open, final long now) {
        final List<Candidate> candidates = places(open, now);
        final Optional<Candidate> chosen = choose(open, candidates, now);
        traces.put(new TraceLog.RequestTrace(
                open.request.requestId(),
                "",
                open.route.name(),
                chosen.map(p -> p.worker().worker.id()).orElse(""),
                clusterSnapshot.revision(),
                open.timestamp.bits(),
                chosen.isEmpty() ? "nowhere" : "sent",
                "",
                open.attempts,
                candidates.stream()
                        .limit(MAX_TRACED_SCORES)
                        .map(p -> new WeightedScorers.WeightedScore(
                                p.worker().worker.id(),
                                "outlook",
                                new ScorerResult.Score((double) open.route.latencyTargetMicros()
                                        / Math.max(
                                                1,
                                                open.route.latencyTargetMicros()
                                                        + p.prediction().cost())),
                                1))
                        .toList()));
        if (chosen.isEmpty()) {
            count("nowhere");
            close(open);
            if (open.responseStarted || open.mayHaveRun) {
                effects.add(new RoutingEffect.Fail(open.request.callId(), 502, "no worker is allowed"));
            } else {
                reject(open.request.callId(), 503, retryAfter(open), "no worker is allowed");
            }
            return;
        }
        final WorkerState workerState = chosen.get().worker();
        final Worker worker = workerState.worker;
        lastAttemptId++;
        open.attempts++;
        open.attemptId = lastAttemptId;
        open.worker = worker.id();
        workerState.attempts.put(
                lastAttemptId,
                new WorkerState.Attempt(
                        now,
                        chosen.get().prediction().tokensToPrefill(),
                        chosen.get().prediction().latency()));
        workerState.lastSentAt = now;
        open.request.promptParts().forEach(p -> workerState.recordCached(p.digest(), now));
        handlesByAttempt.put(lastAttemptId, open.handle);
        count("sends");
        effects.add(new RoutingEffect.StartAttempt(
                open.request.callId(),
                lastAttemptId,
                worker.id(),
                worker.address(),
                open.deadline - now,
                open.route.priority(),
                !open.route.isRetryable(),
                open.route.streaming()));
    }

    /** When to come back: soon where another worker may take it, later where none is known yet or the allowed ones are cold. */
    private long retryAfter(final OpenRequest open) {
        final boolean hasKnownWorker =
                workers.values().stream().anyMatch(s -> s.worker.pool().equals(open.pool) && !s.worker.draining());
        if (!hasKnownWorker) {
            return SECOND + random.nextLong(SECOND / 2);
        }
        return Math.max(
                SECOND / 20,
                open.route.latencyTargetMicros() / 4
                        + random.nextLong(Math.max(1, open.route.latencyTargetMicros() / 4)));
    }

    private Optional<OpenRequest> findAttempt(final long attemptId) {
        return Optional.ofNullable(handlesByAttempt.get(attemptId))
                .flatMap(requests::get)
                .filter(open -> open.attemptId == attemptId);
    }

    private void endAttempt(final OpenRequest open, final boolean failed, final long now) {
        handlesByAttempt.remove(open.attemptId);
        Optional.ofNullable(workers.get(open.worker)).ifPresent(worker -> {
            worker.attempts.remove(open.attemptId);
            if (failed) {
                worker.recordFailure(now);
            }
        });
    }

    private void cancelAttempt(final OpenRequest open, final long now) {
        effects.add(new RoutingEffect.CancelAttempt(open.attemptId));
        endAttempt(open, false, now);
    }

    private void close(final OpenRequest open) {
        requests.remove(open.handle);
        places.remove(open.request.callId());
    }

    private void reject(final long callId, final int statusCode, final long retryAfter, final String reason) {
        count("rejected_" + statusCode);
        effects.add(new RoutingEffect.Reject(callId, statusCode, retryAfter, reason));
    }

    private void count(final String name) {
        counters.merge(name, 1L, Long::sum);
    }

    /** What a worker's reply tells of its load. */
    public record ReportedLoad(int running, int waiting, int slots) {}
}
