package silverlatch.simulation.fleet;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.anyOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
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
import silverlatch.simulation.check.Main;
import silverlatch.util.Lists;

/** The telecom's fleet of processes while it is operated: rolled, stopped and frozen mid-stream, swapped, a region lost, a disk full. */
final class RollTest {
    @TempDir
    private Path folder;

    private static String body(final Fleet fleet, final String name, final String path) {
        try {
            return fleet.ask(name, "GET", path, "").body();
        } catch (final IOException e) {
            return "";
        } catch (final InterruptedException e) {
            Thread.currentThread().interrupt();
            return "";
        }
    }

    /** Whether a controller keeps a change within a minute of asking. */
    private static boolean takes(final Fleet fleet, final String controller, final String path, final String body)
            throws InterruptedException {
        return fleet.until(
                () -> {
                    try {
                        return fleet.ask(controller, "PUT", path, body).statusCode() == 200;
                    } catch (final IOException | InterruptedException e) {
                        return false;
                    }
                },
                60);
    }

    /** A stream as its consumer sees it: the lines that came, and its end. */
    private record Stream(ConcurrentLinkedQueue<String> lines, CompletableFuture<Boolean> end) {
        String whole() throws Exception {
            end.get();
            return String.join("\n", lines);
        }
    }

    /** Starts a long stream at a gateway, and waits until its first pieces came. */
    private static Stream stream(final Fleet fleet, final String gateway, final int pieces) throws Exception {
        final List<Stream> tries = new ArrayList<>();
        final Plan.Tenant who = fleet.plan().tenants().get(0);
        assertThat(
                fleet.until(
                        () -> {
                            try {
                                final HttpResponse<String> pick = fleet.as(
                                        who.key(),
                                        gateway,
                                        "POST",
                                        "/v1/picks",
                                        "{\"tenant\":\"" + who.name() + "\",\"kind\":\""
                                                + fleet.plan().kinds().get(0).kind() + "\"}");
                                if (!pick.body().contains("\"permit\"")) {
                                    return false;
                                }
                                final ConcurrentLinkedQueue<String> lines = new ConcurrentLinkedQueue<>();
                                tries.add(new Stream(lines, CompletableFuture.supplyAsync(() -> {
                                    try {
                                        fleet.lines(
                                                who.key(),
                                                gateway,
                                                "/v1/tickets",
                                                "{\"permit\":\""
                                                        + pick.body().replaceAll(".*\"permit\":\"([^\"]*)\".*", "$1")
                                                        + "\",\"prompt\":\"" + pieces
                                                        + " pieces of a long story\",\"expiryMs\":50000}",
                                                lines::add);
                                        return true;
                                    } catch (final IOException
                                            | InterruptedException
                                            | java.io.UncheckedIOException e) {
                                        return false;
                                    }
                                })));
                                return fleet.until(() -> lines.size() > 2, 5)
                                        && lines.peek().contains("\"number\":0");
                            } catch (final IOException | InterruptedException e) {
                                return false;
                            }
                        },
                        60),
                is(true));
        return Lists.last(tries);
    }

    private static void gapless(final String reply) {
        int next = 0;
        for (final String line :
                reply.lines().filter(l -> l.contains("\"number\"")).toList()) {
            assertThat(line, containsString("\"number\":" + next++));
        }
    }

    @Test
    void aFleetIsRolledSwappedAndLosesARegionWithEveryReceiptInOrder() throws Exception {
        try (Fleet fleet =
                new Fleet(Plan.read(Path.of("../examples/telecom")), folder, System.getProperty("java.class.path"))) {
            fleet.all("controller");
            fleet.all("gateway");
            fleet.all("worker");
            assertThat("controllers", fleet.ready("controller", 90), is(true));
            assertThat(fleet.load(), everyItem(is(200)));
            assertThat("gateways", fleet.ready("gateway", 90), is(true));
            final Path receipts = folder.resolve("receipts");
            final Process load = fleet.begin(
                    "silverlatch.simulation.consumer.Main",
                    folder.resolve("consumer.out"),
                    List.of(
                            "--doors",
                            fleet.doors("gateway"),
                            "--seconds",
                            "45",
                            "--rate",
                            "15",
                            "--tenants",
                            fleet.plan().people(),
                            "--kinds",
                            fleet.plan().sorts(),
                            "--receipts",
                            receipts.toString(),
                            "--seed",
                            "9"));
            rolls(fleet);
            freezes(fleet);
            swaps(fleet);
            region(fleet);
            load.waitFor();
            assertThat(Files.readString(folder.resolve("consumer.out")), containsString("open 0"));
            final Main.Found found = Main.check(
                    receipts,
                    Main.homes(fleet.plan().homes()),
                    fleet.names("worker").stream()
                            .map(w -> fleet.folder().resolve(w + ".runs"))
                            .toList());
            assertThat(found.wrong(), is(List.of()));
            assertThat("something ran", found.runs() > 50, is(true));
            fills(fleet);
        }
    }

