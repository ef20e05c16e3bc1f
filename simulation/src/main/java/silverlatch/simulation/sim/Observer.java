package silverlatch.simulation.sim;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Checks the invariants of a simulated day by what workers ran and by the replies that clients and operators received; it doesn't
 * rely on what nodes report about themselves. Counts for each invariant how often it was exercised, that is, could have been
 * violated. Times are microseconds of true time.
 */
public final class Observer {
    private static final long SECOND = 1_000_000L;
    private static final long WINDOW = 10 * SECOND;
    private final java.util.function.LongSupplier trueTime;
    private final List<String> violations = new ArrayList<>();
    private final Map<String, Long> counters = new TreeMap<>();
    private final Map<Invariant, Long> exercised = new EnumMap<>(Invariant.class);
    private final Map<String, Integer> startsByRequest = new HashMap<>();
    private final Map<String, String> requestByKey = new HashMap<>();
    private final Map<String, String> outcomes = new HashMap<>();
    private final Map<String, Long> drainingSince = new HashMap<>();
    private final Map<String, Long> restartedAt = new HashMap<>();
    private final Map<String, Map<String, Boolean>> keysByTenant = new HashMap<>();
    private final OperatorHistory operatorHistory = new OperatorHistory(this);
    private final List<CompletedRequest> completed = new ArrayList<>();
    private final Deque<Attempt> attempts = new ArrayDeque<>();
    private final Map<String, Long> outcomesByKind = new TreeMap<>();
    private final Map<String, List<Long>> firstChunkTimes = new TreeMap<>();
    private int extraAttempts;

    private record CompletedRequest(String tenant, long time) {}

    private record Attempt(long time, boolean extra) {}

    /** Creates an observer that takes the true time from the given clock. */
    public Observer(final java.util.function.LongSupplier clock) {
        this.trueTime = clock;
    }

    long now() {
        return trueTime.getAsLong();
    }

    /** An attempt that a worker started, with the request's properties as its client sent them. */
    public record Run(
            String requestId,
            String tenant,
            String kind,
            String idempotencyKey,
            String worker,
            String zone,
            String region,
            String gateway,
            String gatewayRegion,
            long revision) {}

    /** Returns the history of the operators' changes, which checks them against their effects. */
    public OperatorHistory operatorHistory() {
        return operatorHistory;
    }

    /** Returns the first fifty violations, in order. */
    public List<String> violations() {
        return List.copyOf(violations);
    }

    /** Returns all counters; those of exercised invariants have the prefix {@code test-}, those of maxima {@code most-}. */
    public Map<String, Long> counters() {
        final Map<String, Long> all = new TreeMap<>(counters);
        exercised.forEach((m, n) -> all.put("test-" + m, n));
        return all;
    }

    /** Returns the value of a counter, or 0 if it was never incremented. */
    public long counter(final String what) {
        return counters.getOrDefault(what, 0L);
    }

    /** Increments a counter. */
    public void count(final String what) {
        counters.merge(what, 1L, Long::sum);
    }

    /** Records a value of which the maximum is kept. */
    public void recordMaximum(final String what, final long value) {
        counters.merge("most-" + what, value, Math::max);
    }

    /** Records that an invariant was exercised: it could have been violated here. */
    public void exercise(final Invariant invariant) {
        exercised.merge(invariant, 1L, Long::sum);
    }

    /** Records a violation of an invariant; only the first fifty are kept. */
    public void violated(final Invariant invariant, final String text) {
        if (violations.size() < 50) {
            violations.add(invariant + " " + text);
        }
    }

    /** Checks an attempt that a worker started. */
    public void runStarted(final Run run, final long now) {
        count("runs");
        if (!run.gatewayRegion().equals(run.region())) {
            count("crossings");
        }
        if (startsByRequest.merge(run.requestId(), 1, Integer::sum) > 1) {
            violated(
                    Invariant.AT_MOST_ONCE,
                    "ticket " + run.requestId() + " ran " + startsByRequest.get(run.requestId()) + " times");
        }
        if (!run.idempotencyKey().isEmpty()) {
            final String name = run.tenant() + "|" + run.idempotencyKey();
            final String earlier = requestByKey.getOrDefault(name, run.requestId());
            requestByKey.putIfAbsent(name, run.requestId());
            if (!earlier.equals(run.requestId())) {
                violated(
                        Invariant.AT_MOST_ONCE,
                        "key " + run.idempotencyKey() + " ran as " + earlier + " and as " + run.requestId());
            }
        }
        if (outcomes.getOrDefault(run.requestId(), "").equals("rejected")) {
            violated(Invariant.REJECTED_NEVER_RUNS, "ticket " + run.requestId() + " runs after it was rejected");
        }
        final long drainStart = drainingSince.getOrDefault(run.worker(), Long.MAX_VALUE / 2);
        drainingSince.values().stream()
                .filter(t -> now - t > 3 * SECOND && now - t < 8 * SECOND)
                .findFirst()
                .ifPresent(t -> exercise(Invariant.DRAINING_WORKER));
        if (now > drainStart) {
            recordMaximum("leaveMs", (now - drainStart) / 1000);
        }
        if (now - drainStart > 3 * SECOND) {
            violated(
                    Invariant.DRAINING_WORKER,
                    "worker " + run.worker() + " got ticket " + run.requestId() + " " + (now - drainStart) / 1000
                            + " ms after it said it leaves");
        }
        operatorHistory.runStarted(run, now);
    }

