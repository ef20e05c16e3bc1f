package silverlatch.server.controller;

import java.util.Map;
import silverlatch.gossip.Worker;
import silverlatch.json.JsonDocument;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.web.AnnouncementJson;
import silverlatch.server.web.HttpExchange;
import silverlatch.util.Digests;

/** Accepts the announcements of workers ({@code /v1/announcements}), which authenticate with the workers' key. */
final class AnnouncementResource {
    private final StateApi state;
    private final EventLoopHandle eventLoop;
    private final String workerKey;

    AnnouncementResource(final StateApi state, final EventLoopHandle eventLoop, final String workerKey) {
        this.state = state;
        this.eventLoop = eventLoop;
        this.workerKey = workerKey;
    }

    /** Accepts a worker's report; replies with the echo token for the worker's next report and the revision of the table. */
    void post(final HttpExchange exchange) {
        if (!Digests.constantTimeEquals(exchange.bearerToken(), workerKey)) {
            ApiReplies.reject(exchange, ApiReplies.UNAUTHORIZED, "the workers' key is needed");
            return;
        }
        state.parseBody(exchange).ifPresent(body -> announce(exchange, body));
    }

    private void announce(final HttpExchange exchange, final JsonDocument body) {
        final Worker worker = AnnouncementJson.read(body);
        final long echo = AnnouncementJson.echo(body);
        if (ApiReplies.rejectIfFaulty(exchange, body)) {
            return;
        }
        final boolean isAccepted = eventLoop.execute(node -> {
            if (node.mayBeOutdated(EventLoop.nowMicros())) {
                ApiReplies.reject(exchange, ApiReplies.SERVICE_UNAVAILABLE, "this process was paused; announce again");
                return;
            }
            final long nextEcho = node.onAnnouncement(worker, echo, EventLoop.nowMicros());
            final long revision = node.gossip().stateMachine().policyRevision();
            exchange.reply(ApiReplies.OK, Map.of("echo", nextEcho, "table", revision));
        });
        if (!isAccepted) {
            ApiReplies.rejectOverload(exchange);
        }
    }
}
