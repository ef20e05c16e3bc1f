package silverlatch.server.replay;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import silverlatch.dispatch.DispatchEffect;
import silverlatch.gossip.Worker;
import silverlatch.json.JsonDocument;
import silverlatch.placement.PlacementContext;
import silverlatch.placement.PlacementInput;
import silverlatch.server.controller.TableJson;
import silverlatch.state.TableRules;
import silverlatch.state.Value;
import silverlatch.util.Numbers;

/** The lines of a recorded day, both ways; no prompt is among them. */
public final class RecordingFormat {
    /** The first line of every recording. */
    public static final String HEADER = "{\"silverlatch\":\"day\",\"format\":1}";

    private static final int MAX_LINE_BYTES = 4 << 20;
    private static final long MAX_MICROS = 1L << 50;

    private RecordingFormat() {}

    /** What a recording held. */
    public record Recording(List<DispatchEffect.PlacementDecided> placements, Map<String, String> endStates) {
        /** Copies the collections. */
        public Recording {
            placements = List.copyOf(placements);
            endStates = Map.copyOf(endStates);
        }
    }

    /** What reading gave. */
    public sealed interface ReadResult {
        /** A whole recording. */
        record Valid(Recording recording) implements ReadResult {}

        /** The place of each fault. */
        record Invalid(List<String> faults) implements ReadResult {
            /** Copies the faults. */
            public Invalid {
                faults = List.copyOf(faults);
            }
        }
    }

    /** A placement as a line. */
    public static String write(final DispatchEffect.PlacementDecided placement) {
        final PlacementContext request = placement.context();
        final List<Map<String, Object>> inputs = new ArrayList<>();
        placement.candidates().forEach(input -> {
            final Worker worker = input.worker();
            final Map<String, Object> map = new LinkedHashMap<>();
            map.put("worker", worker.id());
            map.put("zone", worker.zone());
            map.put("region", worker.region());
            map.put("running", worker.running());
            map.put("queued", worker.queued());
            map.put("slots", worker.slots());
            map.put(
                    "kept",
                    request.prefixDigests().stream()
                            .filter(worker.cachedPrefixes()::contains)
                            .toList());
            map.put("leaving", worker.draining());
            map.put("up", Math.min(MAX_MICROS, worker.uptime()));
            map.put("age", Math.min(MAX_MICROS, input.reportAge()));
            map.put("since", input.attemptsSinceReport());
            map.put("mine", input.ownAttempts());
            map.put("back", Numbers.clamp(input.sinceReturn(), 0, MAX_MICROS));
            map.put("shunned", input.isEjected());
            map.put("peers", input.gatewayCount());
            inputs.add(map);
        });
        final Map<String, Object> map = new LinkedHashMap<>();
        map.put("ticket", request.requestId());
        map.put("tenant", request.tenant().name());
        map.put("homes", request.tenant().homeRegions());
        map.put("row", TableJson.write(request.row()));
        map.put("prefix", request.prefixDigests());
        map.put("zone", request.gatewayZone());
        map.put("region", request.gatewayRegion());
        map.put("empty", request.evacuatingZones().stream().sorted().toList());
        map.put("page", placement.revision());
        map.put("stamp", "" + placement.timestamp());
        map.put("seed", placement.seed());
        map.put("picked", placement.worker());
        map.put("sights", inputs);
        return JsonDocument.write(Map.of("pick", map));
    }

    /** An end as a line. */
    public static String write(final DispatchEffect.RequestEnded ended) {
        return JsonDocument.write(
                Map.of("end", Map.of("ticket", ended.requestId(), "state", ended.state(), "why", ended.reason())));
    }

    /** Reads recordings whole, or names the place of each fault. */
    public static ReadResult read(final List<Path> files) {
        final List<String> faults = new ArrayList<>();
        final List<DispatchEffect.PlacementDecided> placements = new ArrayList<>();
        final Map<String, String> endStates = new HashMap<>();
        for (final Path file : files) {
            try {
                final List<String> lines = Files.readAllLines(file, StandardCharsets.UTF_8);
                if (lines.isEmpty() || !lines.get(0).equals(HEADER)) {
                    faults.add(file + ":1: not a recording of ours");
                    continue;
                }
                for (int i = 1; i < lines.size() && faults.size() < 50; i++) {
                    readLine(file + ":" + (i + 1) + ": ", lines.get(i), placements, endStates, faults);
                }
            } catch (final IOException e) {
                faults.add(file + ": can't be read: " + e.getMessage());
            }
        }
        return faults.isEmpty()
                ? new ReadResult.Valid(new Recording(placements, endStates))
                : new ReadResult.Invalid(faults);
    }

