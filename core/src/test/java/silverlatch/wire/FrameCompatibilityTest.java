package silverlatch.wire;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.lang.reflect.ParameterizedType;
import java.lang.reflect.RecordComponent;
import java.lang.reflect.Type;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayDeque;
import java.util.Arrays;
import java.util.Base64;
import java.util.Deque;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;

/**
 * Guards against changes of the wire format, which would break communication between nodes of two versions during a rolling
 * upgrade. Every frame type must have the same bytes as in version 0.1.0, even if types or components were renamed since. The
 * fixture was written by that version; with {@code -Dsilverlatch.frames=FILE} the current frames are written to a file.
 */
final class FrameCompatibilityTest {
    private static final String FIXTURE = "frames-0.1.0.txt";

    private final Codec codec = new Codec();

    @Test
    void decodesFramesOfTheOlderVersion() throws IOException {
        final List<Frame> read = fixture().stream()
                .map(line -> codec.decode(Base64.getDecoder().decode(line), Frame.class))
                .map(result -> result instanceof Codec.DecodeResult.Decoded<Frame> decoded ? decoded.value() : null)
                .toList();
        // Arrays in records are compared by identity, so the test compares the encoded frames.
        assertThat(
                read.stream().map(frame -> encoded(frame)).toList(),
                is(FrameSamples.frames().stream().map(frame -> encoded(frame)).toList()));
    }

    @Test
    void encodesFramesLikeTheOlderVersion() throws IOException {
        final List<String> written =
                FrameSamples.frames().stream().map(frame -> encoded(frame)).toList();
        final String file = System.getProperty("silverlatch.frames", "");
        if (!file.isEmpty()) {
            Files.write(Path.of(file), written);
        }
        assertThat(written, is(fixture()));
    }

    @Test
    void everyRecordInFramesHasAWireType() {
        final Set<Class<?>> known =
                WireTypes.ofFrames().stream().map(WireTypes.WireType::type).collect(Collectors.toSet());
        final Set<Class<?>> missing = new HashSet<>(reachable(Frame.class));
        missing.removeAll(known);
        assertThat(missing, is(empty()));
    }

    @Test
    void samplesCoverEveryMessageType() {
        final Set<Class<?>> sampled = FrameSamples.frames().stream()
                .map(frame -> frame.body().getClass())
                .collect(Collectors.toSet());
        final Set<Class<?>> missing = new HashSet<>(records(Message.class));
        missing.removeAll(sampled);
        assertThat(missing, is(empty()));
    }

    @Test
    void wireTypesHaveUniqueNumbersAndWriteEachComponentOnce() {
        final List<WireTypes.WireType> types = WireTypes.ofFrames();
        assertThat(types.stream().map(WireTypes.WireType::number).distinct().count(), is((long) types.size()));
        for (final WireTypes.WireType type : types) {
            final int components = type.type().getRecordComponents().length;
            assertThat(
                    type.type().getName(),
                    type.order().stream().sorted().toList(),
                    is(IntStream.range(0, components).boxed().toList()));
        }
    }

    private String encoded(final Frame frame) {
        return Base64.getEncoder().encodeToString(codec.encode(frame));
    }

    private static List<String> fixture() throws IOException {
        try (var in = FrameCompatibilityTest.class.getResourceAsStream(FIXTURE)) {
            return new String(in.readAllBytes(), StandardCharsets.US_ASCII)
                    .lines()
                    .toList();
        }
    }

    /** Returns the record types permitted by a sealed type, directly or indirectly. */
    private static Set<Class<?>> records(final Class<?> type) {
        if (type.isRecord()) {
            return Set.of(type);
        }
        return Arrays.stream(type.getPermittedSubclasses())
                .flatMap(permitted -> records(permitted).stream())
                .collect(Collectors.toSet());
    }

    /** Returns all of the project's record types that a value of the type can contain, including the type itself. */
    private static Set<Class<?>> reachable(final Class<?> start) {
        final Set<Class<?>> found = new HashSet<>();
        final Deque<Class<?>> pending = new ArrayDeque<>(List.of(start));
        while (!pending.isEmpty()) {
            final Class<?> type = pending.poll();
            if (!type.getName().startsWith("silverlatch") || !found.add(type)) {
                continue;
            }
            if (type.isSealed()) {
                pending.addAll(Arrays.asList(type.getPermittedSubclasses()));
            } else {
                for (final RecordComponent component : type.getRecordComponents()) {
                    pending.addAll(classes(component.getGenericType()));
                }
            }
        }
        return found.stream().filter(Class::isRecord).collect(Collectors.toSet());
    }

    private static List<Class<?>> classes(final Type type) {
        if (type instanceof ParameterizedType generic) {
            return Arrays.stream(generic.getActualTypeArguments())
                    .flatMap(argument -> classes(argument).stream())
                    .collect(Collectors.toList());
        }
        return type instanceof Class<?> plain ? List.of(plain) : List.of();
    }
}
