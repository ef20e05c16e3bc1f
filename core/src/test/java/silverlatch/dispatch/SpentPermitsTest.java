package silverlatch.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

final class SpentPermitsTest {
    private static final long RETENTION = 30_000_000;

    @Test
    void aPermitIsRememberedForThreeRetentionsAfterItsExpiry() {
        final SpentPermits permits = new SpentPermits(RETENTION);
        permits.add("a", 1_000);
        permits.forgetOld(1_000 + 3 * RETENTION, requestId -> false);
        assertThat(permits.contains("a"), is(true));
        permits.forgetOld(1_001 + 3 * RETENTION, requestId -> false);
        assertThat(permits.contains("a"), is(false));
    }

    @Test
    void thePermitOfAnOpenRequestIsNotForgottenAndHoldsNoOtherBack() {
        final SpentPermits permits = new SpentPermits(RETENTION);
        permits.add("open", 1_000);
        permits.add("ended", 2_000);
        permits.forgetOld(10 * RETENTION, "open"::equals);
        assertThat(permits.contains("open"), is(true));
        assertThat(permits.contains("ended"), is(false));
        permits.forgetOld(10 * RETENTION, requestId -> false);
        assertThat(permits.contains("open"), is(false));
    }
}
