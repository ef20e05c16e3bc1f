package silverlatch.safeguard;

import java.util.Set;

/** Which guards stand. The programs know {@link #ALL} only; a test holds them to that. */
public record Safeguards(Set<Safeguard> down) {
    /** All guards stand. */
    public static final Safeguards ALL = new Safeguards(Set.of());

    /** Copies the set. */
    public Safeguards {
        down = Set.copyOf(down);
    }

    /** Whether a guard stands. */
    public boolean stands(final Safeguard guard) {
        return down.isEmpty() || !down.contains(guard);
    }
}
