package silverlatch.simulation.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import silverlatch.util.Lists;

/**
 * Runs a deployment of real processes through its whole life: load with failing nodes, bad input, the operator's tool, stops
 * and a kill of all processes. The checks use receipts and records and never the time that something took.
 */
final class FleetTest {
    @TempDir
    private Path folder;

    private static long countLines(final Path file) {
        try (java.util.stream.Stream<String> all =
                Files.exists(file) ? Files.lines(file) : java.util.stream.Stream.<String>of()) {
            return all.count();
        } catch (final java.io.IOException failure) {
            return 0;
        }
    }

    @Test
    void fleetServesAndAppliesChangesDespiteKillsAndALostDisk() throws Exception {
        try (Fleet fleet =
                new Fleet(Plan.read(Path.of("../examples/ferry")), folder, System.getProperty("java.class.path"))) {
            FleetSteps.start(fleet);
            putsScheduledChange(fleet);
            servesWhileNodesFail(fleet);
            replaysDecisions(fleet);
            readsResponseFromOffset(fleet);
            sendsGarbage(fleet);
            BadInputSteps.rejectsBadInput(fleet);
            putsLargeTable(fleet);
            usesOperatorTool(fleet);
            stopsNodesAndAppliesScheduledChange(fleet);
            survivesKillOfAll(fleet);
        }
    }

