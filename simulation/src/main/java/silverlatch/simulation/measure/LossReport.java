package silverlatch.simulation.measure;

import java.io.IOException;
import java.io.PrintStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;
import silverlatch.json.JsonDocument;

/**
 * Shows why a day of the fleetbench benchmark scored less than 1: the loss of each part and each price of the report that
 * {@code fleetbench run --report} writes, largest first, and the loss that no row explains. Then the numbers of requests that
 * were late, rejected or failed by class, by zone and by window, and the outcomes of unserved requests.
 */
public final class LossReport {
    private static final int MAX_BYTES = 64 << 20;
    private static final double MIN_SHOWN_LOSS = 0.00005;
    private static final int NAME = 0;
    private static final int WEIGHT = 1;
    private static final int PART_VALUE = 2;
    private static final int PRICE_VALUE = 2;

    private final Map<String, Object> report;

    /**
     * One reason for a loss of score.
     *
     * @param name the part or price of the report
     * @param lost the share of the day's score that was lost; the score is 1 without losses
     */
    public record Loss(String name, double lost) {}

    private LossReport(final Map<String, Object> report) {
        this.report = report;
    }

    /** Prints the losses of the report whose file is the argument; exits with 2 if the file isn't a report. */
    public static void main(final String[] arguments) throws IOException {
        final Optional<LossReport> parsed = parse(Files.readAllBytes(Path.of(arguments[0])));
        if (parsed.isEmpty()) {
            System.err.println(arguments[0] + ": not a report");
            System.exit(2);
        }
        parsed.get().print(System.out);
    }

    /** Parses a report; empty if it isn't a JSON object with parts and prices. */
    public static Optional<LossReport> parse(final byte[] content) {
        return JsonDocument.parse(content, MAX_BYTES) instanceof JsonDocument.ParseResult.Valid valid
                        && valid.document().has("parts")
                        && valid.document().has("prices")
                ? Optional.of(new LossReport(valid.document().asMap()))
                : Optional.empty();
    }

    /** Returns all losses, largest first. */
    public List<Loss> losses() {
        final List<Loss> losses = new ArrayList<>();
        for (final List<?> part : rows("parts")) {
            losses.add(new Loss(
                    "not earned: " + part.get(NAME), number(part.get(WEIGHT)) * (1 - number(part.get(PART_VALUE)))));
        }
        for (final List<?> price : rows("prices")) {
            losses.add(new Loss("price: " + price.get(NAME), number(price.get(PRICE_VALUE))));
        }
        losses.sort(Comparator.comparingDouble(Loss::lost).reversed());
        return losses;
    }

    /** Returns the day's score from the report, or 1 minus all losses if the report has none. */
    public double worth() {
        return report.get("G") instanceof Number worth ? worth.doubleValue() : 1 - explained();
    }

    /** Returns the loss that isn't the sum of {@link #losses}. */
    public double unexplained() {
        return 1 - explained() - worth();
    }

    private double explained() {
        return losses().stream().mapToDouble(Loss::lost).sum();
    }

    /** Prints all tables. */
    public void print(final PrintStream out) {
        out.printf(Locale.ROOT, "worth %.4f%n", worth());
        losses().stream()
                .filter(loss -> loss.lost() >= MIN_SHOWN_LOSS)
                .forEach(loss -> out.printf(Locale.ROOT, "  -%.4f  %s%n", loss.lost(), loss.name()));
        out.printf(Locale.ROOT, "  -%.4f  not explained%n", unexplained());
        for (final String table : List.of("classes", "zones", "windows")) {
            out.println(table + ": late, refused, failed of all; worth");
            objects(table)
                    .forEach(row -> out.printf(
                            Locale.ROOT,
                            "  %-22s %5.0f %5.0f %5.0f of %5.0f  %.3f%n",
                            row.get("name"),
                            number(row.get("late")),
                            number(row.get("refused")),
                            number(row.get("failed")),
                            number(row.get("n")),
                            number(row.get("worth"))));
        }
        out.println("unserved, by their last try");
        rows("unserved_by").forEach(row -> out.printf(Locale.ROOT, "  %5.0f  %s%n", number(row.get(1)), row.get(NAME)));
    }

    private Stream<Map<?, ?>> objects(final String key) {
        return list(key).stream().filter(Map.class::isInstance).map(row -> (Map<?, ?>) row);
    }

    private List<List<?>> rows(final String key) {
        final List<List<?>> rows = new ArrayList<>();
        for (final Object row : list(key)) {
            if (row instanceof List<?> cells) {
                rows.add(cells);
            }
        }
        return rows;
    }

    private List<?> list(final String key) {
        return report.get(key) instanceof List<?> rows ? rows : List.of();
    }

    private static double number(final Object value) {
        return value instanceof Number given ? given.doubleValue() : 0;
    }
}
