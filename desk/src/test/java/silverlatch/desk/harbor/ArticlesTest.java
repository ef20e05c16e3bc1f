package silverlatch.desk.harbor;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;
import silverlatch.sheet.Sheet;
import silverlatch.tariff.Leaf;
import silverlatch.tariff.Wish;

final class ArticlesTest {
    private static Sheet sheet(final String text) {
        return ((Sheet.Parsed.Good) Sheet.parse(text.getBytes(StandardCharsets.UTF_8), 1 << 20)).sheet();
    }

    @Test
    void aCharterIsReadAndItsPartsAreWrittenTheSame() {
        final Leaf.Rule rule = new Leaf.Rule("orders", "a.example", "/orders/", true, true, false, true, 9_000, 500, 20, 2, 3,
                List.of("north"), List.of(new Leaf.Lot("warm", 3), new Leaf.Lot("spare", 1)));
        final Leaf.Pool pool = new Leaf.Pool("warm", "/health/", 8, 1_000, 2.5, 16, 4_096, 4);
        final String text = Sheet.write(Map.of("number", 7, "rules", List.of(Articles.write(rule)), "pools", List.of(Articles.write(pool)),
                "bounds", Map.of("head", 8_192, "body", 65_536, "slow", 5_000, "idle", 6_000)));
        final Sheet s = sheet(text);
        final Wish.Lay lay = Articles.read(s, text, "id", 6);
        assertThat(s.end(), is(List.of()));
        assertThat(lay, is(new Wish.Lay("id", new Leaf.Charter(7, 8_192, 65_536, 5_000, 6_000), List.of(rule), List.of(pool), text, 6)));
    }

    @Test
    void whatIsMissingOrNotOursIsNamedWithItsPlace() {
        final Sheet s = sheet("{\"number\":1,\"rules\":[{\"name\":\"r\",\"host\":\"h\",\"path\":\"/\",\"hold\":\"x\",\"lots\":[{\"pool\":\"p\"}],\"colour\":1}],"
                + "\"bounds\":{\"head\":1,\"body\":1,\"slow\":1}}");
        Articles.read(s, "", "id", 0);
        assertThat(s.end(), is(List.of("$.rules[0].hold: a whole number is needed", "$.rules[0].lots[0].weight: missing",
                "$.rules[0].colour: unknown key", "$.bounds.idle: missing")));
    }

    @Test
    void aPaperThatCannotBeGivenBackToTheByteIsNone() {
        assertThat(Articles.paper("{\"name\":\"Süd\"}".getBytes(StandardCharsets.UTF_8)).isPresent(), is(true));
        assertThat(Articles.paper(new byte[]{'{', (byte) 0xC3, '}'}).isPresent(), is(false));
    }
}
