package silverlatch.dispatch;

import java.util.Optional;
import silverlatch.node.Event;
import silverlatch.safeguard.Safeguard;

/**
 * Monitors attempts at workers: processes the records they send, handles failures and retries, and enforces timeouts. Used only
 * by the dispatch event loop.
 */
final class AttemptMonitor {
    private static final int MAX_ATTEMPTS = 2;
    private final DispatcherSettings settings;
    private final RequestTable requests;
    private final FairQueues queues;
    private final WorkerUsageTable usage;
    private final RequestLifecycle lifecycle;
    private final QueueDispatcher queueDispatcher;
    private final StreamDelivery delivery;
    private final RetryBudget retryBudget;
    private final ResponseChecker checker;
    private final DispatchOutput output;

    AttemptMonitor(
            final DispatcherSettings settings,
            final RequestTable requests,
            final FairQueues queues,
            final WorkerUsageTable usage,
            final RequestLifecycle lifecycle,
            final QueueDispatcher queueDispatcher,
            final StreamDelivery delivery,
            final RetryBudget retryBudget,
            final DispatchOutput output) {
        this.settings = settings;
        this.requests = requests;
        this.queues = queues;
        this.usage = usage;
        this.lifecycle = lifecycle;
        this.queueDispatcher = queueDispatcher;
        this.delivery = delivery;
        this.retryBudget = retryBudget;
        this.checker = new ResponseChecker(settings.safeguards());
        this.output = output;
    }

    /** Handles the worker's indication that it runs the request. */
    void onStarted(final long operationId) {
        requests.byOperation(operationId).ifPresent(this::markRunning);
    }

    /** Handles a record of the response from the worker. */
    void onRecord(final long operationId, final StreamRecord received, final long now) {
        requests.byOperation(operationId).ifPresent(request -> onRecord(request, received, now));
    }

    private void onRecord(final DispatchedRequest request, final StreamRecord received, final long now) {
        markRunning(request);
        final Optional<String> violation = checker.violation(request, received);
        if (violation.isPresent()) {
            output.log(Event.WORKER_BROKE, request.worker() + " request " + request.id() + " " + violation.get());
            cancel(request, "the worker broke the stream: " + violation.get(), now);
        } else if (received instanceof StreamRecord.Chunk chunk) {
            append(request, chunk, now);
        } else {
            request.response().end(received);
            lifecycle.complete(request);
            queueDispatcher.run(now);
        }
    }

    private void append(final DispatchedRequest request, final StreamRecord.Chunk chunk, final long now) {
        request.response().append(chunk);
        if (request.response().bytes() > settings.maxResponseBytes()) {
            cancel(request, "the reply is larger than the buffer", now);
        } else {
            delivery.write(request);
        }
    }

    /**
     * Handles an exchange with the worker that ended without a trailer.
     *
     * @param started false only if the request provably did not start at the worker
     */
    void onFailed(final long operationId, final boolean started, final String reason, final long now) {
        requests.byOperation(operationId).ifPresent(request -> onFailed(request, started, reason, now));
    }

    private void onFailed(final DispatchedRequest request, final boolean started, final String reason, final long now) {
        final boolean isRunning = request.state() == RequestState.RUNNING;
        if ((started || isRunning) && isEnabled(Safeguard.NO_RETRY_AFTER_START)) {
            markLost(request, reason, now);
            return;
        }
        if (isRunning) {
            request.revertToStarting();
        }
        requests.endOperation(request);
        usage.eject(request.worker(), now);
        lifecycle.releaseWorkerSlot(request);
        if (mayRetry(request, now)) {
            output.count("again");
            lifecycle.transition(request, RequestEvent.RETRY);
            request.setPreferredWorker(Optional.empty());
            queues.addFirst(request);
        } else {
            lifecycle.reject(request, Rejection.unavailable("the worker did not take it: " + reason));
        }
        queueDispatcher.run(now);
    }

    private boolean mayRetry(final DispatchedRequest request, final long now) {
        return now < request.queueDeadline()
                && request.attempts() < MAX_ATTEMPTS
                && (retryBudget.tryAcquire(now) || !isEnabled(Safeguard.RETRY_BUDGET));
    }

    /**
     * Rejects requests that were queued for too long. Cancels attempts that did not start in time, passed the request's deadline,
     * or whose client has been disconnected for too long.
     */
    void tick(final long now) {
        queues.forEachQueued(request -> {
            if (now >= request.queueDeadline()) {
                lifecycle.reject(request, Rejection.unavailable("no room came in time"));
            }
        });
        requests.forEachOpen(request -> cancelReason(request, now).ifPresent(reason -> cancel(request, reason, now)));
    }

    private Optional<String> cancelReason(final DispatchedRequest request, final long now) {
        final boolean isStarting = request.state() == RequestState.STARTING;
        if (!isStarting && request.state() != RequestState.RUNNING) {
            return Optional.empty();
        }
        if (request.reader().isAbsentLongerThan(settings.readerAbsenceTimeout(), now)) {
            return Optional.of("the consumer went away");
        }
        if (isStarting && now - request.attemptStartedAt() > settings.startTimeout()) {
            return Optional.of("the worker gave no sign of a start in time");
        }
        return now >= request.deadline() ? Optional.of("the expiry passed") : Optional.empty();
    }

    private void markRunning(final DispatchedRequest request) {
        if (request.state() == RequestState.STARTING) {
            lifecycle.transition(request, RequestEvent.RUN);
        }
    }

    private void cancel(final DispatchedRequest request, final String reason, final long now) {
        output.add(new DispatchEffect.CancelAttempt(request.operationId()));
        markLost(request, reason, now);
    }

    private void markLost(final DispatchedRequest request, final String reason, final long now) {
        lifecycle.markLost(request, reason, now);
        queueDispatcher.run(now);
    }

    private boolean isEnabled(final Safeguard safeguard) {
        return settings.safeguards().isEnabled(safeguard);
    }
}
