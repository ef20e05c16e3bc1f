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
import silverlatch.server.web.Call;
import silverlatch.server.web.Words;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.ConfigurationValidator;
import silverlatch.state.StateMachine;
import silverlatch.state.Value;

/** The HTTP door of a controller: operators' orders, workers' words, and how the controller stands. */
final class Door {
    private static final long SPAN = 4_000_000L;
    private final Settings settings;
    private final EventLoopHandle bridge;
    private final Transport dock;
    private final Schedules calendars;
    private final Supplier<Optional<String>> unready;

    Door(
            final Settings settings,
            final EventLoopHandle bridge,
            final Transport dock,
            final Schedules calendars,
            final Supplier<Optional<String>> unready) {
        this.settings = settings;
        this.bridge = bridge;
        this.dock = dock;
        this.calendars = calendars;
        this.unready = unready;
    }

    void route(final Call c) {
        final String at = c.method() + " " + c.path();
        switch (at) {
            case "GET /live" -> c.reply(200, Map.of("live", true));
            case "GET /ready" -> {
                final Optional<String> why = unready.get();
                c.reply(why.isEmpty() ? 200 : 503, Map.of("ready", why.isEmpty(), "why", why.orElse("")));
            }
            case "GET /metrics" -> metrics(c);
            case "POST /v1/announcements" -> announce(c);
            default -> {
                if (!PermitSigner.constantTimeEquals(c.secret(), settings.operator())) {
                    no(c, 401, "the operator's key is needed");
                } else {
                    order(c, at);
                }
            }
        }
    }

    private void order(final Call c, final String at) {
        final String[] part = c.path().split("/");
        switch (at) {
            case "GET /status" -> status(c);
            case "GET /v1/table" -> page(c, "r/", "rows");
            case "PUT /v1/table" -> table(c);
            case "PATCH /v1/table" -> cells(c);
            case "GET /v1/tenants" -> page(c, "t/", "tenants");
            case "GET /v1/calendars" -> page(c, "k/", "calendars");
            case "GET /v1/zones" -> page(c, "z/", "zones");
            case "GET /v1/rules" -> page(c, ConfigurationValidator.ROUTE_PREFIX, "rules");
            case "GET /v1/charter" -> paper(c);
            case "PUT /v1/charter" -> charter(c);
            default -> {
                if (part.length == 4 && at.startsWith("PUT /v1/tenants/")) {
                    tenant(c, part[3]);
                } else if (part.length == 4 && at.startsWith("DELETE /v1/tenants/")) {
                    match(c).ifPresent(m -> wish(c, new Command.RemoveTenant(id(c), part[3], m)));
                } else if (part.length == 4 && at.startsWith("PUT /v1/zones/")) {
                    zone(c, part[3]);
                } else if (part.length == 4 && at.startsWith("PUT /v1/calendars/")) {
                    calendar(c, part[3]);
                } else if (part.length == 4 && at.startsWith("DELETE /v1/calendars/")) {
                    match(c).ifPresent(m -> wish(c, new Command.RemoveSchedule(id(c), part[3], m)));
                } else if (part.length == 4 && at.startsWith("GET /v1/claims/") && part[3].matches("[0-9a-f]{2}")) {
                    page(c, "c/" + part[3], "claims");
                } else if (part.length == 4 && at.startsWith("GET /v1/changes/")) {
                    change(c, part[3]);
                } else {
                    no(c, 404, "$: no such page");
                }
            }
        }
    }

    private void page(final Call c, final String start, final String name) {
        read(c, start, p -> {
            final Map<String, Object> map = Rows.page(name, p.entries());
            c.reply(200, map, Map.of("ETag", "\"" + map.get("sequence") + "\""));
        });
    }

    private void change(final Call c, final String id) {
        read(c, "o/" + id, p -> {
            final Optional<silverlatch.state.Entry> e =
                    p.entries().stream().filter(x -> x.key().equals("o/" + id)).findFirst();
            final Optional<Value.CommandOutcome> deed =
                    e.map(x -> (Value.CommandOutcome) x.value().get(0));
            c.reply(
                    deed.isPresent() ? 200 : 404,
                    deed.isEmpty()
                            ? Map.of("outcome", "absent", "faults", List.of("no such change took effect"))
                            : deed.get().code() == 0
                                    ? Map.of(
                                            "outcome",
                                            "kept",
                                            "sequence",
                                            deed.get().sequence())
                                    : Map.of(
                                            "outcome",
                                            "rejected",
                                            "code",
                                            deed.get().code(),
                                            "faults",
                                            deed.get().faults()));
        });
    }

