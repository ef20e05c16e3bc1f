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

final class EventTest {
    private static final Path ROOT = Path.of("..").toAbsolutePath().normalize();

    @Test
    void codeAndCatalogueAgree() throws IOException {
        final Set<String> page = new TreeSet<>();
        final Matcher rows = Pattern.compile("\\| SL(\\d+) \\| ([A-Z_]+) \\| (INFO|WARN) \\| [^|]+ \\| [^|]+ \\|")
                .matcher(Files.readString(ROOT.resolve("docs/log-events.md")));
        while (rows.find()) {
            page.add(rows.group(1) + " " + rows.group(2) + " " + rows.group(3));
        }
        final Set<String> code = Arrays.stream(Event.values())
                .map(e -> e.number() + " " + e + " " + (e.warning() ? "WARN" : "INFO"))
                .collect(Collectors.toCollection(TreeSet::new));
        assertThat(page, is(code));
        assertThat(
                Arrays.stream(Event.values()).map(Event::number).distinct().count(), is((long) Event.values().length));
    }

    @Test
    void everyEventIsWrittenSomewhere() throws IOException {
        final StringBuilder all = new StringBuilder();
        for (final String module : new String[] {"core", "server"}) {
            try (Stream<Path> files = Files.walk(ROOT.resolve(module + "/src/main/java"))) {
                for (final Path f : files.filter(p -> p.toString().endsWith(".java") && !p.endsWith("Event.java"))
                        .toList()) {
                    all.append(Files.readString(f));
                }
            }
        }
        final Set<String> unused = Arrays.stream(Event.values())
                .map(Event::name)
                .filter(n -> !all.toString().contains("Event." + n))
                .collect(Collectors.toCollection(TreeSet::new));
        assertThat(unused, is(Set.of()));
    }
}
