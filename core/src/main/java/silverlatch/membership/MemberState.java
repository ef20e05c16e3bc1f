package silverlatch.membership;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * What the other nodes think of a member within one sequence of it. The order is that of severity: of two updates with the
 * same incarnation and sequence the more severe one counts.
 *
 * <p>The legal transitions are those of {@link #after} and no others: from up to suspect to dead, and from each to left. None
 * leads back; a member that refutes a suspicion or comes back is up under a higher sequence or incarnation.
 */
public enum MemberState {
    /** It is alive as far as is known. */
    UP("up"),
    /** Its heartbeats are missing; it still counts as live until it refutes that or the death time-out is over. */
    SUSPECT("suspect"),
    /** It didn't refute the suspicion in time. */
    DEAD("dead"),
    /** It shut down of its own accord. */
    LEFT("left");

    private static final Map<String, MemberState> BY_WIRE_NAME =
            Arrays.stream(values()).collect(Collectors.toUnmodifiableMap(MemberState::wireName, Function.identity()));

    private final String wireName;

    MemberState(final String wireName) {
        this.wireName = wireName;
    }

    /** What moves a member from one state to another. */
    public enum Trigger {
        /** The member's watchers miss its heartbeats. */
        HEARTBEATS_MISSED,
        /** The member has been suspected for the death time-out. */
        DEATH_TIMEOUT,
        /** The member announces that it leaves. */
        LEAVE
    }

    /** Returns the name that stands for the state on the wire and in the API. */
    public String wireName() {
        return wireName;
    }

    /** Returns the state of a name, or nothing where the name is none of those known here. */
    public static Optional<MemberState> ofWireName(final String name) {
        return Optional.ofNullable(BY_WIRE_NAME.get(name));
    }

    /**
     * Returns the state that follows.
     *
     * @throws IllegalStateException if the trigger can't occur in this state
     */
    public MemberState after(final Trigger trigger) {
        return switch (trigger) {
            case HEARTBEATS_MISSED -> this == UP ? SUSPECT : this;
            case DEATH_TIMEOUT -> {
                if (this != SUSPECT) {
                    throw new IllegalStateException("a member that is " + wireName + " can't time out");
                }
                yield DEAD;
            }
            case LEAVE -> LEFT;
        };
    }
}