    private static void rolls(final Fleet fleet) throws Exception {
        final Stream cut = stream(fleet, "gateway-1", 900);
        fleet.settings(Map.of("grace", 2_000_000, "keep", 30_000_000));
        assertThat(fleet.stop("gateway-1"), is(143));
        assertThat("the grace ran out", cut.whole(), containsString("\"lost\""));
        gapless(cut.whole());
        fleet.start("gateway-1");
        for (final String name : List.of("controller-3", "controller-1", "gateway-2", "gateway-3")) {
            assertThat(name, fleet.stop(name), is(143));
            fleet.start(name);
            assertThat(name, fleet.ready(name, 90), is(true));
        }
        assertThat("gateway-1", fleet.ready("gateway-1", 90), is(true));
        assertThat(
                "three stand in the chain",
                fleet.until(() -> body(fleet, "controller-1", "/status").split("127.0.0.1").length > 3, 60),
                is(true));
    }

    private static void freezes(final Fleet fleet) throws Exception {
        final Stream held = stream(fleet, "gateway-2", 100);
        fleet.freeze("gateway-2", true);
        assertThat(
                fleet.until(
                        () -> body(fleet, "gateway-3", "/ready").contains("ready") && fleet.isReady("gateway-3"), 30),
                is(true));
        fleet.freeze("gateway-2", false);
        assertThat(
                held.whole(),
                anyOf(containsString("\"seal\""), containsString("\"lost\""), containsString("rejected")));
        gapless(held.whole());
    }

    private static void swaps(final Fleet fleet) throws Exception {
        fleet.kill("controller-2");
        fleet.controller("controller-9", fleet.plan().regions().get(1), true);
        fleet.start("controller-9");
        assertThat("the empty machine at a new address stands in the chain", fleet.ready("controller-9", 90), is(true));
        fleet.controller("controller-8", fleet.plan().regions().get(2), false);
        fleet.start("controller-8");
        assertThat(
                "a controller without a data folder replies",
                fleet.until(() -> body(fleet, "controller-8", "/v1/table").contains("\"rows\""), 60),
                is(true));
        assertThat(takes(fleet, "controller-8", "/v1/zones/nowhere", "{\"empty\":true}"), is(true));
        assertThat(body(fleet, "controller-9", "/v1/zones"), containsString("nowhere"));
    }

    private static void region(final Fleet fleet) throws Exception {
        final List<String> lost = fleet.places(fleet.plan().regions().get(2).region()).stream()
                .filter(n -> !n.equals("controller-8"))
                .toList();
        for (final String name : lost) {
            fleet.kill(name);
        }
        assertThat(
                "the others take changes",
                takes(fleet, "controller-1", "/v1/zones/elsewhere", "{\"empty\":true}"),
                is(true));
        for (final String name : lost) {
            fleet.start(name);
        }
        assertThat("the region is back", fleet.ready("controller-3", 90) && fleet.ready("gateway", 90), is(true));
        assertThat(fleet.until(() -> body(fleet, "controller-3", "/v1/zones").contains("elsewhere"), 60), is(true));
    }

    private static void fills(final Fleet fleet) throws Exception {
        fleet.kill("controller-3");
        fleet.cramped("controller-3", 600);
        assertThat(fleet.ready("controller-3", 90), is(true));
        final String was = body(fleet, "controller-1", "/v1/table");
        final StringBuilder rows = new StringBuilder(was.substring(0, was.lastIndexOf(']')));
        for (int i = 0; i < 12_000; i++) {
            rows.append(",{\"tenant\":\"*\",\"kind\":\"kind-").append(i).append("\"}");
        }
        assertThat(takes(fleet, "controller-1", "/v1/table", rows + "]}"), is(true));
        assertThat(
                "the full machine leaves the chain",
                fleet.until(() -> body(fleet, "controller-3", "/ready").contains("broken"), 60),
                is(true));
        assertThat(
                "the fleet goes on", takes(fleet, "controller-1", "/v1/zones/nowhere", "{\"empty\":false}"), is(true));
        assertThat(Files.readString(fleet.folder().resolve("controller-3.log")), containsString("SL405 DISK_BROKEN"));
    }
}
