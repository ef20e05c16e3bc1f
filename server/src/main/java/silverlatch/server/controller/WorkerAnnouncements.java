package silverlatch.server.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Function;
import silverlatch.gossip.Worker;
import silverlatch.node.Node;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;

/**
 * Takes what workers report on themselves, and replies. That a worker began to drain is acknowledged only after the next tick, with
 * which it is pushed to other nodes at the latest; all else is acknowledged at once. Callable from any thread; replies come on
 * the event loop.
 */
final class WorkerAnnouncements {
    private final EventLoopHandle eventLoop;

    /** Owned by the event loop. */
    private final List<Runnable> delayedReplies = new ArrayList<>();

    private record Outcome(boolean isAccepted, boolean startsDraining) {}

    WorkerAnnouncements(final EventLoopHandle eventLoop) {
        this.eventLoop = eventLoop;
    }

    /** Takes a worker's report; the reply is whether it was accepted. */
    void announce(final Worker worker, final Consumer<Boolean> onResult) {
        execute(
                node -> {
                    final boolean wasDraining = isDraining(node, worker.id());
                    node.onAnnouncement(worker, 0, EventLoop.nowMicros());
                    return new Outcome(
                            node.gossip().workers().containsKey(worker.id()),
                            !wasDraining && isDraining(node, worker.id()));
                },
                onResult);
    }

    /** Takes note that a worker is gone; the reply is whether it was known. */
    void workerLeft(final String workerId, final Consumer<Boolean> onResult) {
        execute(
                node -> {
                    final boolean isKnown = node.onWorkerGone(workerId, EventLoop.nowMicros());
                    return new Outcome(isKnown, isKnown);
                },
                onResult);
    }

    /** Sends the replies that waited for a tick. Called on the event loop after each. */
    void afterTick() {
        final List<Runnable> replies = List.copyOf(delayedReplies);
        delayedReplies.clear();
        replies.forEach(Runnable::run);
    }

    private void execute(final Function<Node, Outcome> report, final Consumer<Boolean> onResult) {
        final Outcome[] outcome = {new Outcome(false, false)};
        final boolean isPosted = eventLoop.execute(node -> outcome[0] = report.apply(node), () -> {
            if (outcome[0].startsDraining()) {
                delayedReplies.add(() -> onResult.accept(outcome[0].isAccepted()));
            } else {
                onResult.accept(outcome[0].isAccepted());
            }
        });
        if (!isPosted) {
            onResult.accept(false);
        }
    }

    private static boolean isDraining(final Node node, final String workerId) {
        return Optional.ofNullable(node.gossip().workers().get(workerId))
                .map(observed -> observed.worker().draining())
                .orElse(false);
    }
}
