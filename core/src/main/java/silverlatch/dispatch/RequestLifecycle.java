package silverlatch.dispatch;

import silverlatch.node.Event;
import silverlatch.state.Command;

/**
 * Changes the states of requests and ends them. Ending a request may free capacity of a worker; callers that end one which may
 * hold a worker slot have to call {@link QueueDispatcher#run} afterwards. Used only by the dispatch event loop.
 */
final class RequestLifecycle {
    private static final long COMPLETE_CLAIM_TIMEOUT_MICROS = 30_000_000L;
    private final DispatcherSettings settings;
    private final ClusterView cluster;
    private final RequestTable requests;
    private final FairQueues queues;
    private final WorkerUsageTable usage;
    private final StreamDelivery delivery;
    private final DispatchOutput output;
    private long lastTick;

    RequestLifecycle(
            final DispatcherSettings settings,
            final ClusterView cluster,
            final RequestTable requests,
            final FairQueues queues,
            final WorkerUsageTable usage,
            final StreamDelivery delivery,
            final DispatchOutput output) {
        this.settings = settings;
        this.cluster = cluster;
        this.requests = requests;
        this.queues = queues;
        this.usage = usage;
        this.delivery = delivery;
        this.output = output;
    }

    /**
     * Applies an event to a request's state and records the new state in the request's trace.
     *
     * @throws IllegalRequestTransitionException if the event is illegal in the request's state
     */
    void transition(final DispatchedRequest request, final RequestEvent event) {
        request.apply(event);
        output.traces().recordState(request.id(), request.state().label(), request.reason());
    }

    /** Releases the worker slot that a request holds, if it holds one. */
    void releaseWorkerSlot(final DispatchedRequest request) {
        if (request.holdsWorkerSlot()) {
            request.releaseWorkerSlot();
            usage.recordAttemptEnd(request.worker());
            queues.queueOf(request).recordReleased();
        }
    }

    /** Ends a request as rejected: it did not run and never will. */
    void reject(final DispatchedRequest request, final Rejection rejection) {
        queues.remove(request);
        request.setReason(rejection.reason());
        finish(request, RequestEvent.REJECT);
        delivery.reject(request, rejection);
    }

    /**
     * Ends a request as lost: it may have run, and its response cannot be completed. If its worker has not indicated a start,
     * the worker is ejected.
     */
    void markLost(final DispatchedRequest request, final String reason, final long now) {
        releaseWorkerSlot(request);
        request.setReason(reason);
        request.response().end(new StreamRecord.Lost(request.id(), reason));
        output.log(Event.TICKET_LOST, request.id() + " " + reason);
        if (request.state() == RequestState.STARTING) {
            usage.eject(request.worker(), now);
        }
        finish(request, RequestEvent.LOSE);
        delivery.write(request);
    }

    /** Ends a request as done: its worker sent a matching trailer. */
    void complete(final DispatchedRequest request) {
        releaseWorkerSlot(request);
        finish(request, RequestEvent.COMPLETE);
        delivery.write(request);
    }

    /** Removes the ended requests whose retention is over. */
    void tick(final long now) {
        lastTick = now;
        final long before = now - settings.endedRetention();
        for (var oldest = requests.removeOldestEnded(before);
                oldest.isPresent();
                oldest = requests.removeOldestEnded(before)) {
            delivery.close(oldest.get());
        }
    }

    /** Removes an ended request immediately. */
    void discard(final DispatchedRequest request) {
        delivery.close(request);
        requests.removeEnded(request);
    }

    private void finish(final DispatchedRequest request, final RequestEvent event) {
        transition(request, event);
        final String state = request.state().label();
        output.count(state);
        output.add(new DispatchEffect.RequestEnded(request.id(), state, request.reason()));
        if (request.mayHoldClaim()) {
            output.add(completeClaimEffect(request));
        }
        requests.end(request, lastTick);
        request.clearPrompt();
    }

    private DispatchEffect.SubmitCommand completeClaimEffect(final DispatchedRequest request) {
        final String state = request.state().label();
        return new DispatchEffect.SubmitCommand(
                0,
                new Command.CompleteClaim(
                        request.attemptId() + "/" + state,
                        request.claimKey(),
                        request.id(),
                        cluster.snapshot().self().id(),
                        state,
                        request.claimTimestamp()),
                COMPLETE_CLAIM_TIMEOUT_MICROS);
    }
}
