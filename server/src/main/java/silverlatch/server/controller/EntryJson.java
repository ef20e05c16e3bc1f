package silverlatch.server.controller;

import java.time.Instant;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import silverlatch.clock.NtpTime;
import silverlatch.state.Entry;
import silverlatch.state.Value;

/** Writes entries of the replicated state as JSON, for the lists of the controller's API. */
final class EntryJson {
    /** Number of bits of a stamp below the whole seconds. */
    private static final int STAMP_FRACTION_BITS = 32;

    /** Length of the key prefix of command outcomes, which the command's id follows. */
    private static final int OUTCOME_PREFIX_LENGTH = 2;

    private EntryJson() {}

    /**
     * Returns the entries that aren't deleted as a list under the given name, ordered by key, and the highest sequence of all entries,
     * including deleted ones.
     */
    static Map<String, Object> list(final String name, final List<Entry> entries) {
        final List<Map<String, Object>> live = entries.stream()
                .filter(entry -> !entry.isDeleted())
                .sorted(Comparator.comparing(Entry::key))
                .map(EntryJson::write)
                .toList();
        final Map<String, Object> body = new LinkedHashMap<>();
        body.put("sequence", entries.stream().mapToLong(Entry::sequence).max().orElse(0));
        body.put(name, live);
        return body;
    }

    private static Map<String, Object> write(final Entry entry) {
        final long sequence = entry.sequence();
        return switch (entry.value().get(0)) {
            case Value.Row row -> TableJson.write(row);
            case Value.Tenant tenant -> write(tenant, sequence);
            case Value.Evacuation evacuation -> write(evacuation, sequence);
            case Value.Schedule schedule -> write(schedule, sequence);
            case Value.Claim claim -> write(claim);
            case Value.Epoch epoch -> Map.of("turn", epoch.number());
            case Value.Route route -> ConfigurationJson.write(route);
            case Value.BackendPool pool -> ConfigurationJson.write(pool);
            case Value.RoutingConfiguration configuration ->
                Map.of("number", configuration.number(), "sequence", sequence);
            case Value.ConfigurationDocument document -> Map.of("number", document.number(), "paper", document.text());
            case Value.AcceptedConfiguration accepted ->
                Map.of("number", accepted.number(), "match", accepted.expectedRevision(), "sequence", sequence);
            case Value.AccessControl access -> Map.of("keysRequired", access.keysRequired(), "sequence", sequence);
            case Value.PublicRoute route -> Map.of("host", route.host(), "path", route.pathPrefix());
            case Value.TenantAccess tenant ->
                Map.of("name", tenant.name(), "keys", tenant.keyDigests().size(), "homes", tenant.homeRegions());
            case Value.PoolScaling scaling ->
                Map.of("pool", scaling.pool(), "min", scaling.minWorkers(), "max", scaling.maxWorkers());
            case Value.UsageWindow window ->
                Map.of("window", window.number(), "tenants", window.counts().size());
            case Value.UsageReported reported -> Map.of("reported", reported.window());
            case Value.CommandOutcome outcome -> write(outcome, entry.key().substring(OUTCOME_PREFIX_LENGTH));
        };
    }

    private static Map<String, Object> write(final Value.Tenant tenant, final long sequence) {
        return Map.of(
                "name",
                tenant.name(),
                "homes",
                tenant.homeRegions(),
                "share",
                tenant.quotaShare(),
                "sequence",
                sequence);
    }

    private static Map<String, Object> write(final Value.Evacuation evacuation, final long sequence) {
        return Map.of(
                "zone",
                evacuation.zone(),
                "empty",
                evacuation.active(),
                "stamp",
                "" + evacuation.stamp().bits(),
                "sequence",
                sequence);
    }

    private static Map<String, Object> write(final Value.Schedule schedule, final long sequence) {
        final List<String> cells = schedule.cells().stream()
                .map(cell -> cell.tenant() + " " + cell.kind() + " " + cell.field() + " = " + cell.value())
                .toList();
        return Map.of(
                "name",
                schedule.name(),
                "cron",
                schedule.cron(),
                "cells",
                cells,
                "zone",
                schedule.zone(),
                "empty",
                schedule.evacuate(),
                "sequence",
                sequence);
    }

    private static Map<String, Object> write(final Value.Claim claim) {
        final long claimedAtSeconds = NtpTime.EPOCH_UNIX_SECONDS + (claim.claimedAt() >> STAMP_FRACTION_BITS);
        return Map.of(
                "ticket",
                claim.requestId(),
                "carrier",
                claim.gatewayId(),
                "state",
                claim.state(),
                "since",
                Instant.ofEpochSecond(claimedAtSeconds).toString());
    }

    private static Map<String, Object> write(final Value.CommandOutcome outcome, final String commandId) {
        return Map.of(
                "change",
                commandId,
                "sequence",
                outcome.sequence(),
                "code",
                outcome.code(),
                "faults",
                outcome.faults());
    }
}
