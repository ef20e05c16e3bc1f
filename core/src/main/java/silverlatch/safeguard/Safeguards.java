package silverlatch.safeguard;

import java.util.Set;

/**
 * The set of enabled safeguards. Production programs run with {@link #ALL} only, which a test enforces. The simulation
 * disables one at a time to verify that its observer detects the violations that it prevents.
 *
 * @param disabled the safeguards that are not enforced
 */
public record Safeguards(Set<Safeguard> disabled) {
    /** All safeguards enabled. */
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
