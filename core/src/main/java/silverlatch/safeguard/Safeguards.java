package silverlatch.safeguard;

import java.util.Set;

/** Which guards stand. The programs know {@link #ALL} only; a test holds them to that. */
public record Safeguards(Set<Safeguard> disabled) {
    /** All guards stand. */
    public static final Safeguards ALL = new Safeguards(Set.of());

    /** Copies the set. */
    public Safeguards {
        disabled = Set.copyOf(disabled);
    }

    /** Whether a guard stands. */
    public boolean isEnabled(final Safeguard safeguard) {
        return disabled.isEmpty() || !disabled.contains(safeguard);
    }
}
