package silverlatch.server.gateway;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Collectors;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.server.eventloop.Caller;
import silverlatch.server.eventloop.EventLog;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.replay.Recorder;
import silverlatch.server.replay.RecordingFormat;
import silverlatch.server.web.HttpExchange;
import silverlatch.server.workerclient.StreamRecordEncoder;

/**
 * Carries out the dispatcher's effects: replies to clients, starts and cancels attempts at workers, submits commands to the chain,
 * and writes the recording. Called on the dispatch loop. An effect for an exchange that has ended is dropped.
 */
final class DispatchEffectHandler implements Consumer<DispatchEffect> {
    private final PendingExchanges exchanges;
    private final WorkerRuns workerRuns;
    private final EventLoopHandle nodeLoop;
    private final DispatchLoop dispatchLoop;
    private final Optional<Recorder> recorder;

    DispatchEffectHandler(
            final PendingExchanges exchanges,
            final WorkerRuns workerRuns,
            final EventLoopHandle nodeLoop,
            final DispatchLoop dispatchLoop,
            final Optional<Recorder> recorder) {
        this.exchanges = exchanges;
        this.workerRuns = workerRuns;
        this.nodeLoop = nodeLoop;
        this.dispatchLoop = dispatchLoop;
        this.recorder = recorder;
    }

    @Override
    public void accept(final DispatchEffect effect) {
        switch (effect) {
            case DispatchEffect.Placed placed -> replyPlaced(placed);
            case DispatchEffect.Redirected redirected -> replyRedirected(redirected);
            case DispatchEffect.Rejected rejected ->
                exchanges.remove(rejected.callId()).ifPresent(exchange -> ApiReplies.reject(exchange, rejected));
            case DispatchEffect.StreamWrite write -> writeRecords(write);
            case DispatchEffect.StartAttempt attempt -> workerRuns.start(attempt);
            case DispatchEffect.CancelAttempt attempt -> workerRuns.cancel(attempt.operationId());
            case DispatchEffect.SubmitCommand submission -> submit(submission);
            case DispatchEffect.PlacementDecided decided ->
                recorder.ifPresent(target -> target.write(RecordingFormat.write(decided)));
            case DispatchEffect.RequestEnded ended ->
                recorder.ifPresent(target -> target.write(RecordingFormat.write(ended)));
            case DispatchEffect.Log entry -> EventLog.write(entry.event(), entry.text());
        }
    }

    private void replyPlaced(final DispatchEffect.Placed placed) {
        exchanges
                .remove(placed.callId())
                .ifPresent(exchange -> exchange.reply(
                        200,
                        Map.ofEntries(
                                Map.entry("outcome", "picked"),
                                Map.entry("ticket", placed.requestId()),
                                Map.entry("carrier", placed.gateway()),
                                Map.entry("permit", placed.permit()),
                                Map.entry("worker", placed.worker()),
                                Map.entry("table", placed.revision()),
                                Map.entry("stamp", "" + placed.timestamp()))));
    }

    private void replyRedirected(final DispatchEffect.Redirected redirected) {
        exchanges
                .remove(redirected.callId())
                .ifPresent(
                        exchange -> exchange.reply(200, Map.of("outcome", "pointed", "doors", redirected.endpoints())));
    }

    private void writeRecords(final DispatchEffect.StreamWrite write) {
        final long callId = write.callId();
        final Optional<HttpExchange> exchange = write.endOfStream() ? exchanges.remove(callId) : exchanges.find(callId);
        exchange.ifPresent(client -> client.writeLines(
                write.records().stream().map(StreamRecordEncoder::encode).collect(Collectors.joining()),
                write.endOfStream(),
                () -> dispatchLoop.withDispatcher(dispatcher -> dispatcher.onReaderReady(callId)),
                () -> readerDisconnected(callId)));
    }

    private void readerDisconnected(final long callId) {
        exchanges.remove(callId);
        dispatchLoop.withDispatcher(dispatcher -> dispatcher.onReaderDisconnected(callId, EventLoop.nowMicros()));
    }

    private void submit(final DispatchEffect.SubmitCommand submission) {
        nodeLoop.submit(
                submission.command(),
                submission.timeout(),
                Caller.WAITS,
                result -> dispatchLoop.withDispatcher(dispatcher ->
                        dispatcher.onClaimResult(submission.operationId(), result, EventLoop.nowMicros())));
    }
}
