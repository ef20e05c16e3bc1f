package silverlatch.server.controller;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.replication.ChainClient;
import silverlatch.server.web.HttpExchange;
import silverlatch.state.Value;

/** The outcome of a command by its id ({@code /v1/changes}). */
final class OutcomeResource {
    private static final String KEY_PREFIX = "o/";
    private final StateApi state;

    OutcomeResource(final StateApi state) {
        this.state = state;
    }

    /** Replies with the outcome of a command; 404 if no outcome is stored. */
    void get(final HttpExchange exchange, final String commandId) {
        final String key = KEY_PREFIX + commandId;
        state.read(exchange, key, result -> {
            final Optional<Value.CommandOutcome> outcome = find(result, key);
            exchange.reply(
                    outcome.isPresent() ? ApiReplies.OK : ApiReplies.NOT_FOUND,
                    outcome.map(OutcomeResource::body)
                            .orElse(Map.of("outcome", "absent", "faults", List.of("no such change took effect"))));
        });
    }

    private static Optional<Value.CommandOutcome> find(final ChainClient.ReadResult result, final String key) {
        return result.entries().stream()
                .filter(entry -> entry.key().equals(key))
                .findFirst()
                .map(entry -> (Value.CommandOutcome) entry.value().get(0));
    }

    private static Map<String, Object> body(final Value.CommandOutcome outcome) {
        return outcome.code() == 0
                ? Map.of("outcome", "kept", "sequence", outcome.sequence())
                : Map.of("outcome", "rejected", "code", outcome.code(), "faults", outcome.faults());
    }
}
