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
 * Holds the layout of data folders to the one that is written down for their format. A line is the number of a type and
 * the types of its components in the order in which they are written, another record as # and its number. Names aren't part
 * of the format; which component stands where is held by the fixtures of {@link CodecCompatibilityTest} and {@link
 * FrameCompatibilityTest}.
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

    /** Later versions read what is written here: a new type adds a line, any other change needs a new format. */
    @Test
    void theLayoutOfRecordsIsTheOneOfThisFormat() throws IOException {
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
