package silverlatch.simulation.fleet;

import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.json.JsonDocument;

/**
 * Runs a deployment under a mixed load for some seconds, changes a cell of the routing table halfway, and checks every
 * response. Exits with 1 if a check fails.
 */
public final class Main {
    private static final long MAX_DELAY_MILLIS = 3_000;
    private static final int MAX_DOCUMENT = 1 << 20;

    private Main() {}

    /** Runs the scenario; the arguments are the directory of the plan, the seconds (60) and requests per second (60). */
    public static void main(final String[] args) throws Exception {
        final Path folder = Files.createTempDirectory("silverlatch-fleet");
        final int seconds = args.length > 1 ? Integer.parseInt(args[1]) : 60;
        final String rate = args.length > 2 ? args[2] : "60";
        int code = 1;
        try (Fleet fleet = new Fleet(Plan.read(Path.of(args[0])), folder, System.getProperty("java.class.path"))) {
            code = runScenario(fleet, seconds, rate);
        }
        System.out.println("logs, receipts and records are in " + folder);
        System.exit(code);
    }

    private static int runScenario(final Fleet fleet, final int seconds, final String rate) throws Exception {
        startFleet(fleet);
        final Path receipts = fleet.folder().resolve("receipts");
        final Process load = fleet.startLoad(receipts, seconds, rate, 1);
        Thread.sleep(seconds * 500L);
        final String changed = changeCell(fleet);
        final long acknowledgedAt = System.currentTimeMillis();
        System.out.println("cell changed: " + changed);
        final boolean isLoadCorrect = load.waitFor() == 0;
        System.out.print(Files.readString(fleet.folder().resolve("consumer.out")));
        final boolean areReceiptsCorrect = checkReceipts(fleet, receipts);
        final boolean isChangeFollowed = checkAcknowledgedTable(receipts, sequence(changed), acknowledgedAt);
        return isLoadCorrect && areReceiptsCorrect && isChangeFollowed ? 0 : 1;
    }

    private static void startFleet(final Fleet fleet) throws Exception {
        fleet.startAll("controller");
        fleet.startAll("gateway");
        fleet.startAll("worker");
        System.out.println("controllers ready: " + fleet.awaitReady("controller", 40));
        System.out.println("tenants and table: " + fleet.loadTenantsAndTable());
        System.out.println("gateways ready: " + fleet.awaitReady("gateway", 40));
        Thread.sleep(2_000);
    }

    private static String changeCell(final Fleet fleet) throws IOException, InterruptedException {
        final String kind = fleet.plan().kinds().get(0).kind();
        final String body =
                "{\"cells\":[{\"tenant\":\"*\",\"kind\":\"" + kind + "\",\"field\":\"cross\",\"value\":2}]}";
        return fleet.callAsOperator("controller-2", "PATCH", "/v1/table", body).body();
    }

    private static long sequence(final String answer) {
        return parse(answer)
                .map(document -> document.integer("sequence", 1, Long.MAX_VALUE))
                .orElse(Long.MAX_VALUE);
    }

    private static Optional<JsonDocument> parse(final String text) {
        return JsonDocument.parse(text.getBytes(StandardCharsets.UTF_8), MAX_DOCUMENT)
                        instanceof JsonDocument.ParseResult.Valid valid
                ? Optional.of(valid.document())
                : Optional.empty();
    }

    private static boolean checkReceipts(final Fleet fleet, final Path receipts) throws Exception {
        final List<String> arguments =
                new ArrayList<>(List.of(receipts.toString(), fleet.plan().homeArguments()));
        fleet.names("worker")
                .forEach(worker ->
                        arguments.add(fleet.folder().resolve(worker + ".runs").toString()));
        final Path output = fleet.folder().resolve("check.out");
        final int code = fleet.runProgram("silverlatch.simulation.check.Main", output, arguments);
        System.out.print(Files.readString(output));
        return code == 0;
    }

    /** Returns whether requests were placed under the changed table, and none under an older one 3 s after its acknowledgement. */
    private static boolean checkAcknowledgedTable(final Path receipts, final long sequence, final long acknowledgedAt)
            throws IOException {
        long placedUnderNewer = 0;
        long placedLateUnderOlder = 0;
        long firstAfterMillis = Long.MAX_VALUE;
        for (final String line : Files.readAllLines(receipts)) {
            final Optional<JsonDocument> receipt = parse(line);
            final long placedAt =
                    receipt.map(r -> r.integer("picked", 0, Long.MAX_VALUE)).orElse(0L);
            if (placedAt == 0) {
                continue;
            }
            if (receipt.get().integer("table", 0, Long.MAX_VALUE) >= sequence) {
                placedUnderNewer++;
                firstAfterMillis = Math.min(firstAfterMillis, placedAt - acknowledgedAt);
            } else if (placedAt > acknowledgedAt + MAX_DELAY_MILLIS) {
                placedLateUnderOlder++;
            }
        }
        System.out.println("picks under the changed table: " + placedUnderNewer + ", the first " + firstAfterMillis
                + " ms after its ack; picks under an older one 3 s after: " + placedLateUnderOlder);
        return placedUnderNewer > 0 && placedLateUnderOlder == 0;
    }
}
