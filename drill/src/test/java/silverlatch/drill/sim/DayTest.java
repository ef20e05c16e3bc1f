package silverlatch.drill.sim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

import java.io.IOException;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.LongStream;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.Arguments;
import org.junit.jupiter.params.provider.MethodSource;
import org.junit.jupiter.params.provider.ValueSource;
import silverlatch.drill.fleet.Plan;

/** Days of failure on the fake clock, for both deployments; a failing day names its seed. */
final class DayTest {
    private static Plan plan(final String name) throws IOException {
        return Plan.read(Path.of("../examples/" + name));
    }

    private static List<String> wrong(final Stream<Day.Came> days) {
        return days.flatMap(c -> c.wrong().stream().map(w -> "seed " + c.seed() + " " + c.story() + ": " + w)).toList();
    }

    @ParameterizedTest
    @ValueSource(strings = {"ferry", "telecom"})
    void eachFaultOfTheBriefIsBorne(final String name) throws IOException {
        final Plan plan = plan(name);
        assertThat(wrong(Arrays.stream(Fault.values()).parallel().map(f -> Day.run(plan, 11, List.of(f), 60, Guards.ALL, false))), is(List.of()));
    }

    @ParameterizedTest
    @ValueSource(strings = {"ferry", "telecom"})
    void daysOfSeveralFaultsAreBorne(final String name) throws IOException {
        final Plan plan = plan(name);
        assertThat(wrong(LongStream.range(100, 116).boxed().parallel().map(s -> Day.run(plan, s, Day.draw(s), 60, Guards.ALL, false))), is(List.of()));
    }

    @Test
    void theSameSeedGivesTheSameDay() throws IOException {
        final Plan plan = plan("ferry");
        final List<Fault> faults = List.of(Fault.PURSERS_KILLED, Fault.HARBOR_KILLED);
        final Map<String, Long> once = Day.run(plan, 5, faults, 60, Guards.ALL, false).tally();
        assertThat(Day.run(plan, 5, faults, 60, Guards.ALL, false).tally(), is(once));
    }

    private static Stream<Arguments> guards() {
        return Stream.of(Arguments.of("LEAVE", new String[] {"word", "sure"}, Fault.NEWS_CUT, 60, 4),
                Arguments.of("TABLE", new String[] {"sure"}, Fault.NEWS_CUT, 60, 4),
                Arguments.of("DRAIN", new String[] {"drain"}, Fault.ZONE_DRAINED, 60, 4),
                Arguments.of("HOMES", new String[] {"home"}, Fault.CONSUMERS_MOVE, 60, 4),
                Arguments.of("TWICE", new String[] {"claim"}, Fault.CONSUMERS_MOVE, 60, 4),
                Arguments.of("TWICE", new String[] {"spent"}, Fault.CONSUMERS_MOVE, 60, 4),
                Arguments.of("STREAM", new String[] {"stream"}, Fault.WORKER_BREAKS, 60, 12),
                Arguments.of("COLD", new String[] {"ramp"}, Fault.REGION_LOST, 600, 2),
                Arguments.of("TRIES", new String[] {"tries"}, Fault.WORKERS_DENY, 60, 4),
                Arguments.of("READ", new String[] {"lease"}, Fault.TAIL_CUT, 60, 8),
                Arguments.of("BACK", new String[] {"back"}, Fault.CONSUMERS_MOVE, 60, 4),
                Arguments.of("LOSER", new String[] {"seal"}, Fault.CONSUMERS_MOVE, 60, 4));
    }

    @ParameterizedTest
    @MethodSource("guards")
    void theObserverNoticesWhenAGuardIsDown(final String mark, final String[] off, final Fault fault, final long rate,
                                               final long seeds) throws IOException {
        final Plan plan = plan("ferry");
        final List<String> found = LongStream.range(1, 1 + seeds).boxed().parallel()
                .flatMap(s -> Day.run(plan, s, List.of(fault), rate, Guards.without(off), false).wrong().stream()).toList();
        assertThat(found, hasItem(startsWith(mark)));
    }
}