    private static void putsScheduledChange(final Fleet fleet) throws Exception {
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAsOperator(
                        "controller-1", "PUT", "/v1/calendars/minute", "{\"cron\":\"0 0 31 2 *\",\"zone\":\"syros\"}"),
                422,
                "never comes");
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAsOperator(
                        "controller-1",
                        "PUT",
                        "/v1/calendars/minute",
                        "{\"cron\":\"* * * * *\",\"cells\":[{\"tenant\":\"*\",\"kind\":\"ruling\","
                                + "\"field\":\"burst\",\"value\":777}]}"),
                200,
                "kept");
    }

    private void servesWhileNodesFail(final Fleet fleet) throws Exception {
        final Path receipts = folder.resolve("receipts");
        final Process load = fleet.startLoad(receipts, 12, "30", 5);
        assertThat(fleet.await(() -> countLines(receipts) > 60, 60), is(true));
        fleet.kill("gateway-2");
        fleet.freeze("gateway-3", true);
        final long seen = countLines(receipts);
        assertThat(fleet.await(() -> countLines(receipts) > seen + 40, 60), is(true));
        fleet.freeze("gateway-3", false);
        fleet.kill("controller-2");
        fleet.deleteDataFolder("controller-2");
        fleet.start("controller-2");
        fleet.start("gateway-2");
        fleet.kill("worker-5");
        load.waitFor();
        FleetSteps.assertReceipts(fleet, receipts);
        assertThat("the controller whose data was deleted is ready", fleet.awaitReady("controller", 90), is(true));
        assertThat("the killed gateway is ready", fleet.awaitReady("gateway", 90), is(true));
        assertThat(
                fleet.callAsOperator(
                                "controller-2",
                                "PATCH",
                                "/v1/table",
                                "{\"cells\":[{\"tenant\":\"*\",\"kind\":\"fare\",\"field\":\"load\",\"value\":3}]}")
                        .statusCode(),
                is(200));
        assertThat(fleet.callAsOperator("controller-3", "GET", "/v1/table", "").body(), containsString("\"load\":3"));
    }

    private static void stopsNodesAndAppliesScheduledChange(final Fleet fleet) throws Exception {
        assertThat(fleet.stop("gateway-1"), is(143));
        assertThat(fleet.stop("controller-1"), is(143));
        assertThat(
                "the chain without the stopped controller has a lease",
                fleet.await(() -> fleet.bodyOf("controller-2", "/status").contains("\"leased\":true"), 30),
                is(true));
        assertThat(
                fleet.callAsOperator("controller-2", "PUT", "/v1/zones/syros", "{\"empty\":true}")
                        .statusCode(),
                is(200));
        assertThat(
                "the scheduled change is applied",
                fleet.await(() -> fleet.bodyOf("controller-3", "/v1/table").contains("\"burst\":777"), 150),
                is(true));
    }

    private static void survivesKillOfAll(final Fleet fleet) throws Exception {
        for (final String name : fleet.names("")) {
            fleet.kill(name);
        }
        fleet.startAll("controller");
        fleet.startAll("gateway");
        assertThat(
                "all are ready after a kill of all processes",
                fleet.awaitReady("controller", 90) && fleet.awaitReady("gateway", 90),
                is(true));
        assertThat(fleet.callAsOperator("controller-1", "GET", "/v1/table", "").body(), containsString("\"load\":3"));
        assertThat(
                fleet.callAsOperator("controller-1", "GET", "/v1/zones", "").body(), containsString("\"empty\":true"));
    }

    private void replaysDecisions(final Fleet fleet) throws Exception {
        final Path out = folder.resolve("replay.out");
        final Path day = fleet.folder().resolve("gateway-1.day").resolve("day-0.jsonl");
        assertThat(fleet.runProgram("silverlatch.server.replay.Main", out, List.of(day.toString())), is(0));
        assertThat(Files.readString(out), containsString(", 0 changed"));
        final Path other = folder.resolve("other.json");
        Files.writeString(
                other,
                Files.readString(fleet.plan().table())
                        .replaceAll("\"load\": [0-9.]+", "\"load\": 0")
                        .replaceAll("\"cross\": [0-9.]+", "\"cross\": 900"));
        assertThat(
                fleet.runProgram(
                        "silverlatch.server.replay.Main", out, List.of("--table", other.toString(), day.toString())),
                is(0));
        assertThat(Files.readString(out), containsString(" -> "));
        Files.writeString(other, Files.readString(day) + "{\"pick\":{\"ticket\":7}}\n{odd\n");
        assertThat(fleet.runProgram("silverlatch.server.replay.Main", out, List.of(other.toString())), is(2));
        assertThat(Files.readString(out), containsString("$.pick.ticket: a text is needed"));
        assertThat(
                fleet.runProgram(
                        "silverlatch.server.replay.Main",
                        out,
                        List.of(fleet.plan().table().toString())),
                is(2));
        assertThat(Files.readString(out), containsString("not a recording of ours"));
    }

    private static String body(final String pick) {
        return "{\"permit\":\"" + pick.replaceAll(".*\"permit\":\"([^\"]*)\".*", "$1")
                + "\",\"prompt\":\"6 pieces please\"}";
    }

    private static void readsResponseFromOffset(final Fleet fleet) throws Exception {
        final List<String> picks = new java.util.ArrayList<>();
        final List<java.net.http.HttpResponse<String>> wholes = new java.util.ArrayList<>();
        FleetSteps.assertAnswer(
                fleet,
                () -> {
                    picks.add(fleet.callAs(
                                    "key-travellers",
                                    "gateway-1",
                                    "POST",
                                    "/v1/picks",
                                    "{\"tenant\":\"travellers\",\"kind\":\"fare\"}")
                            .body());
                    wholes.add(fleet.callAs(
                            "key-travellers", "gateway-1", "POST", "/v1/tickets", body(Lists.last(picks))));
                    return Lists.last(wholes);
                },
                200,
                "\"seal\"");
        final String ticket = Lists.last(picks).replaceAll(".*\"ticket\":\"([^\"]*)\".*", "$1");
        final String body = body(Lists.last(picks));
        final java.net.http.HttpResponse<String> whole = Lists.last(wholes);
        final List<String> lines = whole.body().lines().toList();
        assertThat(lines.size(), is(7));
        assertThat(Lists.last(lines), containsString("\"seal\""));
        final java.net.http.HttpResponse<String> rest =
                fleet.callAs("key-travellers", "gateway-1", "GET", "/v1/tickets/" + ticket + "?from=2", "");
        assertThat(rest.body().lines().toList(), is(lines.subList(2, 7)));
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAs("key-clerks", "gateway-1", "GET", "/v1/tickets/" + ticket + "?from=2", ""),
                404,
                "no such request");
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAs("key-travellers", "gateway-1", "POST", "/v1/tickets", body),
                409,
                "submitted before");
    }

    private static void sendsGarbage(final Fleet fleet) throws Exception {
        for (final String name : List.of("gateway-1", "controller-1")) {
            for (final byte[] bytes :
                    List.of(new byte[] {0x7f, -1, -1, -1, 1, 2}, new byte[] {0, 0, 0, 4, 99, 98, 97, 96})) {
                try (java.net.Socket socket = new java.net.Socket()) {
                    socket.connect(silverlatch.server.transport.Transport.parseAddress(fleet.address(name)));
                    socket.getOutputStream().write(bytes);
                    assertThat("the connection ends", socket.getInputStream().read(), is(-1));
                }
            }
            assertThat(fleet.bodyOf(name, "/metrics"), containsString("silverlatch_wire_bad 2"));
            assertThat(Files.readString(fleet.folder().resolve(name + ".log")), containsString("SL300 BAD_FRAME"));
            assertThat(fleet.isReady(name), is(true));
        }
    }

    private static void putsLargeTable(final Fleet fleet) throws Exception {
        final String was =
                fleet.callAsOperator("controller-1", "GET", "/v1/table", "").body();
        final StringBuilder rows = new StringBuilder(was.substring(0, was.lastIndexOf(']')));
        for (int i = 0; i < 15_000; i++) {
            rows.append(",{\"tenant\":\"*\",\"kind\":\"kind-").append(i).append("\"}");
        }
        FleetSteps.assertAnswer(
                fleet, () -> fleet.callAsOperator("controller-2", "PUT", "/v1/table", rows + "]}"), 200, "kept");
        final java.net.http.HttpResponse<String> back = fleet.callAsOperator("controller-3", "GET", "/v1/table", "");
        assertThat(back.body().split("\"kind\":").length, is(15_000 + 3 + 1));
        final String revision = back.headers().firstValue("ETag").orElse("").replace("\"", "");
        assertThat(
                "the gateways have the large table",
                fleet.await(() -> isKnownToGateways(fleet, revision), 60),
                is(true));
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAs(
                        "key-travellers",
                        "gateway-1",
                        "POST",
                        "/v1/picks",
                        "{\"tenant\":\"travellers\",\"kind\":\"kind-14999\"}"),
                200,
                "picked");
        for (int i = 0; i < 6_000; i++) {
            rows.append(",{\"tenant\":\"*\",\"kind\":\"more-").append(i).append("\"}");
        }
        FleetSteps.assertAnswer(
                fleet,
                () -> fleet.callAsOperator("controller-2", "PUT", "/v1/table", rows + "]}"),
                422,
                "$.rows: at most");
        FleetSteps.assertAnswer(
                fleet, () -> fleet.callAsOperator("controller-2", "PUT", "/v1/table", was), 200, "kept");
    }

    private static boolean isKnownToGateways(final Fleet fleet, final String revision) {
        return fleet.names("gateway").stream()
                .allMatch(gateway -> fleet.bodyOf(gateway, "/status").contains("\"table\":" + revision + ","));
    }

    private void usesOperatorTool(final Fleet fleet) throws Exception {
        final Path out = folder.resolve("tool.out");
        final String door = fleet.endpoints("controller");
        final List<String> start = List.of("--door", door, "--key", Fleet.OPERATOR_KEY);
        assertThat(runTool(fleet, out, start, "table", "set", "*", "fare", "cross", "0.75"), is(0));
        assertThat(runTool(fleet, out, start, "table", "get"), is(0));
        assertThat(Files.readString(out), containsString("cross=0.75"));
        final Path file = folder.resolve("next.json");
        final String was =
                fleet.callAsOperator("controller-1", "GET", "/v1/table", "").body();
        Files.writeString(file, was.replace("\"cross\":0.75", "\"cross\":0.25"));
        assertThat(runTool(fleet, out, start, "table", "diff", file.toString()), is(0));
        assertThat(Files.readString(out), containsString("* fare cross: 0.75 -> 0.25"));
        assertThat(Files.readString(out), containsString("1 differences from sequence"));
        assertThat(fleet.callAsOperator("controller-1", "GET", "/v1/table", "").body(), is(was));
        Files.writeString(file, was.replace("\"cross\":0.75", "\"cross\":-4"));
        assertThat(runTool(fleet, out, start, "table", "diff", file.toString()), is(1));
        assertThat(Files.readString(out), containsString("].cross: -4"));
        assertThat(runTool(fleet, out, start, "claims", "done"), is(0));
        assertThat(Files.readString(out), containsString("carrier=gateway-"));
        assertThat(runTool(fleet, out, start, "claims", "odd"), is(2));
        assertThat(runTool(fleet, out, start, "--match", "1", "table", "set", "*", "fare", "cross", "0.5"), is(1));
        assertThat(Files.readString(out), containsString("409"));
        explainsARequest(fleet, out, start);
        checksSettings(fleet, out);
    }

    private void explainsARequest(final Fleet fleet, final Path out, final List<String> start) throws Exception {
        final String ticket = Files.readAllLines(folder.resolve("receipts")).stream()
                .filter(r -> r.contains("\"done\"") && r.contains("\"gateway-1-"))
                .map(r -> r.replaceAll(".*\"ticket\":\"([^\"]*)\".*", "$1"))
                .findFirst()
                .orElseThrow();
        assertThat(
                runTool(
                        fleet,
                        out,
                        List.of("--door", fleet.endpoint("gateway-1"), "--key", Fleet.OPERATOR_KEY),
                        "explain",
                        ticket),
                is(0));
        assertThat(Files.readString(out), containsString("judge=prefix"));
        assertThat(Files.readString(out), containsString("state: done"));
        assertThat(runTool(fleet, out, start, "status"), is(0));
        assertThat(Files.readString(out), containsString("leased: true"));
        assertThat(runTool(fleet, out, start, "table", "twist"), is(2));
        assertThat(runTool(fleet, out, List.of("--door", "127.0.0.1:1", "--key", "x"), "table", "get"), is(3));
        assertThat(runTool(fleet, out, List.of("--help")), is(0));
        assertThat(runTool(fleet, out, start, "drain", "syros"), is(0));
        assertThat(runTool(fleet, out, start, "undrain", "syros"), is(0));
    }

    private static void checksSettings(final Fleet fleet, final Path out) throws Exception {
        assertThat(
                fleet.runProgram(
                        "silverlatch.server.gateway.Main",
                        out,
                        List.of("--name", "p", "--address", "nowhere", "--check")),
                is(2));
        assertThat(Files.readString(out), containsString("address: an IP number and a port are needed"));
        assertThat(Files.readString(out), containsString("key: at least 16 characters"));
        assertThat(
                fleet.runProgram(
                        "silverlatch.server.controller.Main",
                        out,
                        List.of("--settings", "../examples/ferry/settings.json", "--check")),
                is(0));
        assertThat(fleet.runProgram("silverlatch.server.controller.Main", out, List.of("--version")), is(0));
    }

    private static int runTool(final Fleet fleet, final Path out, final List<String> start, final String... words)
            throws Exception {
        final List<String> all = new java.util.ArrayList<>(start);
        all.addAll(List.of(words));
        return fleet.runProgram("silverlatch.server.tool.Main", out, all);
    }
}
