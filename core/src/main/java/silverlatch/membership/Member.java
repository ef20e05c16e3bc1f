package silverlatch.membership;

import java.util.Optional;

/**
 * A daemon of the fleet as the others know it.
 *
 * @param id      its name
 * @param role    gateway or controller
 * @param zone    its zone
 * @param region  its region
 * @param address where it takes frames
 * @param httpAddress    where it takes HTTP
 * @param incarnation    its incarnation, a larger one for each start and each rejoin
 * @param sequence    how often it spoke up against suspicion in this life
 * @param state   a state of the chart member
 * @param ready   whether it takes tickets
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
    /** Whether this word on the same daemon goes before the other. */
    public boolean supersedes(final Member other) {
        if (incarnation != other.incarnation) {
            return incarnation > other.incarnation;
        }
        if (sequence != other.sequence) {
            return sequence > other.sequence;
        }
        return severityOf(state) > severityOf(other.state);
    }

    /** The place of this word among those of one life. */
    public long precedence() {
        return sequence * 4 + severityOf(state);
    }

    /** The same daemon in another state. */
    public Member withState(final String newState) {
        return new Member(id, role, zone, region, address, httpAddress, incarnation, sequence, newState, ready);
    }

    /** The same daemon a turn later. */
    public Member asUp(final long newSequence, final boolean isReady) {
        return new Member(id, role, zone, region, address, httpAddress, incarnation, newSequence, "up", isReady);
    }

    /** Whether it is thought to live. */
    public boolean isLive() {
        return state.equals("up") || state.equals("suspect");
    }

    /** Whether it is a gateway. */
    public boolean isGateway() {
        return role.equals("gateway");
    }

    private static int severityOf(final String state) {
        return Optional.of(java.util.List.of("up", "suspect", "dead", "left").indexOf(state))
                .orElse(0);
    }
}
