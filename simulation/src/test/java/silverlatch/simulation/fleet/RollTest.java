package silverlatch.simulation.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.http.HttpResponse;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentLinkedQueue;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import silverlatch.util.Lists;

/**
 * Operates the deployment of the telecom example under load: a rolling restart, processes stopped and frozen while they stream
 * a response, a replaced controller, the loss of a region and a full disk. No request may be lost silently or run twice.
 */
final class RollTest {
    @TempDir
    private Path folder;

    /** Returns whether a controller accepts a change, which is sent repeatedly for up to a minute. */
    private static boolean acceptsChange(
            final Fleet fleet, final String controller, final String path, final String body)
            throws InterruptedException {
        return fleet.await(
                () -> {
                    try {
                        return fleet.callAsOperator(controller, "PUT", path, body)
                                        .statusCode()
                                == 200;
                    } catch (final IOException | InterruptedException failure) {
                        return false;
                    }
                },
                60);
    }

    /** A response stream: the lines received so far, and a future that completes at its end. */
    private record ResponseStream(ConcurrentLinkedQueue<String> lines, CompletableFuture<Boolean> end) {
        String awaitText() throws Exception {
            end.get();
            return String.join("\n", lines);
        }
    }

    /** Starts a long response stream at a gateway and waits until its first chunks have arrived. */
    private static ResponseStream stream(final Fleet fleet, final String gateway, final int chunks) throws Exception {
        final List<ResponseStream> attempts = new ArrayList<>();
        assertThat(
                fleet.await(
                        () -> {
                            try {
                                return startStream(fleet, gateway, chunks, attempts);
                            } catch (final IOException | InterruptedException failure) {
                                return false;
                            }
                        },
                        60),
                is(true));
        return Lists.last(attempts);
    }

    private static boolean startStream(
            final Fleet fleet, final String gateway, final int chunks, final List<ResponseStream> attempts)
            throws IOException, InterruptedException {
        final Plan.Tenant tenant = fleet.plan().tenants().get(0);
        final String placement = "{\"tenant\":\"" + tenant.name() + "\",\"kind\":\""
                + fleet.plan().kinds().get(0).kind() + "\"}";
        final HttpResponse<String> pick = fleet.callAs(tenant.key(), gateway, "POST", "/v1/picks", placement);
        if (!pick.body().contains("\"permit\"")) {
            return false;
        }
        final String request = "{\"permit\":\""
                + pick.body().replaceAll(".*\"permit\":\"([^\"]*)\".*", "$1")
                + "\",\"prompt\":\"" + chunks + " pieces of a long story\",\"expiryMs\":50000}";
        final ConcurrentLinkedQueue<String> lines = new ConcurrentLinkedQueue<>();
        attempts.add(new ResponseStream(lines, CompletableFuture.supplyAsync(() -> {
            try {
                fleet.streamLines(tenant.key(), gateway, "/v1/tickets", request, lines::add);
                return true;
            } catch (final IOException | InterruptedException | UncheckedIOException failure) {
                return false;
            }
        })));
        return fleet.await(() -> lines.size() > 2, 5) && lines.peek().contains("\"number\":0");
    }

    private static void assertNoGaps(final String reply) {
        int next = 0;
        for (final String line :
                reply.lines().filter(l -> l.contains("\"number\"")).toList()) {
            assertThat(line, containsString("\"number\":" + next++));
        }
    }

    @Test
    void receiptsAreCorrectAfterRollingRestartReplacementAndLossOfARegion() throws Exception {
        try (Fleet fleet =
                new Fleet(Plan.read(Path.of("../examples/telecom")), folder, System.getProperty("java.class.path"))) {
            FleetSteps.start(fleet);
            final Path receipts = folder.resolve("receipts");
            final Process load = fleet.startLoad(receipts, 45, "15", 9);
            restartsInTurn(fleet);
            freezesGateway(fleet);
            replacesController(fleet);
            losesRegion(fleet);
            load.waitFor();
            FleetSteps.assertReceipts(fleet, receipts);
            fillsDisk(fleet);
        }
    }

