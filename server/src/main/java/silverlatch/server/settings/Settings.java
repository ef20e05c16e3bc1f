package silverlatch.server.settings;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.dispatch.Dispatcher;
import silverlatch.json.JsonDocument;
import silverlatch.state.TableRules;

/**
 * A process's place and limits, read from one JSON file and flags and checked as a whole; times in microseconds.
 *
 * @param found  whether a data folder made at this start may take part in a first founding
 * @param copies how many synced copies there are before an acknowledgement
 * @param gate   where a gateway takes tickets by host and path
 * @param voters how many controllers with a data folder vote, where so many are there
 */
public record Settings(
        String name,
        String zone,
        String region,
        String address,
        String door,
        List<String> seeds,
        Optional<String> data,
        Optional<String> record,
        String key,
        String operator,
        String worker,
        int low,
        long skew,
        long grace,
        Dispatcher.Settings carry,
        int body,
        int line,
        boolean found,
        int copies,
        int voters,
        Rates rates,
        Optional<String> gate) {
    /** The largest settings file. */
    public static final int MOST = 64 << 10;

    /** Copies the seeds. */
    public Settings {
        seeds = List.copyOf(seeds);
    }

    /** What reading gave. */
    public sealed interface Read {
        /** Settings without a fault. */
        record Good(Settings settings) implements Read {}

        /** Every fault that was found. */
        record Bad(List<String> faults) implements Read {
            /** Copies the faults. */
            public Bad {
                faults = List.copyOf(faults);
            }
        }
    }

    /** Reads a file, lets flags go before it, and checks the whole. */
    public static Read read(final Optional<String> file, final Map<String, Object> flags, final boolean controller) {
        final byte[] body;
        try {
            body = file.isPresent()
                    ? Files.readAllBytes(Path.of(file.get()))
                    : "{}".getBytes(java.nio.charset.StandardCharsets.UTF_8);
        } catch (final IOException e) {
            return new Read.Bad(List.of("the settings file can't be read: " + e.getMessage()));
        }
        return switch (JsonDocument.parse(body, MOST)) {
            case JsonDocument.ParseResult.Invalid bad -> new Read.Bad(List.of(bad.reason()));
            case JsonDocument.ParseResult.Valid good -> check(good.document().with(flags), controller);
        };
    }

    private static Read check(final JsonDocument s, final boolean controller) {
        final List<String> faults = new ArrayList<>();
        final Dispatcher.Settings plain = Dispatcher.Settings.DEFAULT;
        final String data = s.string("data", 4096, "");
        final Settings made = new Settings(
                s.string("name", 64),
                s.string("zone", 64),
                s.string("region", 64),
                s.string("address", 64),
                s.string("door", 64),
                s.strings("seeds", 3, 64),
                data.isEmpty() ? Optional.empty() : Optional.of(data),
                Optional.of(s.string("record", 4096, "")).filter(r -> !r.isEmpty()),
                s.string("key", 256),
                s.string("operator", 256),
                s.string("worker", 256),
                (int) s.integer("low", 1, 30, 7),
                s.integer("skew", 0, 10_000_000L, 50_000L),
                s.integer("grace", 0, 600_000_000L, 5_000_000L),
                new Dispatcher.Settings(
                        (int) s.integer("slab", 1, 1_000_000, plain.maxOpenRequests()),
                        (int) s.integer("queue", 1, 1_000_000, plain.maxQueuedRequests()),
                        s.integer("permit", 100_000, 10_000_000, plain.permitLifetime()),
                        s.integer("word", 500_000, 2_500_000, plain.maxReportAge()),
                        s.integer("sure", 500_000, 2_500_000, plain.maxConfirmationAge()),
                        s.integer("claim", 100_000, 10_000_000, plain.claimTimeout()),
                        s.integer("keep", 0, 600_000_000L, plain.endedRetention()),
                        (int) s.integer("buffer", 1_024, 64 << 20, plain.maxResponseBytes()),
                        s.number("tries", plain.retryRatio()),
                        s.integer("shun", 0, 60_000_000L, plain.ejectionTime()),
                        s.integer("patience", 0, 600_000_000L, plain.readerAbsenceTimeout()),
                        s.integer("memory", 10_000_000L, 600_000_000L, plain.permitRetention()),
                        s.integer("start", 100_000L, 60_000_000L, plain.startTimeout())),
                (int) s.integer("body", 1_024, 16 << 20, 4 << 20),
                (int) s.integer("line", 1_024, 4 << 20, 256 << 10),
                s.flag("found", true),
                (int) s.integer("copies", 1, 7, 2),
                (int) s.integer("voters", 1, 9, 3),
                Rates.read(s, faults),
                Optional.of(s.string("gate", 64, "")).filter(g -> !g.isEmpty()));
        faults.addAll(s.finish());
        faults.addAll(TableRules.nameFaults("name", made.name()));
        faults.addAll(TableRules.nameFaults("zone", made.zone()));
        faults.addAll(TableRules.nameFaults("region", made.region()));
        place(faults, "address", made.address());
        place(faults, "door", made.door());
        made.gate().ifPresent(g -> place(faults, "gate", g));
        made.seeds().forEach(x -> place(faults, "seeds", x));
        if (made.seeds().isEmpty()
                || made.seeds().stream().distinct().count() != made.seeds().size()) {
            faults.add("seeds: one to three different addresses are needed");
        }
        if (made.copies() > made.voters()) {
            faults.add("copies: more than the voters, of whom there are " + made.voters());
        }
        if (made.key().length() < 16) {
            faults.add("key: at least 16 characters are needed");
        }
        if (made.operator().length() < 8) {
            faults.add("operator: at least 8 characters are needed");
        }
        if (made.worker().length() < 8) {
            faults.add("worker: at least 8 characters are needed");
        }
        if (!controller && made.data().isPresent()) {
            faults.add("data: a gateway keeps no data folder");
        }
        if (controller && made.gate().isPresent()) {
            faults.add("gate: a controller takes no tickets");
        }
        if (controller && made.record().isPresent()) {
            faults.add("record: a controller has no day to record");
        }
        if (!(made.carry().retryRatio() >= 0 && made.carry().retryRatio() <= 0.2)) {
            faults.add("tries: not within 0 and 0.2");
        }
        return faults.isEmpty()
                ? new Read.Good(made)
                : new Read.Bad(faults.stream().distinct().toList());
    }

    private static void place(final List<String> faults, final String field, final String text) {
        final int colon = text.lastIndexOf(':');
        final String port = colon < 0 ? "" : text.substring(colon + 1);
        final boolean number =
                port.matches("\\d{1,5}") && Integer.parseInt(port) > 0 && Integer.parseInt(port) < 65_536;
        if (!number || !text.substring(0, colon).matches("\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+]")) {
            faults.add(field + ": an IP number and a port are needed, like 10.0.0.1:7000, not '" + text + "'");
        }
    }
}
