package silverlatch.simulation.sim;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.ObjLongConsumer;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.Dispatcher;
import silverlatch.dispatch.PlacementRequest;
import silverlatch.dispatch.StreamRecord;
import silverlatch.dispatch.SubmittedRequest;
import silverlatch.simulation.fleet.Plan;
import silverlatch.simulation.response.ResponseVerifier;

/**
 * One request of a simulated client, from its placement to its end; verifies the response as it arrives. Times are
 * microseconds.
 */
final class ClientRequest {
    private static final long SECOND = 1_000_000L;
    private static final long CLIENT_TIMEOUT = 12 * SECOND;
    private static final long REQUEST_TIMEOUT = 10 * SECOND;
    private static final long RETRY_DELAY = SECOND / 2;
    private static final long MAX_SUBMIT_DELAY = 3 * SECOND;
    private static final long MAX_DUPLICATE_DELAY = 3 * SECOND / 2;
    private static final long RECONNECT_DELAY = 150_000L;
    private static final long MAX_TRANSIT_TIME = SECOND / 2;
    private static final int MAX_REDIRECTS = 4;
    private static final int MAX_RETRIES = 2;
    private static final Set<String> RETRIED_OUTCOMES = Set.of("cut", "broken", "lost");
    private static final Map<ResponseVerifier.Problem, Invariant> INVARIANTS = Map.of(
            ResponseVerifier.Problem.AFTER_END, Invariant.COMPLETE_RESPONSE,
            ResponseVerifier.Problem.WRONG_INDEX, Invariant.CONTIGUOUS_STREAM,
            ResponseVerifier.Problem.OTHER_REQUEST, Invariant.OWN_RESPONSE,
            ResponseVerifier.Problem.OTHER_ATTEMPT, Invariant.SINGLE_RUN_STREAM,
            ResponseVerifier.Problem.WRONG_TRAILER, Invariant.COMPLETE_RESPONSE);
    private final World world;
    private final Content content;
    private final int previousAttempts;
    private final boolean movesBetweenGateways;
    private final ResponseVerifier verifier;
    private final long serial;
    private String requestId = "";
    private Optional<SimulatedNode> gateway = Optional.empty();
    private long callToken;
    private boolean ended;
    private long connectionNumber;
    private long startedAt;
    private long firstChunkAt;

    /** The content of a request, which stays the same when the client retries it. */
    record Content(
            Plan.Tenant tenant,
            Plan.Kind kind,
            String idempotencyKey,
            String endpoint,
            String prompt,
            List<String> prefix) {
        Content {
            prefix = List.copyOf(prefix);
        }
    }

    ClientRequest(
            final World world,
            final Content content,
            final int previousAttempts,
            final boolean movesBetweenGateways,
            final long serial) {
        this.world = world;
        this.content = content;
        this.previousAttempts = previousAttempts;
        this.movesBetweenGateways = movesBetweenGateways;
        this.serial = serial;
        this.verifier =
                new ResponseVerifier(content.prompt(), (problem, what) -> violated(INVARIANTS.get(problem), what));
    }

    void start() {
        startedAt = world.scheduler().now();
        world.scheduler().schedule(CLIENT_TIMEOUT, () -> end("cut"));
        requestPlacement(world.randomOf(world.gateways()), 0);
    }

    private void requestPlacement(final SimulatedNode node, final int redirects) {
        if (!node.isAlive()) {
            if (redirects < MAX_REDIRECTS) {
                requestPlacement(world.randomOf(world.gateways()), redirects + 1);
            } else {
                end("unreached");
            }
            return;
        }
        final PlacementRequest placement = new PlacementRequest(
                content.tenant().key(),
                content.tenant().name(),
                content.kind().kind(),
                content.prefix(),
                content.prompt().length(),
                content.idempotencyKey(),
                previousAttempts);
        final String connection = content.endpoint() + ">" + node.name() + node.generation() + "/" + serial;
        final Runnable call = () -> node.openCall(
                (dispatcher, token) -> dispatcher.requestPlacement(placement, token, node.now()),
                answer -> {
                    observePlacement(node, answer);
                    deliver(node, answer, () -> onPlacementReply(node, answer, redirects));
                },
                token -> {});
        world.network().sendBytes(connection, content.endpoint(), node.name(), call);
    }

    /**
     * Opens a call for the response's stream, which this client can close; {@code onAnswer} receives the dispatcher's effects.
     */
    private void openStream(
            final SimulatedNode node, final ObjLongConsumer<Dispatcher> call, final Consumer<DispatchEffect> onAnswer) {
        world.network()
                .sendBytes(
                        connection(node),
                        content.endpoint(),
                        node.name(),
                        () -> node.openCall(call, onAnswer, token -> callToken = token));
    }

