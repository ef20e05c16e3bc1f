package silverlatch.server.controller;

import java.util.List;
import java.util.function.Consumer;
import silverlatch.log.LogRecord;
import silverlatch.node.Event;
import silverlatch.node.Node;
import silverlatch.server.eventloop.EventLog;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;

/**
 * Forwards the notifications of the log writer to the node. Called on the writer's thread, which waits while the event loop's queue is
 * full.
 */
final class NodeLogListener implements LogWriter.Listener {
    private final EventLoopHandle eventLoop;

    NodeLogListener(final EventLoopHandle eventLoop) {
        this.eventLoop = eventLoop;
    }

    @Override
    public void onSynced(final List<Long> tokens) {
        post(node -> tokens.forEach(token -> node.onPersisted(token, EventLoop.nowMicros())), () -> {});
    }

    @Override
    public void onFailed(final String reason, final Runnable onWritesStopped) {
        post(node -> node.onDiskFailed(reason, EventLoop.nowMicros()), onWritesStopped);
    }

    @Override
    public void onRecovered(final List<LogRecord> records) {
        EventLog.write(Event.RECOVERED, records.size() + " records, after the disk had failed");
        post(node -> node.onDiskRecovered(records, EventLoop.nowMicros()), () -> {});
    }

    private void post(final Consumer<Node> task, final Runnable afterFlush) {
        while (!eventLoop.execute(task, afterFlush)) {
            Thread.onSpinWait();
        }
    }
}
