package silverlatch.server.gateway;

import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.StreamRecord;
import silverlatch.node.Event;
import silverlatch.server.eventloop.EventLog;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.settings.Settings;
import silverlatch.server.workerclient.WorkerRunClient;

/**
 * Executes the dispatcher's attempts at workers. The HTTP client is started with the first attempt, because a gateway that only
 * serves as a proxy doesn't need it. Called on the dispatch loop; events of the runs are passed to the dispatcher on that loop.
 */
final class WorkerRuns implements WorkerRunClient.Listener {
    private final DispatchLoop dispatchLoop;
    private final WorkerRunClient client;
    private boolean clientStarted;

    WorkerRuns(final Settings settings, final DispatchLoop dispatchLoop) {
        this.dispatchLoop = dispatchLoop;
        this.client = new WorkerRunClient(settings.maxLineBytes(), settings.workerKey(), this);
    }

    /** Starts an attempt. If the HTTP client can't be started, the attempt is reported as failed and never started. */
    void start(final DispatchEffect.StartAttempt attempt) {
        try {
            startClient();
            client.startRun(attempt);
        } catch (final WorkerRunClient.WorkerRunClientException failure) {
            EventLog.write(
                    Event.FAULT, "can't send a run to a worker: the HTTP client for runs did not start", failure);
            onEnded(attempt.operationId(), false, "no client");
        }
    }

    /** Cancels an attempt; has no effect if it has ended. */
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