    private void observePlacement(final SimulatedNode node, final DispatchEffect answer) {
        final OperatorHistory history = world.observer().operatorHistory();
        final long now = world.scheduler().now();
        if (answer instanceof DispatchEffect.Placed placed) {
            history.revisionObserved(node.name(), placed.revision(), now);
            history.requireHomeRegion(
                    content.tenant().name(),
                    node.region(),
                    Invariant.GATEWAY_IN_HOME_REGION,
                    "a pick was made in " + node.region(),
                    now);
        }
        final boolean isPlaced = answer instanceof DispatchEffect.Placed;
        final boolean isKeyMissing = answer instanceof DispatchEffect.Rejected rejected
                && rejected.reason().startsWith("$.key");
        if (content.kind().kind().equals(Operators.GATE_KIND) && (isPlaced || isKeyMissing)) {
            history.gateObserved(node.name(), isPlaced, "a pick", now);
        }
    }

    private void onPlacementReply(final SimulatedNode node, final DispatchEffect answer, final int redirects) {
        if (ended) {
            return;
        }
        switch (answer) {
            case DispatchEffect.Placed placed -> onPlaced(node, placed);
            case DispatchEffect.Redirected redirected -> {
                final Optional<SimulatedNode> target =
                        world.node(redirected.endpoints().get(0));
                if (redirects > MAX_REDIRECTS || target.isEmpty()) {
                    end("rejected");
                } else {
                    requestPlacement(target.get(), redirects + 1);
                }
            }
            case DispatchEffect.Rejected rejected -> onRejected(rejected);
            default -> end("unreached");
        }
    }

    private void onPlaced(final SimulatedNode node, final DispatchEffect.Placed placed) {
        requestId = placed.requestId();
        verifier.requestIssued(requestId);
        world.attempts().requestIssued(requestId, content.idempotencyKey(), previousAttempts);
        final long delay = world.scheduler().random().nextInt(30) == 0
                ? world.scheduler().random().nextLong(MAX_SUBMIT_DELAY)
                : 0;
        world.scheduler().schedule(delay, () -> submit(node, placed.permit()));
        if (world.scheduler().random().nextInt(50) == 0) {
            world.scheduler()
                    .schedule(
                            delay + world.scheduler().random().nextLong(MAX_DUPLICATE_DELAY),
                            () -> submitDuplicate(node, placed.permit()));
        }
    }

    private void submit(final SimulatedNode node, final String permit) {
        if (ended) {
            return;
        }
        if (!node.isAlive()) {
            end("broken");
            return;
        }
        gateway = Optional.of(node);
        final SubmittedRequest submission = submission(permit);
        openStream(
                node,
                (d, token) -> d.submit(submission, token, node.now()),
                answer -> deliver(node, answer, () -> {
                    if (connectionNumber == 0) {
                        onStreamReply(node, answer);
                    }
                }));
        if (movesBetweenGateways) {
            world.scheduler().schedule(RECONNECT_DELAY, () -> reconnect(node));
        }
    }

    private SubmittedRequest submission(final String permit) {
        return new SubmittedRequest(
                content.tenant().key(), permit, content.prefix(), content.prompt(), REQUEST_TIMEOUT);
    }

    /** Submits the same permit a second time and ignores the reply; the request must not run twice. */
    private void submitDuplicate(final SimulatedNode node, final String permit) {
        if (node.isAlive()) {
            world.observer().duplicateSent(requestId);
            node.openCall((d, token) -> d.submit(submission(permit), token, node.now()), answer -> {}, token -> {});
        }
    }

    private void reconnect(final SimulatedNode node) {
        if (ended || !node.isAlive() || requestId.isEmpty()) {
            return;
        }
        world.observer().count("moves");
        connectionNumber++;
        final long thisConnection = connectionNumber;
        node.disconnectClient(callToken);
        openStream(
                node,
                (d, token) -> d.attach(requestId, content.tenant().key(), verifier.nextChunk(), token, node.now()),
                answer -> deliver(node, answer, () -> {
                    if (thisConnection == connectionNumber) {
                        requireRetainedInHomeRegion(
                                node, answer, world.scheduler().now() - MAX_TRANSIT_TIME);
                        onStreamReply(node, answer);
                    }
                }));
    }

    /** Requires that the gateway which returns a retained response is in one of the tenant's home regions. */
    private void requireRetainedInHomeRegion(final SimulatedNode node, final DispatchEffect answer, final long time) {
        if (answer instanceof DispatchEffect.StreamWrite) {
            world.observer()
                    .operatorHistory()
                    .requireHomeRegion(
                            content.tenant().name(),
                            node.region(),
                            Invariant.RETAINED_IN_HOME_REGION,
                            "ticket " + requestId + " was read again in " + node.region(),
                            time);
        }
    }

