package silverlatch.server.controller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.allOf;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import silverlatch.gossip.Worker;
import silverlatch.log.WriteAheadLog;
import silverlatch.replication.ChainClient;
import silverlatch.server.eventloop.Caller;
import silverlatch.server.settings.Settings;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Value;

/**
 * Controllers in the test's process, with HTTP addresses on the loopback interface and their own data directories. Guards against
 * resources of the HTTP API that aren't reachable under their current or deprecated paths, names and keys, documents that aren't returned
 * byte for byte, and calls of {@link ControlService} that get no result within a second.
 */
final class ControllerTest {
    private static final String CONFIGURATION =
            "{\"number\":%d,\n  \"rules\":[{\"name\":\"r\",\"host\":\"h.example\",\"path\":\"/\",\"hold\":1000,"
                    + "\"lots\":[{\"pool\":\"p\",\"weight\":1}]}],\"pools\":[{\"name\":\"p\",\"slots\":4}],\"bounds\":{\"head\":1,\"body\":1,\"slow\":1,\"idle\":1}}";

    @TempDir
    private Path temporaryDirectory;

    private final HttpClient http = HttpClient.newHttpClient();
    private String httpAddress = "";

    private static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private Controller startController(final List<String> otherSeeds) throws Exception {
        final String address = freeAddress();
        httpAddress = freeAddress();
        final List<String> seeds =
                Stream.concat(Stream.of(address), otherSeeds.stream()).toList();
        final Map<String, Object> settingsByKey = Map.ofEntries(
                Map.entry("name", "one"),
                Map.entry("zone", "z"),
                Map.entry("region", "r"),
                Map.entry("address", address),
                Map.entry("door", httpAddress),
                Map.entry("seeds", seeds),
                Map.entry("data", temporaryDirectory.resolve("data").toString()),
                Map.entry("key", "a key of sixteen or more"),
                Map.entry("operator", "operator-key"),
                Map.entry("worker", "worker-key"),
                Map.entry("copies", 1));
        final Settings settings =
                ((Settings.ReadResult.Valid) Settings.read(Optional.empty(), settingsByKey, true)).settings();
        final WriteAheadLog.OpenResult.Success log = (WriteAheadLog.OpenResult.Success)
                WriteAheadLog.open(Path.of(settings.dataDirectory().orElseThrow()));
        final Controller controller = Main.build(settings, Optional.of(log));
        controller.start();
        return controller;
    }

    private static <T> T await(final Consumer<Consumer<T>> call) throws Exception {
        final CompletableFuture<T> future = new CompletableFuture<>();
        call.accept(future::complete);
        return future.get(5, TimeUnit.SECONDS);
    }

