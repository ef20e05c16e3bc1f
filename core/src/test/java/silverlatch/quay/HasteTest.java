package silverlatch.quay;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

/** How soon a change is acknowledged when the core is in trouble, with 35 ms one way between all machines. */
final class HasteTest {
    private static final List<String> SEATS = List.of("a", "b", "c");
    private static final long HOP = 35_000;

    private static Bay found() {
        final Bay bay = new Bay(SEATS, HOP, s -> s);
        SEATS.forEach(s -> bay.start(s, true));
        bay.pass(5_000_000);
        return bay;
    }

    /** The longest time from the death to the ack, over deaths at many moments, by each remaining harbor. */
    private static long longest(final String dead) {
        long most = 0;
        for (int i = 0; i < 24; i++) {
            final Bay bay = found();
            bay.pass(i * 7_300L);
            bay.kill(dead);
            final List<Bay.Asked> all = new ArrayList<>();
            long number = 0;
            for (final String s : SEATS) {
                if (!s.equals(dead)) {
                    all.add(bay.lay(s, ++number, -1, 6_000_000));
                }
            }
            bay.pass(6_500_000);
            for (final Bay.Asked a : all) {
                assertThat(dead + " " + a.reply(), a.kept() || a.reply() instanceof silverlatch.tariff.Verdict.Rejected, is(true));
                most = Math.max(most, a.span());
            }
        }
        System.out.println("after the death of " + dead + ": " + most / 1000 + " ms");
        return most;
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void aChangeIsAcknowledgedSoonAfterAnyOfThreeDies(final String dead) {
        assertThat(longest(dead), lessThan(2_500_000L));
    }

    @Test
    void inQuietTimesAChangeTakesTheWayThroughTheChainAndBack() {
        final Bay bay = found();
        final Bay.Asked a = bay.lay("b", 1, 0, 900_000);
        bay.pass(900_000);
        System.out.println("quiet: " + a.span() / 1000 + " ms");
        assertThat(a.kept(), is(true));
    }
}
