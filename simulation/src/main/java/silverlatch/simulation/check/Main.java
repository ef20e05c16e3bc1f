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
        final Found found = check(Path.of(args[0]), homes(args[1]), records);
        found.wrong().forEach(w -> System.out.println("WRONG " + w));
        System.out.println("checked " + found.receipts() + " receipts against " + found.runs() + " runs");
        System.exit(found.wrong().isEmpty() && found.runs() > 0 && found.receipts() > 0 ? 0 : 1);
    }

    /** What a check found. */
    public record Found(int receipts, int runs, List<String> wrong) {
        /** Copies the list. */
        public Found {
            wrong = List.copyOf(wrong);
        }
    }

    /** Homes from text. */
    public static Map<String, List<String>> homes(final String text) {
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
    public static Found check(final Path receipts, final Map<String, List<String>> homes, final List<Path> records)
            throws IOException {
        final List<String> wrong = new ArrayList<>();
        final Map<String, List<JsonDocument>> starts = new HashMap<>();
        int runs = 0;
        for (final Path p : records) {
            long left = Long.MAX_VALUE;
            for (final JsonDocument s : lines(p)) {
                final String event = s.string("event", 16);
                if (event.equals("leave")) {
                    left = s.integer("at", 0, Long.MAX_VALUE);
                }
                if (!event.equals("start")) {
                    continue;
                }
                runs++;
                starts.computeIfAbsent(s.string("ticket", 256), k -> new ArrayList<>())
                        .add(s);
                final List<String> allowed = homes.getOrDefault(s.string("tenant", 64), List.of());
                if (!allowed.isEmpty() && !allowed.contains(s.string("region", 64))) {
                    wrong.add("ticket " + s.string("ticket", 256) + " ran outside its homes");
                }
                if (s.integer("at", 0, Long.MAX_VALUE) - left > 3_000) {
                    wrong.add(
                            "ticket " + s.string("ticket", 256) + " came to a worker 3 s after it said it was leaving");
                }
            }
        }
        final Map<String, String> keys = new HashMap<>();
        int count = 0;
        for (final JsonDocument r : lines(receipts)) {
            count++;
            final String ticket = r.string("ticket", 256);
            final List<JsonDocument> ran = starts.getOrDefault(ticket, List.of());
            final String outcome = r.string("outcome", 256);
            if (outcome.startsWith("rejected") && !ran.isEmpty()) {
                wrong.add("ticket " + ticket + " was rejected and ran");
            }
            if (ran.size() > 1) {
                wrong.add("ticket " + ticket + " ran " + ran.size() + " times");
            }
            if (outcome.equals("done")
                    && (ran.size() != 1 || !ran.get(0).string("prompt", 64).equals(r.string("prompt", 64)))) {
                wrong.add("ticket " + ticket + " is done without its own run");
            }
            final String key = r.string("key", 128);
            if (!key.isEmpty() && !ran.isEmpty()) {
                Optional.ofNullable(keys.put(r.string("tenant", 64) + "|" + key, ticket))
                        .filter(o -> !o.equals(ticket))
                        .ifPresent(o -> wrong.add("key " + key + " ran as " + o + " and as " + ticket));
            }
            if (outcome.startsWith("BAD")) {
                wrong.add("ticket " + ticket + " " + outcome);
            }
        }
        return new Found(count, runs, wrong);
    }

    private static List<JsonDocument> lines(final Path p) throws IOException {
        final List<JsonDocument> list = new ArrayList<>();
        for (final String line : Files.readAllLines(p)) {
            if (JsonDocument.parse(line.getBytes(StandardCharsets.UTF_8), 1 << 20)
                    instanceof JsonDocument.ParseResult.Valid g) {
                list.add(g.document());
            }
        }
        return list;
    }
}