    private void read(final Call c, final String start, final Consumer<ChainClient.ReadResult> then) {
        final boolean sent = bridge.read(start, SPAN, r -> {
            final ChainClient.ReadResult p = (ChainClient.ReadResult) r;
            if (p.answered()) {
                then.accept(p);
            } else {
                c.reply(
                        503,
                        Map.of("outcome", "rejected", "faults", List.of("the chain's tail can't be asked now")),
                        Map.of("Retry-After", "1"));
            }
        });
        if (!sent) {
            no(c, 503, "the ring is full");
        }
    }

    private void announce(final Call c) {
        if (!PermitSigner.constantTimeEquals(c.secret(), settings.worker())) {
            no(c, 401, "the workers' key is needed");
            return;
        }
        sheet(c).ifPresent(s -> {
            final Worker w = Words.read(s);
            final long echo = Words.echo(s);
            if (!faulty(c, s)
                    && !bridge.with(d -> {
                        final long next = d.onAnnouncement(w, echo, EventLoop.now());
                        c.reply(
                                200,
                                Map.of(
                                        "echo",
                                        next,
                                        "table",
                                        d.gossip().stateMachine().policyRevision()));
                    })) {
                no(c, 503, "the ring is full");
            }
        });
    }

    private void paper(final Call c) {
        read(
                c,
                ConfigurationValidator.DOCUMENT_KEY,
                p -> p.entries().stream()
                        .filter(e -> !e.isDeleted())
                        .map(e -> (Value.ConfigurationDocument) e.value().get(0))
                        .findFirst()
                        .ifPresentOrElse(
                                x -> c.text("application/json", x.text(), Map.of("ETag", "\"" + x.number() + "\"")),
                                () -> no(c, 404, "there is no charter yet")));
    }

    private void charter(final Call c) {
        final Optional<String> paper = ConfigurationJson.paper(c.body());
        if (paper.isEmpty()) {
            no(c, 400, "$: not UTF-8");
            return;
        }
        if (ConfigurationValidator.isTooLong(paper.get())) {
            no(c, 413, "$: longer than " + ConfigurationValidator.MAX_DOCUMENT_BYTES + " bytes");
            return;
        }
        sheet(c).ifPresent(s -> {
            final Command.PutConfiguration w = ConfigurationJson.read(s, paper.get(), id(c), -1);
            if (!faulty(c, s)) {
                match(c).ifPresent(m -> wish(
                        c,
                        new Command.PutConfiguration(
                                w.id(), w.configuration(), w.routes(), w.pools(), w.document(), m)));
            }
        });
    }

    private void table(final Call c) {
        sheet(c).ifPresent(s -> {
            final List<Value.Row> rows = new ArrayList<>();
            s.integer("sequence", 0, Long.MAX_VALUE, 0);
            s.objects("rows", StateMachine.MAX_ROWS + 1).forEach(x -> {
                rows.add(Rows.read(x));
                x.finish();
            });
            if (!faulty(c, s)) {
                match(c).ifPresent(m -> wish(c, new Command.PutTable(id(c), rows, m)));
            }
        });
    }

    private void cells(final Call c) {
        sheet(c).ifPresent(s -> {
            final List<Command.Cell> cells = cellsOf(s);
            if (!faulty(c, s)) {
                match(c).ifPresent(m -> wish(c, new Command.PatchTable(id(c), cells, m)));
            }
        });
    }

    private void tenant(final Call c, final String name) {
        sheet(c).ifPresent(s -> {
            final Value.Tenant t = new Value.Tenant(
                    name,
                    s.strings("homes", 64, 64),
                    s.number("share", 1),
                    PermitSigner.sha256Hex(s.string("key", 256)),
                    PermitSigner.sha256Hex(settings.key() + "|" + name).substring(0, 16));
            if (!faulty(c, s)) {
                match(c).ifPresent(m -> wish(c, new Command.PutTenant(id(c), t, m)));
            }
        });
    }

    private void calendar(final Call c, final String name) {
        sheet(c).ifPresent(s -> {
            final List<Command.Cell> cells = cellsOf(s);
            final Value.Schedule k = new Value.Schedule(
                    name, s.string("cron", 128), cells, s.string("zone", 64, ""), s.flag("empty", false));
            final List<String> faults = new ArrayList<>(s.finish());
            faults.addAll(calendars.faults(k));
            if (!faults.isEmpty()) {
                c.reply(422, Map.of("outcome", "rejected", "faults", faults));
                return;
            }
            match(c).ifPresent(m -> wish(c, new Command.PutSchedule(id(c), k, m)));
        });
    }

    private static List<Command.Cell> cellsOf(final JsonDocument s) {
        final List<Command.Cell> cells = new ArrayList<>();
        s.objects("cells", 10_000).forEach(x -> {
            cells.add(new Command.Cell(
                    x.string("tenant", 64), x.string("kind", 64), x.string("field", 64), x.scalarText("value")));
            x.finish();
        });
        return cells;
    }

