package silverlatch.json;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.Map;
import org.junit.jupiter.api.Test;

/** Guards against accepting invalid documents, and against faults that don't tell the sender which field is wrong. */
final class JsonDocumentTest {
    private static final int MAX_BYTES = 1_000;

    private static JsonDocument document(final String json) {
        final JsonDocument.ParseResult result = JsonDocument.parse(json.getBytes(StandardCharsets.UTF_8), MAX_BYTES);
        return ((JsonDocument.ParseResult.Valid) result).document();
    }

    private static JsonDocument.ParseResult.Invalid invalid(final byte[] bytes) {
        return (JsonDocument.ParseResult.Invalid) JsonDocument.parse(bytes, MAX_BYTES);
    }

    private static JsonDocument.ParseResult.Invalid invalid(final String json) {
        return invalid(json.getBytes(StandardCharsets.UTF_8));
    }

    @Test
    void inputThatIsNotAJsonObjectIsRejectedWithAStatus() {
        assertThat(
                invalid(new byte[MAX_BYTES + 1]),
                is(new JsonDocument.ParseResult.Invalid(413, "$: larger than 1000 bytes")));
        assertThat(
                invalid("[".repeat(13) + "]".repeat(13)),
                is(new JsonDocument.ParseResult.Invalid(422, "$: deeper than 12 levels")));
        assertThat(invalid("{\"a\":1"), is(new JsonDocument.ParseResult.Invalid(400, "$: not JSON")));
        assertThat(invalid("[]"), is(new JsonDocument.ParseResult.Invalid(400, "$: an object is needed")));
        assertThat(
                invalid(new byte[] {'{', '"', (byte) 0xff, '"', ':', '1', '}'}),
                is(new JsonDocument.ParseResult.Invalid(400, "$: not UTF-8")));
    }

    @Test
    void fieldsAreReadByType() {
        final JsonDocument document =
                document("{\"s\":\"text\",\"i\":7,\"n\":0.5,\"f\":true,\"l\":[\"a\",\"b\"],\"w\":[1,2],"
                        + "\"o\":{\"x\":1},\"os\":[{\"x\":2}],\"c\":3.0,\"null\":null}");
        assertThat(document.string("s", 4), is("text"));
        assertThat(document.integer("i", 0, 10), is(7L));
        assertThat(document.number("n", 1), is(0.5));
        assertThat(document.flag("f", false), is(true));
        assertThat(document.strings("l", 2, 1), is(List.of("a", "b")));
        assertThat(document.integers("w", 2), is(List.of(1L, 2L)));
        assertThat(document.object("o").integer("x", 0, 1), is(1L));
        assertThat(document.objects("os", 1).get(0).integer("x", 0, 2), is(2L));
        assertThat(document.scalarText("c"), is("3"));
        assertThat(document.has("null"), is(false));
        assertThat(document.finish(), is(List.of()));
    }

    @Test
    void missingFieldGivesTheFallbackOrAFault() {
        final JsonDocument document = document("{}");
        assertThat(document.string("s", 4, "x"), is("x"));
        assertThat(document.integer("i", 0, 10, 5), is(5L));
        assertThat(document.number("n", 1), is(1.0));
        assertThat(document.flag("f", true), is(true));
        assertThat(document.strings("l", 2, 1), is(List.of()));
        assertThat(document.faults(), is(List.of()));
        document.string("s", 4);
        document.integer("i", 3, 10);
        document.scalarText("c");
        document.require("r");
        document.object("o");
        assertThat(
                document.finish(),
                is(List.of(
                        "$.s: missing", "$.i: missing", "$.c: missing", "$.r: missing", "$.o: an object is needed")));
    }

    @Test
    void eachFaultHasThePathOfTheInvalidField() {
        final JsonDocument document =
                document("{\"s\":\"long text\",\"t\":1,\"i\":11,\"j\":1.5,\"n\":\"1\",\"f\":1,\"l\":[\"ok\",2],"
                        + "\"m\":[1,2,3],\"o\":{\"x\":-1},\"os\":[1,{\"y\":[]}],\"z\":1,\"k\":1}");
        assertThat(document.string("s", 4), is(""));
        document.string("t", 4);
        assertThat(document.integer("i", 3, 10), is(3L));
        document.integer("j", 3, 10);
        document.number("n", 1);
        document.flag("f", true);
        document.strings("l", 2, 2);
        assertThat(document.integers("m", 2), is(List.of()));
        document.object("o").integer("x", 0, 1);
        document.objects("os", 2).forEach(element -> element.string("y", 4));
        assertThat(
                document.finish(),
                is(List.of(
                        "$.s: longer than 4",
                        "$.t: a text is needed",
                        "$.i: not within 3 and 10",
                        "$.j: a whole number is needed",
                        "$.n: a number is needed",
                        "$.f: true or false is needed",
                        "$.l[1]: a text is needed",
                        "$.m: at most 2 entries",
                        "$.o.x: not within 0 and 1",
                        "$.os[0]: an object is needed",
                        "$.os[1].y: a text is needed",
                        "$.k: unknown key",
                        "$.z: unknown key")));
    }

    @Test
    void replacingFieldsLeavesTheOriginalUnchanged() {
        final JsonDocument document = document("{\"a\":1,\"b\":null}");
        assertThat(document.with(Map.of("a", 2.0)).integer("a", 0, 9), is(2L));
        assertThat(document.integer("a", 0, 9), is(1L));
        assertThat(document.asMap().get("b"), is(""));
    }
}
