package silverlatch.guard;

import java.util.Set;

/** Which guards stand. The programs know {@link #ALL} only; a test holds them to that. */
public record Guards(Set<Guard> down) {
    /** All guards stand. */
    public static final Guards ALL = new Guards(Set.of());

    /** Copies the set. */
    public Guards {
        down = Set.copyOf(down);
    }

    /** Whether a guard stands. */
    public boolean stands(final Guard guard) {
        return down.isEmpty() || !down.contains(guard);
    }
}
