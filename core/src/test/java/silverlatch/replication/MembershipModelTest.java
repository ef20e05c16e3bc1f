package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.startsWith;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/**
 * Guards against the loss of acknowledged writes or of the majority of voters when machines are lost and replaced one after the
 * other: seeded random schedules with never more losses at a time than the tolerance, where the next loss may follow as soon as
 * the previous one is over. {@link MembershipSchedule} lists what is checked after every step. The number of schedules is set
 * by {@code -Dsilverlatch.memberships=COUNT}, the first seed by {@code -Dsilverlatch.membership=SEED}.
 */
final class MembershipModelTest {
    @ParameterizedTest
    @CsvSource({"1,3", "1,4", "1,5", "2,5", "2,6"})
    void lossesWithinTheToleranceNeverRemoveTheLastCopyOrTheMajority(final int tolerance, final int size) {
        final long firstSeed = Long.getLong("silverlatch.membership", 1);
        final int count = Integer.getInteger("silverlatch.memberships", 2);
        long events = 0;
        long longestOutageMicros = 0;
        long gracePeriodKills = 0;
        for (long seed = firstSeed; seed < firstSeed + count; seed++) {
            final MembershipSchedule schedule = new MembershipSchedule(seed, tolerance, size, Safeguards.ALL);
            try {
                schedule.run();
            } catch (final AssertionError failure) {
                throw new AssertionError("schedule " + seed + ": " + failure.getMessage(), failure);
            }
            events += schedule.eventCount();
            longestOutageMicros = Math.max(longestOutageMicros, schedule.longestOutageMicros());
            gracePeriodKills += schedule.gracePeriodKills();
        }
        System.out.printf(
                "%d of %d: %d schedules, %d events, %d stopped by SIGKILL, longest without an acknowledgement %d ms%n",
                tolerance, size, count, events, gracePeriodKills, longestOutageMicros / 1_000);
        assertThat("injected events", events, greaterThanOrEqualTo(5L * count));
    }

    /** Checks that the schedules find a violation within a few seeds if dead voters keep their votes. */
    @Test
    void theChecksDetectThatDeadVotersKeepTheirVotes() {
        final Safeguards withoutDeadVotes = new Safeguards(Set.of(Safeguard.DEAD_VOTES));
        final AssertionError violation = assertThrows(AssertionError.class, () -> {
            for (long seed = 1; seed <= 5; seed++) {
                new MembershipSchedule(seed, 1, 3, withoutDeadVotes).run();
            }
        });
        assertThat(violation.getMessage(), startsWith("a majority survives further losses"));
    }
}
