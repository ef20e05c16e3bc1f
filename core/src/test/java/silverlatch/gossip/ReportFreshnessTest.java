package silverlatch.gossip;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against reports that count as confirmed too early or by fewer controllers than a majority. */
final class ReportFreshnessTest {
    private final ReportFreshness freshness = new ReportFreshness();

    @Test
    void confirmationTimeNeverMovesBack() {
        assertThat(freshness.confirmedAt(), is(Optional.empty()));
        assertThat(freshness.confirm(5), is(true));
        assertThat(freshness.confirm(5), is(false));
        assertThat(freshness.confirm(4), is(false));
        assertThat(freshness.confirmedAt(), is(Optional.of(5L)));
        freshness.reset();
        assertThat(freshness.confirmedAt(), is(Optional.empty()));
    }

    @Test
    void majorityOfControllersIncludingThisOneConfirms() {
        assertThat(freshness.majorityConfirmedAt(1, 100), is(Optional.of(100L)));
        assertThat(freshness.majorityConfirmedAt(3, 100), is(Optional.empty()));
        freshness.markSynced("a", 70);
        freshness.markSynced("a", 60);
        assertThat(freshness.majorityConfirmedAt(3, 100), is(Optional.of(70L)));
        freshness.markSynced("b", 90);
        assertThat(freshness.majorityConfirmedAt(3, 100), is(Optional.of(90L)));
        assertThat(freshness.majorityConfirmedAt(5, 100), is(Optional.of(70L)));
        freshness.reset();
        assertThat(freshness.majorityConfirmedAt(3, 100), is(Optional.empty()));
    }
}
