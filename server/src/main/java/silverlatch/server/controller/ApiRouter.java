package silverlatch.server.controller;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.UUID;
import java.util.function.Consumer;
import java.util.function.Supplier;
import java.util.stream.Collectors;
import silverlatch.dispatch.permit.PermitSigner;
import silverlatch.gossip.Worker;
import silverlatch.json.JsonDocument;
import silverlatch.replication.ChainClient;
import silverlatch.replication.ChainReplica;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.settings.Settings;
import silverlatch.server.transport.Transport;
import silverlatch.server.web.AnnouncementJson;
import silverlatch.server.web.HttpExchange;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.ConfigurationValidator;
import silverlatch.state.StateMachine;
import silverlatch.state.Value;

/** The HTTP door of a controller: operators' orders, workers' words, and how the controller stands. */
final class ApiRouter {
    private static final long COMMAND_TIMEOUT_MICROS = 4_000_000L;
    private final Settings settings;
    private final EventLoopHandle eventLoop;
    private final Transport transport;
    private final CronScheduler scheduler;
    private final Supplier<Optional<String>> unreadyReason;

    ApiRouter(
            final Settings settings,
            final EventLoopHandle eventLoop,
            final Transport transport,
            final CronScheduler scheduler,
            final Supplier<Optional<String>> unreadyReason) {
        this.settings = settings;
        this.eventLoop = eventLoop;
        this.transport = transport;
        this.scheduler = scheduler;
        this.unreadyReason = unreadyReason;
    }

    void route(final HttpExchange exchange) {
        final String at = exchange.method() + " " + exchange.path();
        switch (at) {
            case "GET /live" -> exchange.reply(200, Map.of("live", true));
            case "GET /ready" -> {
                final Optional<String> why = unreadyReason.get();
                exchange.reply(why.isEmpty() ? 200 : 503, Map.of("ready", why.isEmpty(), "why", why.orElse("")));
            }
            case "GET /metrics" -> metrics(exchange);
            case "POST /v1/announcements" -> announce(exchange);
            default -> {
                if (!PermitSigner.constantTimeEquals(exchange.bearerToken(), settings.operatorKey())) {
                    reject(exchange, 401, "the operator's key is needed");
                } else {
                    routeOperator(exchange, at);
                }
            }
        }
    }

    private void routeOperator(final HttpExchange exchange, final String at) {
        final String[] part = exchange.path().split("/");
        switch (at) {
            case "GET /status" -> status(exchange);
            case "GET /v1/table" -> listEntries(exchange, "r/", "rows");
            case "PUT /v1/table" -> putTable(exchange);
            case "PATCH /v1/table" -> patchTable(exchange);
            case "GET /v1/tenants" -> listEntries(exchange, "t/", "tenants");
            case "GET /v1/calendars" -> listEntries(exchange, "k/", "calendars");
            case "GET /v1/zones" -> listEntries(exchange, "z/", "zones");
            case "GET /v1/rules" -> listEntries(exchange, ConfigurationValidator.ROUTE_PREFIX, "rules");
            case "GET /v1/charter" -> getConfiguration(exchange);
            case "PUT /v1/charter" -> putConfiguration(exchange);
            default -> {
                if (part.length == 4 && at.startsWith("PUT /v1/tenants/")) {
                    putTenant(exchange, part[3]);
                } else if (part.length == 4 && at.startsWith("DELETE /v1/tenants/")) {
                    expectedRevision(exchange)
                            .ifPresent(
                                    m -> submit(exchange, new Command.RemoveTenant(commandId(exchange), part[3], m)));
                } else if (part.length == 4 && at.startsWith("PUT /v1/zones/")) {
                    putEvacuation(exchange, part[3]);
                } else if (part.length == 4 && at.startsWith("PUT /v1/calendars/")) {
                    putSchedule(exchange, part[3]);
                } else if (part.length == 4 && at.startsWith("DELETE /v1/calendars/")) {
                    expectedRevision(exchange)
                            .ifPresent(
                                    m -> submit(exchange, new Command.RemoveSchedule(commandId(exchange), part[3], m)));
                } else if (part.length == 4 && at.startsWith("GET /v1/claims/") && part[3].matches("[0-9a-f]{2}")) {
                    listEntries(exchange, "c/" + part[3], "claims");
                } else if (part.length == 4 && at.startsWith("GET /v1/changes/")) {
                    getOutcome(exchange, part[3]);
                } else {
                    reject(exchange, 404, "$: no such page");
                }
            }
        }
    }

