package silverlatch.server.controller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import silverlatch.json.JsonDocument;
import silverlatch.state.Command;
import silverlatch.state.Value;

/**
 * Guards against parts of a configuration that are lost or changed when they are read from JSON or written to it, faults that are reported
 * without their path, and documents that couldn't be returned byte for byte.
 */
final class ConfigurationJsonTest {
    private static JsonDocument parse(final String text) {
        return ((JsonDocument.ParseResult.Valid) JsonDocument.parse(text.getBytes(StandardCharsets.UTF_8), 1 << 20))
                .document();
    }

    @Test
    void writtenRoutesAndPoolsAreReadBackUnchanged() {
        final Value.Route route = new Value.Route(
                "orders",
                "a.example",
                "/orders/",
                true,
                true,
                false,
                true,
                9_000,
                500,
                20,
                2,
                3,
                List.of("north"),
                List.of(new Value.WeightedBackend("warm", 3), new Value.WeightedBackend("spare", 1)));
        final Value.BackendPool pool = new Value.BackendPool("warm", "/health/", 8, 1_000, 2.5, 16, 4_096, 4);
        final String text = JsonDocument.write(Map.of(
                "number",
                7,
                "rules",
                List.of(ConfigurationJson.write(route)),
                "pools",
                List.of(ConfigurationJson.write(pool)),
                "bounds",
                Map.of("head", 8_192, "body", 65_536, "slow", 5_000, "idle", 6_000)));
        final JsonDocument document = parse(text);
        final Command.PutFullConfiguration command = ConfigurationJson.read(document, text, "id", 6);
        assertThat(document.finish(), is(List.of()));
        assertThat(
                command.toCompatibleCommand(),
                is(new Command.PutConfiguration(
                        "id",
                        new Value.RoutingConfiguration(7, 8_192, 65_536, 5_000, 6_000),
                        List.of(route),
                        List.of(pool),
                        text,
                        6)));
    }

    @Test
    void tenantsPublicRoutesAndPoolScalingsAreRead() {
        final JsonDocument document =
                parse("{\"number\":1,\"rules\":[{\"name\":\"r\",\"host\":\"h\",\"path\":\"/\",\"hold\":1,"
                        + "\"lots\":[],\"open\":true}],\"tenants\":[{\"name\":\"a\",\"keys\":[\"d1\"],\"rank\":2,\"homes\":[\"north\"]},"
                        + "{\"name\":\"b\",\"keys\":[]}],\"scalings\":[{\"pool\":\"warm\",\"min\":1,\"max\":3,\"boot\":8000000}],"
                        + "\"bounds\":{\"head\":1,\"body\":1,\"slow\":1,\"idle\":1}}");
        final Command.PutFullConfiguration command = ConfigurationJson.read(document, "", "id", 0);
        assertThat(document.finish(), is(List.of()));
        assertThat(command.keysRequired(), is(true));
        assertThat(
                command.tenants(),
                is(List.of(
                        new Value.TenantAccess("a", List.of("d1"), 2, List.of("north")),
                        new Value.TenantAccess("b", List.of(), Value.TenantAccess.ROUTE_PRIORITY, List.of()))));
        assertThat(command.publicRoutes(), is(List.of(new Value.PublicRoute("h", "/"))));
        assertThat(command.scalings(), is(List.of(new Value.PoolScaling("warm", 1, 3, 8_000_000))));
    }

    @Test
    void missingInvalidAndUnknownKeysAreReportedWithTheirPath() {
        final JsonDocument document = parse(
                "{\"number\":1,\"rules\":[{\"name\":\"r\",\"host\":\"h\",\"path\":\"/\",\"hold\":\"x\",\"lots\":[{\"pool\":\"p\"}],\"colour\":1}],"
                        + "\"bounds\":{\"head\":1,\"body\":1,\"slow\":1}}");
        ConfigurationJson.read(document, "", "id", 0);
        assertThat(
                document.finish(),
                is(List.of(
                        "$.rules[0].hold: a whole number is needed",
                        "$.rules[0].lots[0].weight: missing",
                        "$.rules[0].colour: unknown key",
                        "$.bounds.idle: missing")));
    }

    @Test
    void aBodyThatIsNotUtf8HasNoText() {
        assertThat(
                ConfigurationJson.decodeText("{\"name\":\"Süd\"}".getBytes(StandardCharsets.UTF_8))
                        .isPresent(),
                is(true));
        assertThat(
                ConfigurationJson.decodeText(new byte[] {'{', (byte) 0xC3, '}'}).isPresent(), is(false));
    }
}
