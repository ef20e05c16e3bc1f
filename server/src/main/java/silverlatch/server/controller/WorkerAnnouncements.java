package silverlatch.server.controller;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import silverlatch.gossip.Worker;
import silverlatch.node.Node;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;

/**
 * Accepts the reports of workers and acknowledges them. A report that a worker is in service is acknowledged immediately. A report that
 * a worker is draining or gone is acknowledged once a majority of the controllers holds it, and rejected if that isn't confirmed in
 * time: after the acknowledgement it must be in force at all gateways, even if this controller is partitioned off right afterwards.
 * Callable from any thread. Replies are delivered on the event loop, or on the caller's thread if the event loop's queue is full.
 */
final class WorkerAnnouncements {
    private final EventLoopHandle eventLoop;
    private final long timeoutMicros;

    /** Creates announcements; a report that isn't confirmed within the timeout, in microseconds, is rejected. */
    WorkerAnnouncements(final EventLoopHandle eventLoop, final long timeoutMicros) {
        this.eventLoop = eventLoop;
        this.timeoutMicros = timeoutMicros;
    }

    /**
     * Accepts a worker's report; the reply is whether it was acknowledged. A report that may have waited during a pause of this process
     * for longer than its worker did is rejected, as it could bring back a worker that has ended since.
     */
    void announce(final Worker worker, final Consumer<Boolean> onResult) {
        applyAndConfirm(
                worker.id(),
                node -> {
                    if (node.mayBeOutdated(EventLoop.nowMicros())) {
                        return false;
                    }
                    node.onAnnouncement(worker, 0, EventLoop.nowMicros());
                    return node.gossip().workers().containsKey(worker.id());
                },
                onResult);
    }

    /** Marks a worker as gone; the reply is false if the worker isn't known or that isn't confirmed in time. */
    void markWorkerGone(final String workerId, final Consumer<Boolean> onResult) {
        applyAndConfirm(workerId, node -> node.onWorkerGone(workerId, EventLoop.nowMicros()), onResult);
    }

    /**
     * Applies a report to the node. Replies true immediately if the worker is in service, otherwise once a majority of the controllers
     * holds the report; replies false if the report isn't applied or confirmed.
     */
    private void applyAndConfirm(
            final String workerId, final Predicate<Node> applyReport, final Consumer<Boolean> onResult) {
        final boolean isPosted = eventLoop.execute(node -> {
            if (!applyReport.test(node)) {
                onResult.accept(false);
            } else if (isInService(node, workerId)) {
                onResult.accept(true);
            } else {
                confirm(workerId, onResult);
            }
        });
        if (!isPosted) {
            onResult.accept(false);
        }
    }

    private void confirm(final String workerId, final Consumer<Boolean> onResult) {
        if (!eventLoop.confirmReport(workerId, timeoutMicros, onResult)) {
            onResult.accept(false);
        }
    }

    private static boolean isInService(final Node node, final String workerId) {
        return Optional.ofNullable(node.gossip().workers().get(workerId))
                .filter(observed -> !observed.worker().draining())
                .isPresent();
    }
}
