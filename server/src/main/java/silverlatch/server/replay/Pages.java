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
import silverlatch.server.controller.Rows;
import silverlatch.state.TableRules;
import silverlatch.state.Value;
import silverlatch.util.Numbers;

/** The lines of a recorded day, both ways; no prompt is among them. */
public final class Pages {
    /** The first line of every recording. */
    public static final String HEAD = "{\"silverlatch\":\"day\",\"format\":1}";

    private static final int LINE = 4 << 20;
    private static final long FAR = 1L << 50;

    private Pages() {}

    /** What a recording held. */
    public record Day(List<DispatchEffect.PlacementDecided> judged, Map<String, String> ends) {
        /** Copies the collections. */
        public Day {
            judged = List.copyOf(judged);
            ends = Map.copyOf(ends);
        }
    }

    /** What reading gave. */
    public sealed interface Read {
        /** A whole recording. */
        record Good(Day day) implements Read {}

        /** The place of each fault. */
        record Bad(List<String> faults) implements Read {
            /** Copies the faults. */
            public Bad {
                faults = List.copyOf(faults);
            }
        }
    }

    /** A placement as a line. */
    public static String write(final DispatchEffect.PlacementDecided j) {
        final PlacementContext c = j.context();
        final List<Map<String, Object>> sights = new ArrayList<>();
        j.candidates().forEach(s -> {
            final Worker w = s.worker();
            final Map<String, Object> map = new LinkedHashMap<>();
            map.put("worker", w.id());
            map.put("zone", w.zone());
            map.put("region", w.region());
            map.put("running", w.running());
            map.put("queued", w.queued());
            map.put("slots", w.slots());
            map.put(
                    "kept",
                    c.prefixDigests().stream()
                            .filter(w.cachedPrefixes()::contains)
                            .toList());
            map.put("leaving", w.draining());
            map.put("up", Math.min(FAR, w.uptime()));
            map.put("age", Math.min(FAR, s.reportAge()));
            map.put("since", s.attemptsSinceReport());
            map.put("mine", s.ownAttempts());
            map.put("back", Numbers.clamp(s.sinceReturn(), 0, FAR));
            map.put("shunned", s.isEjected());
            map.put("peers", s.gatewayCount());
            sights.add(map);
        });
        final Map<String, Object> map = new LinkedHashMap<>();
        map.put("ticket", c.requestId());
        map.put("tenant", c.tenant().name());
        map.put("homes", c.tenant().homeRegions());
        map.put("row", Rows.write(c.row()));
        map.put("prefix", c.prefixDigests());
        map.put("zone", c.gatewayZone());
        map.put("region", c.gatewayRegion());
        map.put("empty", c.evacuatingZones().stream().sorted().toList());
        map.put("page", j.revision());
        map.put("stamp", "" + j.timestamp());
        map.put("seed", j.seed());
        map.put("picked", j.worker());
        map.put("sights", sights);
        return JsonDocument.write(Map.of("pick", map));
    }

    /** An end as a line. */
    public static String write(final DispatchEffect.RequestEnded e) {
        return JsonDocument.write(
                Map.of("end", Map.of("ticket", e.requestId(), "state", e.state(), "why", e.reason())));
    }

    /** Reads recordings whole, or names the place of each fault. */
    public static Read read(final List<Path> files) {
        final List<String> faults = new ArrayList<>();
        final List<DispatchEffect.PlacementDecided> judged = new ArrayList<>();
        final Map<String, String> ends = new HashMap<>();
        for (final Path file : files) {
            try {
                final List<String> lines = Files.readAllLines(file, StandardCharsets.UTF_8);
                if (lines.isEmpty() || !lines.get(0).equals(HEAD)) {
                    faults.add(file + ":1: not a recording of ours");
                    continue;
                }
                for (int i = 1; i < lines.size() && faults.size() < 50; i++) {
                    line(file + ":" + (i + 1) + ": ", lines.get(i), judged, ends, faults);
                }
            } catch (final IOException e) {
                faults.add(file + ": can't be read: " + e.getMessage());
            }
        }
        return faults.isEmpty() ? new Read.Good(new Day(judged, ends)) : new Read.Bad(faults);
    }

