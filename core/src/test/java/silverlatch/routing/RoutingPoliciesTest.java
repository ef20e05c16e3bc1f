package silverlatch.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.EnumSet;
import java.util.Set;
import org.junit.jupiter.api.Test;

/** Parsing of the list of policies that a trial disables: those that it names and no others. */
final class RoutingPoliciesTest {
    @Test
    void anEmptyListDisablesNothing() {
        assertThat(RoutingPolicies.withDisabled(""), is(RoutingPolicies.ALL));
        assertThat(EnumSet.allOf(RoutingPolicy.class).stream().allMatch(RoutingPolicies.ALL::isEnabled), is(true));
    }

    @Test
    void listedPoliciesAreDisabled() {
        final RoutingPolicies policies = RoutingPolicies.withDisabled("PREFIX_OWNERS, PAUSE_PENALTY");
        assertThat(policies.disabled(), is(Set.of(RoutingPolicy.PREFIX_OWNERS, RoutingPolicy.PAUSE_PENALTY)));
        assertThat(policies.isEnabled(RoutingPolicy.PREFIX_OWNERS), is(false));
        assertThat(policies.isEnabled(RoutingPolicy.OUTLIER_EJECTION), is(true));
    }

    @Test
    void anUnknownNameIsRejected() {
        assertThrows(IllegalArgumentException.class, () -> RoutingPolicies.withDisabled("NO_SUCH_POLICY"));
    }
}
