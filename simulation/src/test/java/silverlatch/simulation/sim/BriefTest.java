package silverlatch.simulation.sim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Collectors;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import silverlatch.safeguard.Safeguard;

/**
 * Guards docs/brief.md against getting out of date: each test that it names exists, and it names every fault, safeguard and
 * invariant.
 */
final class BriefTest {
    private static final Path ROOT = Path.of("..");

    private static Set<String> namesIn(final String text, final String regex) {
        final Set<String> found = new TreeSet<>();
        final Matcher matcher = Pattern.compile(regex).matcher(text);
        while (matcher.find()) {
            found.add(matcher.group(1));
        }
        return found;
    }

    private static Set<String> names(final Enum<?>[] all) {
        return Arrays.stream(all).map(Enum::name).collect(Collectors.toCollection(TreeSet::new));
    }

    private static List<Path> sources(final String... folders) throws IOException {
        final List<Path> list = new ArrayList<>();
        for (final String folder : folders) {
            try (Stream<Path> files = Files.walk(ROOT.resolve(folder))) {
                files.filter(p -> p.toString().endsWith(".java")).forEach(list::add);
            }
        }
        return list;
    }

    @Test
    void theBriefsPageNamesEveryFaultGuardAndMarkAndNothingElse() throws IOException {
        final String page = Files.readString(ROOT.resolve("docs/brief.md"));
        assertThat(namesIn(page, "`Fault\\.([A-Z_]+)`"), is(names(Fault.values())));
        assertThat(namesIn(page, "`Safeguard\\.([A-Z_]+)`"), is(names(Safeguard.values())));
        assertThat(namesIn(page, "`Invariant\\.([A-Z_]+)`"), is(names(Invariant.values())));
    }

    @Test
    void theBriefsPageNamesTestsThatExist() throws IOException {
        final String page = Files.readString(ROOT.resolve("docs/brief.md"));
        final Set<String> existing = new TreeSet<>();
        for (final Path source : sources("core/src/test", "server/src/test", "simulation/src/test")) {
            final String name = source.getFileName().toString().replace(".java", "");
            existing.add(name);
            namesIn(Files.readString(source), "void (\\w+)\\(").forEach(m -> existing.add(name + "." + m));
        }
        final Set<String> named = namesIn(page, "`(\\w+Test(?:\\.\\w+)?)`");
        named.removeAll(existing);
        assertThat(named, is(empty()));
    }

    @Test
    void theProgramsDisableNoSafeguard() throws IOException {
        final List<String> found = new ArrayList<>();
        for (final Path source : sources("core/src/main", "server/src/main", "platform/src/main")) {
            if (Files.readString(source).contains("new Safeguards(") && !source.endsWith("safeguard/Safeguards.java")) {
                found.add(source.toString());
            }
        }
        assertThat(found, is(empty()));
        assertThat(
                Files.readString(ROOT.resolve("core/src/main/java/silverlatch/safeguard/Safeguards.java"))
                        .split("new Safeguards\\(")
                        .length,
                is(2));
    }
}
