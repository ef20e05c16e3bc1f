package silverlatch.safeguard;

import java.util.Set;

/**
 * Which safeguards are enabled. The programs run with {@link #ALL} only, and a test holds them to that; the simulation disables
 * one at a time to see that its observer notices.
 *
 * @param disabled the safeguards that are not enforced
 */
public record Safeguards(Set<Safeguard> disabled) {
    /** All safeguards are enabled. */
    public static final Safeguards ALL = new Safeguards(Set.of());

    /** Copies the set. */
    public Safeguards {
        disabled = Set.copyOf(disabled);
    }

    /** Returns whether a safeguard is enabled. */
    public boolean isEnabled(final Safeguard safeguard) {
        return disabled.isEmpty() || !disabled.contains(safeguard);
    }
}
