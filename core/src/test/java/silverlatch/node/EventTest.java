package silverlatch.node;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;

/** Checks that log events match their documentation and that each of them is used. */
final class EventTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    @Test
    void eventsMatchTheirDocumentation() throws IOException {
        final Set<String> documented = new TreeSet<>();
        final Matcher rows = Pattern.compile("\\| SL(\\d+) \\| ([A-Z_]+) \\| (INFO|WARN) \\| [^|]+ \\| [^|]+ \\|")
                .matcher(Files.readString(ROOT.resolve("docs/log-events.md")));
        while (rows.find()) {
            documented.add(rows.group(1) + " " + rows.group(2) + " " + rows.group(3));
        }
        final Set<String> declared = Arrays.stream(Event.values())
                .map(e -> e.number() + " " + e + " " + (e.isWarning() ? "WARN" : "INFO"))
                .collect(Collectors.toCollection(TreeSet::new));
        assertThat(documented, is(declared));
        assertThat(
                Arrays.stream(Event.values()).map(Event::number).distinct().count(), is((long) Event.values().length));
    }

    @Test
    void everyEventIsLoggedSomewhere() throws IOException {
        final StringBuilder sources = new StringBuilder();
        for (final String module : new String[] {"core", "server"}) {
            try (Stream<Path> files = Files.walk(ROOT.resolve(module + "/src/main/java"))) {
                for (final Path file : files.filter(p -> p.toString().endsWith(".java") && !p.endsWith("Event.java"))
                        .toList()) {
                    sources.append(Files.readString(file));
                }
            }
        }
        final Set<String> unused = Arrays.stream(Event.values())
                .map(Event::name)
                .filter(n -> !sources.toString().contains("Event." + n))
                .collect(Collectors.toCollection(TreeSet::new));
        assertThat(unused, is(Set.of()));
    }
}