    private void listEntries(final HttpExchange exchange, final String keyPrefix, final String name) {
        read(exchange, keyPrefix, page -> {
            final Map<String, Object> map = EntryJson.page(name, page.entries());
            exchange.reply(200, map, Map.of("ETag", "\"" + map.get("sequence") + "\""));
        });
    }

    private void getOutcome(final HttpExchange exchange, final String id) {
        read(exchange, "o/" + id, page -> {
            final Optional<silverlatch.state.Entry> entry = page.entries().stream()
                    .filter(x -> x.key().equals("o/" + id))
                    .findFirst();
            final Optional<Value.CommandOutcome> outcome =
                    entry.map(x -> (Value.CommandOutcome) x.value().get(0));
            exchange.reply(
                    outcome.isPresent() ? 200 : 404,
                    outcome.isEmpty()
                            ? Map.of("outcome", "absent", "faults", List.of("no such change took effect"))
                            : outcome.get().code() == 0
                                    ? Map.of(
                                            "outcome",
                                            "kept",
                                            "sequence",
                                            outcome.get().sequence())
                                    : Map.of(
                                            "outcome",
                                            "rejected",
                                            "code",
                                            outcome.get().code(),
                                            "faults",
                                            outcome.get().faults()));
        });
    }

    private void read(
            final HttpExchange exchange, final String keyPrefix, final Consumer<ChainClient.ReadResult> onPage) {
        final boolean sent = eventLoop.read(keyPrefix, COMMAND_TIMEOUT_MICROS, r -> {
            final ChainClient.ReadResult page = (ChainClient.ReadResult) r;
            if (page.answered()) {
                onPage.accept(page);
            } else {
                exchange.reply(
                        503,
                        Map.of("outcome", "rejected", "faults", List.of("the chain's tail can't be asked now")),
                        Map.of("Retry-After", "1"));
            }
        });
        if (!sent) {
            reject(exchange, 503, "the ring is full");
        }
    }

    private void announce(final HttpExchange exchange) {
        if (!PermitSigner.constantTimeEquals(exchange.bearerToken(), settings.workerKey())) {
            reject(exchange, 401, "the workers' key is needed");
            return;
        }
        parseBody(exchange).ifPresent(document -> {
            final Worker worker = AnnouncementJson.read(document);
            final long echo = AnnouncementJson.echo(document);
            if (!rejectIfFaulty(exchange, document)
                    && !eventLoop.execute(d -> {
                        final long nextEcho = d.onAnnouncement(worker, echo, EventLoop.nowMicros());
                        exchange.reply(
                                200,
                                Map.of(
                                        "echo",
                                        nextEcho,
                                        "table",
                                        d.gossip().stateMachine().policyRevision()));
                    })) {
                reject(exchange, 503, "the ring is full");
            }
        });
    }

    private void getConfiguration(final HttpExchange exchange) {
        read(
                exchange,
                ConfigurationValidator.DOCUMENT_KEY,
                page -> page.entries().stream()
                        .filter(e -> !e.isDeleted())
                        .map(e -> (Value.ConfigurationDocument) e.value().get(0))
                        .findFirst()
                        .ifPresentOrElse(
                                x -> exchange.replyText(
                                        "application/json", x.text(), Map.of("ETag", "\"" + x.number() + "\"")),
                                () -> reject(exchange, 404, "there is no charter yet")));
    }

    private void putConfiguration(final HttpExchange exchange) {
        final Optional<String> text = ConfigurationJson.decodeText(exchange.body());
        if (text.isEmpty()) {
            reject(exchange, 400, "$: not UTF-8");
            return;
        }
        if (ConfigurationValidator.isTooLong(text.get())) {
            reject(exchange, 413, "$: longer than " + ConfigurationValidator.MAX_DOCUMENT_BYTES + " bytes");
            return;
        }
        parseBody(exchange).ifPresent(document -> {
            final Command.PutConfiguration parsed =
                    ConfigurationJson.read(document, text.get(), commandId(exchange), -1);
            if (!rejectIfFaulty(exchange, document)) {
                expectedRevision(exchange)
                        .ifPresent(m -> submit(
                                exchange,
                                new Command.PutConfiguration(
                                        parsed.id(),
                                        parsed.configuration(),
                                        parsed.routes(),
                                        parsed.pools(),
                                        parsed.document(),
                                        m)));
            }
        });
    }

