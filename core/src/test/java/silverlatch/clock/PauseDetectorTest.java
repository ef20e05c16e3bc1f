package silverlatch.clock;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Set;
import org.junit.jupiter.api.Test;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/** Guards against input that is taken for new although it waited during a pause of the process. */
final class PauseDetectorTest {
    private static final long MILLISECOND = 1_000L;
    private final PauseDetector pauses = new PauseDetector(Safeguards.ALL);

    @Test
    void ticksWithoutAPauseLeaveNoWait() {
        for (long now = 0; now <= 1_000 * MILLISECOND; now += 100 * MILLISECOND) {
            assertThat(pauses.observe(now), is(0L));
            assertThat(pauses.possibleWait(now), is(0L));
        }
    }

    @Test
    void whatIsReadSoonAfterAPauseMayHaveWaitedSinceItsBegin() {
        pauses.observe(0);
        assertThat(pauses.observe(4_000 * MILLISECOND), is(4_000 * MILLISECOND));
        assertThat(pauses.possibleWait(4_000 * MILLISECOND), is(4_000 * MILLISECOND));
        assertThat(pauses.possibleWait(4_999 * MILLISECOND), is(4_999 * MILLISECOND));
        assertThat(pauses.possibleWait(5_000 * MILLISECOND), is(0L));
    }

    @Test
    void afterAShortPauseWhatWaitedIsReadWithinTheSameTime() {
        pauses.observe(0);
        pauses.observe(200 * MILLISECOND);
        assertThat(pauses.possibleWait(399 * MILLISECOND), is(399 * MILLISECOND));
        assertThat(pauses.possibleWait(400 * MILLISECOND), is(0L));
    }

    @Test
    void aSecondPauseBeforeEverythingWasReadCountsFromTheFirst() {
        pauses.observe(0);
        pauses.observe(2_000 * MILLISECOND);
        pauses.observe(2_050 * MILLISECOND);
        pauses.observe(5_050 * MILLISECOND);
        assertThat(pauses.possibleWait(5_050 * MILLISECOND), is(5_050 * MILLISECOND));
        for (long now = 5_050 * MILLISECOND; now <= 6_050 * MILLISECOND; now += 50 * MILLISECOND) {
            pauses.observe(now);
        }
        pauses.observe(9_000 * MILLISECOND);
        assertThat("after everything was read", pauses.possibleWait(9_000 * MILLISECOND), is(2_950 * MILLISECOND));
    }

    @Test
    void aDisabledSafeguardCountsNoWait() {
        final PauseDetector disabled = new PauseDetector(new Safeguards(Set.of(Safeguard.PAUSE)));
        disabled.observe(0);
        disabled.observe(4_000 * MILLISECOND);
        assertThat(disabled.possibleWait(4_000 * MILLISECOND), is(0L));
    }
}
