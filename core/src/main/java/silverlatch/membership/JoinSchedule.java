package silverlatch.membership;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

/**
 * When a node greets its seeds, and which of them; and which dead members it tries to reconnect to.
 *
 * <p>A node that joins greets all seeds often until one of them answers with its member list. After that it greets, less
 * often, the seeds at which no member is up. Two sides of a partition declare each other dead; where all seeds lie on a
 * node's own side nothing else would bring the sides together again, so that one of the members that died lately is greeted
 * as well, each in its turn. Times are microseconds of the node's monotonic clock.
 */
final class JoinSchedule {
    private static final long SHORT_INTERVAL_MICROS = 200_000L;

    /** For so long after its death a member is greeted again. */
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

    /** Takes other seeds; greets them all at the next call of {@link #joinTargets} if they have changed. */
    void setSeeds(final List<String> newSeeds) {
        if (!seeds.equals(newSeeds)) {
            seeds = List.copyOf(newSeeds);
            restart();
        }
    }

    /** Joins anew at the next call of {@link #joinTargets}. */
    void restart() {
        lastAttempt = 0;
        isJoining = true;
    }

    /** Sets whether seeds at which no member is up are greeted as often as by a node that joins. */
    void setUseShortInterval(final boolean hurried) {
        useShortInterval = hurried;
    }

    /** Notes that a member list came. */
    void onMemberList() {
        isJoining = false;
    }

    /** Returns the addresses to greet now; none where no attempt is due. */
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