    private void putTable(final HttpExchange exchange) {
        parseBody(exchange).ifPresent(document -> {
            final List<Value.Row> rows = new ArrayList<>();
            document.integer("sequence", 0, Long.MAX_VALUE, 0);
            document.objects("rows", StateMachine.MAX_ROWS + 1).forEach(x -> {
                rows.add(EntryJson.read(x));
                x.finish();
            });
            if (!rejectIfFaulty(exchange, document)) {
                expectedRevision(exchange)
                        .ifPresent(m -> submit(exchange, new Command.PutTable(commandId(exchange), rows, m)));
            }
        });
    }

    private void patchTable(final HttpExchange exchange) {
        parseBody(exchange).ifPresent(document -> {
            final List<Command.Cell> cells = readCells(document);
            if (!rejectIfFaulty(exchange, document)) {
                expectedRevision(exchange)
                        .ifPresent(m -> submit(exchange, new Command.PatchTable(commandId(exchange), cells, m)));
            }
        });
    }

    private void putTenant(final HttpExchange exchange, final String name) {
        parseBody(exchange).ifPresent(document -> {
            final Value.Tenant tenant = new Value.Tenant(
                    name,
                    document.strings("homes", 64, 64),
                    document.number("share", 1),
                    PermitSigner.sha256Hex(document.string("key", 256)),
                    PermitSigner.sha256Hex(settings.clusterKey() + "|" + name).substring(0, 16));
            if (!rejectIfFaulty(exchange, document)) {
                expectedRevision(exchange)
                        .ifPresent(m -> submit(exchange, new Command.PutTenant(commandId(exchange), tenant, m)));
            }
        });
    }

    private void putSchedule(final HttpExchange exchange, final String name) {
        parseBody(exchange).ifPresent(document -> {
            final List<Command.Cell> cells = readCells(document);
            final Value.Schedule schedule = new Value.Schedule(
                    name,
                    document.string("cron", 128),
                    cells,
                    document.string("zone", 64, ""),
                    document.flag("empty", false));
            final List<String> faults = new ArrayList<>(document.finish());
            faults.addAll(scheduler.faults(schedule));
            if (!faults.isEmpty()) {
                exchange.reply(422, Map.of("outcome", "rejected", "faults", faults));
                return;
            }
            expectedRevision(exchange)
                    .ifPresent(m -> submit(exchange, new Command.PutSchedule(commandId(exchange), schedule, m)));
        });
    }

    private static List<Command.Cell> readCells(final JsonDocument document) {
        final List<Command.Cell> cells = new ArrayList<>();
        document.objects("cells", 10_000).forEach(x -> {
            cells.add(new Command.Cell(
                    x.string("tenant", 64), x.string("kind", 64), x.string("field", 64), x.scalarText("value")));
            x.finish();
        });
        return cells;
    }

    private void putEvacuation(final HttpExchange exchange, final String zone) {
        parseBody(exchange).ifPresent(document -> {
            if (!document.has("empty")) {
                document.string("empty", 1);
            }
            final boolean isEvacuated = document.flag("empty", false);
            if (!rejectIfFaulty(exchange, document)) {
                expectedRevision(exchange)
                        .map(m -> m < 0 ? Command.SetEvacuation.LATEST : m)
                        .ifPresent(m ->
                                submit(exchange, new Command.SetEvacuation(commandId(exchange), zone, isEvacuated, m)));
            }
        });
    }

    private void submit(final HttpExchange exchange, final Command command) {
        final boolean sent = eventLoop.submit(command, COMMAND_TIMEOUT_MICROS, r -> {
            switch ((CommandResult) r) {
                case CommandResult.Applied k ->
                    exchange.reply(
                            200,
                            Map.of("outcome", "kept", "sequence", k.sequence(), "change", command.id()),
                            Map.of("ETag", "\"" + k.sequence() + "\""));
                case CommandResult.Rejected x ->
                    exchange.reply(
                            x.code(),
                            Map.of(
                                    "outcome",
                                    "rejected",
                                    "faults",
                                    x.faults(),
                                    "sequence",
                                    x.sequence(),
                                    "change",
                                    command.id()),
                            x.code() == 503 ? Map.of("Retry-After", "1") : Map.of());
                case CommandResult.AlreadyClaimed s ->
                    exchange.reply(409, Map.of("outcome", "rejected", "change", command.id()));
                case CommandResult.Unknown u ->
                    exchange.reply(
                            504,
                            Map.of(
                                    "outcome",
                                    "unknown",
                                    "change",
                                    command.id(),
                                    "faults",
                                    List.of("not decided in time; ask for the change by its id")));
            }
        });
        if (!sent) {
            reject(exchange, 503, "the ring is full");
        }
    }

