package silverlatch.server.gateway;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasItems;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.junit.jupiter.api.Test;
import silverlatch.server.settings.Settings;

/**
 * Guards the compatibility of the operators' pages: a metric or JSON key that was renamed must also be reported under its former
 * name. Runs a gateway in this process, without a controller.
 */
final class OperatorApiTest {
    private static String freeAddress() throws IOException {
        try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getLoopbackAddress())) {
            return "127.0.0.1:" + socket.getLocalPort();
        }
    }

    private static Settings settings(final String httpAddress) throws IOException {
        final Map<String, Object> keys = Map.of(
                "name",
                "gateway-1",
                "zone",
                "z",
                "region",
                "r",
                "address",
                freeAddress(),
                "door",
                httpAddress,
                "seeds",
                List.of(freeAddress()),
                "key",
                "a key of sixteen or more",
                "operator",
                "operator-key",
                "worker",
                "worker-key",
                "grace",
                0);
        return ((Settings.ReadResult.Valid) Settings.read(Optional.empty(), keys, false)).settings();
    }

    private static String body(final HttpRequest.Builder request) throws Exception {
        return HttpClient.newHttpClient()
                .send(request.build(), HttpResponse.BodyHandlers.ofString())
                .body();
    }

    private static HttpRequest.Builder get(final String httpAddress, final String path) {
        return HttpRequest.newBuilder(URI.create("http://" + httpAddress + path));
    }

    private static Map<String, Long> metrics(final String httpAddress) throws Exception {
        final Map<String, Long> values = new TreeMap<>();
        for (final String line : body(get(httpAddress, "/metrics")).split("\n")) {
            values.put(line.substring(0, line.indexOf(' ')), Long.parseLong(line.substring(line.indexOf(' ') + 1)));
        }
        return values;
    }

    @Test
    void renamedMetricsAreAlsoReportedUnderTheirFormerNames() throws Exception {
        final String httpAddress = freeAddress();
        final Gateway gateway = Main.build(settings(httpAddress));
        gateway.start();
        final Map<String, Long> values = metrics(httpAddress);
        for (final List<String> names : List.of(
                List.of("clock_waits", "tide_waits"),
                List.of("clock_overflows", "tide_carries"),
                List.of("clock_too_far_ahead", "tide_far"),
                List.of("clock_dropped", "tide_dropped"),
                List.of("dispatch_open", "carry_open"),
                List.of("routing_open", "passage_open"),
                List.of("routing_configuration", "passage_charter"),
                List.of("event_loop_rejected", "ring_full"))) {
            assertThat(values.keySet(), hasItems("silverlatch_" + names.get(0), "silverlatch_" + names.get(1)));
            assertThat(
                    names.get(0),
                    values.get("silverlatch_" + names.get(0)),
                    is(values.get("silverlatch_" + names.get(1))));
        }
        assertThat(values.keySet(), hasItems("silverlatch_wire_bad", "silverlatch_wire_dropped"));
        gateway.stop();
    }

    @Test
    void theStatusListsTheMembersAlsoUnderTheFormerKey() throws Exception {
        final String httpAddress = freeAddress();
        final Gateway gateway = Main.build(settings(httpAddress));
        gateway.start();
        final String status = body(get(httpAddress, "/status").header("Authorization", "Bearer operator-key"));
        final Matcher members = Pattern.compile("\"members\":(\\[[^]]+])").matcher(status);
        assertThat(status, members.find(), is(true));
        assertThat(status, containsString("\"crew\":" + members.group(1)));
        assertThat(members.group(1), startsWith("[\"gateway-1 "));
        gateway.stop();
    }
}
