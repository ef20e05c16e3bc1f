package silverlatch.simulation.sim;

import java.util.HashMap;
import java.util.Map;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.StreamRecord;

/**
 * The connections on which gateways send requests to workers. As over HTTP, each attempt has a connection of its own, its records
 * arrive in order, and the end of the worker's process breaks it. Reports the attempts that workers start to the observer.
 */
final class AttemptTransport {
    private static final long CONNECT_TIMEOUT = 1_000_000L;
    private static final long KEEPALIVE_INTERVAL = 200_000L;
    private final World world;
    private final Observer observer;
    private final SimulatedNetwork network;
    private final Map<String, IssuedRequest> issuedRequests = new HashMap<>();
    private final Map<String, String> regionByAttempt = new HashMap<>();

    AttemptTransport(final World world) {
        this.world = world;
        this.observer = world.observer();
        this.network = world.network();
    }

    /** The idempotency key and the number of previous attempts that a client sent for a request id. */
    private record IssuedRequest(String idempotencyKey, int previousAttempts) {}

    /** The connection of one attempt: its gateway, its worker, and whether the attempt has ended at the gateway. */
    private final class Connection {
        private final SimulatedNode gateway;
        private final SimulatedWorker worker;
        private final DispatchEffect.StartAttempt attempt;
        private final String name;
        private final long startedGeneration;
        private long exchange;
        private boolean ended;

        Connection(
                final SimulatedNode gateway, final SimulatedWorker worker, final DispatchEffect.StartAttempt attempt) {
            this.gateway = gateway;
            this.worker = worker;
            this.attempt = attempt;
            this.name = gateway.name() + ">" + worker.name() + "/" + attempt.attemptId();
            this.startedGeneration = gateway.generation();
        }

        void toWorker(final Runnable delivery) {
            network.sendBytes(name, gateway.name(), worker.name(), delivery);
        }

        void toGateway(final Runnable delivery) {
            network.sendBytes(name + "<", worker.name(), gateway.name(), delivery);
        }

        boolean hasEnded() {
            return ended || startedGeneration != gateway.generation();
        }

        void cancel() {
            ended = true;
            worker.cancel(exchange);
        }

        void failed(final boolean started, final String reason) {
            final long failedGeneration = gateway.generation();
            gateway.withDispatcher(dispatcher -> {
                if (failedGeneration == gateway.generation()) {
                    dispatcher.onAttemptFailed(attempt.operationId(), started, reason, gateway.now());
                }
            });
        }
    }

    /** Records the id of a client's request, with the key and the previous attempts that the observer's retry check needs. */
    void requestIssued(final String requestId, final String idempotencyKey, final int previousAttempts) {
        issuedRequests.put(requestId, new IssuedRequest(idempotencyKey, previousAttempts));
    }

    /** Returns the region of the worker that ran an attempt, or an empty string if none did. */
    String regionOf(final String attemptId) {
        return regionByAttempt.getOrDefault(attemptId, "");
    }

    /** Sends an attempt to its worker, and adds what cancels it to {@code openAttempts} under its operation id. */
    void start(
            final SimulatedNode gateway,
            final DispatchEffect.StartAttempt attempt,
            final Map<Long, Consumer<String>> openAttempts) {
        final SimulatedWorker worker = world.worker(attempt.worker());
        final long revision =
                gateway.clusterSnapshot().map(snapshot -> snapshot.revision()).orElse(0L);
        final IssuedRequest issued = issuedRequests.getOrDefault(attempt.requestId(), new IssuedRequest("", 0));
        observeSent(gateway, attempt, issued);
        final Connection connection = new Connection(gateway, worker, attempt);
        if (!network.isReachable(gateway.name(), worker.name())) {
            world.scheduler().schedule(CONNECT_TIMEOUT, () -> connection.failed(false, "no connection in time"));
            return;
        }
        openAttempts.put(attempt.operationId(), reason -> connection.cancel());
        connection.toWorker(() -> arriveAtWorker(connection, revision, issued.idempotencyKey()));
    }

    private void observeSent(
            final SimulatedNode gateway, final DispatchEffect.StartAttempt attempt, final IssuedRequest issued) {
        final long now = world.scheduler().now();
        final boolean isRetry = !attempt.attemptId().endsWith(".1") || issued.previousAttempts() > 0;
        observer.attemptSent(attempt.tenant(), issued.idempotencyKey(), isRetry, now);
        if (attempt.kind().equals(Operators.GATE_KIND)) {
            observer.operatorHistory()
                    .gateObserved(gateway.name(), true, "ticket " + attempt.requestId() + " was sent", now);
        }
    }

    private void arriveAtWorker(final Connection connection, final long revision, final String idempotencyKey) {
        if (connection.ended) {
            return;
        }
        if (!connection.worker.isAlive()) {
            connection.failed(false, "connection refused");
            return;
        }
        final BiConsumer<StreamRecord, Boolean> output =
                (record, last) -> connection.toGateway(() -> arriveAtGateway(connection, record, last));
        connection.exchange = connection.worker.startRun(connection.attempt, output);
        if (connection.exchange < 0) {
            connection.toGateway(() -> connection.failed(false, "not started"));
            return;
        }
        connection.toGateway(
                () -> connection.gateway.withDispatcher(d -> d.onAttemptStarted(connection.attempt.operationId())));
        regionByAttempt.put(connection.attempt.attemptId(), connection.worker.region());
        observeStarted(connection, revision, idempotencyKey);
        watchWorker(connection);
    }

    private void arriveAtGateway(final Connection connection, final StreamRecord record, final boolean last) {
        if (connection.hasEnded()) {
            return;
        }
        if (last) {
            connection.failed(true, "the connection ended");
            return;
        }
        final SimulatedNode gateway = connection.gateway;
        world.disturbances().onPointReached(InjectionPoint.STREAMING, gateway);
        gateway.withDispatcher(d -> d.onRecord(connection.attempt.operationId(), record, gateway.now()));
    }

    private void observeStarted(final Connection connection, final long revision, final String idempotencyKey) {
        final DispatchEffect.StartAttempt attempt = connection.attempt;
        final SimulatedWorker worker = connection.worker;
        final SimulatedNode gateway = connection.gateway;
        final long now = world.scheduler().now();
        observer.runStarted(
                new Observer.Run(
                        attempt.requestId(),
                        attempt.tenant(),
                        attempt.kind(),
                        idempotencyKey,
                        worker.name(),
                        worker.zone(),
                        worker.region(),
                        gateway.name(),
                        gateway.region(),
                        revision),
                now);
        if (attempt.kind().equals(Operators.GATE_KIND)) {
            observer.operatorHistory()
                    .requireGateInForce(gateway.name(), true, "ticket " + attempt.requestId() + " ran", now);
        }
    }

    /** Checks every 200 ms whether the worker's process still runs, as a keepalive does, and fails the attempt if not. */
    private void watchWorker(final Connection connection) {
        world.scheduler().schedule(KEEPALIVE_INTERVAL, () -> {
            if (connection.hasEnded()) {
                return;
            }
            if (connection.worker.isAlive()) {
                watchWorker(connection);
            } else {
                connection.ended = true;
                connection.failed(true, "the connection broke");
            }
        });
    }
}