    private HttpResponse<String> request(
            final String method, final String path, final String body, final String bearerToken, final String ifMatch)
            throws Exception {
        return http.send(
                HttpRequest.newBuilder(URI.create("http://" + httpAddress + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .header("Authorization", "Bearer " + bearerToken)
                        .header("If-Match", ifMatch)
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private HttpResponse<String> put(final String configuration, final String expectedRevision) throws Exception {
        return request("PUT", "/v1/charter", configuration, "operator-key", expectedRevision);
    }

    private void awaitReady() throws Exception {
        for (int i = 0; i < 200 && request("GET", "/ready", "", "", "*").statusCode() != 200; i++) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    private static Command.PutFullConfiguration putConfiguration(final long number, final long expectedRevision) {
        return Command.PutFullConfiguration.of(new Command.PutConfiguration(
                "put-" + number + "-" + expectedRevision,
                new Value.RoutingConfiguration(number, 1, 1, 1, 1),
                List.of(),
                List.of(),
                "document " + number,
                expectedRevision));
    }

    @Test
    void aConfigurationIsReadBackByteForByteThroughHttpAndControlService() throws Exception {
        final Controller controller = startController(List.of());
        awaitReady();
        assertThat(request("GET", "/v1/charter", "", "operator-key", "*").statusCode(), is(404));
        final String text = String.format(CONFIGURATION, 3);
        assertThat(put(text, "0").statusCode(), is(200));
        assertThat("the same document again", put(text, "0").statusCode(), is(200));
        final HttpResponse<String> conflict = put(String.format(CONFIGURATION, 4), "2");
        assertThat(conflict.statusCode(), is(409));
        assertThat(conflict.body().contains("\"sequence\":3"), is(true));
        final String unknownPool =
                text.replace("\"pool\":\"p\"", "\"pool\":\"q\"").replace(":3", ":5");
        assertThat(put(unknownPool, "3").statusCode(), is(422));
        assertThat(request("PUT", "/v1/charter", text, "worker-key", "3").statusCode(), is(401));
        final HttpResponse<String> response = request("GET", "/v1/charter", "", "operator-key", "*");
        assertThat(response.body(), is(text));
        assertThat(response.headers().firstValue("ETag").orElse(""), is("\"3\""));
        assertThat(
                request("GET", "/v1/rules", "", "operator-key", "*").body().contains("\"host\":\"h.example\""),
                is(true));
        assertThat(
                ControllerTest.<CommandResult>await(t -> controller.putConfiguration(putConfiguration(9, 3), t)),
                instanceOf(CommandResult.Applied.class));
        final ChainClient.ReadResult readResult = await(controller::readConfiguration);
        assertThat(readResult.entries().get(0).value(), is(List.of(new Value.ConfigurationDocument(9, "document 9"))));
        assertThat(
                ControllerTest.<CommandResult>await(t -> controller.setEvacuation("z", true, Caller.WAITS, t)),
                instanceOf(CommandResult.Applied.class));
        assertThat(request("GET", "/v1/charter", "", "operator-key", "*").body(), is("document 9"));
        controller.stop();
    }

    @Test
    void anAnnouncedWorkerIsShownInTheStatusAndAGoneOneAsLeaving() throws Exception {
        final Controller controller = startController(List.of());
        awaitReady();
        final Worker worker = new Worker("w", "10.0.0.1:1", "z", "r", 1, 1, 0, 0, 4, List.of(), false, 0);
        assertThat(ControllerTest.<Boolean>await(t -> controller.markWorkerGone("w", t)), is(false));
        assertThat(ControllerTest.<Boolean>await(t -> controller.announce(worker, t)), is(true));
        assertThat(request("GET", "/status", "", "operator-key", "*").body().contains("w z running 0/4\""), is(true));
        assertThat(ControllerTest.<Boolean>await(t -> controller.markWorkerGone("w", t)), is(true));
        assertThat(
                request("GET", "/status", "", "operator-key", "*").body().contains("w z running 0/4 leaving\""),
                is(true));
        final String announcement =
                "{\"worker\":\"v\",\"address\":\"10.0.0.2:1\",\"zone\":\"z\",\"region\":\"r\",\"life\":1,\"sequence\":1,\"slots\":2,"
                        + "\"pool\":\"p\",\"coldMs\":50,\"restMs\":90}";
        assertThat(
                request("POST", "/v1/announcements", announcement, "operator-key", "*")
                        .statusCode(),
                is(401));
        assertThat(
                request("POST", "/v1/announcements", announcement, "worker-key", "*")
                        .statusCode(),
                is(200));
        assertThat(
                request("POST", "/v1/announcements", announcement.replace("restMs", "rest"), "worker-key", "*")
                        .statusCode(),
                is(422));
        assertThat(request("GET", "/status", "", "operator-key", "*").body().contains("v z running 0/2\""), is(true));
        controller.stop();
    }

    @Test
    void anUndecidedCommandIsReportedAsUnknownWithinASecond() throws Exception {
        final Controller controller = startController(List.of(freeAddress(), freeAddress()));
        long minMillis = Long.MAX_VALUE;
        for (int i = 0; i < 4; i++) {
            final long startNanos = System.nanoTime();
            assertThat(
                    ControllerTest.<CommandResult>await(t -> controller.putConfiguration(putConfiguration(1, 0), t)),
                    instanceOf(CommandResult.Unknown.class));
            minMillis = Math.min(minMillis, (System.nanoTime() - startNanos) / 1_000_000);
        }
        assertThat("milliseconds of the fastest of four calls, as the machine may be busy", minMillis, lessThan(950L));
        assertThat(
                ControllerTest.<ChainClient.ReadResult>await(controller::readConfiguration)
                        .answered(),
                is(false));
        controller.stop();
    }

    private String statusAndBody(final String method, final String path, final String body) throws Exception {
        final HttpResponse<String> response = request(method, path, body, "operator-key", "*");
        return response.statusCode() + " " + response.body();
    }

    private Map<String, Long> metrics() throws Exception {
        final Map<String, Long> values = new TreeMap<>();
        for (final String line : request("GET", "/metrics", "", "", "*").body().split("\n")) {
            values.put(line.substring(0, line.indexOf(' ')), Long.parseLong(line.substring(line.indexOf(' ') + 1)));
        }
        return values;
    }

    @Test
    void renamedMetricsAreAlsoReportedUnderTheirDeprecatedNames() throws Exception {
        final Controller controller = startController(List.of());
        awaitReady();
        final Map<String, Long> values = metrics();
        for (final List<String> currentAndDeprecatedName : List.of(
                List.of("clock_waits", "tide_waits"),
                List.of("clock_overflows", "tide_carries"),
                List.of("clock_too_far_ahead", "tide_far"),
                List.of("clock_dropped", "tide_dropped"),
                List.of("replication_sequence", "quay_sequence"))) {
            assertThat(
                    values.keySet(),
                    hasItems(
                            "silverlatch_" + currentAndDeprecatedName.get(0),
                            "silverlatch_" + currentAndDeprecatedName.get(1)));
            assertThat(
                    currentAndDeprecatedName.get(0),
                    values.get("silverlatch_" + currentAndDeprecatedName.get(0)),
                    is(values.get("silverlatch_" + currentAndDeprecatedName.get(1))));
        }
        assertThat(values.keySet(), hasItems("silverlatch_wire_bad", "silverlatch_wire_dropped"));
        controller.stop();
    }

    private String commonBody(final String deprecatedPath, final String currentPath) throws Exception {
        final String body = statusAndBody("GET", currentPath, "");
        assertThat(currentPath, statusAndBody("GET", deprecatedPath, ""), is(body));
        return body;
    }

    @Test
    void theConfigurationAndItsRoutesAreServedUnderDeprecatedAndCurrentPaths() throws Exception {
        final Controller controller = startController(List.of());
        awaitReady();
        assertThat(commonBody("/v1/charter", "/v1/configuration"), startsWith("404 "));
        final String third = String.format(CONFIGURATION, 3);
        final String fourth = String.format(CONFIGURATION, 4);
        assertThat(
                request("PUT", "/v1/configuration", third, "operator-key", "0").statusCode(), is(200));
        assertThat("the same document again", put(third, "0").statusCode(), is(200));
        assertThat(commonBody("/v1/charter", "/v1/configuration"), is("200 " + third));
        assertThat(put(fourth, "3").statusCode(), is(200));
        assertThat(
                request("PUT", "/v1/configuration", third, "operator-key", "2").statusCode(), is(409));
        assertThat(commonBody("/v1/charter", "/v1/configuration"), is("200 " + fourth));
        for (final String path : List.of("/v1/charter", "/v1/configuration")) {
            final HttpResponse<String> response = request("GET", path, "", "operator-key", "*");
            assertThat(path, response.headers().firstValue("ETag").orElse(""), is("\"4\""));
            assertThat(path, request("GET", path, "", "worker-key", "*").statusCode(), is(401));
        }
        assertThat(commonBody("/v1/rules", "/v1/routes"), containsString("\"host\":\"h.example\""));
        assertThat(commonBody("/v1/rules/r", "/v1/routes/r"), startsWith("404 "));
        assertThat(statusAndBody("PUT", "/v1/routes", third), startsWith("404 "));
        controller.stop();
    }

    @Test
    void schedulesAreServedUnderDeprecatedAndCurrentPaths() throws Exception {
        final Controller controller = startController(List.of());
        awaitReady();
        final List<String> paths = List.of("/v1/calendars", "/v1/schedules");
        final String none = commonBody("/v1/calendars", "/v1/schedules");
        final String schedule = "{\"cron\":\"30 2 * * *\",\"zone\":\"syros\",\"empty\":true}";
        for (int i = 0; i < 2; i++) {
            final String put = paths.get(i) + "/night";
            final String delete = paths.get(1 - i) + "/night";
            assertThat(put, statusAndBody("PUT", put, schedule), startsWith("200 "));
            assertThat(commonBody("/v1/calendars", "/v1/schedules"), containsString("\"name\":\"night\""));
            assertThat(delete, statusAndBody("DELETE", delete, ""), startsWith("200 "));
            assertThat(commonBody("/v1/calendars", "/v1/schedules"), not(containsString("\"name\":\"night\"")));
            assertThat(put, statusAndBody("PUT", put, schedule.replace("30", "99")), startsWith("422 "));
            assertThat(put, request("PUT", put, schedule, "worker-key", "*").statusCode(), is(401));
        }
        assertThat(none, startsWith("200 "));
        assertThat(commonBody("/v1/calendars/night", "/v1/schedules/night"), startsWith("404 "));
        controller.stop();
    }

    @Test
    void theStatusListsTheMembersUnderTheirDeprecatedKeyToo() throws Exception {
        final Controller controller = startController(List.of());
        awaitReady();
        final String status = statusAndBody("GET", "/status", "");
        final Matcher members = Pattern.compile("\"members\":(\\[[^]]+])").matcher(status);
        assertThat(status, members.find(), is(true));
        assertThat(status, containsString("\"crew\":" + members.group(1)));
        assertThat(members.group(1), startsWith("[\"one "));
        controller.stop();
    }

    @Test
    void everyResourceOfTheApiRepliesUnderItsPath() throws Exception {
        final Controller controller = startController(List.of());
        awaitReady();
        final String row = "{\"tenant\":\"*\",\"kind\":\"fare\",\"rate\":2}";
        assertThat(statusAndBody("PUT", "/v1/table", "{\"rows\":[" + row + "]}"), startsWith("200 "));
        final String cell = "{\"tenant\":\"*\",\"kind\":\"fare\",\"field\":\"rate\",\"value\":\"3\"}";
        assertThat(statusAndBody("PATCH", "/v1/table", "{\"cells\":[" + cell + "]}"), startsWith("200 "));
        assertThat(statusAndBody("GET", "/v1/table", ""), containsString("\"kind\":\"fare\""));
        assertThat(
                statusAndBody("PUT", "/v1/tenants/ferry", "{\"key\":\"a key\",\"homes\":[\"r\"]}"), startsWith("200 "));
        assertThat(statusAndBody("GET", "/v1/tenants", ""), containsString("\"name\":\"ferry\""));
        assertThat(statusAndBody("DELETE", "/v1/tenants/ferry", ""), startsWith("200 "));
        assertThat(statusAndBody("PUT", "/v1/zones/syros", "{\"empty\":true}"), startsWith("200 "));
        assertThat(
                statusAndBody("PUT", "/v1/zones/syros", "{}"),
                allOf(startsWith("422 "), containsString("[\"$.empty: missing\"]")));
        assertThat(statusAndBody("GET", "/v1/zones", ""), containsString("\"zone\":\"syros\""));
        final String schedule = "{\"cron\":\"30 2 * * *\",\"zone\":\"syros\",\"empty\":true}";
        assertThat(statusAndBody("PUT", "/v1/calendars/night", schedule), startsWith("200 "));
        assertThat(statusAndBody("PUT", "/v1/calendars/night", schedule.replace("30", "99")), startsWith("422 "));
        assertThat(statusAndBody("GET", "/v1/calendars", ""), containsString("\"name\":\"night\""));
        assertThat(statusAndBody("DELETE", "/v1/calendars/night", ""), startsWith("200 "));
        assertThat(statusAndBody("GET", "/v1/claims/0a", ""), startsWith("200 "));
        assertThat(statusAndBody("GET", "/v1/claims/0x", ""), startsWith("404 "));
        assertThat(statusAndBody("GET", "/v1/changes/none-of-this-id", ""), startsWith("404 "));
        assertThat(statusAndBody("GET", "/v1/tenants/ferry/more", ""), startsWith("404 "));
        assertThat(statusAndBody("GET", "/live", ""), is("200 {\"live\":true}"));
        assertThat(request("GET", "/v1/none", "", "", "*").statusCode(), is(401));
        assertThat(
                request("DELETE", "/v1/tenants/ferry", "", "operator-key", "x").statusCode(), is(400));
        controller.stop();
    }
}
