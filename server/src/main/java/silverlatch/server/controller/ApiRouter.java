package silverlatch.server.controller;

import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;
import java.util.function.Consumer;
import java.util.function.Supplier;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.provider.CloudProvider;
import silverlatch.server.settings.Settings;
import silverlatch.server.transport.Transport;
import silverlatch.server.web.HttpExchange;
import silverlatch.util.Digests;

/**
 * The controller's HTTP API: finds the resource of a request by method and path. Resources that show or change the state require the
 * operator's key. Called by threads of the HTTP server.
 */
final class ApiRouter {
    /** Lower bound of the limit on a request's body, in bytes, so that a whole table or configuration fits. */
    static final int MIN_BODY_LIMIT_BYTES = 8 << 20;

    /** Number of parts of a path like {@code /v1/tenants/NAME}, including the empty part before the first slash. */
    private static final int NAMED_PATH_PARTS = 4;

    /** Current paths of resources by their deprecated paths, which are served identically for one version. */
    private static final Map<String, String> CURRENT_PATHS = Map.of(
            "/v1/charter", "/v1/configuration",
            "/v1/rules", "/v1/routes",
            "/v1/calendars", "/v1/schedules");

    private final String operatorKey;
    private final Map<String, Consumer<HttpExchange>> routesWithoutOperatorKey;
    private final Map<String, Consumer<HttpExchange>> operatorRoutes;
    private final Map<String, BiConsumer<HttpExchange, String>> namedOperatorRoutes;

    ApiRouter(
            final Settings settings,
            final EventLoopHandle eventLoop,
            final Transport transport,
            final CronScheduler scheduler,
            final Supplier<Optional<String>> unreadyReason,
            final Supplier<Map<CloudProvider.Outcome, Long>> providerCallCounts) {
        this.operatorKey = settings.operatorKey();
        final StateApi state = new StateApi(eventLoop, maxBodyBytes(settings));
        final StatusResource status = new StatusResource(settings.name(), eventLoop, unreadyReason);
        final ConfigurationResource configuration = new ConfigurationResource(state);
        final TableResource table = new TableResource(state);
        final TenantResource tenants = new TenantResource(state, settings.clusterKey());
        final EvacuationResource evacuations = new EvacuationResource(state);
        final ScheduleResource schedules = new ScheduleResource(state, scheduler);
        this.routesWithoutOperatorKey = Map.of(
                "GET /live", status::live,
                "GET /ready", status::ready,
                "GET /metrics", new MetricsResource(eventLoop, transport, providerCallCounts)::get,
                "POST /v1/announcements", new AnnouncementResource(state, eventLoop, settings.workerKey())::post);
        this.operatorRoutes = Map.of(
                "GET /status", status::status,
                "GET /v1/table", table::get,
                "PUT /v1/table", table::put,
                "PATCH /v1/table", table::patch,
                "GET /v1/tenants", tenants::list,
                "GET /v1/schedules", schedules::list,
                "GET /v1/zones", evacuations::list,
                "GET /v1/routes", configuration::listRoutes,
                "GET /v1/configuration", configuration::get,
                "PUT /v1/configuration", configuration::put);
        this.namedOperatorRoutes = Map.of(
                "PUT /v1/tenants", tenants::put,
                "DELETE /v1/tenants", tenants::remove,
                "PUT /v1/zones", evacuations::put,
                "PUT /v1/schedules", schedules::put,
                "DELETE /v1/schedules", schedules::remove,
                "GET /v1/claims", new ClaimResource(state)::list,
                "GET /v1/changes", new OutcomeResource(state)::get);
    }

    /** Returns the size of the largest body that the API accepts, in bytes. */
    static int maxBodyBytes(final Settings settings) {
        return Math.max(settings.maxBodyBytes(), MIN_BODY_LIMIT_BYTES);
    }

    /** Rejects a request for an unknown path. */
    static void rejectUnknownPath(final HttpExchange exchange) {
        ApiReplies.reject(exchange, ApiReplies.NOT_FOUND, "$: no such page");
    }

    /** Forwards an exchange to its resource, which replies; rejects it if the path is unknown or the operator's key is missing or wrong. */
    void route(final HttpExchange exchange) {
        final String route = exchange.method() + " " + currentPath(exchange.path());
        if (routesWithoutOperatorKey.containsKey(route)) {
            routesWithoutOperatorKey.get(route).accept(exchange);
        } else if (Digests.constantTimeEquals(exchange.bearerToken(), operatorKey)) {
            routeOperator(exchange, route);
        } else {
            ApiReplies.reject(exchange, ApiReplies.UNAUTHORIZED, "the operator's key is needed");
        }
    }

    private void routeOperator(final HttpExchange exchange, final String route) {
        if (operatorRoutes.containsKey(route)) {
            operatorRoutes.get(route).accept(exchange);
            return;
        }
        final String[] parts = exchange.path().split("/");
        final String collection = parts.length == NAMED_PATH_PARTS
                ? exchange.method() + " " + currentPath("/" + parts[1] + "/" + parts[2])
                : "";
        if (namedOperatorRoutes.containsKey(collection)) {
            namedOperatorRoutes.get(collection).accept(exchange, parts[NAMED_PATH_PARTS - 1]);
        } else {
            rejectUnknownPath(exchange);
        }
    }

    private static String currentPath(final String path) {
        return CURRENT_PATHS.getOrDefault(path, path);
    }
}
