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

final class ConfigurationJsonTest {
    private static JsonDocument sheet(final String text) {
        return ((JsonDocument.ParseResult.Valid) JsonDocument.parse(text.getBytes(StandardCharsets.UTF_8), 1 << 20))
                .document();
    }

    @Test
    void aCharterIsReadAndItsPartsAreWrittenTheSame() {
        final Value.Route rule = new Value.Route(
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
                List.of(ConfigurationJson.write(rule)),
                "pools",
                List.of(ConfigurationJson.write(pool)),
                "bounds",
                Map.of("head", 8_192, "body", 65_536, "slow", 5_000, "idle", 6_000)));
        final JsonDocument s = sheet(text);
        final Command.PutConfiguration lay = ConfigurationJson.read(s, text, "id", 6);
        assertThat(s.finish(), is(List.of()));
        assertThat(
                lay,
                is(new Command.PutConfiguration(
                        "id",
                        new Value.RoutingConfiguration(7, 8_192, 65_536, 5_000, 6_000),
                        List.of(rule),
                        List.of(pool),
                        text,
                        6)));
    }

    @Test
    void whatIsMissingOrNotOursIsNamedWithItsPlace() {
        final JsonDocument s = sheet(
                "{\"number\":1,\"rules\":[{\"name\":\"r\",\"host\":\"h\",\"path\":\"/\",\"hold\":\"x\",\"lots\":[{\"pool\":\"p\"}],\"colour\":1}],"
                        + "\"bounds\":{\"head\":1,\"body\":1,\"slow\":1}}");
        ConfigurationJson.read(s, "", "id", 0);
        assertThat(
                s.finish(),
                is(List.of(
                        "$.rules[0].hold: a whole number is needed",
                        "$.rules[0].lots[0].weight: missing",
                        "$.rules[0].colour: unknown key",
                        "$.bounds.idle: missing")));
    }

    @Test
    void aPaperThatCannotBeGivenBackToTheByteIsNone() {
        assertThat(
                ConfigurationJson.paper("{\"name\":\"Süd\"}".getBytes(StandardCharsets.UTF_8))
                        .isPresent(),
                is(true));
        assertThat(ConfigurationJson.paper(new byte[] {'{', (byte) 0xC3, '}'}).isPresent(), is(false));
    }
}
