package silverlatch.server.tool;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against replies that are printed to the wrong stream or in the wrong form, and against wrong exit codes. */
final class ReplyPrinterTest {
    private final ByteArrayOutputStream out = new ByteArrayOutputStream();
    private final ByteArrayOutputStream err = new ByteArrayOutputStream();

    private ExitCode print(final boolean verbatim, final boolean verbatimIfDone, final int status, final String text) {
        final Console console = new Console(
                new PrintStream(out, true, StandardCharsets.UTF_8),
                new PrintStream(err, true, StandardCharsets.UTF_8),
                verbatim);
        return new ReplyPrinter(console).print(new ApiClient.Result.Replied(status, text), verbatimIfDone);
    }

    private static String lines(final ByteArrayOutputStream stream) {
        return stream.toString(StandardCharsets.UTF_8).replace(System.lineSeparator(), "\n");
    }

    @Test
    void eachFieldAndEachObjectOfAListIsPrintedOnItsOwnLine() {
        final ExitCode code = print(
                false,
                false,
                200,
                "{\"sequence\":12,\"rows\":[{\"kind\":\"fare\",\"rate\":2.5,\"rank\":1}],\"none\":[],\"at\":{\"x\":3}}");
        assertThat(code, is(ExitCode.DONE));
        assertThat(lines(out), is("sequence: 12\nrows:\n  kind=fare  rate=2.5  rank=1\nnone: []\nat: x=3\n"));
        assertThat(lines(err), is(""));
    }

    @Test
    void rejectionIsPrintedAsErrorWithItsFaults() {
        assertThat(print(false, true, 409, "{\"outcome\":\"rejected\",\"faults\":[\"at 7\"]}"), is(ExitCode.REJECTED));
        assertThat(lines(out), is(""));
        assertThat(lines(err), is("silverlatch: rejected (409)\n  outcome: rejected\n  faults:\n    at 7\n"));
    }

    @Test
    void unknownOutcomeHasItsOwnExitCode() {
        assertThat(print(false, false, 504, "{\"outcome\":\"unknown\"}"), is(ExitCode.OUTCOME_UNKNOWN));
        assertThat(print(false, false, 502, "no JSON"), is(ExitCode.REJECTED));
        assertThat(lines(err), is("silverlatch: unknown (504)\n  outcome: unknown\nsilverlatch: 502 no JSON\n"));
    }

    @Test
    void verbatimRepliesArePrintedToStandardOutputWithAnyStatus() {
        assertThat(print(true, false, 409, "{ \"a\" : 1 }"), is(ExitCode.REJECTED));
        assertThat(print(false, true, 200, "{ \"b\" : 1 }"), is(ExitCode.DONE));
        assertThat(lines(out), is("{ \"a\" : 1 }\n{ \"b\" : 1 }\n"));
    }
}
