package silverlatch.json;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

final class JsonSchemaTest {
    @ParameterizedTest
    @ValueSource(
            strings = {
                "{}",
                " [ ] ",
                "{\"a\":[1,-0,0.5,1e9,2E-3,10],\"b\":{\"c\":null}}\n",
                "[true,false,null,\"\\u00e9\\n\\\"\"]",
                "\"é\"",
                "-7"
            })
    void oneWholeValueIsWhole(final String text) {
        assertThat(found(text), is(JsonSchema.Found.WHOLE));
    }

    @ParameterizedTest
    @ValueSource(
            strings = {
                "",
                " ",
                "{",
                "[1,2",
                "{} x",
                "{}{}",
                "[1,]",
                "{\"a\":1,}",
                "{a:1}",
                "{\"a\" 1}",
                "{\"a\":}",
                "[1 2]",
                "01",
                "1.",
                ".5",
                "+1",
                "1e",
                "-",
                "tru",
                "nul",
                "\"a",
                "\"\\x\"",
                "\"\\u12\"",
                "\"a\nb\"",
                "]",
                "{\"a\":1]",
                "[1}",
                "NaN",
                "'a'",
                "{\"a\":1 \"b\":2}"
            })
    void anythingElseIsBroken(final String text) {
        assertThat(found(text), is(JsonSchema.Found.BROKEN));
    }

    @Test
    void levelsAreCounted() {
        assertThat(found("[[[[]]]]"), is(JsonSchema.Found.WHOLE));
        assertThat(found("[[[[[]]]]]"), is(JsonSchema.Found.DEEP));
        assertThat(found("[{\"a\":[{\"b\":[]}]}]"), is(JsonSchema.Found.DEEP));
    }

    private static JsonSchema.Found found(final String text) {
        return JsonSchema.of(text.getBytes(StandardCharsets.UTF_8), 4);
    }
}
