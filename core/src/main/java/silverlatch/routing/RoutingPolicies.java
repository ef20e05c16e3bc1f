package silverlatch.routing;

import java.util.Arrays;
import java.util.EnumSet;
import java.util.Set;
import java.util.stream.Collectors;

/**
 * The routing policies that are enabled. All of them are, except in a trial that measures the effect of one.
 *
 * @param disabled the policies that are not enabled
 */
public record RoutingPolicies(Set<RoutingPolicy> disabled) {
    /** All policies are enabled. */
    public static final RoutingPolicies ALL = new RoutingPolicies(Set.of());

    /** The system property that lists the disabled policies, separated by commas. Only trials set it. */
    public static final String DISABLED_PROPERTY = "silverlatch.trial.disabledPolicies";

    /** Copies the set. */
    public RoutingPolicies {
        disabled = Set.copyOf(disabled);
    }

    /**
     * Parses the names of the disabled policies.
     *
     * @param policyNames the names, separated by commas; an empty list disables none
     * @throws IllegalArgumentException if a name is not that of a policy
     */
    public static RoutingPolicies withDisabled(final String policyNames) {
        return new RoutingPolicies(Arrays.stream(policyNames.split(","))
                .map(String::strip)
                .filter(name -> !name.isEmpty())
                .map(RoutingPolicy::valueOf)
                .collect(Collectors.toCollection(() -> EnumSet.noneOf(RoutingPolicy.class))));
    }

    /** Returns whether a policy is enabled. */
    public boolean isEnabled(final RoutingPolicy policy) {
        return disabled.isEmpty() || !disabled.contains(policy);
    }
}
