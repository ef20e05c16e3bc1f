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
 * The event loop that owns the dispatcher and the router: both change on its thread only, and after each change their effects
 * are applied there, in order. The methods may be called from any thread; those that return a boolean return false when the
 * loop's queue is full, and the task is dropped then.
 */
final class DispatchLoop {
    private static final int QUEUE_CAPACITY = 16_384;

    /** While no request is open nothing can time out, and only readiness has to be looked at. */
    private static final long IDLE_TICK_MICROS = 250_000L;

    private final Dispatcher dispatcher;
    private final Router router;
    private final EventLoop eventLoop;
    private Consumer<DispatchEffect> effectHandler = effect -> {};
    private Runnable afterTick = () -> {};
    private volatile Optional<ProxyServer> proxy = Optional.empty();

    /** An event loop with a tick each so many microseconds while requests are open; it does not run yet. */
    DispatchLoop(final Dispatcher dispatcher, final Router router, final long tickMicros) {
        this.dispatcher = dispatcher;
        this.router = router;
        this.eventLoop = new EventLoop(
                "dispatch",
                QUEUE_CAPACITY,
                () -> openRequestsOnLoop() > 0 ? tickMicros : Math.max(tickMicros, IDLE_TICK_MICROS),
                this::tick);
    }

    /** Starts the thread, once. Both arguments are called on it: one for each effect, the other after each tick and update. */
    void start(final Consumer<DispatchEffect> onEffect, final Runnable onTick) {
        effectHandler = onEffect;
        afterTick = onTick;
        eventLoop.start();
    }

    /** Makes this the proxy that carries out the router's effects. */
    void attachProxy(final ProxyServer server) {
        proxy = Optional.of(server);
    }

    /** The proxy, if one was attached. */
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

    /** Runs a task with both on the event loop. */
    boolean withBoth(final BiConsumer<Dispatcher, Router> task) {
        return eventLoop.post(() -> {
            task.accept(dispatcher, router);
            applyEffects();
        });
    }

    /** Hands a newer view of the cluster to dispatcher and router, and the limits that follow from it to the proxy. */
    void update(final ClusterSnapshot snapshot) {
        withBoth((dispatcher, router) -> {
            dispatcher.update(snapshot, EventLoop.nowMicros());
            router.update(snapshot, EventLoop.nowMicros());
            proxy.ifPresent(server -> router.limits().ifPresent(server::updateLimits));
            afterTick.run();
        });
    }

    /** Why no requests are accepted, or empty when they are; called on the event loop. The router decides where there is a proxy. */
    Optional<String> unreadyReason() {
        return proxy.isEmpty() ? dispatcher.unreadyReason(EventLoop.nowMicros()) : router.unreadyReason();
    }

    /** The number of open requests, as a rough figure when it is read off the event loop. */
    int openRequests() {
        return dispatcher.openRequests() + proxy.map(ProxyServer::openRequests).orElse(0);
    }

    private int openRequestsOnLoop() {
        return dispatcher.openRequests() + router.openRequests();
    }

    /** How many tasks were dropped because the queue was full. */
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
