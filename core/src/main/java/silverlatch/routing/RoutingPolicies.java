package silverlatch.routing;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * Which routing policies are in force: all of them, but in a trial that measures what one is worth.
 *
 * @param disabled the policies that are not in force
 */
public record RoutingPolicies(Set<RoutingPolicy> disabled) {
    /** All policies are in force. */
    public static final RoutingPolicies ALL = new RoutingPolicies(Set.of());

    /** The system property that names the disabled ones, by commas; only trials set it. */
    public static final String DISABLED_PROPERTY = "silverlatch.trial.disabledPolicies";

    /** Copies the set. */
    public RoutingPolicies {
        disabled = Set.copyOf(disabled);
    }

    /**
     * The policies for a list of the disabled ones' names, by commas; an empty list disables none.
     *
     * @throws IllegalArgumentException when a name is no policy's
     */
    public static RoutingPolicies withDisabled(final String policyNames) {
        return new RoutingPolicies(Arrays.stream(policyNames.split(","))
                .map(String::strip)
                .filter(name -> !name.isEmpty())
                .map(RoutingPolicy::valueOf)
                .collect(Collectors.toCollection(() -> EnumSet.noneOf(RoutingPolicy.class))));
    }

    /** Whether a policy is in force. */
    public boolean isEnabled(final RoutingPolicy policy) {
        return disabled.isEmpty() || !disabled.contains(policy);
    }
}