    private static void line(
            final String at,
            final String text,
            final List<DispatchEffect.PlacementDecided> judged,
            final Map<String, String> ends,
            final List<String> faults) {
        switch (JsonDocument.parse(text.getBytes(StandardCharsets.UTF_8), LINE)) {
            case JsonDocument.ParseResult.Invalid bad -> faults.add(at + bad.reason());
            case JsonDocument.ParseResult.Valid good -> {
                final JsonDocument s = good.document();
                if (s.has("end")) {
                    final JsonDocument e = s.object("end");
                    ends.put(e.string("ticket", 256), e.string("state", 32));
                    e.string("why", 4096, "");
                    e.finish();
                } else {
                    final JsonDocument p = s.object("pick");
                    if (s.faults().isEmpty()) {
                        judged.add(judged(p));
                    }
                }
                s.finish().forEach(f -> faults.add(at + f));
            }
        }
    }

    private static DispatchEffect.PlacementDecided judged(final JsonDocument s) {
        final JsonDocument r = s.object("row");
        final Value.Row row = Rows.read(r);
        r.finish();
        final List<PlacementInput> sights = new ArrayList<>();
        s.objects("sights", 10_000).forEach(x -> {
            final Worker w = new Worker(
                    x.string("worker", 64),
                    "",
                    x.string("zone", 64),
                    x.string("region", 64),
                    0,
                    0,
                    (int) x.integer("running", 0, Integer.MAX_VALUE),
                    (int) x.integer("queued", 0, Integer.MAX_VALUE),
                    (int) x.integer("slots", 1, Integer.MAX_VALUE),
                    x.integers("kept", 4_096),
                    x.flag("leaving", false),
                    x.integer("up", 0, FAR));
            sights.add(new PlacementInput(
                    w,
                    x.integer("age", 0, FAR),
                    (int) x.integer("since", 0, Integer.MAX_VALUE),
                    (int) x.integer("mine", 0, Integer.MAX_VALUE),
                    x.integer("back", 0, FAR),
                    x.flag("shunned", false),
                    (int) x.integer("peers", 1, Integer.MAX_VALUE)));
            x.finish();
        });
        final Value.Tenant who = new Value.Tenant(s.string("tenant", 64), s.strings("homes", 64, 64), 1, "", "");
        final PlacementContext plea = new PlacementContext(
                s.string("ticket", 256),
                who,
                row,
                s.integers("prefix", 64),
                s.string("zone", 64),
                s.string("region", 64),
                Set.copyOf(s.strings("empty", 64, 64)));
        final String stamp = s.string("stamp", 20);
        final DispatchEffect.PlacementDecided made = new DispatchEffect.PlacementDecided(
                plea,
                sights,
                s.integer("seed", 0, Long.MAX_VALUE),
                s.integer("page", 0, Long.MAX_VALUE),
                stamp.matches("\\d{1,19}") ? Long.parseLong(stamp) : 0,
                s.string("picked", 64));
        s.finish();
        return made;
    }

    /** The rows of a table file by tenant and kind, or its faults. */
    public static Map<String, Value.Row> table(final Path file, final List<String> faults) {
        final Map<String, Value.Row> rows = new HashMap<>();
        try {
            switch (JsonDocument.parse(Files.readAllBytes(file), 64 << 20)) {
                case JsonDocument.ParseResult.Invalid bad -> faults.add(file + ": " + bad.reason());
                case JsonDocument.ParseResult.Valid good -> {
                    final JsonDocument s = good.document();
                    s.integer("sequence", 0, Long.MAX_VALUE, 0);
                    final List<JsonDocument> list = s.objects("rows", 20_000);
                    for (int i = 0; i < list.size(); i++) {
                        final Value.Row row = Rows.read(list.get(i));
                        list.get(i).finish();
                        final String at = file + ": $.rows[" + i + "].";
                        TableRules.faults(row).forEach(f -> faults.add(at + f));
                        rows.put(row.tenant() + "/" + row.kind(), row);
                    }
                    s.finish().forEach(f -> faults.add(file + ": " + f));
                }
            }
        } catch (final IOException e) {
            faults.add(file + ": can't be read: " + e.getMessage());
        }
        return rows;
    }
}
