package silverlatch.membership;

/**
 * A node of the fleet as the other nodes know it; also the membership update by which one node tells another about
 * it.
 *
 * <p>Of two updates on a member the one with the larger incarnation supersedes the other, then the one with the
 * higher sequence, then the one with the more severe state. Only the member itself increases its incarnation and its
 * sequence.
 *
 * @param id its name
 * @param role {@code gateway} or {@code controller}
 * @param zone its zone
 * @param region its region
 * @param address host and port at which it receives frames
 * @param httpAddress host and port at which it accepts HTTP requests
 * @param incarnation a number that is larger for each start and each rejoin
 * @param sequence how often it refuted a suspicion or changed its readiness in this incarnation
 * @param state the {@link MemberState#wireName} of its state; may be unknown here if sent by a later version
 * @param ready whether it accepts requests
 */
public record Member(
        String id,
        String role,
        String zone,
        String region,
        String address,
        String httpAddress,
        long incarnation,
        long sequence,
        String state,
        boolean ready) {
    private static final String GATEWAY_ROLE = "gateway";

    /** The distance between the precedences of two successive sequences; part of the wire format. */
    private static final int PRECEDENCES_PER_SEQUENCE = 4;

    /** Returns a member at the start of an incarnation: up, but not ready yet. */
    public static Member starting(
            final String id,
            final String role,
            final String zone,
            final String region,
            final String address,
            final String httpAddress,
            final long incarnation) {
        return new Member(
                id, role, zone, region, address, httpAddress, incarnation, 0, MemberState.UP.wireName(), false);
    }

    /** Returns whether this update supersedes another one on the same member. */
    public boolean supersedes(final Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (sequence != other.sequence) {
            return sequence > other.sequence;
        }
        return severity() > other.severity();
    }

    /** Returns the rank of this update among those on one incarnation. */
    public long precedence() {
        return sequence * PRECEDENCES_PER_SEQUENCE + severity();
    }

    /** Returns whether the member is in the given state. */
    public boolean is(final MemberState other) {
        return state.equals(other.wireName());
    }

    /** Returns the same member in another state. */
    public Member withState(final MemberState newState) {
        return new Member(
                id, role, zone, region, address, httpAddress, incarnation, sequence, newState.wireName(), ready);
    }

    /**
     * Returns the same member after a state transition.
     *
     * @throws IllegalStateException if the trigger can't occur in its state, or the state isn't known here
     */
    public Member after(final MemberState.Trigger trigger) {
        final MemberState current = MemberState.ofWireName(state)
                .orElseThrow(() -> new IllegalStateException("unknown member state: " + state));
        return withState(current.after(trigger));
    }

    /** Returns the member after it refutes a suspicion or changes its readiness: up, with a higher sequence. */
    public Member asUp(final long newSequence, final boolean isReady) {
        return new Member(
                id,
                role,
                zone,
                region,
                address,
                httpAddress,
                incarnation,
                newSequence,
                MemberState.UP.wireName(),
                isReady);
    }

    /** Returns the member at the start of another incarnation. */
    public Member withIncarnation(final long newIncarnation) {
        return new Member(
                id, role, zone, region, address, httpAddress, newIncarnation, 0, MemberState.UP.wireName(), ready);
    }

    /** Returns whether the member is considered alive: up or suspected. */
    public boolean isLive() {
        return is(MemberState.UP) || is(MemberState.SUSPECT);
    }

    /** Returns whether the member is a gateway; if not, it is a controller. */
    public boolean isGateway() {
        return role.equals(GATEWAY_ROLE);
    }

    /** Returns the severity of the state; an unknown state is the least severe. */
    private int severity() {
        return MemberState.ofWireName(state).map(MemberState::ordinal).orElse(-1);
    }
}
