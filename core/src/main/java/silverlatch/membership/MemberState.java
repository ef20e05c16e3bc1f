package silverlatch.membership;

import java.util.Arrays;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Collectors;

/**
 * The state of a member, within one sequence, as the other nodes see it. The constants are in the order of severity:
 * of two updates with the same incarnation and sequence the one with the more severe state supersedes the other.
 *
 * <p>The only transitions are those of {@link #after}: from up to suspect to dead, and from every state to left. None
 * leads back: a member that refutes a suspicion or restarts is up under a higher sequence or incarnation.
 */
public enum MemberState {
    /** Alive as far as is known. */
    UP("up"),
    /**
     * Its heartbeats are missing. It still counts as live until it refutes the suspicion or the death time-out
     * expires.
     */
    SUSPECT("suspect"),
    /** It didn't refute the suspicion before the death time-out expired. */
    DEAD("dead"),
    /** It shut down gracefully. */
    LEFT("left");

    private static final Map<String, MemberState> BY_WIRE_NAME =
            Arrays.stream(values()).collect(Collectors.toUnmodifiableMap(MemberState::wireName, Function.identity()));

    private final String wireName;

    MemberState(final String wireName) {
        this.wireName = wireName;
    }

    /** What causes a state transition of a member. */
    public enum Trigger {
        /** The member's watchers miss its heartbeats. */
        HEARTBEATS_MISSED,
        /** The member was suspected for the whole death time-out. */
        DEATH_TIMEOUT,
        /** The member announces that it leaves. */
        LEAVE
    }

    /** Returns the name of the state on the wire and in the API. */
    public String wireName() {
        return wireName;
    }

    /** Returns the state with a wire name, or empty if no state has that name. */
    public static Optional<MemberState> ofWireName(final String name) {
        return Optional.ofNullable(BY_WIRE_NAME.get(name));
    }

    /**
     * Returns the state after a trigger.
     *
     * @throws IllegalStateException if the trigger can't occur in this state
     */
    public MemberState after(final Trigger trigger) {
        return switch (trigger) {
            case HEARTBEATS_MISSED -> this == UP ? SUSPECT : this;
            case DEATH_TIMEOUT -> {
                if (this != SUSPECT) {
                    throw new IllegalStateException(
                            "a member in state " + wireName + " can't time out; only a suspected one can");
                }
                yield DEAD;
            }
            case LEAVE -> LEFT;
        };
    }
}
