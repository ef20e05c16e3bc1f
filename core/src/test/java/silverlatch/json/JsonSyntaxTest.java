package silverlatch.json;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/**
 * Guards against accepting input that is not JSON or nested too deeply, which the lenient parser behind {@link
 * JsonDocument} would accept.
 */
final class JsonSyntaxTest {
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
    void oneCompleteValueIsValid(final String text) {
        assertThat(check(text), is(JsonSyntax.Result.VALID));
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
    void anythingElseIsInvalid(final String text) {
        assertThat(check(text), is(JsonSyntax.Result.INVALID));
    }

    @Test
    void valuesNestedTooDeeplyAreDetected() {
        assertThat(check("[[[[]]]]"), is(JsonSyntax.Result.VALID));
        assertThat(check("[[[[[]]]]]"), is(JsonSyntax.Result.TOO_DEEP));
        assertThat(check("[{\"a\":[{\"b\":[]}]}]"), is(JsonSyntax.Result.TOO_DEEP));
    }

    private static JsonSyntax.Result check(final String text) {
        return JsonSyntax.check(text.getBytes(StandardCharsets.UTF_8), 4);
    }
}
