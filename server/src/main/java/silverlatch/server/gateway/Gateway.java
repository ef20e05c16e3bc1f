package silverlatch.server.gateway;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.stream.Stream;
import silverlatch.dispatch.ClusterSnapshot;
import silverlatch.dispatch.Dispatcher;
import silverlatch.membership.Member;
import silverlatch.node.Event;
import silverlatch.node.Node;
import silverlatch.routing.Router;
import silverlatch.server.eventloop.EventLog;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.persistence.SavedConfiguration;
import silverlatch.server.persistence.SavedWorkerReports;
import silverlatch.server.process.DaemonProcess;
import silverlatch.server.proxy.ProxyHeaderNames;
import silverlatch.server.proxy.ProxyServer;
import silverlatch.server.proxy.WorkerHttpClient;
import silverlatch.server.replay.Recorder;
import silverlatch.server.settings.Settings;
import silverlatch.server.transport.Transport;
import silverlatch.server.web.ApiServer;
import silverlatch.server.web.HttpExchange;
import silverlatch.server.web.MultiListenerServer;
import silverlatch.traffic.TrafficReporter;
import silverlatch.traffic.UsageCounter;
import silverlatch.wire.Frame;

/**
 * The gateway process, which forms the data plane: connects its components, starts and stops them. Two event loops own the state:
 * the node's loop (clock, membership, gossip) and the {@link DispatchLoop} (dispatcher and router). After a tick in which the
 * node's state changed, the dispatch loop receives a snapshot of it. Public methods may be called from any thread.
 */
@Singleton
public final class Gateway implements DaemonProcess.Daemon {
    private static final int PROXY_THREADS = 16;
    private static final int PROXY_HEADER_BYTES = 16 << 10;
    private static final long PROXY_IDLE_TIMEOUT_MS = 60_000L;
    private static final long UNREADY_PERIOD_WITHOUT_PROXY_MICROS = 200_000L;
    private static final long MAX_UNREADY_PERIOD_MICROS = 2_500_000L;
    private static final long DRAIN_POLL_MS = 20;

    /** How long the shutdown waits until the remaining requests are ended and their responses are handed to their connections. */
    private static final long FINAL_REPLIES_TIMEOUT_MICROS = 400_000L;

    /** How long the shutdown then waits so that the final frames and responses are sent before the process ends. */
    private static final long FINAL_FLUSH_MS = 150;

    private final Settings settings;
    private final Transport transport;
    private final Node node;
    private final EventLoopHandle nodeLoop;
    private final DispatchLoop dispatchLoop;
    private final DispatchEffectHandler effectHandler;
    private final PendingExchanges exchanges = new PendingExchanges();
    private final ApiRouter apiRouter;
    private final Optional<Recorder> recorder;
    private final Optional<SavedConfiguration> savedConfiguration;
    private final Optional<SavedWorkerReports> savedWorkerReports;
    private Optional<ApiServer> apiServer = Optional.empty();
    private volatile Optional<String> unreadyReason = Optional.of("starting");
    private volatile List<Member> readyGateways = List.of();
    private Optional<ClusterSnapshot> publishedSnapshot = Optional.empty();

    /** Connects the components without starting them. The node, the dispatcher and the router must not be used elsewhere. */
    @Inject
    public Gateway(final Settings settings, final Node node, final Dispatcher dispatcher, final Router router) {
        this.settings = settings;
        this.node = node;
        this.transport = new Transport(settings.peerAddress(), this::onFrame);
        this.nodeLoop = new EventLoopHandle(
                node, settings.intervals().nodeTick(), transport::send, persist -> {}, this::publish);
        this.dispatchLoop =
                new DispatchLoop(dispatcher, router, settings.intervals().dispatchTick());
        this.recorder = settings.recordDirectory().map(Recorder::new);
        this.savedConfiguration = settings.dataDirectory().map(folder -> new SavedConfiguration(Path.of(folder)));
        this.savedWorkerReports = settings.dataDirectory().map(folder -> new SavedWorkerReports(Path.of(folder)));
        this.effectHandler = new DispatchEffectHandler(
                exchanges, new WorkerRuns(settings, dispatchLoop), nodeLoop, dispatchLoop, recorder);
        final OperatorApi operatorApi =
                new OperatorApi(settings, dispatchLoop, nodeLoop, transport, this::unreadyReason);
        this.apiRouter = new ApiRouter(
                settings, dispatchLoop, nodeLoop, exchanges, operatorApi, this::unreadyReason, this::publish);
        if (settings.singleton().isActive()) {
            enableTrafficReporting(node, router);
        }
    }

