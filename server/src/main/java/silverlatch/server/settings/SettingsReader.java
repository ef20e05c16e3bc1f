package silverlatch.server.settings;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.dispatch.DispatcherSettings;
import silverlatch.json.JsonDocument;
import silverlatch.routing.Router;
import silverlatch.state.TableRules;

/** Reads settings from JSON, applies the defaults of optional keys, and collects all faults. */
final class SettingsReader {
    private static final int MAX_FILE_BYTES = 64 << 10;
    private static final long MAX_STARTUP_GRACE = 60_000_000L;
    private static final long MAX_REVOCATION_DEADLINE = 600_000_000L;
    private static final long MAX_PREFIX_LIFETIME = 3_600_000_000L;
    private static final int MAX_NAME_LENGTH = 64;
    private static final int MAX_KEY_LENGTH = 256;
    private static final int MAX_PATH_LENGTH = 4096;
    private static final int MAX_SEEDS = 3;
    private static final int MIN_CLUSTER_KEY_LENGTH = 16;
    private static final int MIN_BEARER_KEY_LENGTH = 8;
    private static final int PORT_LIMIT = 65_536;
    private static final double MAX_RETRY_RATIO = 0.2;
    private final JsonDocument document;
    private final boolean isController;
    private final List<String> faults = new ArrayList<>();

    private SettingsReader(final JsonDocument document, final boolean isController) {
        this.document = document;
        this.isController = isController;
    }

    /** Reads a settings file, overrides its values by those of the flags, and validates the result. */
    static Settings.ReadResult read(
            final Optional<String> file, final Map<String, Object> flags, final boolean isController) {
        final byte[] body;
        try {
            body = file.isPresent() ? Files.readAllBytes(Path.of(file.get())) : "{}".getBytes(StandardCharsets.UTF_8);
        } catch (final IOException failure) {
            return new Settings.ReadResult.Invalid(List.of("the settings file can't be read: " + failure.getMessage()));
        }
        return switch (JsonDocument.parse(body, MAX_FILE_BYTES)) {
            case JsonDocument.ParseResult.Invalid invalid -> new Settings.ReadResult.Invalid(List.of(invalid.reason()));
            case JsonDocument.ParseResult.Valid valid ->
                new SettingsReader(valid.document().with(flags), isController).read();
        };
    }

    private Settings.ReadResult read() {
        final Settings settings = readSettings();
        faults.addAll(document.finish());
        checkNamesAndAddresses(settings);
        checkLimits(settings);
        checkRole(settings);
        return faults.isEmpty()
                ? new Settings.ReadResult.Valid(settings)
                : new Settings.ReadResult.Invalid(faults.stream().distinct().toList());
    }

    private Settings readSettings() {
        return new Settings(
                document.string("name", MAX_NAME_LENGTH),
                document.string("zone", MAX_NAME_LENGTH),
                document.string("region", MAX_NAME_LENGTH),
                document.string("address", MAX_NAME_LENGTH),
                document.string("door", MAX_NAME_LENGTH),
                document.strings("seeds", MAX_SEEDS, MAX_NAME_LENGTH),
                optional("data", MAX_PATH_LENGTH),
                optional("record", MAX_PATH_LENGTH),
                document.string("key", MAX_KEY_LENGTH),
                document.string("operator", MAX_KEY_LENGTH),
                document.string("worker", MAX_KEY_LENGTH),
                (int) document.integer("low", 1, 30, 7),
                document.integer("skew", 0, 10_000_000L, 50_000L),
                document.integer("grace", 0, 600_000_000L, 5_000_000L),
                readDispatch(),
                (int) document.integer("body", 1_024, 16 << 20, 4 << 20),
                (int) document.integer("line", 1_024, 4 << 20, 256 << 10),
                document.flag("found", true),
                (int) document.integer("copies", 1, 7, 2),
                (int) document.integer("voters", 1, 9, 3),
                Intervals.read(document, faults),
                optional("gate", MAX_NAME_LENGTH),
                document.integer("startupGrace", 0, MAX_STARTUP_GRACE, 0),
                document.integer("prefixLifetime", 0, MAX_PREFIX_LIFETIME, Router.Settings.DEFAULT_PREFIX_LIFETIME),
                document.integer("revocationDeadline", 0, MAX_REVOCATION_DEADLINE, 0),
                SingletonSettings.NONE);
    }

