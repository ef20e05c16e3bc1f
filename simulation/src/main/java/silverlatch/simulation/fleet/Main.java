package silverlatch.simulation.fleet;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import silverlatch.json.JsonDocument;

/** Stands up a deployment, serves a mixed load for some seconds, changes a cell, and checks every reply. */
public final class Main {
    private Main() {}

    /** Arguments: the folder of the plan, seconds, tickets a second. */
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

    private static boolean checkAcknowledgedTable(final Path receipts, final String changed, final long acked)
            throws Exception {
        final long sequence = JsonDocument.parse(changed.getBytes(java.nio.charset.StandardCharsets.UTF_8), 4096)
                        instanceof JsonDocument.ParseResult.Valid good
                ? good.document().integer("sequence", 1, Long.MAX_VALUE)
                : Long.MAX_VALUE;
        long under = 0;
        long late = 0;
        long first = Long.MAX_VALUE;
        for (final String line : Files.readAllLines(receipts)) {
            if (JsonDocument.parse(line.getBytes(java.nio.charset.StandardCharsets.UTF_8), 1 << 20)
                            instanceof JsonDocument.ParseResult.Valid receipt
                    && receipt.document().integer("picked", 0, Long.MAX_VALUE) > 0) {
                final long at = receipt.document().integer("picked", 0, Long.MAX_VALUE);
                final boolean fresh = receipt.document().integer("table", 0, Long.MAX_VALUE) >= sequence;
                under += fresh ? 1 : 0;
                late += !fresh && at > acked + 3_000 ? 1 : 0;
                first = fresh ? Math.min(first, at - acked) : first;
            }
        }
        System.out.println("picks under the changed table: " + under + ", the first " + first
                + " ms after its ack; picks under an older one 3 s after: " + late);
        return under > 0 && late == 0;
    }

    private static int runScenario(final Fleet fleet, final int seconds, final String rate) throws Exception {
        fleet.startAll("controller");
        fleet.startAll("gateway");
        fleet.startAll("worker");
        System.out.println("controllers ready: " + fleet.awaitReady("controller", 40));
        System.out.println("tenants and table: " + fleet.loadTenantsAndTable());
        System.out.println("gateways ready: " + fleet.awaitReady("gateway", 40));
        Thread.sleep(2_000);
        final Path receipts = fleet.folder().resolve("receipts");
        final Path out = fleet.folder().resolve("consumer.out");
        final Process load = fleet.startProgram(
                "silverlatch.simulation.client.Main",
                out,
                List.of(
                        "--doors",
                        fleet.endpoints("gateway"),
                        "--seconds",
                        "" + seconds,
                        "--rate",
                        rate,
                        "--tenants",
                        fleet.plan().tenantArguments(),
                        "--kinds",
                        fleet.plan().kindArguments(),
                        "--receipts",
                        receipts.toString()));
        Thread.sleep(seconds * 500L);
        final String kind = fleet.plan().kinds().get(0).kind();
        final String changed = fleet.callAsOperator(
                        "controller-2",
                        "PATCH",
                        "/v1/table",
                        "{\"cells\":[{\"tenant\":\"*\",\"kind\":\"" + kind + "\",\"field\":\"cross\",\"value\":2}]}")
                .body();
        final long acked = System.currentTimeMillis();
        System.out.println("cell changed: " + changed);
        final int served = load.waitFor();
        System.out.print(Files.readString(out));
        final List<String> words =
                new ArrayList<>(List.of(receipts.toString(), fleet.plan().homeArguments()));
        fleet.names("worker")
                .forEach(w -> words.add(fleet.folder().resolve(w + ".runs").toString()));
        final Path checked = fleet.folder().resolve("check.out");
        final int right = fleet.runProgram("silverlatch.simulation.check.Main", checked, words);
        System.out.print(Files.readString(checked));
        final boolean obeyed = checkAcknowledgedTable(receipts, changed, acked);
        return served == 0 && right == 0 && obeyed ? 0 : 1;
    }
}
