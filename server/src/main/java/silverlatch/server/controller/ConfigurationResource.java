package silverlatch.server.controller;

import java.util.Optional;
import silverlatch.json.JsonDocument;
import silverlatch.server.web.HttpExchange;
import silverlatch.state.Command;
import silverlatch.state.ConfigurationValidator;
import silverlatch.state.Value;

/** The routing configuration ({@code /v1/configuration}) and the routes in force ({@code /v1/routes}). */
final class ConfigurationResource {
    /** Expected revision of a parsed command until that of If-Match replaces it. */
    private static final long PLACEHOLDER_REVISION = -1;

    private final StateApi state;

    ConfigurationResource(final StateApi state) {
        this.state = state;
    }

    /** Replies with the document of the newest acknowledged configuration, byte for byte as it was put. */
    void get(final HttpExchange exchange) {
        state.read(
                exchange,
                ConfigurationValidator.DOCUMENT_KEY,
                result -> result.entries().stream()
                        .filter(entry -> !entry.isDeleted())
                        .map(entry ->
                                (Value.ConfigurationDocument) entry.value().get(0))
                        .findFirst()
                        .ifPresentOrElse(
                                document -> exchange.replyText(
                                        "application/json", document.text(), StateApi.etag(document.number())),
                                () -> ApiReplies.reject(
                                        exchange, ApiReplies.NOT_FOUND, "there is no configuration yet")));
    }

    /** Replies with the routes in force. */
    void listRoutes(final HttpExchange exchange) {
        state.list(exchange, ConfigurationValidator.ROUTE_PREFIX, "rules");
    }

    /** Replaces the whole configuration; If-Match holds the number of the configuration that the new one builds on. */
    void put(final HttpExchange exchange) {
        final Optional<String> text = ConfigurationJson.decodeText(exchange.body());
        if (text.isEmpty()) {
            ApiReplies.reject(exchange, ApiReplies.BAD_REQUEST, "$: not UTF-8");
            return;
        }
        if (ConfigurationValidator.isTooLong(text.get())) {
            ApiReplies.reject(
                    exchange,
                    ApiReplies.CONTENT_TOO_LARGE,
                    "$: longer than " + ConfigurationValidator.MAX_DOCUMENT_BYTES + " bytes");
            return;
        }
        state.parseBody(exchange).ifPresent(body -> put(exchange, body, text.get()));
    }

    private void put(final HttpExchange exchange, final JsonDocument body, final String text) {
        final Command.PutFullConfiguration parsed = ConfigurationJson.read(body, text, "", PLACEHOLDER_REVISION);
        if (!ApiReplies.rejectIfFaulty(exchange, body)) {
            state.write(
                    exchange,
                    (id, expectedRevision) -> parsed.with(id, expectedRevision).toCompatibleCommand());
        }
    }
}
