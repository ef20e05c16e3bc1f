package silverlatch.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/**
 * Guards against retry storms: retries must stay a fraction of the recent requests, also after an idle time in which a large
 * balance could otherwise be kept.
 */
final class RetryBudgetTest {
    private static final long SECOND = 1_000_000;

    private static int acquireAll(final RetryBudget budget, final long now) {
        int acquired = 0;
        while (budget.tryAcquire(now)) {
            acquired++;
        }
        return acquired;
    }

    @Test
    void allowsRetriesInProportionToRequests() {
        final RetryBudget budget = new RetryBudget(0.125, 0);
        assertThat(budget.tryAcquire(0), is(false));
        for (int i = 0; i < 24; i++) {
            budget.recordRequest(SECOND);
        }
        assertThat(acquireAll(budget, SECOND), is(3));
    }

    @Test
    void capsTheInitialBalanceAtTheLimit() {
        assertThat(acquireAll(new RetryBudget(0.125, 1), 0), is(1));
        assertThat(acquireAll(new RetryBudget(0.125, 5), 0), is(1));
    }

    @Test
    void dropsTheAccumulatedBalanceAfterTwoIdleWindows() {
        final RetryBudget budget = new RetryBudget(0.125, 0);
        for (int i = 0; i < 80; i++) {
            budget.recordRequest(SECOND);
        }
        assertThat("the balance is capped at one two windows later", acquireAll(budget, 7 * SECOND), is(1));
    }

    @Test
    void keepsTheAccumulatedBalanceInTheNextWindow() {
        final RetryBudget budget = new RetryBudget(0.125, 0);
        for (int i = 0; i < 80; i++) {
            budget.recordRequest(SECOND);
        }
        assertThat(acquireAll(budget, 3 * SECOND), is(10));
    }
}