    private static void restartsInTurn(final Fleet fleet) throws Exception {
        final ResponseStream interrupted = stream(fleet, "gateway-1", 900);
        fleet.writeSettings(Map.of("grace", 2_000_000, "keep", 30_000_000));
        assertThat(fleet.stop("gateway-1"), is(143));
        assertThat("the stream is lost after the grace period", interrupted.awaitText(), containsString("\"lost\""));
        assertNoGaps(interrupted.awaitText());
        fleet.start("gateway-1");
        for (final String name : List.of("controller-3", "controller-1", "gateway-2", "gateway-3")) {
            assertThat(name, fleet.stop(name), is(143));
            fleet.start(name);
            assertThat(name, fleet.awaitReady(name, 90), is(true));
        }
        assertThat("gateway-1", fleet.awaitReady("gateway-1", 90), is(true));
        assertThat(
                "the chain has three members",
                fleet.await(() -> fleet.bodyOf("controller-1", "/status").split("127.0.0.1").length > 3, 60),
                is(true));
    }

    private static void freezesGateway(final Fleet fleet) throws Exception {
        final ResponseStream stream = stream(fleet, "gateway-2", 100);
        fleet.freeze("gateway-2", true);
        assertThat(
                fleet.await(
                        () -> fleet.bodyOf("gateway-3", "/ready").contains("ready") && fleet.isReady("gateway-3"), 30),
                is(true));
        fleet.freeze("gateway-2", false);
        assertThat(
                stream.awaitText(),
                anyOf(containsString("\"seal\""), containsString("\"lost\""), containsString("rejected")));
        assertNoGaps(stream.awaitText());
    }

    private static void replacesController(final Fleet fleet) throws Exception {
        fleet.kill("controller-2");
        fleet.addController("controller-9", fleet.plan().regions().get(1), true);
        fleet.start("controller-9");
        assertThat("the empty controller at a new address is ready", fleet.awaitReady("controller-9", 90), is(true));
        fleet.addController("controller-8", fleet.plan().regions().get(2), false);
        fleet.start("controller-8");
        assertThat(
                "a controller without a data directory answers",
                fleet.await(() -> fleet.bodyOf("controller-8", "/v1/table").contains("\"rows\""), 60),
                is(true));
        assertThat(acceptsChange(fleet, "controller-8", "/v1/zones/nowhere", "{\"empty\":true}"), is(true));
        assertThat(fleet.bodyOf("controller-9", "/v1/zones"), containsString("nowhere"));
    }

    private static void losesRegion(final Fleet fleet) throws Exception {
        final List<String> lost = fleet
                .namesInRegion(fleet.plan().regions().get(2).region())
                .stream()
                .filter(n -> !n.equals("controller-8"))
                .toList();
        for (final String name : lost) {
            fleet.kill(name);
        }
        assertThat(
                "the remaining controllers accept changes",
                acceptsChange(fleet, "controller-1", "/v1/zones/elsewhere", "{\"empty\":true}"),
                is(true));
        for (final String name : lost) {
            fleet.start(name);
        }
        assertThat(
                "the region is ready again",
                fleet.awaitReady("controller-3", 90) && fleet.awaitReady("gateway", 90),
                is(true));
        assertThat(fleet.await(() -> fleet.bodyOf("controller-3", "/v1/zones").contains("elsewhere"), 60), is(true));
    }

    private static void fillsDisk(final Fleet fleet) throws Exception {
        fleet.kill("controller-3");
        fleet.startWithFileLimit("controller-3", 600);
        assertThat(fleet.awaitReady("controller-3", 90), is(true));
        final String was = fleet.bodyOf("controller-1", "/v1/table");
        final StringBuilder rows = new StringBuilder(was.substring(0, was.lastIndexOf(']')));
        for (int i = 0; i < 12_000; i++) {
            rows.append(",{\"tenant\":\"*\",\"kind\":\"kind-").append(i).append("\"}");
        }
        assertThat(acceptsChange(fleet, "controller-1", "/v1/table", rows + "]}"), is(true));
        assertThat(
                "the controller with the full disk reports a broken disk",
                fleet.await(() -> fleet.bodyOf("controller-3", "/ready").contains("broken"), 60),
                is(true));
        assertThat(
                "the remaining controllers accept changes with one disk full",
                acceptsChange(fleet, "controller-1", "/v1/zones/nowhere", "{\"empty\":false}"),
                is(true));
        assertThat(Files.readString(fleet.folder().resolve("controller-3.log")), containsString("SL405 DISK_BROKEN"));
    }
}
