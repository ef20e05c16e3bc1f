package silverlatch.simulation.explore;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Histories that are linearizable and histories that are not, each told apart. */
final class LinearizabilityCheckerTest {
    private static Operation put(final int number, final int match, final long start) {
        return new Operation(Action.Kind.PUT, number, match, start, Optional.empty());
    }

    private static Operation taken(final int number, final int match, final long start, final long end) {
        return put(number, match, start).ended(new Operation.Outcome.Acknowledged(end));
    }

    private static Operation refused(final int number, final int match, final long start, final long end) {
        return put(number, match, start).ended(new Operation.Outcome.Refused(end, 409));
    }

    private static Operation read(final String value, final long start, final long end) {
        return new Operation(Action.Kind.READ, 0, -1, start, Optional.of(new Operation.Outcome.Value(end, value)));
    }

    private static boolean holds(final Operation... history) {
        return LinearizabilityChecker.linearizable(SequentialRegister.CONFIGURATION, Arrays.asList(history));
    }

    @Test
    void aReadSeesWhatEndedBeforeIt() {
        assertThat(holds(taken(1, 0, 1, 2), read("1/0", 3, 4)), is(true));
        assertThat(holds(taken(1, 0, 1, 2), read("", 3, 4)), is(false));
    }

    @Test
    void aReadBesideAPutMaySeeEither() {
        assertThat(holds(taken(1, 0, 1, 5), read("", 2, 3)), is(true));
        assertThat(holds(taken(1, 0, 1, 5), read("1/0", 2, 3)), is(true));
    }

    @Test
    void twoReadsDontGoBack() {
        assertThat(holds(put(1, 0, 1), read("1/0", 2, 3), read("", 4, 5)), is(false));
        assertThat(holds(put(1, 0, 1), read("", 2, 3), read("1/0", 4, 5)), is(true));
    }

    @Test
    void anUnknownEndMayOrMayNotHaveHappened() {
        assertThat(holds(put(1, 0, 1), read("", 2, 3)), is(true));
        assertThat(holds(put(1, 0, 1), read("1/0", 9, 10)), is(true));
        assertThat(holds(put(1, 0, 5), read("1/0", 2, 3)), is(false));
    }

    @Test
    void oneOfTwoOnTheSameMatchLosesAndBothMayNotWin() {
        assertThat(holds(taken(1, 0, 1, 4), refused(2, 0, 2, 3)), is(true));
        assertThat(holds(taken(1, 0, 1, 4), taken(2, 0, 2, 3)), is(false));
    }

    @Test
    void aRefusalNeedsWhatItRestsOn() {
        assertThat(holds(put(1, 0, 1), refused(2, 0, 2, 3), read("1/0", 4, 5)), is(true));
        assertThat(holds(put(1, 0, 1), refused(2, 0, 2, 3), read("", 4, 5)), is(false));
    }

    @Test
    void anOrderThatWasTakenIsTakenAgainAndNeverRefused() {
        assertThat(holds(taken(1, 0, 1, 2), taken(2, 1, 3, 4), taken(1, 0, 5, 6), read("2/1", 7, 8)), is(true));
        assertThat(holds(taken(1, 0, 1, 2), taken(2, 1, 3, 4), refused(1, 0, 5, 6)), is(false));
    }

    @Test
    void theLastOrderForAZoneStands() {
        final Operation on =
                new Operation(Action.Kind.EVACUATE, 0, -1, 1, Optional.of(new Operation.Outcome.Acknowledged(2)));
        final Operation off =
                new Operation(Action.Kind.TAKE_BACK, 0, -1, 3, Optional.of(new Operation.Outcome.Acknowledged(4)));
        final Operation seen =
                new Operation(Action.Kind.READ_ZONE, 0, -1, 5, Optional.of(new Operation.Outcome.Value(6, "true")));
        assertThat(
                LinearizabilityChecker.linearizable(SequentialRegister.ZONE, Arrays.asList(on, off, seen)), is(false));
        assertThat(LinearizabilityChecker.linearizable(SequentialRegister.ZONE, Arrays.asList(on, seen)), is(true));
    }
}
