package silverlatch.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.io.InputStream;
import java.lang.reflect.RecordComponent;
import java.nio.charset.StandardCharsets;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import silverlatch.log.WriteAheadLog;

/**
 * Guards against unintended changes of the storage format: compares the layout of stored types with the layout recorded for
 * the current format version. Each line is a type number and the types of the components in the order in which they are
 * written; a numbered record type is shown as # and its number. Names aren't part of the format. Swapped components of the
 * same type are detected by the fixtures of {@link CodecCompatibilityTest} and {@link FrameCompatibilityTest}.
 */
final class LogLayoutTest {
    private final Map<Integer, Class<?>> types = new TreeMap<>();
    private final Map<Class<?>, Integer> numbers = new HashMap<>();

    LogLayoutTest() {
        Codec.logTypes().forEach((first, kind) -> {
            for (int i = 0; i < kind.size(); i++) {
                types.put(first + i, kind.get(i));
                numbers.put(kind.get(i), first + i);
            }
        });
    }

    /** A new type adds a line to the recorded layout; any other change requires a new format version. */
    @Test
    void layoutMatchesTheRecordedLayoutOfThisFormatVersion() throws IOException {
        final String layout = types.entrySet().stream()
                .map(entry -> entry.getKey() + " " + components(entry.getValue()))
                .collect(Collectors.joining("\n"));
        try (InputStream in =
                LogLayoutTest.class.getResourceAsStream("log-layout-" + WriteAheadLog.FORMAT_VERSION + ".txt")) {
            assertThat(layout, is(new String(in.readAllBytes(), StandardCharsets.UTF_8).strip()));
        }
    }

    private String components(final Class<?> type) {
        final RecordComponent[] components = type.getRecordComponents();
        final List<Integer> order = WireTypes.of(type).order();
        return order.stream()
                .map(position -> component(components[position].getType()))
                .collect(Collectors.joining(" "));
    }

    private String component(final Class<?> type) {
        return numbers.containsKey(type) ? "#" + numbers.get(type) : type.getSimpleName();
    }
}
