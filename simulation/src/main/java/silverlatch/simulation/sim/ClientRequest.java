package silverlatch.simulation.sim;

import java.security.MessageDigest;
import java.util.HexFormat;
import java.util.List;
import java.util.Optional;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.dispatch.PlacementRequest;
import silverlatch.dispatch.StreamRecord;
import silverlatch.dispatch.SubmittedRequest;
import silverlatch.dispatch.permit.PermitSigner;
import silverlatch.simulation.worker.ExpectedResponse;

/** One consumer's ticket in the simulator, from the pick to its end, verified as it comes. */
final class ClientRequest {
    private static final long SECOND = 1_000_000L;
    private static final long TIMEOUT = 12_000_000L;
    private final World world;
    private final World.Tenant tenant;
    private final World.RequestKind kind;
    private final String idempotencyKey;
    private final String endpoint;
    private final int previousAttempts;
    private final String prompt;
    private final List<String> prefix;
    private final boolean movesBetweenGateways;
    private final MessageDigest digest = PermitSigner.newSha256();
    private String requestId = "";
    private String attemptId = "";
    private Optional<SimulatedNode> gateway = Optional.empty();
    private long callToken;
    private long nextChunk;
    private boolean ended;
    private boolean trailerSeen;
    private final long serial;
    private long connectionNumber;
    private long startedAt;
    private long firstChunkAt;

    ClientRequest(
            final World world,
            final World.Tenant tenant,
            final World.RequestKind kind,
            final String idempotencyKey,
            final String endpoint,
            final int previousAttempts,
            final String prompt,
            final List<String> prefix,
            final boolean movesBetweenGateways) {
        this.world = world;
        this.tenant = tenant;
        this.kind = kind;
        this.idempotencyKey = idempotencyKey;
        this.endpoint = endpoint;
        this.previousAttempts = previousAttempts;
        this.prompt = prompt;
        this.prefix = prefix;
        this.movesBetweenGateways = movesBetweenGateways;
        this.serial = world.nextSerialNumber();
    }

    void start() {
        startedAt = world.scheduler().now();
        world.scheduler().schedule(TIMEOUT, () -> end("cut"));
        requestPlacement(world.randomOf(world.gateways()), 0);
    }

    String requestId() {
        return requestId;
    }

    private void requestPlacement(final SimulatedNode node, final int redirects) {
        if (!node.isAlive()) {
            if (redirects < 4) {
                requestPlacement(world.randomOf(world.gateways()), redirects + 1);
            } else {
                end("unreached");
            }
            return;
        }
        final PlacementRequest placement = new PlacementRequest(
                tenant.key(), tenant.name(), kind.kind(), prefix, prompt.length(), idempotencyKey, previousAttempts);
        world.network()
                .sendBytes(
                        endpoint + ">" + node.name() + node.generation() + "/" + serial,
                        endpoint,
                        node.name(),
                        () -> node.call(
                                (c, t) -> c.requestPlacement(placement, t, node.now()),
                                action -> {
                                    if (action instanceof DispatchEffect.Placed placed) {
                                        world.observer()
                                                .operatorHistory()
                                                .shown(
                                                        node.name(),
                                                        placed.revision(),
                                                        world.scheduler().now());
                                        world.observer()
                                                .operatorHistory()
                                                .requireHomeRegion(
                                                        tenant.name(),
                                                        node.region(),
                                                        Invariant.SENT,
                                                        "a pick was made in " + node.region(),
                                                        world.scheduler().now());
                                    }
                                    if (kind.kind().equals(Operators.GATE_KIND)
                                            && (action instanceof DispatchEffect.Placed
                                                    || action instanceof DispatchEffect.Rejected refusal
                                                            && refusal.reason().startsWith("$.key"))) {
                                        world.observer()
                                                .operatorHistory()
                                                .gateObserved(
                                                        node.name(),
                                                        action instanceof DispatchEffect.Placed,
                                                        "a pick",
                                                        world.scheduler().now());
                                    }
                                    deliverToClient(node, action, () -> placementAnswered(node, action, redirects));
                                },
                                t -> {}));
    }

