package silverlatch.server.gateway;

import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.StreamRecord;
import silverlatch.node.Event;
import silverlatch.server.eventloop.EventLog;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.settings.Settings;
import silverlatch.server.workerclient.WorkerRunClient;

/**
 * The dispatcher's attempts at workers. The HTTP client is started with the first attempt, as a gateway that only proxies needs
 * none. Called on the dispatch loop; what workers send comes back to the dispatcher there.
 */
final class WorkerRuns implements WorkerRunClient.Listener {
    private final DispatchLoop dispatchLoop;
    private final WorkerRunClient client;
    private boolean clientStarted;

    WorkerRuns(final Settings settings, final DispatchLoop dispatchLoop) {
        this.dispatchLoop = dispatchLoop;
        this.client = new WorkerRunClient(settings.maxLineBytes(), settings.workerKey(), this);
    }

    /** Starts an attempt; where no client can be started the attempt fails as one that never started. */
    void start(final DispatchEffect.StartAttempt attempt) {
        try {
            startClient();
            client.startRun(attempt);
        } catch (final WorkerRunClient.WorkerRunClientException failure) {
            EventLog.write(Event.FAULT, "no run can be sent", failure);
            onEnded(attempt.operationId(), false, "no client");
        }
    }

    /** Cancels an attempt; does nothing if it has ended. */
    void cancel(final long operationId) {
        client.cancel(operationId);
    }

    private void startClient() throws WorkerRunClient.WorkerRunClientException {
        if (!clientStarted) {
            client.start();
            clientStarted = true;
        }
    }

    @Override
    public void onStarted(final long operationId) {
        dispatchLoop.withDispatcher(dispatcher -> dispatcher.onAttemptStarted(operationId));
    }

    @Override
    public void onRecord(final long operationId, final StreamRecord record) {
        dispatchLoop.withDispatcher(dispatcher -> dispatcher.onRecord(operationId, record, EventLoop.nowMicros()));
    }

    @Override
    public void onEnded(final long operationId, final boolean started, final String reason) {
        dispatchLoop.withDispatcher(
                dispatcher -> dispatcher.onAttemptFailed(operationId, started, reason, EventLoop.nowMicros()));
    }
}
