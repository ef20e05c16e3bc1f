package silverlatch.simulation.check;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.json.JsonDocument;

/** Holds the consumers' receipts against the workers' own records of what they ran; trusts nothing the daemons say. */
public final class Main {
    private Main() {}

    /** Checks: RECEIPTS HOMES RECORD...; homes are TENANT=REGION+REGION by commas. Ends with 1 when something is wrong. */
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

    /** What a check found. */
    public record CheckResult(int receipts, int runs, List<String> violations) {
        /** Copies the list. */
        public CheckResult {
            violations = List.copyOf(violations);
        }
    }

    /** Homes from text. */
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

    /** Checks receipts against records. */
    public static CheckResult check(
            final Path receipts, final Map<String, List<String>> homes, final List<Path> records) throws IOException {
        final List<String> violations = new ArrayList<>();
        final Map<String, List<JsonDocument>> starts = new HashMap<>();
        int runs = 0;
        for (final Path recordFile : records) {
            long left = Long.MAX_VALUE;
            for (final JsonDocument start : readRecords(recordFile)) {
                final String event = start.string("event", 16);
                if (event.equals("leave")) {
                    left = start.integer("at", 0, Long.MAX_VALUE);
                }
                if (!event.equals("start")) {
                    continue;
                }
                runs++;
                starts.computeIfAbsent(start.string("ticket", 256), k -> new ArrayList<>())
                        .add(start);
                final List<String> allowed = homes.getOrDefault(start.string("tenant", 64), List.of());
                if (!allowed.isEmpty() && !allowed.contains(start.string("region", 64))) {
                    violations.add("ticket " + start.string("ticket", 256) + " ran outside its homes");
                }
                if (start.integer("at", 0, Long.MAX_VALUE) - left > 3_000) {
                    violations.add("ticket " + start.string("ticket", 256)
                            + " came to a worker 3 s after it said it was leaving");
                }
            }
        }
        final Map<String, String> keys = new HashMap<>();
        int count = 0;
        for (final JsonDocument receipt : readRecords(receipts)) {
            count++;
            final String ticket = receipt.string("ticket", 256);
            final List<JsonDocument> attempts = starts.getOrDefault(ticket, List.of());
            final String outcome = receipt.string("outcome", 256);
            if (outcome.startsWith("rejected") && !attempts.isEmpty()) {
                violations.add("ticket " + ticket + " was rejected and ran");
            }
            if (attempts.size() > 1) {
                violations.add("ticket " + ticket + " ran " + attempts.size() + " times");
            }
            if (outcome.equals("done")
                    && (attempts.size() != 1
                            || !attempts.get(0).string("prompt", 64).equals(receipt.string("prompt", 64)))) {
                violations.add("ticket " + ticket + " is done without its own run");
            }
            final String key = receipt.string("key", 128);
            if (!key.isEmpty() && !attempts.isEmpty()) {
                Optional.ofNullable(keys.put(receipt.string("tenant", 64) + "|" + key, ticket))
                        .filter(o -> !o.equals(ticket))
                        .ifPresent(o -> violations.add("key " + key + " ran as " + o + " and as " + ticket));
            }
            if (outcome.startsWith("BAD")) {
                violations.add("ticket " + ticket + " " + outcome);
            }
        }
        return new CheckResult(count, runs, violations);
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
