package silverlatch.dispatch;

import silverlatch.node.Event;
import silverlatch.state.Command;

/**
 * Moves requests from state to state and ends them. Whoever ends a request here frees capacity and has to call
 * {@link QueueDispatcher#run} afterwards where the request may have held some. Owned by the dispatch event loop.
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
     * Moves a request on and notes so in its trace.
     *
     * @throws IllegalRequestTransitionException if its state does not take the event
     */
    void transition(final DispatchedRequest request, final RequestEvent event) {
        request.apply(event);
        output.traces().recordState(request.id(), request.state().label(), request.reason());
    }

    /** The request holds its worker's slot no longer, if it did. */
    void releaseWorkerSlot(final DispatchedRequest request) {
        if (request.holdsWorkerSlot()) {
            request.releaseWorkerSlot();
            usage.attemptEnded(request.worker());
            queues.queueOf(request).recordReleased();
        }
    }

    /** Ends a request that did not run and never will. */
    void reject(final DispatchedRequest request, final Rejection rejection) {
        queues.remove(request);
        request.setReason(rejection.reason());
        finish(request, RequestEvent.REJECT);
        delivery.reject(request, rejection);
    }

    /** Ends a request that may have run and whose response can't be completed. */
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

    /** Ends a request whose worker sent a trailer that matches. */
    void complete(final DispatchedRequest request) {
        releaseWorkerSlot(request);
        finish(request, RequestEvent.COMPLETE);
        delivery.write(request);
    }

    /** Forgets the requests that ended long ago. */
    void tick(final long now) {
        lastTick = now;
        final long before = now - settings.endedRetention();
        for (var oldest = requests.removeOldestEnded(before);
                oldest.isPresent();
                oldest = requests.removeOldestEnded(before)) {
            delivery.close(oldest.get());
        }
    }

    /** Forgets an ended request now. */
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
            output.add(completeClaim(request));
        }
        requests.end(request, lastTick);
        request.clearPrompt();
    }

    private DispatchEffect.SubmitCommand completeClaim(final DispatchedRequest request) {
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
