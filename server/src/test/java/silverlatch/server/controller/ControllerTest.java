package silverlatch.server.controller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.io.IOException;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import silverlatch.gossip.Worker;
import silverlatch.log.WriteAheadLog;
import silverlatch.replication.ChainClient;
import silverlatch.server.settings.Settings;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Value;

/** Controllers in this process, with doors on loopback and data folders of their own. */
final class ControllerTest {
    private static final String PAPER =
            "{\"number\":%d,\n  \"rules\":[{\"name\":\"r\",\"host\":\"h.example\",\"path\":\"/\",\"hold\":1000,"
                    + "\"lots\":[{\"pool\":\"p\",\"weight\":1}]}],\"pools\":[{\"name\":\"p\",\"slots\":4}],\"bounds\":{\"head\":1,\"body\":1,\"slow\":1,\"idle\":1}}";

    @TempDir
    private Path folder;

    private final HttpClient http = HttpClient.newHttpClient();
    private String door = "";

    private static String place() throws IOException {
        try (ServerSocket s = new ServerSocket(0, 1, java.net.InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + s.getLocalPort();
        }
    }

    private Controller controller(final List<String> others) throws Exception {
        final String address = place();
        door = place();
        final List<String> seeds = new java.util.ArrayList<>(List.of(address));
        seeds.addAll(others);
        final Settings s = ((Settings.Read.Good) Settings.read(
                        Optional.empty(),
                        Map.of(
                                "name",
                                "one",
                                "zone",
                                "z",
                                "region",
                                "r",
                                "address",
                                address,
                                "door",
                                door,
                                "seeds",
                                seeds,
                                "data",
                                folder.resolve("data").toString(),
                                "key",
                                "a key of sixteen or more",
                                "operator",
                                "operator-key",
                                "worker",
                                "worker-key"),
                        true))
                .settings();
        final Settings alone = new Settings(
                s.name(),
                s.zone(),
                s.region(),
                s.address(),
                s.door(),
                s.seeds(),
                s.data(),
                s.record(),
                s.key(),
                s.operator(),
                s.worker(),
                s.low(),
                s.skew(),
                s.grace(),
                s.carry(),
                s.body(),
                s.line(),
                s.found(),
                1,
                s.voters(),
                silverlatch.server.settings.Rates.PLAIN,
                Optional.empty());
        final Controller h = DaggerMain_Parts.factory()
                .make(alone, Optional.of((WriteAheadLog.OpenResult.Success)
                        WriteAheadLog.open(Path.of(s.data().get()))))
                .controller();
        h.start();
        return h;
    }

    private static <T> T get(final Consumer<Consumer<T>> ask) throws Exception {
        final CompletableFuture<T> f = new CompletableFuture<>();
        ask.accept(f::complete);
        return f.get(5, TimeUnit.SECONDS);
    }

    private HttpResponse<String> call(
            final String method, final String path, final String body, final String key, final String match)
            throws Exception {
        return http.send(
                HttpRequest.newBuilder(URI.create("http://" + door + path))
                        .method(method, HttpRequest.BodyPublishers.ofString(body))
                        .header("Authorization", "Bearer " + key)
                        .header("If-Match", match)
                        .build(),
                HttpResponse.BodyHandlers.ofString());
    }

    private void ready() throws Exception {
        for (int i = 0; i < 200 && call("GET", "/ready", "", "", "*").statusCode() != 200; i++) {
            TimeUnit.MILLISECONDS.sleep(50);
        }
    }

    private static Command.PutConfiguration lay(final long number, final long match) {
        return new Command.PutConfiguration(
                "wish-" + number + "-" + match,
                new Value.RoutingConfiguration(number, 1, 1, 1, 1),
                List.of(),
                List.of(),
                "paper " + number,
                match);
    }

    @Test
    void aCharterIsPutAndReadBackToTheByteByDoorAndCounterAlike() throws Exception {
        final Controller h = controller(List.of());
        ready();
        assertThat(call("GET", "/v1/charter", "", "operator-key", "*").statusCode(), is(404));
        final String paper = String.format(PAPER, 3);
        assertThat(call("PUT", "/v1/charter", paper, "operator-key", "0").statusCode(), is(200));
        assertThat(
                "the same again",
                call("PUT", "/v1/charter", paper, "operator-key", "0").statusCode(),
                is(200));
        final HttpResponse<String> lost = call("PUT", "/v1/charter", String.format(PAPER, 4), "operator-key", "2");
        assertThat(lost.statusCode(), is(409));
        assertThat(lost.body().contains("\"sequence\":3"), is(true));
        assertThat(
                call(
                                "PUT",
                                "/v1/charter",
                                paper.replace("\"pool\":\"p\"", "\"pool\":\"q\"")
                                        .replace(":3", ":5"),
                                "operator-key",
                                "3")
                        .statusCode(),
                is(422));
        assertThat(call("PUT", "/v1/charter", paper, "worker-key", "3").statusCode(), is(401));
        final HttpResponse<String> got = call("GET", "/v1/charter", "", "operator-key", "*");
        assertThat(got.body(), is(paper));
        assertThat(got.headers().firstValue("ETag").orElse(""), is("\"3\""));
        assertThat(
                call("GET", "/v1/rules", "", "operator-key", "*").body().contains("\"host\":\"h.example\""), is(true));
        assertThat(
                ControllerTest.<CommandResult>get(t -> h.lay(lay(9, 3), t)), instanceOf(CommandResult.Applied.class));
        final ChainClient.ReadResult page = get(h::paper);
        assertThat(page.entries().get(0).value(), is(List.of(new Value.ConfigurationDocument(9, "paper 9"))));
        assertThat(
                ControllerTest.<CommandResult>get(t -> h.zone("z", true, t)), instanceOf(CommandResult.Applied.class));
        assertThat(call("GET", "/v1/charter", "", "operator-key", "*").body(), is("paper 9"));
        h.stop();
    }

    @Test
    void aWorkersWordIsTakenAndItsLeavingIsKnown() throws Exception {
        final Controller h = controller(List.of());
        ready();
        final Worker w = new Worker("w", "10.0.0.1:1", "z", "r", 1, 1, 0, 0, 4, List.of(), false, 0);
        assertThat(ControllerTest.<Boolean>get(t -> h.gone("w", t)), is(false));
        assertThat(ControllerTest.<Boolean>get(t -> h.word(w, t)), is(true));
        assertThat(call("GET", "/status", "", "operator-key", "*").body().contains("w z running 0/4\""), is(true));
        assertThat(ControllerTest.<Boolean>get(t -> h.gone("w", t)), is(true));
        assertThat(
                call("GET", "/status", "", "operator-key", "*").body().contains("w z running 0/4 leaving\""), is(true));
        final String word =
                "{\"worker\":\"v\",\"address\":\"10.0.0.2:1\",\"zone\":\"z\",\"region\":\"r\",\"life\":1,\"sequence\":1,\"slots\":2,"
                        + "\"pool\":\"p\",\"coldMs\":50,\"restMs\":90}";
        assertThat(call("POST", "/v1/announcements", word, "operator-key", "*").statusCode(), is(401));
        assertThat(call("POST", "/v1/announcements", word, "worker-key", "*").statusCode(), is(200));
        assertThat(
                call("POST", "/v1/announcements", word.replace("restMs", "rest"), "worker-key", "*")
                        .statusCode(),
                is(422));
        assertThat(call("GET", "/status", "", "operator-key", "*").body().contains("v z running 0/2\""), is(true));
        h.stop();
    }

    @Test
    void whatCannotBeDecidedIsToldAsUnknownWithinASecond() throws Exception {
        final Controller h = controller(List.of(place(), place()));
        long least = Long.MAX_VALUE;
        for (int i = 0; i < 4; i++) {
            final long at = System.nanoTime();
            assertThat(
                    ControllerTest.<CommandResult>get(t -> h.lay(lay(1, 0), t)),
                    instanceOf(CommandResult.Unknown.class));
            least = Math.min(least, (System.nanoTime() - at) / 1_000_000);
        }
        assertThat("by a duty that has time", least, lessThan(950L));
        assertThat(ControllerTest.<ChainClient.ReadResult>get(h::paper).answered(), is(false));
        h.stop();
    }
}