    private void zone(final Call c, final String zone) {
        sheet(c).ifPresent(s -> {
            if (!s.has("empty")) {
                s.string("empty", 1);
            }
            final boolean on = s.flag("empty", false);
            if (!faulty(c, s)) {
                match(c).map(m -> m < 0 ? Command.SetEvacuation.LATEST : m)
                        .ifPresent(m -> wish(c, new Command.SetEvacuation(id(c), zone, on, m)));
            }
        });
    }

    private void wish(final Call c, final Command w) {
        final boolean sent = bridge.wish(w, SPAN, r -> {
            switch ((CommandResult) r) {
                case CommandResult.Applied k ->
                    c.reply(
                            200,
                            Map.of("outcome", "kept", "sequence", k.sequence(), "change", w.id()),
                            Map.of("ETag", "\"" + k.sequence() + "\""));
                case CommandResult.Rejected x ->
                    c.reply(
                            x.code(),
                            Map.of(
                                    "outcome",
                                    "rejected",
                                    "faults",
                                    x.faults(),
                                    "sequence",
                                    x.sequence(),
                                    "change",
                                    w.id()),
                            x.code() == 503 ? Map.of("Retry-After", "1") : Map.of());
                case CommandResult.AlreadyClaimed s -> c.reply(409, Map.of("outcome", "rejected", "change", w.id()));
                case CommandResult.Unknown u ->
                    c.reply(
                            504,
                            Map.of(
                                    "outcome",
                                    "unknown",
                                    "change",
                                    w.id(),
                                    "faults",
                                    List.of("not decided in time; ask for the change by its id")));
            }
        });
        if (!sent) {
            no(c, 503, "the ring is full");
        }
    }

    private static String id(final Call c) {
        return c.header("X-Change")
                .filter(h -> h.matches("[A-Za-z0-9-]{8,64}"))
                .orElseGet(() -> UUID.randomUUID().toString());
    }

    private static Optional<Long> match(final Call c) {
        final String text = c.header("If-Match").map(h -> h.replace("\"", "")).orElse("*");
        if (text.equals("*")) {
            return Optional.of(-1L);
        }
        if (!text.matches("\\d{1,18}")) {
            no(c, 400, "If-Match: a sequence is needed");
            return Optional.empty();
        }
        return Optional.of(Long.parseLong(text));
    }

    private Optional<JsonDocument> sheet(final Call c) {
        return switch (JsonDocument.parse(c.body(), Math.max(settings.body(), 8 << 20))) {
            case JsonDocument.ParseResult.Invalid bad -> {
                no(c, bad.code(), bad.reason());
                yield Optional.empty();
            }
            case JsonDocument.ParseResult.Valid good -> Optional.of(good.document());
        };
    }

    private static boolean faulty(final Call c, final JsonDocument s) {
        final List<String> faults = s.finish();
        if (!faults.isEmpty()) {
            c.reply(422, Map.of("outcome", "rejected", "faults", faults.subList(0, Math.min(100, faults.size()))));
        }
        return !faults.isEmpty();
    }

    private static void no(final Call c, final int code, final String why) {
        c.reply(
                code,
                Map.of("outcome", "rejected", "faults", List.of(why)),
                code == 503 ? Map.of("Retry-After", "1") : Map.of());
    }

    private void status(final Call c) {
        bridge.with(d -> {
            final long now = EventLoop.now();
            final Map<String, Object> map = new TreeMap<>();
            map.put("name", settings.name());
            map.put("ready", unready.get().isEmpty());
            map.put("why", unready.get().orElse(""));
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
                final ChainReplica.ReplicaStatus s = q.status(now);
                map.put("state", s.state());
                map.put("level", s.isCaughtUp());
                map.put("leased", s.isLeased());
                map.put("sequence", s.sequence());
                map.put("pending", s.pendingEntries());
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
            c.reply(200, map);
        });
    }

    private void metrics(final Call c) {
        bridge.with(d -> {
            final Map<String, Object> all = new TreeMap<>();
            final var n = d.processClock().counts();
            all.put("tide_waits", n.waits());
            all.put("tide_carries", n.overflows());
            all.put("tide_far", n.tooFarAhead());
            all.put("tide_dropped", n.dropped());
            d.counters().forEach((k, v) -> all.put("deck_" + k, v));
            d.chainReplica()
                    .ifPresent(q -> all.put("quay_sequence", q.stateMachine().sequence()));
            all.put("wire_bad", dock.bad());
            all.put("wire_dropped", dock.dropped());
            c.text(all.entrySet().stream()
                            .map(e -> "silverlatch_" + e.getKey() + " " + e.getValue())
                            .collect(Collectors.joining("\n"))
                    + "\n");
        });
    }
}
