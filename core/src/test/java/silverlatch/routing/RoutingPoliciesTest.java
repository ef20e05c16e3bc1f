package silverlatch.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** The switch of trials: it disables what it names and nothing else. */
final class RoutingPoliciesTest {
    @Test
    void nothingNamedDisablesNothing() {
        assertThat(RoutingPolicies.withDisabled(""), is(RoutingPolicies.ALL));
        assertThat(EnumSet.allOf(RoutingPolicy.class).stream().allMatch(RoutingPolicies.ALL::isEnabled), is(true));
    }

    @Test
    void whatIsNamedIsDisabled() {
        final RoutingPolicies policies = RoutingPolicies.withDisabled("PREFIX_OWNERS, PAUSE_PENALTY");
        assertThat(policies.disabled(), is(Set.of(RoutingPolicy.PREFIX_OWNERS, RoutingPolicy.PAUSE_PENALTY)));
        assertThat(policies.isEnabled(RoutingPolicy.PREFIX_OWNERS), is(false));
        assertThat(policies.isEnabled(RoutingPolicy.OUTLIER_EJECTION), is(true));
    }

    @Test
    void anUnknownNameIsRefused() {
        assertThrows(IllegalArgumentException.class, () -> RoutingPolicies.withDisabled("NO_SUCH_POLICY"));
    }
}