    private static void readLine(
            final String location,
            final String text,
            final List<DispatchEffect.PlacementDecided> placements,
            final Map<String, String> endStates,
            final List<String> faults) {
        switch (JsonDocument.parse(text.getBytes(StandardCharsets.UTF_8), MAX_LINE_BYTES)) {
            case JsonDocument.ParseResult.Invalid bad -> faults.add(location + bad.reason());
            case JsonDocument.ParseResult.Valid good -> {
                final JsonDocument document = good.document();
                if (document.has("end")) {
                    final JsonDocument end = document.object("end");
                    endStates.put(end.string("ticket", 256), end.string("state", 32));
                    end.string("why", 4096, "");
                    end.finish();
                } else {
                    final JsonDocument pick = document.object("pick");
                    if (document.faults().isEmpty()) {
                        placements.add(readPlacement(pick));
                    }
                }
                document.finish().forEach(f -> faults.add(location + f));
            }
        }
    }

    private static DispatchEffect.PlacementDecided readPlacement(final JsonDocument document) {
        final JsonDocument rowDocument = document.object("row");
        final Value.Row row = TableJson.read(rowDocument);
        rowDocument.finish();
        final List<PlacementInput> inputs = new ArrayList<>();
        document.objects("sights", 10_000).forEach(input -> {
            final Worker worker = new Worker(
                    input.string("worker", 64),
                    "",
                    input.string("zone", 64),
                    input.string("region", 64),
                    0,
                    0,
                    (int) input.integer("running", 0, Integer.MAX_VALUE),
                    (int) input.integer("queued", 0, Integer.MAX_VALUE),
                    (int) input.integer("slots", 1, Integer.MAX_VALUE),
                    input.integers("kept", 4_096),
                    input.flag("leaving", false),
                    input.integer("up", 0, MAX_MICROS));
            inputs.add(new PlacementInput(
                    worker,
                    input.integer("age", 0, MAX_MICROS),
                    (int) input.integer("since", 0, Integer.MAX_VALUE),
                    (int) input.integer("mine", 0, Integer.MAX_VALUE),
                    input.integer("back", 0, MAX_MICROS),
                    input.flag("shunned", false),
                    (int) input.integer("peers", 1, Integer.MAX_VALUE)));
            input.finish();
        });
        final Value.Tenant tenant =
                new Value.Tenant(document.string("tenant", 64), document.strings("homes", 64, 64), 1, "", "");
        final PlacementContext request = new PlacementContext(
                document.string("ticket", 256),
                tenant,
                row,
                document.integers("prefix", 64),
                document.string("zone", 64),
                document.string("region", 64),
                Set.copyOf(document.strings("empty", 64, 64)));
        final String stamp = document.string("stamp", 20);
        final DispatchEffect.PlacementDecided placement = new DispatchEffect.PlacementDecided(
                request,
                inputs,
                document.integer("seed", 0, Long.MAX_VALUE),
                document.integer("page", 0, Long.MAX_VALUE),
                stamp.matches("\\d{1,19}") ? Long.parseLong(stamp) : 0,
                document.string("picked", 64));
        document.finish();
        return placement;
    }

    /** The rows of a table file by tenant and kind, or its faults. */
    public static Map<String, Value.Row> readTable(final Path file, final List<String> faults) {
        final Map<String, Value.Row> rows = new HashMap<>();
        try {
            switch (JsonDocument.parse(Files.readAllBytes(file), 64 << 20)) {
                case JsonDocument.ParseResult.Invalid bad -> faults.add(file + ": " + bad.reason());
                case JsonDocument.ParseResult.Valid good -> {
                    final JsonDocument document = good.document();
                    document.integer("sequence", 0, Long.MAX_VALUE, 0);
                    final List<JsonDocument> list = document.objects("rows", 20_000);
                    for (int i = 0; i < list.size(); i++) {
                        final Value.Row row = TableJson.read(list.get(i));
                        list.get(i).finish();
                        final String location = file + ": $.rows[" + i + "].";
                        TableRules.faults(row).forEach(f -> faults.add(location + f));
                        rows.put(row.tenant() + "/" + row.kind(), row);
                    }
                    document.finish().forEach(f -> faults.add(file + ": " + f));
                }
            }
        } catch (final IOException e) {
            faults.add(file + ": can't be read: " + e.getMessage());
        }
        return rows;
    }
}