    private void placementAnswered(final SimulatedNode node, final DispatchEffect action, final int redirects) {
        if (ended) {
            return;
        }
        switch (action) {
            case DispatchEffect.Placed answer -> {
                requestId = answer.requestId();
                world.issuedRequests(this, requestId, tenant, idempotencyKey, previousAttempts);
                final long delay = world.scheduler().random().nextInt(30) == 0
                        ? world.scheduler().random().nextLong(3_000_000)
                        : 0;
                world.scheduler().schedule(delay, () -> submit(node, answer.permit()));
                if (world.scheduler().random().nextInt(50) == 0) {
                    world.scheduler()
                            .schedule(
                                    delay + world.scheduler().random().nextLong(1_500_000),
                                    () -> submitDuplicate(node, answer.permit()));
                }
            }
            case DispatchEffect.Redirected answer -> {
                final Optional<SimulatedNode> target =
                        world.node(answer.endpoints().get(0));
                if (redirects > 4 || target.isEmpty()) {
                    end("rejected");
                } else {
                    requestPlacement(target.get(), redirects + 1);
                }
            }
            case DispatchEffect.Rejected r -> rejected(r);
            default -> end("unreached");
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
        final SubmittedRequest submission = new SubmittedRequest(tenant.key(), permit, prefix, prompt, 10_000_000);
        world.network()
                .sendBytes(
                        connection(node),
                        endpoint,
                        node.name(),
                        () -> node.call(
                                (c, t) -> c.submit(submission, t, node.now()),
                                action -> deliverToClient(node, action, () -> {
                                    if (connectionNumber == 0) {
                                        streamAnswered(node, action);
                                    }
                                }),
                                t -> callToken = t));
        if (movesBetweenGateways) {
            world.scheduler().schedule(150_000, () -> reconnect(node));
        }
    }

    private void submitDuplicate(final SimulatedNode node, final String permit) {
        if (node.isAlive()) {
            world.observer().duplicateSent(requestId);
            node.call(
                    (c, t) -> c.submit(
                            new SubmittedRequest(tenant.key(), permit, prefix, prompt, 10_000_000), t, node.now()),
                    a -> {},
                    t -> {});
        }
    }

    private void reconnect(final SimulatedNode node) {
        if (ended || !node.isAlive() || requestId.isEmpty()) {
            return;
        }
        world.observer().count("moves");
        connectionNumber++;
        final long connectionThen = connectionNumber;
        node.hangUp(callToken);
        world.network()
                .sendBytes(
                        connection(node),
                        endpoint,
                        node.name(),
                        () -> node.call(
                                (c, t) -> c.attach(requestId, tenant.key(), nextChunk, t, node.now()),
                                action -> deliverToClient(node, action, () -> {
                                    if (connectionThen == connectionNumber) {
                                        if (action instanceof DispatchEffect.StreamWrite) {
                                            world.observer()
                                                    .operatorHistory()
                                                    .requireHomeRegion(
                                                            tenant.name(),
                                                            node.region(),
                                                            Invariant.KEPT,
                                                            "ticket " + requestId + " was read again in "
                                                                    + node.region(),
                                                            world.scheduler().now() - SECOND / 2);
                                        }
                                        streamAnswered(node, action);
                                    }
                                }),
                                t -> callToken = t));
    }

    private void deliverToClient(final SimulatedNode node, final DispatchEffect action, final Runnable whenDelivered) {
        if (action instanceof DispatchEffect.StreamWrite stream) {
            stream.records().forEach(record -> {
                if (record instanceof StreamRecord.Chunk chunk
                        && !world.regionOfRun(chunk.attemptId()).isEmpty()) {
                    world.observer()
                            .operatorHistory()
                            .requireHomeRegion(
                                    tenant.name(),
                                    world.regionOfRun(chunk.attemptId()),
                                    Invariant.SERVED,
                                    "a piece of " + requestId + " came from " + world.regionOfRun(chunk.attemptId()),
                                    world.scheduler().now() - SECOND / 2);
                }
            });
        }
        world.network().sendBytes(connection(node) + "<", node.name(), endpoint, whenDelivered);
    }

    private String connection(final SimulatedNode node) {
        return endpoint + ">" + node.name() + "/" + requestId + "/" + connectionNumber;
    }

    private void streamAnswered(final SimulatedNode node, final DispatchEffect action) {
        if (ended) {
            return;
        }
        switch (action) {
            case DispatchEffect.StreamWrite stream -> {
                stream.records().forEach(this::verify);
                if (stream.endOfStream()) {
                    end(trailerSeen ? "done" : "lost");
                } else {
                    node.withDispatcher(c -> c.readerReady(stream.callId()));
                }
            }
            case DispatchEffect.Rejected r -> rejected(r);
            default -> end("broken");
        }
    }

    private void rejected(final DispatchEffect.Rejected rejection) {
        if (rejection.statusCode() == 0) {
            end("broken");
            return;
        }
        if (rejection.statusCode() == 410
                || rejection.statusCode() == 409 && rejection.reason().startsWith("the ticket was handed")) {
            end("broken");
            return;
        }
        if (rejection.statusCode() == 425) {
            world.observer().count("code425");
            gateway.ifPresent(n -> world.scheduler().schedule(rejection.retryAfter(), () -> reconnect(n)));
            return;
        }
        if (rejection.statusCode() == 409) {
            world.observer().count("stands");
        }
        if (nextChunk > 0 && rejection.statusCode() != 404) {
            world.observer().violated(Invariant.REJECTED, "ticket " + requestId + " was rejected after pieces came");
        }
        world.observer().count("code" + rejection.statusCode());
        end(rejection.statusCode() == 404 ? "broken" : "rejected");
        if (rejection.retryAfter() > 0
                && previousAttempts < 2
                && !idempotencyKey.isEmpty() | world.scheduler().random().nextInt(3) == 0) {
            world.scheduler()
                    .schedule(
                            rejection.retryAfter(),
                            () -> world.startRequest(new ClientRequest(
                                    world,
                                    tenant,
                                    kind,
                                    idempotencyKey,
                                    endpoint,
                                    previousAttempts + 1,
                                    prompt,
                                    prefix,
                                    false)));
        }
    }

    private void verify(final StreamRecord record) {
        switch (record) {
            case StreamRecord.Chunk chunk -> {
                if (nextChunk == 0) {
                    attemptId = chunk.attemptId();
                    firstChunkAt = world.scheduler().now();
                }
                if (trailerSeen) {
                    violated(Invariant.CUT, "a piece after the seal");
                }
                if (chunk.index() != nextChunk) {
                    violated(Invariant.PIECE, "piece " + chunk.index() + " where " + nextChunk + " was due");
                }
                if (!chunk.requestId().equals(requestId)) {
                    violated(Invariant.FOREIGN, "a piece of ticket " + chunk.requestId());
                } else if (!chunk.attemptId().equals(attemptId)) {
                    violated(Invariant.JOIN, "a piece of run " + chunk.attemptId() + " after " + attemptId);
                }
                if (!chunk.text().equals(ExpectedResponse.chunk(prompt, chunk.index()))) {
                    violated(Invariant.FOREIGN, "someone else's text");
                }
                nextChunk = chunk.index() + 1;
                digest.update(chunk.text().getBytes(java.nio.charset.StandardCharsets.UTF_8));
            }
            case StreamRecord.Trailer trailer -> {
                trailerSeen = true;
                if (nextChunk != ExpectedResponse.chunkCount(prompt)
                        || trailer.chunkCount() != nextChunk
                        || !trailer.sha256().equals(HexFormat.of().formatHex(digest.digest()))) {
                    violated(Invariant.CUT, "a seal that does not fit what came");
                }
                if (!trailer.requestId().equals(requestId)) {
                    violated(Invariant.FOREIGN, "a seal of ticket " + trailer.requestId());
                }
            }
            case StreamRecord.Lost x -> trailerSeen = false;
        }
    }

    /** An ended stream is read once more, as long as it may be kept. */
    private void readAgain(final SimulatedNode node) {
        if (node.isAlive()) {
            world.observer().count("rereads");
            node.call(
                    (c, t) -> c.attach(requestId, tenant.key(), 0, t, node.now()),
                    action -> {
                        if (action instanceof DispatchEffect.StreamWrite) {
                            world.observer()
                                    .operatorHistory()
                                    .requireHomeRegion(
                                            tenant.name(),
                                            node.region(),
                                            Invariant.KEPT,
                                            "ticket " + requestId + " was read again in " + node.region(),
                                            world.scheduler().now());
                        }
                    },
                    t -> {});
        }
    }

    private void violated(final Invariant mark, final String what) {
        world.observer().violated(mark, "ticket " + requestId + ": " + what);
    }

    private void end(final String outcome) {
        if (ended) {
            return;
        }
        ended = true;
        if (outcome.equals("done") && world.areClientsMoving()) {
            gateway.ifPresent(n -> world.scheduler()
                    .schedule(SECOND + world.scheduler().random().nextLong(10 * SECOND), () -> readAgain(n)));
        }
        world.observer().requestOutcome(kind.kind(), tenant.name(), outcome, firstChunkAt - startedAt);
        if (outcome.equals("cut")) {
            gateway.filter(SimulatedNode::isAlive).ifPresent(n -> n.hangUp(callToken));
        }
        if (!requestId.isEmpty()) {
            world.observer()
                    .requestEnded(
                            requestId, tenant.name(), outcome, world.scheduler().now());
        } else {
            world.observer().count("pick-" + outcome);
        }
        if ((outcome.equals("cut") || outcome.equals("broken") || outcome.equals("lost"))
                && !idempotencyKey.isEmpty()
                && previousAttempts < 2) {
            world.scheduler()
                    .schedule(
                            500_000,
                            () -> world.startRequest(new ClientRequest(
                                    world,
                                    tenant,
                                    kind,
                                    idempotencyKey,
                                    endpoint,
                                    previousAttempts + 1,
                                    prompt,
                                    prefix,
                                    false)));
        }
    }
}
