package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.Optional;
import org.junit.jupiter.api.Test;

/** Guards against calls to external providers by two owners of the singleton role within less than a tenure. */
final class SingletonTenureTest {
    private static final long TENURE_MICROS = 3_600_000;
    private final SingletonTenure tenure = new SingletonTenure(TENURE_MICROS);

    private boolean observe(final long token, final long now) {
        return tenure.observe(Optional.of(token), now);
    }

    @Test
    void anOwnerActsOnlyAfterAWholeTenure() {
        assertThat("tenure begins", observe(5, 1_000), is(true));
        assertThat("tenure continues", observe(5, TENURE_MICROS), is(false));
        assertThat(tenure.mayAct(5, TENURE_MICROS + 999), is(false));
        assertThat(tenure.mayAct(5, TENURE_MICROS + 1_000), is(true));
    }

    @Test
    void aSkippedViewNumberRestartsTheTenure() {
        observe(5, 0);
        assertThat(observe(7, TENURE_MICROS), is(true));
        assertThat(tenure.mayAct(7, 2 * TENURE_MICROS - 1), is(false));
        assertThat(tenure.mayAct(7, 2 * TENURE_MICROS), is(true));
    }

    @Test
    void consecutiveViewsOfOneOwnerContinueTheTenure() {
        observe(5, 0);
        assertThat(observe(6, 100), is(false));
        assertThat(observe(7, 200), is(false));
        assertThat(tenure.mayAct(7, TENURE_MICROS), is(true));
    }

    @Test
    void aLeaseRegainedUnderTheSameViewContinuesTheTenure() {
        observe(5, 0);
        tenure.observe(Optional.empty(), 1_000_000);
        assertThat(observe(5, 30_000_000), is(false));
        assertThat(tenure.mayAct(5, 30_000_000), is(true));
    }

    @Test
    void onlyTheLastObservedTokenMayAct() {
        observe(5, 0);
        observe(6, TENURE_MICROS);
        assertThat(tenure.mayAct(5, TENURE_MICROS), is(false));
        assertThat(tenure.mayAct(7, TENURE_MICROS), is(false));
        assertThat(tenure.mayAct(6, TENURE_MICROS), is(true));
    }
}
