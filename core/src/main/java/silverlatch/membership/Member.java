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
 * @param door    where it takes HTTP
 * @param life    its incarnation, a larger one for each start and each rejoin
 * @param turn    how often it spoke up against suspicion in this life
 * @param state   a state of the chart member
 * @param ready   whether it takes tickets
 */
public record Member(
        String id,
        String role,
        String zone,
        String region,
        String address,
        String door,
        long life,
        long turn,
        String state,
        boolean ready) {
    /** Whether this word on the same daemon goes before the other. */
    public boolean beats(final Member old) {
        if (life != old.life) {
            return life > old.life;
        }
        if (turn != old.turn) {
            return turn > old.turn;
        }
        return grave(state) > grave(old.state);
    }

    /** The place of this word among those of one life. */
    public long rank() {
        return turn * 4 + grave(state);
    }

    /** The same daemon in another state. */
    public Member in(final String next) {
        return new Member(id, role, zone, region, address, door, life, turn, next, ready);
    }

    /** The same daemon a turn later. */
    public Member turned(final long next, final boolean open) {
        return new Member(id, role, zone, region, address, door, life, next, "up", open);
    }

    /** Whether it is thought to live. */
    public boolean live() {
        return state.equals("up") || state.equals("suspect");
    }

    /** Whether it is a gateway. */
    public boolean gateway() {
        return role.equals("gateway");
    }

    private static int grave(final String state) {
        return Optional.of(java.util.List.of("up", "suspect", "dead", "left").indexOf(state))
                .orElse(0);
    }
}
