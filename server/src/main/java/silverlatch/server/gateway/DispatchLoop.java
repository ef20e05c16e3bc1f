package silverlatch.server.gateway;

import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.Dispatcher;
import silverlatch.routing.Router;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.proxy.ProxyServer;

/**
 * The event loop that owns the dispatcher and the router: both are modified on its thread only, and their effects are applied there
 * in order after each task. The methods may be called from any thread unless they say otherwise; those that return a boolean
 * return false if the loop's queue is full, in which case the task is dropped.
 */
final class DispatchLoop {
    private static final int QUEUE_CAPACITY = 16_384;

    /** The minimum interval between ticks while no request is open: nothing can time out then, and only readiness is updated. */
    private static final long IDLE_TICK_MICROS = 250_000L;

    private final Dispatcher dispatcher;
    private final Router router;
    private final EventLoop eventLoop;
    private Consumer<DispatchEffect> effectHandler = effect -> {};
    private Runnable afterTick = () -> {};
    private volatile Optional<ProxyServer> proxy = Optional.empty();

    /** Creates an event loop, without starting it; while requests are open it ticks at this interval in microseconds. */
    DispatchLoop(final Dispatcher dispatcher, final Router router, final long tickMicros) {
        this.dispatcher = dispatcher;
        this.router = router;
        this.eventLoop = new EventLoop(
                "dispatch",
                QUEUE_CAPACITY,
                () -> openRequestsOnLoop() > 0 ? tickMicros : Math.max(tickMicros, IDLE_TICK_MICROS),
                this::tick);
    }

    /**
     * Starts the loop's thread; must be called once.
     *
     * @param onEffect called on the loop's thread for each effect of the dispatcher
     * @param onTick   called on the loop's thread after each tick and each update of the cluster snapshot
     */
    void start(final Consumer<DispatchEffect> onEffect, final Runnable onTick) {
        effectHandler = onEffect;
        afterTick = onTick;
        eventLoop.start();
    }

    /** Sets the proxy that carries out the router's effects. */
    void attachProxy(final ProxyServer server) {
        proxy = Optional.of(server);
    }

    /** Returns the proxy, if one was attached. */
    Optional<ProxyServer> proxy() {
        return proxy;
    }

    /** Runs a task with the dispatcher on the event loop. */
    boolean withDispatcher(final Consumer<Dispatcher> task) {
        return eventLoop.post(() -> {
            task.accept(dispatcher);
            applyEffects();
        });
    }

    /** Runs a task with the router on the event loop. */
    boolean withRouter(final Consumer<Router> task) {
        return eventLoop.post(() -> {
            task.accept(router);
            applyEffects();
        });
    }

    /** Runs a task with the dispatcher and the router on the event loop. */
    boolean withBoth(final BiConsumer<Dispatcher, Router> task) {
        return eventLoop.post(() -> {
            task.accept(dispatcher, router);
            applyEffects();
        });
    }

    /** Passes a newer cluster snapshot to the dispatcher and the router, and the limits configured in it to the proxy. */
    void update(final ClusterSnapshot snapshot) {
        withBoth((dispatcher, router) -> {
            dispatcher.update(snapshot, EventLoop.nowMicros());
            router.update(snapshot, EventLoop.nowMicros());
            proxy.ifPresent(server -> router.limits().ifPresent(server::updateLimits));
            afterTick.run();
        });
    }

    /**
     * Returns why no requests are accepted, or empty if they are. The router decides if a proxy is attached, otherwise the
     * dispatcher. Must be called on the event loop.
     */
    Optional<String> unreadyReason() {
        return proxy.isEmpty() ? dispatcher.unreadyReason(EventLoop.nowMicros()) : router.unreadyReason();
    }

    /** Returns the number of open requests; only an approximation if it is not called on the event loop. */
    int openRequests() {
        return dispatcher.openRequests() + proxy.map(ProxyServer::openRequests).orElse(0);
    }

    private int openRequestsOnLoop() {
        return dispatcher.openRequests() + router.openRequests();
    }

    /** Returns the number of tasks that were dropped because the queue was full. */
    long rejectedTasks() {
        return eventLoop.rejectedTasks();
    }

    private void tick() {
        dispatcher.tick(EventLoop.nowMicros());
        router.tick(EventLoop.nowMicros());
        applyEffects();
        afterTick.run();
    }

    private void applyEffects() {
        proxy.ifPresent(server -> router.drainEffects().forEach(server::apply));
        dispatcher.drainEffects().forEach(effectHandler);
    }
}
