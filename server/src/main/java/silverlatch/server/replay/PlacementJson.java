package silverlatch.server.replay;

import java.util.ArrayList;
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
import silverlatch.state.Value;
import silverlatch.util.Numbers;

/** Converts recorded placements to and from JSON: all inputs of the decision, and the worker that was selected. */
final class PlacementJson {
    /** The largest duration that is recorded, in microseconds. Longer ones are recorded as this one. */
    private static final long MAX_MICROS = 1L << 50;

    private static final int MAX_NAME_LENGTH = 64;
    private static final int MAX_REQUEST_ID_LENGTH = 256;
    private static final int MAX_CANDIDATES = 10_000;
    private static final int MAX_CACHED_PREFIXES = 4_096;
    private static final int MAX_PREFIX_DIGESTS = 64;
    private static final int MAX_ZONES = 64;
    private static final int MAX_STAMP_LENGTH = 20;

    private PlacementJson() {}

    /** Returns a placement as JSON. Of the prefixes that each worker has cached, only those of the request are included. */
    static Map<String, Object> write(final DispatchEffect.PlacementDecided placement) {
        final PlacementContext context = placement.context();
        final Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("ticket", context.requestId());
        fields.put("tenant", context.tenant().name());
        fields.put("homes", context.tenant().homeRegions());
        fields.put("row", TableJson.write(context.row()));
        fields.put("prefix", context.prefixDigests());
        fields.put("zone", context.gatewayZone());
        fields.put("region", context.gatewayRegion());
        fields.put("empty", context.evacuatingZones().stream().sorted().toList());
        fields.put("page", placement.revision());
        fields.put("stamp", "" + placement.timestamp());
        fields.put("seed", placement.seed());
        fields.put("picked", placement.worker());
        fields.put(
                "sights",
                placement.candidates().stream()
                        .map(candidate -> write(candidate, context.prefixDigests()))
                        .toList());
        return fields;
    }

    private static Map<String, Object> write(final PlacementInput candidate, final List<Long> prefixDigests) {
        final Worker worker = candidate.worker();
        final Map<String, Object> fields = new LinkedHashMap<>();
        fields.put("worker", worker.id());
        fields.put("zone", worker.zone());
        fields.put("region", worker.region());
        fields.put("running", worker.running());
        fields.put("queued", worker.queued());
        fields.put("slots", worker.slots());
        fields.put(
                "kept",
                prefixDigests.stream().filter(worker.cachedPrefixes()::contains).toList());
        fields.put("leaving", worker.draining());
        fields.put("up", Math.min(MAX_MICROS, worker.uptime()));
        fields.put("age", Math.min(MAX_MICROS, candidate.reportAge()));
        fields.put("since", candidate.attemptsSinceReport());
        fields.put("mine", candidate.ownAttempts());
        fields.put("back", Numbers.clamp(candidate.sinceRecovery(), 0, MAX_MICROS));
        fields.put("shunned", candidate.isEjected());
        fields.put("peers", candidate.gatewayCount());
        return fields;
    }

    /** Reads a placement from JSON. Faults are recorded in the document. */
    static DispatchEffect.PlacementDecided read(final JsonDocument document) {
        final JsonDocument rowDocument = document.object("row");
        final Value.Row row = TableJson.read(rowDocument);
        rowDocument.finish();
        final List<PlacementInput> candidates = new ArrayList<>();
        for (final JsonDocument candidate : document.objects("sights", MAX_CANDIDATES)) {
            candidates.add(readCandidate(candidate));
            candidate.finish();
        }
        final PlacementContext context = readContext(document, row);
        final String stamp = document.string("stamp", MAX_STAMP_LENGTH);
        final DispatchEffect.PlacementDecided placement = new DispatchEffect.PlacementDecided(
                context,
                candidates,
                document.integer("seed", 0, Long.MAX_VALUE),
                document.integer("page", 0, Long.MAX_VALUE),
                stamp.matches("\\d{1,19}") ? Long.parseLong(stamp) : 0,
                document.string("picked", MAX_NAME_LENGTH));
        document.finish();
        return placement;
    }

    private static PlacementContext readContext(final JsonDocument document, final Value.Row row) {
        final Value.Tenant tenant = new Value.Tenant(
                document.string("tenant", MAX_NAME_LENGTH),
                document.strings("homes", MAX_ZONES, MAX_NAME_LENGTH),
                1,
                "",
                "");
        return new PlacementContext(
                document.string("ticket", MAX_REQUEST_ID_LENGTH),
                tenant,
                row,
                document.integers("prefix", MAX_PREFIX_DIGESTS),
                document.string("zone", MAX_NAME_LENGTH),
                document.string("region", MAX_NAME_LENGTH),
                Set.copyOf(document.strings("empty", MAX_ZONES, MAX_NAME_LENGTH)));
    }

    private static PlacementInput readCandidate(final JsonDocument document) {
        final Worker worker = new Worker(
                document.string("worker", MAX_NAME_LENGTH),
                "",
                document.string("zone", MAX_NAME_LENGTH),
                document.string("region", MAX_NAME_LENGTH),
                0,
                0,
                (int) document.integer("running", 0, Integer.MAX_VALUE),
                (int) document.integer("queued", 0, Integer.MAX_VALUE),
                (int) document.integer("slots", 1, Integer.MAX_VALUE),
                document.integers("kept", MAX_CACHED_PREFIXES),
                document.flag("leaving", false),
                document.integer("up", 0, MAX_MICROS));
        return new PlacementInput(
                worker,
                document.integer("age", 0, MAX_MICROS),
                (int) document.integer("since", 0, Integer.MAX_VALUE),
                (int) document.integer("mine", 0, Integer.MAX_VALUE),
                document.integer("back", 0, MAX_MICROS),
                document.flag("shunned", false),
                (int) document.integer("peers", 1, Integer.MAX_VALUE));
    }
}
