package silverlatch.server.controller;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.UUID;
import java.util.function.Consumer;
import silverlatch.json.JsonDocument;
import silverlatch.replication.ChainClient;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.web.HttpExchange;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;

/**
 * Writes and reads the replicated state for an HTTP exchange, and replies to the exchange. Called by threads of the HTTP server; replies
 * that depend on the chain are sent by the event loop.
 */
final class StateApi {
    private static final long TIMEOUT_MICROS = 4_000_000L;
    private static final long ANY_REVISION = -1;
    private final EventLoopHandle eventLoop;
    private final int maxBodyBytes;

    /** Creates a command from its id and the revision that it builds on; negative for any revision. */
    @FunctionalInterface
    interface CommandFactory {
        Command create(String id, long expectedRevision);
    }

    StateApi(final EventLoopHandle eventLoop, final int maxBodyBytes) {
        this.eventLoop = eventLoop;
        this.maxBodyBytes = maxBodyBytes;
    }

    /** Returns the body as a JSON object; empty if it isn't one, in which case the exchange was rejected. */
    Optional<JsonDocument> parseBody(final HttpExchange exchange) {
        return switch (JsonDocument.parse(exchange.body(), maxBodyBytes)) {
            case JsonDocument.ParseResult.Invalid invalid -> {
                ApiReplies.reject(exchange, invalid.code(), invalid.reason());
                yield Optional.empty();
            }
            case JsonDocument.ParseResult.Valid valid -> Optional.of(valid.document());
        };
    }

    /**
     * Submits a command whose id is that of the header X-Change, or a random one, and whose expected revision is that of If-Match. The
     * reply is the command's result.
     */
    void write(final HttpExchange exchange, final CommandFactory factory) {
        final Optional<Long> expectedRevision = expectedRevision(exchange);
        if (expectedRevision.isEmpty()) {
            return;
        }
        final Command command = onLatestRevision(factory.create(commandId(exchange), expectedRevision.get()));
        final boolean isAccepted = eventLoop.submit(
                command, TIMEOUT_MICROS, exchange.caller(), result -> reply(exchange, command.id(), result));
        if (!isAccepted) {
            ApiReplies.rejectOverload(exchange);
        }
    }

    /** A command for any revision is put on the newest one during the call, so that a late copy has no effect. */
    private static Command onLatestRevision(final Command command) {
        return command instanceof Command.Revisioned revisioned && revisioned.expectedRevision() == ANY_REVISION
                ? revisioned.withExpectedRevision(Command.Revisioned.LATEST)
                : command;
    }

    /** Reads the entries with a key prefix from the chain's tail; if the tail doesn't answer in time, the exchange is rejected. */
    void read(final HttpExchange exchange, final String keyPrefix, final Consumer<ChainClient.ReadResult> onAnswered) {
        final boolean isAccepted = eventLoop.read(keyPrefix, TIMEOUT_MICROS, result -> {
            if (result.answered()) {
                onAnswered.accept(result);
            } else {
                ApiReplies.reject(exchange, ApiReplies.SERVICE_UNAVAILABLE, "the chain's tail can't be asked now");
            }
        });
        if (!isAccepted) {
            ApiReplies.rejectOverload(exchange);
        }
    }

    /** Replies with the entries with a key prefix as a list of the given name. */
    void list(final HttpExchange exchange, final String keyPrefix, final String name) {
        read(exchange, keyPrefix, result -> {
            final Map<String, Object> body = EntryJson.list(name, result.entries());
            exchange.reply(ApiReplies.OK, body, etag((long) body.get("sequence")));
        });
    }

    /** Returns the ETag header for a revision. */
    static Map<String, String> etag(final long revision) {
        return Map.of("ETag", "\"" + revision + "\"");
    }

    private static void reply(final HttpExchange exchange, final String commandId, final CommandResult result) {
        switch (result) {
            case CommandResult.Applied applied ->
                exchange.reply(
                        ApiReplies.OK,
                        Map.of("outcome", "kept", "sequence", applied.sequence(), "change", commandId),
                        etag(applied.sequence()));
            case CommandResult.Rejected rejected ->
                exchange.reply(
                        rejected.code(),
                        Map.of(
                                "outcome",
                                "rejected",
                                "faults",
                                rejected.faults(),
                                "sequence",
                                rejected.sequence(),
                                "change",
                                commandId),
                        ApiReplies.retryHeaders(rejected.code()));
            case CommandResult.AlreadyClaimed claimed ->
                exchange.reply(ApiReplies.CONFLICT, Map.of("outcome", "rejected", "change", commandId));
            case CommandResult.Unknown unknown ->
                exchange.reply(
                        ApiReplies.GATEWAY_TIMEOUT,
                        Map.of(
                                "outcome",
                                "unknown",
                                "change",
                                commandId,
                                "faults",
                                List.of("not decided in time; ask for the change by its id")));
        }
    }

    private static String commandId(final HttpExchange exchange) {
        return exchange.header("X-Change")
                .filter(id -> id.matches("[A-Za-z0-9-]{8,64}"))
                .orElseGet(() -> UUID.randomUUID().toString());
    }

    /** Returns the revision of If-Match; empty if it isn't valid, in which case the exchange was rejected. */
    private static Optional<Long> expectedRevision(final HttpExchange exchange) {
        final String text =
                exchange.header("If-Match").map(tag -> tag.replace("\"", "")).orElse("*");
        if (text.equals("*")) {
            return Optional.of(ANY_REVISION);
        }
        if (!text.matches("\\d{1,18}")) {
            ApiReplies.reject(exchange, ApiReplies.BAD_REQUEST, "If-Match: a sequence is needed");
            return Optional.empty();
        }
        return Optional.of(Long.parseLong(text));
    }
}
