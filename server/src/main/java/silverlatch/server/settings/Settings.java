package silverlatch.server.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.dispatch.DispatcherSettings;
import silverlatch.json.JsonDocument;
import silverlatch.membership.Member;
import silverlatch.node.Node;
import silverlatch.state.TableRules;

/**
 * A process's place and limits, read from one JSON file and flags and checked as a whole; times in microseconds.
 *
 * @param mayBootstrap  whether a data folder made at this start may take part in a first founding
 * @param minInSyncReplicas how many synced copies there are before an acknowledgement
 * @param proxyAddress   where a gateway takes tickets by host and path
 * @param voterCount how many controllers with a data folder vote, where so many are there
 */
public record Settings(
        String name,
        String zone,
        String region,
        String peerAddress,
        String httpAddress,
        List<String> seeds,
        Optional<String> dataFolder,
        Optional<String> recordFolder,
        String clusterKey,
        String operatorKey,
        String workerKey,
        int stampLowBits,
        long maxClockSkew,
        long shutdownGrace,
        DispatcherSettings dispatch,
        int maxBodyBytes,
        int maxLineBytes,
        boolean mayBootstrap,
        int minInSyncReplicas,
        int voterCount,
        Intervals intervals,
        Optional<String> proxyAddress) {
    /** The largest settings file. */
    public static final int MAX_FILE_BYTES = 64 << 10;

    /** Copies the seeds. */
    public Settings {
        seeds = List.copyOf(seeds);
    }

    /** What reading gave. */
    public sealed interface ReadResult {
        /** Settings without a fault. */
        record Valid(Settings settings) implements ReadResult {}

        /** Every fault that was found. */
        record Invalid(List<String> faults) implements ReadResult {
            /** Copies the faults. */
            public Invalid {
                faults = List.copyOf(faults);
            }
        }
    }

    /** Reads a file, lets flags go before it, and checks the whole. */
    public static ReadResult read(
            final Optional<String> file, final Map<String, Object> flags, final boolean isController) {
        final byte[] body;
        try {
            body = file.isPresent()
                    ? Files.readAllBytes(Path.of(file.get()))
                    : "{}".getBytes(java.nio.charset.StandardCharsets.UTF_8);
        } catch (final IOException e) {
            return new ReadResult.Invalid(List.of("the settings file can't be read: " + e.getMessage()));
        }
        return switch (JsonDocument.parse(body, MAX_FILE_BYTES)) {
            case JsonDocument.ParseResult.Invalid bad -> new ReadResult.Invalid(List.of(bad.reason()));
            case JsonDocument.ParseResult.Valid good -> check(good.document().with(flags), isController);
        };
    }

    /** The settings of the node of a process in this role, {@code controller} or {@code gateway}, that starts at a wall time. */
    public Node.Settings nodeSettings(final String role, final long wallNanos) {
        final Member self =
                new Member(name, role, zone, region, peerAddress, httpAddress, wallNanos / 1000, 0, "up", false);
        return new Node.Settings(self, seeds, stampLowBits, maxClockSkew, intervals.membership(), intervals.gossip());
    }

    private static ReadResult check(final JsonDocument document, final boolean isController) {
        final List<String> faults = new ArrayList<>();
        final String dataFolder = document.string("data", 4096, "");
        final Settings settings = new Settings(
                document.string("name", 64),
                document.string("zone", 64),
                document.string("region", 64),
                document.string("address", 64),
                document.string("door", 64),
                document.strings("seeds", 3, 64),
                dataFolder.isEmpty() ? Optional.empty() : Optional.of(dataFolder),
                Optional.of(document.string("record", 4096, "")).filter(r -> !r.isEmpty()),
                document.string("key", 256),
                document.string("operator", 256),
                document.string("worker", 256),
                (int) document.integer("low", 1, 30, 7),
                document.integer("skew", 0, 10_000_000L, 50_000L),
                document.integer("grace", 0, 600_000_000L, 5_000_000L),
                dispatcherSettings(document),
                (int) document.integer("body", 1_024, 16 << 20, 4 << 20),
                (int) document.integer("line", 1_024, 4 << 20, 256 << 10),
                document.flag("found", true),
                (int) document.integer("copies", 1, 7, 2),
                (int) document.integer("voters", 1, 9, 3),
                Intervals.read(document, faults),
                Optional.of(document.string("gate", 64, "")).filter(g -> !g.isEmpty()));
        faults.addAll(document.finish());
        faults.addAll(TableRules.nameFaults("name", settings.name()));
        faults.addAll(TableRules.nameFaults("zone", settings.zone()));
        faults.addAll(TableRules.nameFaults("region", settings.region()));
        checkAddress(faults, "address", settings.peerAddress());
        checkAddress(faults, "door", settings.httpAddress());
        settings.proxyAddress().ifPresent(g -> checkAddress(faults, "gate", g));
        settings.seeds().forEach(x -> checkAddress(faults, "seeds", x));
        if (settings.seeds().isEmpty()
                || settings.seeds().stream().distinct().count()
                        != settings.seeds().size()) {
            faults.add("seeds: one to three different addresses are needed");
        }
        if (settings.minInSyncReplicas() > settings.voterCount()) {
            faults.add("copies: more than the voters, of whom there are " + settings.voterCount());
        }
        if (settings.clusterKey().length() < 16) {
            faults.add("key: at least 16 characters are needed");
        }
        if (settings.operatorKey().length() < 8) {
            faults.add("operator: at least 8 characters are needed");
        }
        if (settings.workerKey().length() < 8) {
            faults.add("worker: at least 8 characters are needed");
        }
        if (!isController && settings.dataFolder().isPresent()) {
            faults.add("data: a gateway keeps no data folder");
        }
        if (isController && settings.proxyAddress().isPresent()) {
            faults.add("gate: a controller takes no tickets");
        }
        if (isController && settings.recordFolder().isPresent()) {
            faults.add("record: a controller has no day to record");
        }
        if (!(settings.dispatch().retryRatio() >= 0 && settings.dispatch().retryRatio() <= 0.2)) {
            faults.add("tries: not within 0 and 0.2");
        }
        return faults.isEmpty()
                ? new ReadResult.Valid(settings)
                : new ReadResult.Invalid(faults.stream().distinct().toList());
    }

    private static DispatcherSettings dispatcherSettings(final JsonDocument document) {
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

    private static void checkAddress(final List<String> faults, final String field, final String text) {
        final int colon = text.lastIndexOf(':');
        final String port = colon < 0 ? "" : text.substring(colon + 1);
        final boolean isPort =
                port.matches("\\d{1,5}") && Integer.parseInt(port) > 0 && Integer.parseInt(port) < 65_536;
        if (!isPort || !text.substring(0, colon).matches("\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]")) {
            faults.add(field + ": an IP number and a port are needed, like 10.0.0.1:7000, not '" + text + "'");
        }
    }
}
