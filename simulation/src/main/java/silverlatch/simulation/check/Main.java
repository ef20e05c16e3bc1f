package silverlatch.simulation.check;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import silverlatch.json.JsonDocument;

/**
 * Checks the clients' receipts against the workers' own records of the requests that they ran. It uses no data of the
 * controllers and gateways, as these are what it checks.
 */
public final class Main {
    private Main() {}

    /**
     * Runs the check with the arguments RECEIPTS HOMES RECORD..., where HOMES is a comma-separated list of
     * TENANT=REGION+REGION. Exits with 1 if there is a violation, or if there are no receipts or no runs.
     */
    public static void main(final String[] args) throws IOException {
        final List<Path> records = new ArrayList<>();
        for (int i = 2; i < args.length; i++) {
            records.add(Path.of(args[i]));
        }
        final CheckResult found = check(Path.of(args[0]), parseHomes(args[1]), records);
        found.violations().forEach(w -> System.out.println("WRONG " + w));
        System.out.println("checked " + found.receipts() + " receipts against " + found.runs() + " runs");
        System.exit(found.violations().isEmpty() && found.runs() > 0 && found.receipts() > 0 ? 0 : 1);
    }

    /** The result of a check: the numbers of receipts and runs, and a description of each violation. */
    public record CheckResult(int receipts, int runs, List<String> violations) {
        /** Copies the list of violations. */
        public CheckResult {
            violations = List.copyOf(violations);
        }
    }

    /** Parses the home regions of tenants. */
    public static Map<String, List<String>> parseHomes(final String text) {
        final Map<String, List<String>> map = new HashMap<>();
        for (final String part : text.split(",")) {
            final int at = part.indexOf('=');
            if (at > 0) {
                map.put(part.substring(0, at), List.of(part.substring(at + 1).split("\\+")));
            }
        }
        return map;
    }

    /** Checks a file of receipts against the workers' record files. */
    public static CheckResult check(
            final Path receipts, final Map<String, List<String>> homes, final List<Path> records) throws IOException {
        final ReceiptCheck check = new ReceiptCheck(homes);
        for (final Path recordFile : records) {
            check.addRecords(readRecords(recordFile));
        }
        for (final JsonDocument receipt : readRecords(receipts)) {
            check.checkReceipt(receipt);
        }
        return check.result();
    }

    private static List<JsonDocument> readRecords(final Path path) throws IOException {
        final List<JsonDocument> list = new ArrayList<>();
        for (final String line : Files.readAllLines(path)) {
            if (JsonDocument.parse(line.getBytes(StandardCharsets.UTF_8), 1 << 20)
                    instanceof JsonDocument.ParseResult.Valid good) {
                list.add(good.document());
            }
        }
        return list;
    }
}
