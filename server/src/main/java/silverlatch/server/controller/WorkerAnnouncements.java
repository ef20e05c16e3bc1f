package silverlatch.server.controller;

import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Predicate;
import silverlatch.gossip.Worker;
import silverlatch.node.Node;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;

/**
 * Takes what workers report on themselves, and replies. That a worker is in service is acknowledged at once. That it drains or is gone
 * binds all gateways from the acknowledgement on, also where this controller is partitioned off right after it: so it is acknowledged
 * once a majority of the controllers holds it, and refused where that isn't known in time. Callable from any thread; replies come on
 * the event loop.
 */
final class WorkerAnnouncements {
    private final EventLoopHandle eventLoop;
    private final long timeoutMicros;

    /** Announcements to a controller whose callers wait for so many microseconds at most. */
    WorkerAnnouncements(final EventLoopHandle eventLoop, final long timeoutMicros) {
        this.eventLoop = eventLoop;
        this.timeoutMicros = timeoutMicros;
    }

    /** Takes a worker's report; the reply is whether it was accepted. */
    void announce(final Worker worker, final Consumer<Boolean> onResult) {
        applyAndConfirm(
                worker.id(),
                node -> {
                    node.onAnnouncement(worker, 0, EventLoop.nowMicros());
                    return node.gossip().workers().containsKey(worker.id());
                },
                onResult);
    }

    /** Takes note that a worker is gone; the reply is whether it was known. */
    void markWorkerGone(final String workerId, final Consumer<Boolean> onResult) {
        applyAndConfirm(workerId, node -> node.onWorkerGone(workerId, EventLoop.nowMicros()), onResult);
    }

    /** Takes a report, and replies once it is held by as many as it has to be; false where it isn't accepted. */
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
