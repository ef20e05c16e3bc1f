package silverlatch.simulation.sim;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.stream.Stream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import silverlatch.safeguard.Safeguards;
import silverlatch.simulation.fleet.Plan;

/**
 * Compares ten simulated days with the digests recorded in {@code days/digests.txt}, which guards against unintended changes of
 * behaviour. A line consists of: plan, seed, events, digest of the course, digest of the frames' bytes.
 */
final class DayDigestTest {
    private static final long RATE = 60;
    private static final long FIRST_SEED = 1;
    private static final long LAST_SEED = 5;

    private static String line(final String plan, final long seed) {
        try {
            final DayDigest digest = new DayDigest();
            final Day.Result day = Day.run(
                    Plan.read(Path.of("../examples/" + plan)),
                    Day.Scenario.withRandomFaults(seed, RATE),
                    Safeguards.ALL,
                    false,
                    digest);
            return plan + " " + seed + " " + digest.of(day);
        } catch (final IOException failure) {
            throw new IllegalStateException(failure);
        }
    }

    private static List<String> expected(final String plan) throws IOException {
        return Files.readAllLines(Path.of("src/test/resources/days/digests.txt")).stream()
                .filter(l -> l.startsWith(plan + " "))
                .toList();
    }

    @ParameterizedTest
    @ValueSource(strings = {"ferry", "telecom"})
    void daysMatchTheRecordedDigests(final String plan) throws IOException {
        final List<String> days =
                Stream.iterate(FIRST_SEED, s -> s + 1).limit(LAST_SEED - FIRST_SEED + 1).toList().parallelStream()
                        .map(s -> line(plan, s))
                        .toList();
        assertThat(String.join("\n", days), is(String.join("\n", expected(plan))));
    }

    @Test
    void aRepeatedDayHasTheSameDigest() {
        assertThat(line("ferry", 2), is(line("ferry", 2)));
    }
}
