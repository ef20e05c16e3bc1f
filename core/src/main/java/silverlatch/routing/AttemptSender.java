package silverlatch.routing;

import java.util.List;
import java.util.Optional;
import java.util.random.RandomGenerator;
import silverlatch.dispatch.TraceLog;
import silverlatch.gossip.Worker;
import silverlatch.placement.ScorerResult;
import silverlatch.placement.WeightedScorers;
import silverlatch.state.Value;

/**
 * Starts attempts at workers, and completes requests for which no worker is available. Confined to the routing event
 * loop; times are microseconds.
 */
final class AttemptSender {
    private static final long SECOND = 1_000_000L;
    private static final long MIN_RETRY_AFTER = SECOND / 20;
    private static final int MAX_TRACED_SCORES = 8;
    private static final int BAD_GATEWAY = 502;
    private static final int UNAVAILABLE = 503;
    private final OpenRequestTable requests;
    private final WorkerTable workers;
    private final WorkerSelector selector;
    private final RandomGenerator random;
    private final RoutingOutput output;

    AttemptSender(
            final OpenRequestTable requests,
            final WorkerTable workers,
            final WorkerSelector selector,
            final RandomGenerator random,
            final RoutingOutput output) {
        this.requests = requests;
        this.workers = workers;
        this.selector = selector;
        this.random = random;
        this.output = output;
    }

    /** Sends a request to one of the best workers that are eligible now; rejects or fails it if there is none. */
    void send(final OpenRequest open, final long revision, final long now) {
        send(open, selector.candidates(open, now), revision, now);
    }

    /**
     * Sends a request to one of the candidates; rejects or fails it if there are none.
     *
     * @param candidates the eligible workers, best first
     */
    void send(final OpenRequest open, final List<Candidate> candidates, final long revision, final long now) {
        final Optional<Candidate> chosen = selector.choose(open, candidates);
        output.traces().put(trace(open, candidates, chosen, revision));
        if (chosen.isPresent()) {
            start(open, chosen.get(), now);
            return;
        }
        output.count("nowhere");
        endWithoutWorker(open, "no worker is allowed", "no worker is allowed");
    }

    private void start(final OpenRequest open, final Candidate chosen, final long now) {
        final WorkerState state = chosen.worker();
        final Worker worker = state.worker();
        final long attemptId = requests.startAttempt(open, worker.id());
        state.startAttempt(attemptId, chosen.prediction(), now);
        open.request().promptParts().forEach(part -> state.recordCached(part.digest(), now));
        output.count("sends");
        output.add(new RoutingEffect.StartAttempt(
                open.request().callId(),
                attemptId,
                worker.id(),
                worker.address(),
                open.deadline() - now,
                open.priority(),
                !open.route().isRetryable(),
                open.route().streaming(),
                open.tenant().map(Value.TenantAccess::name)));
    }

    /**
     * Completes a request that is not sent to any further worker: it is rejected if it is known not to have run, and
     * fails otherwise.
     *
     * @param rejectReason the reason if it is rejected
     * @param failReason   the reason if it fails
     */
    void endWithoutWorker(final OpenRequest open, final String rejectReason, final String failReason) {
        requests.remove(open);
        if (open.isKnownNotRun()) {
            output.reject(open.request().callId(), UNAVAILABLE, retryAfter(open), rejectReason);
        } else {
            output.add(new RoutingEffect.Fail(open.request().callId(), BAD_GATEWAY, failReason));
        }
    }

    /**
     * Ends the current attempt of a request, and ejects its worker for a while if the attempt failed through the
     * worker's fault.
     */
    void endAttempt(final OpenRequest open, final boolean isWorkerFailure, final long now) {
        requests.endAttempt(open);
        workers.find(open.worker()).ifPresent(worker -> {
            worker.endAttempt(open.attemptId());
            if (isWorkerFailure) {
                worker.recordFailure(now);
            }
        });
    }

    /** Cancels the current attempt of a request and removes the request. */
    void cancel(final OpenRequest open, final long now) {
        output.add(new RoutingEffect.CancelAttempt(open.attemptId()));
        endAttempt(open, false, now);
        requests.remove(open);
    }

    /**
     * Returns after how many microseconds the client should retry: a fraction of the latency target if the pool has a
     * worker that isn't draining, else one to one and a half seconds. The time is random, so that clients don't retry
     * at the same moment.
     */
    private long retryAfter(final OpenRequest open) {
        final boolean hasKnownWorker = workers.ofPool(open.pool()).stream()
                .anyMatch(worker -> !worker.worker().draining());
        if (!hasKnownWorker) {
            return SECOND + random.nextLong(SECOND / 2);
        }
        final long quarter = open.route().latencyTargetMicros() / 4;
        return Math.max(MIN_RETRY_AFTER, quarter + random.nextLong(Math.max(1, quarter)));
    }

    private static TraceLog.RequestTrace trace(
            final OpenRequest open,
            final List<Candidate> candidates,
            final Optional<Candidate> chosen,
            final long revision) {
        return new TraceLog.RequestTrace(
                open.request().requestId(),
                open.tenant().map(Value.TenantAccess::name).orElse(""),
                open.route().name(),
                chosen.map(candidate -> candidate.worker().id()).orElse(""),
                revision,
                open.timestamp().bits(),
                chosen.isEmpty() ? "nowhere" : "sent",
                "",
                open.attempts(),
                candidates.stream()
                        .limit(MAX_TRACED_SCORES)
                        .map(candidate -> score(open, candidate))
                        .toList());
    }

    private static WeightedScorers.WeightedScore score(final OpenRequest open, final Candidate candidate) {
        final long target = open.route().latencyTargetMicros();
        final double value =
                (double) target / Math.max(1, target + candidate.prediction().cost());
        return new WeightedScorers.WeightedScore(candidate.worker().id(), "outlook", new ScorerResult.Score(value), 1);
    }
}
