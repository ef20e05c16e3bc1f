package silverlatch.util;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Guards against child processes that fail to start because their JDK doesn't know an option. */
final class ChildJvmTest {
    @Test
    void eachVersionGetsTheOptionsThatItKnows() {
        assertThat(ChildJvm.optionsFor(17), contains("--enable-preview"));
        assertThat(ChildJvm.optionsFor(21), empty());
        assertThat(ChildJvm.optionsFor(25), contains("--sun-misc-unsafe-memory-access=allow"));
    }

    @Test
    void currentJvmAcceptsItsOptions() throws IOException, InterruptedException {
        final List<String> command = new ArrayList<>();
        command.add(Path.of(System.getProperty("java.home"), "bin", "java").toString());
        command.addAll(ChildJvm.options());
        command.add("-version");
        final Process process = new ProcessBuilder(command)
                .redirectErrorStream(true)
                .redirectOutput(ProcessBuilder.Redirect.DISCARD)
                .start();
        assertThat(process.waitFor(), is(0));
    }
}