    /** Checks the share of retries among the attempts of the last ten seconds, when a gateway sends an attempt to a worker. */
    public void attemptSent(final String tenant, final String idempotencyKey, final boolean isRetry, final long now) {
        final boolean keySeen = !idempotencyKey.isEmpty()
                && keysByTenant.computeIfAbsent(tenant, k -> new HashMap<>()).putIfAbsent(idempotencyKey, true) != null;
        final boolean isExtra = isRetry || keySeen;
        attempts.add(new Attempt(now, isExtra));
        extraAttempts += isExtra ? 1 : 0;
        while (attempts.peek().time() < now - WINDOW) {
            extraAttempts -= attempts.poll().extra() ? 1 : 0;
        }
        if (isExtra) {
            count("extras");
        }
        if (attempts.size() >= 200) {
            if (extraAttempts > 0) {
                exercise(Invariant.RETRY_BUDGET);
            }
            recordMaximum("extrasPerMille", 1000L * extraAttempts / attempts.size());
            if (extraAttempts > 0.2 * attempts.size() + 2) {
                violated(
                        Invariant.RETRY_BUDGET,
                        extraAttempts + " of " + attempts.size() + " runs of ten seconds were extra tries");
            }
        }
    }

    /** Checks the outcome of a request as its client sees it: done, rejected, or another that leaves open whether it ran. */
    public void requestEnded(final String requestId, final String tenant, final String outcome, final long now) {
        count(outcome);
        outcomes.put(requestId, outcome);
        if (outcome.equals("done")) {
            completed.add(new CompletedRequest(tenant, now));
        }
        if (outcome.equals("rejected") && startsByRequest.containsKey(requestId)) {
            violated(Invariant.REJECTED_NEVER_RUNS, "ticket " + requestId + " was rejected and had run");
        }
        if (outcome.equals("done") && !startsByRequest.containsKey(requestId)) {
            violated(Invariant.OWN_RESPONSE, "ticket " + requestId + " is done and never ran");
        }
    }

    /** Records that a client submitted a request a second time with the same permit. */
    public void duplicateSent(final String requestId) {
        count("twins");
        exercise(Invariant.AT_MOST_ONCE);
        if (outcomes.getOrDefault(requestId, "").equals("rejected")) {
            exercise(Invariant.REJECTED_NEVER_RUNS);
        }
    }

    /** Records that a worker announces that it drains, or that it has restarted and no longer drains. */
    public void workerDraining(final String worker, final boolean draining, final long now) {
        if (draining) {
            drainingSince.putIfAbsent(worker, now);
        } else {
            drainingSince.remove(worker);
        }
    }

    /** Records that a worker restarted with an empty prefix cache, so that its slow start begins. */
    public void workerRestarted(final String worker, final long now) {
        restartedAt.put(worker, now);
    }

    /**
     * Checks how many attempts a worker in slow start has at once, running or queued. The limit is its warm-up share of the
     * slots, which rises from 0.1 to 1 within 6 s, as attempts above it would only wait, plus one attempt for each gateway,
     * which the worker's last report may not have counted yet.
     */
    public void workerLoad(
            final String worker, final int running, final int slots, final int gateways, final long now) {
        final long warmingFor = now - restartedAt.getOrDefault(worker, -60 * SECOND);
        if (warmingFor < 6 * SECOND) {
            final double warmShare = Math.min(1, 0.1 + 0.9 * warmingFor / (6.0 * SECOND));
            final double allowed = slots * warmShare + gateways;
            count("coldRuns");
            exercise(Invariant.SLOW_START);
            recordMaximum("coldPerMille", Math.round(1000 * running / allowed));
            if (running > allowed) {
                violated(
                        Invariant.SLOW_START,
                        "worker " + worker + " has " + running + " runs " + warmingFor / 1000
                                + " ms after it came back cold");
            }
        }
    }

    /** Records the outcome of a request, and how many microseconds after its start the first chunk arrived. */
    public void requestOutcome(
            final String kind, final String tenant, final String outcome, final long firstChunkMicros) {
        outcomesByKind.merge(kind + " " + outcome, 1L, Long::sum);
        outcomesByKind.merge("tenant " + tenant + " " + outcome, 1L, Long::sum);
        if (outcome.equals("done")) {
            firstChunkTimes.computeIfAbsent(kind, k -> new ArrayList<>()).add(firstChunkMicros);
        }
    }

    /** Returns how many requests had each outcome, by kind and by tenant. */
    public Map<String, Long> outcomesByKind() {
        return Map.copyOf(outcomesByKind);
    }

    /** Returns the microseconds to the first chunk of each completed request of a kind, in ascending order. */
    public List<Long> firstChunkTimes(final String kind) {
        return firstChunkTimes.getOrDefault(kind, List.of()).stream().sorted().toList();
    }

    /** Returns how many requests were completed from one time, inclusive, to another, exclusive. */
    public long completedBetween(final long from, final long to) {
        return completed.stream().filter(d -> d.time() >= from && d.time() < to).count();
    }

    /** Returns how many requests of a tenant were completed from one time, inclusive, to another, exclusive. */
    public long completedBetween(final String tenant, final long from, final long to) {
        return completed.stream()
                .filter(d -> d.time() >= from && d.time() < to && d.tenant().equals(tenant))
                .count();
    }
}
