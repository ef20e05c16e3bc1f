package silverlatch.simulation.check;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.json.JsonDocument;

/** Checks receipts against the records of workers. All records must be added before the first receipt. */
final class ReceiptCheck {
    private static final long MAX_DRAIN_DELAY_MILLIS = 3_000;
    private final Map<String, List<String>> homes;
    private final Map<String, List<JsonDocument>> startsByRequest = new HashMap<>();
    private final Map<String, String> requestByKey = new HashMap<>();
    private final List<String> violations = new ArrayList<>();
    private int runs;
    private int receipts;

    /** Creates a check; requests of tenants without an entry in the map may run in any region. */
    ReceiptCheck(final Map<String, List<String>> homes) {
        this.homes = homes;
    }

    Main.CheckResult result() {
        return new Main.CheckResult(receipts, runs, violations);
    }

    /** Adds the records of one worker, in their order, and checks the region and time of each run. */
    void addRecords(final List<JsonDocument> records) {
        long drainingSince = Long.MAX_VALUE;
        for (final JsonDocument record : records) {
            final String event = record.string("event", 16);
            if (event.equals("leave")) {
                drainingSince = time(record);
            } else if (event.equals("start")) {
                checkRun(record, drainingSince);
            }
        }
    }

    private static long time(final JsonDocument record) {
        return record.integer("at", 0, Long.MAX_VALUE);
    }

    private void checkRun(final JsonDocument record, final long drainingSince) {
        runs++;
        final String requestId = record.string("ticket", 256);
        startsByRequest.computeIfAbsent(requestId, id -> new ArrayList<>()).add(record);
        final List<String> allowed = homes.getOrDefault(record.string("tenant", 64), List.of());
        if (!allowed.isEmpty() && !allowed.contains(record.string("region", 64))) {
            violations.add("ticket " + requestId + " ran outside its homes");
        }
        if (time(record) - drainingSince > MAX_DRAIN_DELAY_MILLIS) {
            violations.add("ticket " + requestId + " came to a worker 3 s after it said it was leaving");
        }
    }

    /** Checks a receipt. */
    void checkReceipt(final JsonDocument receipt) {
        receipts++;
        final String requestId = receipt.string("ticket", 256);
        final String outcome = receipt.string("outcome", 256);
        final List<JsonDocument> starts = startsByRequest.getOrDefault(requestId, List.of());
        if (outcome.startsWith("rejected") && !starts.isEmpty()) {
            violations.add("ticket " + requestId + " was rejected and ran");
        }
        if (starts.size() > 1) {
            violations.add("ticket " + requestId + " ran " + starts.size() + " times");
        }
        if (outcome.equals("done") && !isOwnRun(receipt, starts)) {
            violations.add("ticket " + requestId + " is done without its own run");
        }
        if (!starts.isEmpty()) {
            checkKey(receipt, requestId);
        }
        if (outcome.startsWith("BAD")) {
            violations.add("ticket " + requestId + " " + outcome);
        }
    }

    private static boolean isOwnRun(final JsonDocument receipt, final List<JsonDocument> starts) {
        return starts.size() == 1 && starts.get(0).string("prompt", 64).equals(receipt.string("prompt", 64));
    }

    /** Checks that at most one of the requests with the same idempotency key of a tenant ran. */
    private void checkKey(final JsonDocument receipt, final String requestId) {
        final String key = receipt.string("key", 128);
        if (!key.isEmpty()) {
            Optional.ofNullable(requestByKey.put(receipt.string("tenant", 64) + "|" + key, requestId))
                    .filter(other -> !other.equals(requestId))
                    .ifPresent(other -> violations.add("key " + key + " ran as " + other + " and as " + requestId));
        }
    }
}