    private void deliver(final SimulatedNode node, final DispatchEffect answer, final Runnable onDelivered) {
        if (answer instanceof DispatchEffect.StreamWrite stream) {
            stream.records().forEach(this::requireServedInHomeRegion);
        }
        world.network().sendBytes(connection(node) + "<", node.name(), content.endpoint(), onDelivered);
    }

    private void requireServedInHomeRegion(final StreamRecord record) {
        if (record instanceof StreamRecord.Chunk chunk) {
            final String region = world.attempts().regionOf(chunk.attemptId());
            if (!region.isEmpty()) {
                world.observer()
                        .operatorHistory()
                        .requireHomeRegion(
                                content.tenant().name(),
                                region,
                                Invariant.WORKER_IN_HOME_REGION,
                                "a piece of " + requestId + " came from " + region,
                                world.scheduler().now() - MAX_TRANSIT_TIME);
            }
        }
    }

    private String connection(final SimulatedNode node) {
        return content.endpoint() + ">" + node.name() + "/" + requestId + "/" + connectionNumber;
    }

    private void onStreamReply(final SimulatedNode node, final DispatchEffect answer) {
        if (ended) {
            return;
        }
        switch (answer) {
            case DispatchEffect.StreamWrite stream -> {
                stream.records().forEach(this::verify);
                if (stream.endOfStream()) {
                    end(verifier.isComplete() ? "done" : "lost");
                } else {
                    node.withDispatcher(d -> d.onReaderReady(stream.callId()));
                }
            }
            case DispatchEffect.Rejected rejected -> onRejected(rejected);
            default -> end("broken");
        }
    }

    private void verify(final StreamRecord record) {
        if (verifier.nextChunk() == 0 && record instanceof StreamRecord.Chunk) {
            firstChunkAt = world.scheduler().now();
        }
        verifier.verify(record);
    }

    private void onRejected(final DispatchEffect.Rejected rejection) {
        final int status = rejection.statusCode();
        final boolean isPermitUsed = status == 409 && rejection.reason().equals(Dispatcher.ALREADY_SUBMITTED);
        if (status == 0 || status == 410 || isPermitUsed) {
            end("broken");
            return;
        }
        if (status == 425) {
            world.observer().count("code425");
            gateway.ifPresent(node -> world.scheduler().schedule(rejection.retryAfter(), () -> reconnect(node)));
            return;
        }
        if (status == 409) {
            world.observer().count("stands");
        }
        if (verifier.nextChunk() > 0 && status != 404) {
            world.observer()
                    .violated(Invariant.REJECTED_NEVER_RUNS, "ticket " + requestId + " was rejected after pieces came");
        }
        world.observer().count("code" + status);
        end(status == 404 ? "broken" : "rejected");
        if (rejection.retryAfter() > 0
                && previousAttempts < MAX_RETRIES
                && !content.idempotencyKey().isEmpty()
                        | world.scheduler().random().nextInt(3) == 0) {
            retryAfter(rejection.retryAfter());
        }
    }

    private void retryAfter(final long delay) {
        world.scheduler().schedule(delay, () -> world.startRequest(content, previousAttempts + 1, false));
    }

    /** Reads a complete response again, which the gateway may still retain. */
    private void readAgain(final SimulatedNode node) {
        if (node.isAlive()) {
            world.observer().count("rereads");
            node.openCall(
                    (d, token) -> d.attach(requestId, content.tenant().key(), 0, token, node.now()),
                    answer -> requireRetainedInHomeRegion(
                            node, answer, world.scheduler().now()),
                    token -> {});
        }
    }

    private void violated(final Invariant invariant, final String what) {
        world.observer().violated(invariant, "ticket " + requestId + ": " + what);
    }

    private void end(final String outcome) {
        if (ended) {
            return;
        }
        ended = true;
        if (outcome.equals("done") && world.load().areClientsMoving()) {
            gateway.ifPresent(node -> world.scheduler()
                    .schedule(SECOND + world.scheduler().random().nextLong(10 * SECOND), () -> readAgain(node)));
        }
        final String tenant = content.tenant().name();
        world.observer().requestOutcome(content.kind().kind(), tenant, outcome, firstChunkAt - startedAt);
        if (outcome.equals("cut")) {
            gateway.filter(SimulatedNode::isAlive).ifPresent(node -> node.disconnectClient(callToken));
        }
        if (requestId.isEmpty()) {
            world.observer().count("pick-" + outcome);
        } else {
            world.observer()
                    .requestEnded(requestId, tenant, outcome, world.scheduler().now());
        }
        if (RETRIED_OUTCOMES.contains(outcome)
                && !content.idempotencyKey().isEmpty()
                && previousAttempts < MAX_RETRIES) {
            retryAfter(RETRY_DELAY);
        }
    }
}
