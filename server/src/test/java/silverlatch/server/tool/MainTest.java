package silverlatch.server.tool;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import org.junit.jupiter.api.Test;

/** Guards against a help text that exposes the operator's key, for example as the default value of its option. */
final class MainTest {
    @Test
    void helpListsTheKeyOptionWithoutTheKeyFromTheEnvironment() {
        final ByteArrayOutputStream bytes = new ByteArrayOutputStream();
        final PrintStream out = new PrintStream(bytes, true, StandardCharsets.UTF_8);
        final int code = new Main(name -> name + "-secret").run(new String[] {"--help"}, out, out);
        assertThat(code, is(0));
        assertThat(bytes.toString(StandardCharsets.UTF_8), containsString("--key KEY"));
        assertThat(bytes.toString(StandardCharsets.UTF_8), not(containsString("secret")));
    }
}
