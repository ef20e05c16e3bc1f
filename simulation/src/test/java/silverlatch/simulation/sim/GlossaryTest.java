package silverlatch.simulation.sim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** Guards the glossary and the architecture page against getting out of date: each type and member that they name exists. */
final class GlossaryTest {
    private static final Path ROOT = Path.of("..");
    private static final Pattern CODE =
            Pattern.compile("`(?:[a-z]+\\.)*([A-Z]\\w*[a-z]\\w*)(?:[.#](\\w+))?(?:\\(\\))?`");
    private static final Pattern DECLARATION = Pattern.compile("\\b(?:class|interface|record|enum) ([A-Z]\\w*)");
    private static final Pattern WORD = Pattern.compile("\\w+");

    /** Returns the words of each file by the types that it declares. */
    private static Map<String, Set<String>> wordsByType() throws IOException {
        final Map<String, Set<String>> wordsByType = new HashMap<>();
        for (final String module : List.of("core", "server", "platform", "simulation")) {
            try (Stream<Path> files = Files.walk(ROOT.resolve(module).resolve("src"))) {
                for (final Path file :
                        files.filter(path -> path.toString().endsWith(".java")).toList()) {
                    final String source = Files.readString(file);
                    final Set<String> words = new HashSet<>();
                    WORD.matcher(source).results().forEach(word -> words.add(word.group()));
                    DECLARATION
                            .matcher(source)
                            .results()
                            .forEach(type -> wordsByType
                                    .computeIfAbsent(type.group(1), name -> new HashSet<>())
                                    .addAll(words));
                }
            }
        }
        return wordsByType;
    }

    @ParameterizedTest
    @ValueSource(strings = {"docs/glossary.md", "docs/architecture.md"})
    void eachTypeAndMemberThatIsNamedExists(final String page) throws IOException {
        final Map<String, Set<String>> wordsByType = wordsByType();
        final Set<String> missing = new TreeSet<>();
        final Matcher named = CODE.matcher(Files.readString(ROOT.resolve(page)));
        int found = 0;
        while (named.find()) {
            found++;
            final Set<String> words = wordsByType.getOrDefault(named.group(1), Set.of());
            if (words.isEmpty() || named.group(2) != null && !words.contains(named.group(2))) {
                missing.add(named.group());
            }
        }
        assertThat(missing, is(empty()));
        assertThat(found, is(greaterThan(30)));
    }

    @Test
    void theGlossarysNamesAreRead() {
        final Matcher member = CODE.matcher("`wire.Message` and `View.number()`");
        assertThat(member.find(), is(true));
        assertThat(member.group(1), is("Message"));
        assertThat(member.find(), is(true));
        assertThat(member.group(2), is("number"));
    }
}