    private static String commandId(final HttpExchange exchange) {
        return exchange.header("X-Change")
                .filter(h -> h.matches("[A-Za-z0-9-]{8,64}"))
                .orElseGet(() -> UUID.randomUUID().toString());
    }

    private static Optional<Long> expectedRevision(final HttpExchange exchange) {
        final String text =
                exchange.header("If-Match").map(h -> h.replace("\"", "")).orElse("*");
        if (text.equals("*")) {
            return Optional.of(-1L);
        }
        if (!text.matches("\\d{1,18}")) {
            reject(exchange, 400, "If-Match: a sequence is needed");
            return Optional.empty();
        }
        return Optional.of(Long.parseLong(text));
    }

    private Optional<JsonDocument> parseBody(final HttpExchange exchange) {
        return switch (JsonDocument.parse(exchange.body(), Math.max(settings.maxBodyBytes(), 8 << 20))) {
            case JsonDocument.ParseResult.Invalid bad -> {
                reject(exchange, bad.code(), bad.reason());
                yield Optional.empty();
            }
            case JsonDocument.ParseResult.Valid good -> Optional.of(good.document());
        };
    }

    private static boolean rejectIfFaulty(final HttpExchange exchange, final JsonDocument document) {
        final List<String> faults = document.finish();
        if (!faults.isEmpty()) {
            exchange.reply(
                    422, Map.of("outcome", "rejected", "faults", faults.subList(0, Math.min(100, faults.size()))));
        }
        return !faults.isEmpty();
    }

    private static void reject(final HttpExchange exchange, final int code, final String why) {
        exchange.reply(
                code,
                Map.of("outcome", "rejected", "faults", List.of(why)),
                code == 503 ? Map.of("Retry-After", "1") : Map.of());
    }

    private void status(final HttpExchange exchange) {
        eventLoop.execute(d -> {
            final long now = EventLoop.nowMicros();
            final Map<String, Object> map = new TreeMap<>();
            map.put("name", settings.name());
            map.put("ready", unreadyReason.get().isEmpty());
            map.put("why", unreadyReason.get().orElse(""));
            map.put("fleet", Long.toHexString(d.view().fleet()));
            map.put("view", d.view().number());
            map.put("holder", d.view().singletonOwner());
            map.put(
                    "voters",
                    d.view().voters().stream()
                            .map(b -> b.id() + " " + b.address())
                            .toList());
            map.put("chain", d.view().chain().stream().map(b -> b.address()).toList());
            d.chainReplica().ifPresent(q -> {
                final ChainReplica.ReplicaStatus replica = q.status(now);
                map.put("state", replica.state());
                map.put("level", replica.isCaughtUp());
                map.put("leased", replica.isLeased());
                map.put("sequence", replica.sequence());
                map.put("pending", replica.pendingEntries());
            });
            map.put("table", d.gossip().stateMachine().policyRevision());
            map.put("stamp", "" + d.processClock().last().bits());
            map.put(
                    "crew",
                    d.membership().all().stream()
                            .map(m -> m.id() + " " + m.role() + " " + m.zone() + " " + m.region() + " "
                                    + m.httpAddress() + " " + m.state() + (m.ready() ? " ready" : ""))
                            .toList());
            map.put(
                    "workers",
                    d.gossip().workers().values().stream()
                            .map(h -> h.worker().id() + " " + h.worker().zone() + " running "
                                    + h.worker().running() + "/" + h.worker().slots()
                                    + (h.worker().draining() ? " leaving" : ""))
                            .sorted()
                            .toList());
            exchange.reply(200, map);
        });
    }

    private void metrics(final HttpExchange exchange) {
        eventLoop.execute(d -> {
            final Map<String, Object> all = new TreeMap<>();
            final var clockCounts = d.processClock().counts();
            all.put("tide_waits", clockCounts.waits());
            all.put("tide_carries", clockCounts.overflows());
            all.put("tide_far", clockCounts.tooFarAhead());
            all.put("tide_dropped", clockCounts.dropped());
            d.counters().forEach((k, v) -> all.put("deck_" + k, v));
            d.chainReplica()
                    .ifPresent(q -> all.put("quay_sequence", q.stateMachine().sequence()));
            all.put("wire_bad", transport.bad());
            all.put("wire_dropped", transport.droppedFrames());
            exchange.replyText(all.entrySet().stream()
                            .map(e -> "silverlatch_" + e.getKey() + " " + e.getValue())
                            .collect(Collectors.joining("\n"))
                    + "\n");
        });
    }
}