    private DispatcherSettings readDispatch() {
        final DispatcherSettings defaults = DispatcherSettings.DEFAULT;
        return DispatcherSettings.builder()
                .maxOpenRequests((int) document.integer("slab", 1, 1_000_000, defaults.maxOpenRequests()))
                .maxQueuedRequests((int) document.integer("queue", 1, 1_000_000, defaults.maxQueuedRequests()))
                .permitLifetime(document.integer("permit", 100_000, 10_000_000, defaults.permitLifetime()))
                .maxReportAge(document.integer("word", 500_000, 2_500_000, defaults.maxReportAge()))
                .maxConfirmationAge(document.integer("sure", 500_000, 2_500_000, defaults.maxConfirmationAge()))
                .claimTimeout(document.integer("claim", 100_000, 10_000_000, defaults.claimTimeout()))
                .endedRetention(document.integer("keep", 0, 600_000_000L, defaults.endedRetention()))
                .maxResponseBytes((int) document.integer("buffer", 1_024, 64 << 20, defaults.maxResponseBytes()))
                .retryRatio(document.number("tries", defaults.retryRatio()))
                .ejectionTime(document.integer("shun", 0, 60_000_000L, defaults.ejectionTime()))
                .readerAbsenceTimeout(document.integer("patience", 0, 600_000_000L, defaults.readerAbsenceTimeout()))
                .permitRetention(document.integer("memory", 10_000_000L, 600_000_000L, defaults.permitRetention()))
                .startTimeout(document.integer("start", 100_000L, 60_000_000L, defaults.startTimeout()))
                .build();
    }

    private Optional<String> optional(final String key, final int maxLength) {
        return Optional.of(document.string(key, maxLength, "")).filter(text -> !text.isEmpty());
    }

    private void checkNamesAndAddresses(final Settings settings) {
        faults.addAll(TableRules.nameFaults("name", settings.name()));
        faults.addAll(TableRules.nameFaults("zone", settings.zone()));
        faults.addAll(TableRules.nameFaults("region", settings.region()));
        checkAddress("address", settings.peerAddress());
        checkAddress("door", settings.httpAddress());
        settings.proxyAddress().ifPresent(address -> checkAddress("gate", address));
        settings.seeds().forEach(seed -> checkAddress("seeds", seed));
        if (settings.seeds().isEmpty()
                || new HashSet<>(settings.seeds()).size() != settings.seeds().size()) {
            faults.add("seeds: one to three different addresses are needed");
        }
    }

    private void checkLimits(final Settings settings) {
        if (settings.minInSyncReplicas() > settings.voterCount()) {
            faults.add("copies: more than the voters, of whom there are " + settings.voterCount());
        }
        checkKey("key", settings.clusterKey(), MIN_CLUSTER_KEY_LENGTH);
        checkKey("operator", settings.operatorKey(), MIN_BEARER_KEY_LENGTH);
        checkKey("worker", settings.workerKey(), MIN_BEARER_KEY_LENGTH);
    }

    private void checkRole(final Settings settings) {
        if (!isController && settings.dataDirectory().isPresent() && settings.startupGrace() == 0) {
            faults.add("data: a gateway keeps no data folder without startupGrace");
        }
        if (isController && settings.proxyAddress().isPresent()) {
            faults.add("gate: a controller takes no requests");
        }
        if (isController && settings.recordDirectory().isPresent()) {
            faults.add("record: a controller has no placements to record");
        }
        final double retryRatio = settings.dispatch().retryRatio();
        if (!(retryRatio >= 0 && retryRatio <= MAX_RETRY_RATIO)) {
            faults.add("tries: not within 0 and " + MAX_RETRY_RATIO);
        }
    }

    private void checkKey(final String field, final String key, final int minLength) {
        if (key.length() < minLength) {
            faults.add(field + ": at least " + minLength + " characters are needed");
        }
    }

    private void checkAddress(final String field, final String address) {
        final int colon = address.lastIndexOf(':');
        final String port = colon < 0 ? "" : address.substring(colon + 1);
        final boolean isPort =
                port.matches("\\d{1,5}") && Integer.parseInt(port) > 0 && Integer.parseInt(port) < PORT_LIMIT;
        if (!isPort || !address.substring(0, colon).matches("\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]")) {
            faults.add(field + ": an IP number and a port are needed, like 10.0.0.1:7000, not '" + address + "'");
        }
    }
}
