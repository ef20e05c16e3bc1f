package silverlatch.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Guards against removing a used permit too early, which would admit its request a second time, or keeping it forever. */
final class UsedPermitsTest {
    private static final long RETENTION = 30_000_000;

    @Test
    void keepsAPermitForThreeRetentionPeriodsAfterItsExpiry() {
        final UsedPermits permits = new UsedPermits(RETENTION);
        permits.add("a", 1_000);
        permits.removeExpired(1_000 + 3 * RETENTION, requestId -> false);
        assertThat(permits.contains("a"), is(true));
        permits.removeExpired(1_001 + 3 * RETENTION, requestId -> false);
        assertThat(permits.contains("a"), is(false));
    }

    @Test
    void keepsThePermitOfAnOpenRequestWhileLaterOnesExpire() {
        final UsedPermits permits = new UsedPermits(RETENTION);
        permits.add("open", 1_000);
        permits.add("ended", 2_000);
        permits.removeExpired(10 * RETENTION, "open"::equals);
        assertThat(permits.contains("open"), is(true));
        assertThat(permits.contains("ended"), is(false));
        permits.removeExpired(10 * RETENTION, requestId -> false);
        assertThat(permits.contains("open"), is(false));
    }
}
