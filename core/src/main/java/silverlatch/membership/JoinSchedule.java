package silverlatch.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * Decides when a node sends join requests, and to which seeds and dead members.
 *
 * <p>A node that is joining sends join requests to all seeds at a short interval, until one of them replies with its
 * member list. From then on it sends them, at a longer interval, to the seeds whose addresses belong to no member
 * that is up.
 *
 * <p>The two sides of a partition declare each other dead. If all seeds are on a node's own side, nothing else would
 * reconnect the sides; so each time a join request also goes to one of the members that died recently, round robin.
 * Times are microseconds of the node's monotonic clock.
 */
final class JoinSchedule {
    /** The interval between join requests while joining. */
    private static final long SHORT_INTERVAL_MICROS = 200_000L;

    /** How long after its death a member still gets join requests. */
    private static final long RECONNECT_WINDOW_MICROS = 600_000_000L;

    private final String selfAddress;
    private final long interval;
    private final MemberTable members;
    private List<String> seeds;
    private long lastAttempt;
    private boolean isJoining = true;
    private boolean useShortInterval;
    private int nextReconnectIndex;

    JoinSchedule(final String selfAddress, final List<String> seeds, final long interval, final MemberTable members) {
        this.selfAddress = selfAddress;
        this.seeds = List.copyOf(seeds);
        this.interval = interval;
        this.members = members;
    }

    /** Replaces the seeds. If they have changed, the next call of {@link #joinTargets} returns all of them. */
    void setSeeds(final List<String> newSeeds) {
        if (!seeds.equals(newSeeds)) {
            seeds = List.copyOf(newSeeds);
            restart();
        }
    }

    /** Starts joining again at the next call of {@link #joinTargets}. */
    void restart() {
        lastAttempt = 0;
        isJoining = true;
    }

    /** Sets whether a node that has joined also uses the short interval of a joining node. */
    void setUseShortInterval(final boolean isShort) {
        useShortInterval = isShort;
    }

    /** Records that a member list arrived, so that the node has joined. */
    void onMemberList() {
        isJoining = false;
    }

    /** Returns the addresses to send join requests to now; empty if none are due. */
    List<String> joinTargets(final long now) {
        final long due = isJoining || useShortInterval ? Math.min(SHORT_INTERVAL_MICROS, interval) : interval;
        if (now - lastAttempt < due) {
            return List.of();
        }
        lastAttempt = now;
        final List<String> addresses = new ArrayList<>(seeds.stream()
                .filter(seed -> !seed.equals(selfAddress))
                .filter(seed -> isJoining || !isUp(seed))
                .toList());
        nextToReconnect(now).map(Member::address).ifPresent(addresses::add);
        return addresses;
    }

    private boolean isUp(final String address) {
        return members.all().stream().anyMatch(m -> m.address().equals(address) && m.is(MemberState.UP));
    }

    private Optional<Member> nextToReconnect(final long now) {
        final List<Member> dead = members.all().stream()
                .filter(m -> m.is(MemberState.DEAD) && members.sinceUpdate(m, now) < RECONNECT_WINDOW_MICROS)
                .filter(m -> !seeds.contains(m.address()))
                .filter(m -> members.liveOthers().stream()
                        .noneMatch(live -> live.address().equals(m.address())))
                .toList();
        return dead.isEmpty() ? Optional.empty() : Optional.of(dead.get(nextReconnectIndex++ % dead.size()));
    }
}
