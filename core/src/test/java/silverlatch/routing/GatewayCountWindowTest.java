package silverlatch.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import org.junit.jupiter.api.Test;

/** Guards against raising the rate of each gateway as soon as another one disappears for a moment. */
final class GatewayCountWindowTest {
    private static final long SECOND = 1_000_000;

    @Test
    void aGatewayThatDisappearedCountsUntilTheEndOfTheNextWindow() {
        final GatewayCountWindow window = new GatewayCountWindow();
        window.observe(5, 100 * SECOND);
        window.observe(2, 101 * SECOND);
        assertThat(window.max(), is(5));
        window.observe(2, 131 * SECOND);
        assertThat("the previous window still counts", window.max(), is(5));
        window.observe(2, 162 * SECOND);
        assertThat(window.max(), is(2));
        window.observe(3, 163 * SECOND);
        assertThat("an increase counts immediately", window.max(), is(3));
    }
}