    private void enableTrafficReporting(final Node node, final Router router) {
        final Optional<UsageCounter> counter = settings.singleton().reportsUsage()
                ? Optional.of(new UsageCounter(settings.singleton().usageSchedule(), node::physicalClock))
                : Optional.empty();
        counter.ifPresent(router::countUsage);
        final long incarnation = node.membership().self().incarnation();
        node.traffic().enableReporting(new TrafficReporter(settings.name(), incarnation, counter, router::demand));
    }

    /**
     * Starts the event loops, the API's HTTP server and, if the settings contain an address for it, the proxy.
     *
     * @throws IOException when the address for peers can't be bound
     * @throws ApiServer.HttpServerException when an HTTP address can't be bound
     * @throws WorkerHttpClient.WorkerHttpClientException when the proxy's client can't start
     */
    @Override
    public void start() throws IOException, ApiServer.HttpServerException, WorkerHttpClient.WorkerHttpClientException {
        final ApiServer server = new ApiServer(settings.httpAddress(), settings.maxBodyBytes(), this::handle);
        apiServer = Optional.of(server);
        startEventLoops();
        server.start();
        if (settings.proxyAddress().isPresent()) {
            startProxy(settings.proxyAddress().get());
        }
    }

    /**
     * Starts the transport and the event loops only, for a caller that runs its own HTTP server.
     *
     * @throws IOException when the address for peers can't be bound
     */
    public void startEventLoops() throws IOException {
        recorder.ifPresent(Recorder::start);
        savedConfiguration.ifPresent(file -> file.restore(node.gossip()));
        savedWorkerReports.ifPresent(reports -> {
            nodeLoop.openReportStore(reports);
            reports.start();
        });
        transport.start();
        nodeLoop.start();
        dispatchLoop.start(effectHandler, this::updateReadiness);
        EventLog.write(
                Event.STARTED,
                "gateway " + settings.name() + " at " + settings.peerAddress() + ", HTTP at " + settings.httpAddress());
    }

    private void startProxy(final String address)
            throws ApiServer.HttpServerException, WorkerHttpClient.WorkerHttpClientException {
        final WorkerHttpClient workerClient = new WorkerHttpClient(WorkerHttpClient.Settings.DEFAULT);
        workerClient.start();
        final MultiListenerServer httpServer = new MultiListenerServer(PROXY_THREADS);
        final ProxyServer proxy = createProxy(ProxyHeaderNames.DEFAULT, workerClient);
        proxy.setListener(httpServer.addListener(address, PROXY_HEADER_BYTES, PROXY_IDLE_TIMEOUT_MS, proxy));
        httpServer.start();
    }

    /**
     * Creates the proxy, which routes requests by host and path; must be called at most once. From then on the router decides
     * whether this gateway is ready. The caller adds the proxy to an HTTP server as its handler.
     */
    public ProxyServer createProxy(final ProxyHeaderNames headerNames, final WorkerHttpClient workerClient) {
        final ProxyServer proxy = new ProxyServer(headerNames, workerClient, dispatchLoop::withRouter);
        dispatchLoop.attachProxy(proxy);
        return proxy;
    }

    /**
     * Shuts down gracefully and blocks until it is done. The gateway reports itself as not ready at once, and rejects new requests
     * after clients had time to notice. Open requests continue until the grace period of the settings ends; requests that are still
     * open then fail as lost.
     */
    @Override
    public void stop() {
        try {
            final long deadline = EventLoop.nowMicros() + settings.shutdownGrace();
            stopAccepting();
            awaitOpenRequests(deadline);
            endOpenRequests();
            EventLog.write(Event.STOPPED, "gateway " + settings.name());
            if (apiServer.isPresent()) {
                apiServer.get().stop();
            }
        } catch (final InterruptedException | ApiServer.HttpServerException failure) {
            EventLog.write(Event.STOPPED, "gateway " + settings.name() + ", not gracefully");
        }
    }

