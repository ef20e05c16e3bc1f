package silverlatch.simulation.explore;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Arrays;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Checks that linearizable histories are accepted and all others rejected. */
final class LinearizabilityCheckerTest {
    private static Operation put(final int number, final int match, final long start) {
        return new Operation(Action.Kind.PUT, number, match, start, Optional.empty());
    }

    private static Operation acknowledged(final int number, final int match, final long start, final long end) {
        return put(number, match, start).withOutcome(new Operation.Outcome.Acknowledged(end));
    }

    private static Operation rejected(final int number, final int match, final long start, final long end) {
        return put(number, match, start).withOutcome(new Operation.Outcome.Refused(end, 409));
    }

    private static Operation read(final String value, final long start, final long end) {
        return new Operation(Action.Kind.READ, 0, -1, start, Optional.of(new Operation.Outcome.Value(end, value)));
    }

    private static boolean isLinearizable(final Operation... history) {
        return LinearizabilityChecker.isLinearizable(SequentialRegister.CONFIGURATION, Arrays.asList(history));
    }

    @Test
    void readReturnsWritesAcknowledgedBeforeIt() {
        assertThat(isLinearizable(acknowledged(1, 0, 1, 2), read("1/0", 3, 4)), is(true));
        assertThat(isLinearizable(acknowledged(1, 0, 1, 2), read("", 3, 4)), is(false));
    }

    @Test
    void readConcurrentWithAPutMayReturnEitherValue() {
        assertThat(isLinearizable(acknowledged(1, 0, 1, 5), read("", 2, 3)), is(true));
        assertThat(isLinearizable(acknowledged(1, 0, 1, 5), read("1/0", 2, 3)), is(true));
    }

    @Test
    void laterReadReturnsNoOlderValue() {
        assertThat(isLinearizable(put(1, 0, 1), read("1/0", 2, 3), read("", 4, 5)), is(false));
        assertThat(isLinearizable(put(1, 0, 1), read("", 2, 3), read("1/0", 4, 5)), is(true));
    }

    @Test
    void putWithUnknownOutcomeMayHaveTakenEffect() {
        assertThat(isLinearizable(put(1, 0, 1), read("", 2, 3)), is(true));
        assertThat(isLinearizable(put(1, 0, 1), read("1/0", 9, 10)), is(true));
        assertThat(isLinearizable(put(1, 0, 5), read("1/0", 2, 3)), is(false));
    }

    @Test
    void onlyOneOfTwoPutsWithTheSameMatchSucceeds() {
        assertThat(isLinearizable(acknowledged(1, 0, 1, 4), rejected(2, 0, 2, 3)), is(true));
        assertThat(isLinearizable(acknowledged(1, 0, 1, 4), acknowledged(2, 0, 2, 3)), is(false));
    }

    @Test
    void rejectionRequiresTheWriteThatCausedIt() {
        assertThat(isLinearizable(put(1, 0, 1), rejected(2, 0, 2, 3), read("1/0", 4, 5)), is(true));
        assertThat(isLinearizable(put(1, 0, 1), rejected(2, 0, 2, 3), read("", 4, 5)), is(false));
    }

    @Test
    void resentPutThatSucceededIsAcknowledgedAgainAndNeverRejected() {
        assertThat(
                isLinearizable(
                        acknowledged(1, 0, 1, 2),
                        acknowledged(2, 1, 3, 4),
                        acknowledged(1, 0, 5, 6),
                        read("2/1", 7, 8)),
                is(true));
        assertThat(isLinearizable(acknowledged(1, 0, 1, 2), acknowledged(2, 1, 3, 4), rejected(1, 0, 5, 6)), is(false));
    }

    @Test
    void lastEvacuationWriteDeterminesTheZoneState() {
        final Operation on =
                new Operation(Action.Kind.EVACUATE, 0, -1, 1, Optional.of(new Operation.Outcome.Acknowledged(2)));
        final Operation off =
                new Operation(Action.Kind.TAKE_BACK, 0, -1, 3, Optional.of(new Operation.Outcome.Acknowledged(4)));
        final Operation seen =
                new Operation(Action.Kind.READ_ZONE, 0, -1, 5, Optional.of(new Operation.Outcome.Value(6, "true")));
        assertThat(
                LinearizabilityChecker.isLinearizable(SequentialRegister.ZONE, Arrays.asList(on, off, seen)),
                is(false));
        assertThat(LinearizabilityChecker.isLinearizable(SequentialRegister.ZONE, Arrays.asList(on, seen)), is(true));
    }
}