    private void stopAccepting() throws InterruptedException {
        final boolean hasProxy = dispatchLoop.proxy().isPresent();
        dispatchLoop.withDispatcher(Dispatcher::stopAccepting);
        dispatchLoop.withRouter(Router::startDraining);
        dispatchLoop.proxy().ifPresent(ProxyServer::closeConnectionsAfterResponses);
        nodeLoop.execute(node -> node.setReady(false));
        TimeUnit.MICROSECONDS.sleep(
                hasProxy
                        ? Math.min(MAX_UNREADY_PERIOD_MICROS, settings.shutdownGrace() / 3)
                        : UNREADY_PERIOD_WITHOUT_PROXY_MICROS);
        dispatchLoop.withRouter(Router::stopAccepting);
    }

    private void awaitOpenRequests(final long deadlineMicros) throws InterruptedException {
        while (EventLoop.nowMicros() < deadlineMicros && dispatchLoop.openRequests() > 0) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MS);
        }
    }

    private void awaitReplies(final long deadlineMicros) throws InterruptedException {
        while (EventLoop.nowMicros() < deadlineMicros && !exchanges.isEmpty()) {
            TimeUnit.MILLISECONDS.sleep(DRAIN_POLL_MS);
        }
    }

    private void endOpenRequests() throws InterruptedException {
        dispatchLoop.withDispatcher(dispatcher -> dispatcher.shutdown(EventLoop.nowMicros()));
        dispatchLoop.withRouter(router -> router.shutdown(EventLoop.nowMicros()));
        nodeLoop.execute(node -> node.leave(EventLoop.nowMicros()));
        final long repliesDeadline = EventLoop.nowMicros() + FINAL_REPLIES_TIMEOUT_MICROS;
        awaitOpenRequests(repliesDeadline);
        awaitReplies(repliesDeadline);
        TimeUnit.MILLISECONDS.sleep(FINAL_FLUSH_MS);
    }

    /** Replaces the seed addresses through which other members are found: {@code host:port} of the controllers' transports. */
    public void setSeeds(final List<String> seeds) {
        nodeLoop.execute(node -> node.membership().setSeeds(seeds));
    }

    /** Returns why requests are not accepted, or empty if they are; as of the dispatch loop's last tick. */
    public Optional<String> unreadyReason() {
        return unreadyReason;
    }

    /** Returns the known gateways that accept requests, which may include this one; as of the node's last tick. */
    public List<Member> readyGateways() {
        return readyGateways;
    }

    /** Serves a call of this gateway's own API on the calling thread, for a caller that runs its own HTTP server. */
    public void handle(final HttpExchange exchange) {
        apiRouter.handle(exchange);
    }

    private void onFrame(final Frame frame) {
        nodeLoop.execute(node -> node.onFrame(frame, EventLoop.nowMicros()));
    }

    /**
     * Passes the node's cluster snapshot to the dispatch loop, and saves it, if it changed since the last call. Called on the
     * node's event loop.
     */
    private void publish(final Node publishedNode) {
        final ClusterSnapshot snapshot = publishedNode.clusterSnapshot();
        if (publishedSnapshot.filter(last -> last == snapshot).isPresent()) {
            return;
        }
        publishedSnapshot = Optional.of(snapshot);
        savedConfiguration.ifPresent(file -> file.saveIfChanged(publishedNode.gossip()));
        readyGateways = Stream.concat(Stream.of(snapshot.self()), snapshot.peers().stream())
                .filter(Member::ready)
                .toList();
        dispatchLoop.update(snapshot);
    }

    /** Updates, logs and announces whether this gateway is ready. Called on the dispatch loop after each tick and update. */
    private void updateReadiness() {
        final Optional<String> reason = dispatchLoop.unreadyReason();
        if (reason.isPresent() != unreadyReason.isPresent()) {
            EventLog.write(
                    reason.isPresent() ? Event.UNREADY : Event.READY,
                    settings.name() + reason.map(text -> ": " + text).orElse(""));
            nodeLoop.execute(node -> node.setReady(reason.isEmpty()));
        }
        unreadyReason = reason;
    }
}
