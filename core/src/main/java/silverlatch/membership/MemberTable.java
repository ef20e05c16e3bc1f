package silverlatch.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import silverlatch.util.Fnv1a;

/**
 * The members that a node knows, including itself, by id and on a ring.
 *
 * <p>The ring contains all live members in the order of a hash of their ids; all nodes that know the same live
 * members compute the same ring. Each member is watched by the next ones on the ring. Lists derived from the table
 * are cached until it changes.
 */
final class MemberTable {
    /** How many members watch each member. */
    private static final int WATCHER_COUNT = 3;

    private static final int HASH_FOLD_SHIFT = 29;

    private final String selfId;
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, Long> updatedAt = new HashMap<>();
    private long version;
    private Optional<List<Member>> ring = Optional.empty();
    private Optional<List<Member>> liveOthers = Optional.empty();
    private Optional<List<Member>> watched = Optional.empty();
    private Optional<List<Member>> suspects = Optional.empty();

    MemberTable(final Member self) {
        this.selfId = self.id();
        members.put(selfId, self);
    }

    /** Returns a number that changes whenever any member's entry does. */
    long version() {
        return version;
    }

    /** Returns all members, ordered by id. */
    List<Member> all() {
        return List.copyOf(members.values());
    }

    Optional<Member> find(final String id) {
        return Optional.ofNullable(members.get(id));
    }

    /** Stores a change of this node's own entry. */
    void putSelf(final Member self) {
        put(self);
    }

    /** Stores an update on another member. */
    void putOther(final Member member, final long now) {
        put(member);
        updatedAt.put(member.id(), now);
    }

    /** Returns the microseconds since the last update on a member; 0 if there was none. */
    long sinceUpdate(final Member member, final long now) {
        return now - updatedAt.getOrDefault(member.id(), now);
    }

    /** Returns the members considered alive, except this node. */
    List<Member> liveOthers() {
        if (liveOthers.isEmpty()) {
            liveOthers = Optional.of(members.values().stream()
                    .filter(m -> m.isLive() && !m.id().equals(selfId))
                    .toList());
        }
        return liveOthers.get();
    }

    /** Returns the suspected members. */
    List<Member> suspects() {
        if (suspects.isEmpty()) {
            suspects = Optional.of(members.values().stream()
                    .filter(m -> m.is(MemberState.SUSPECT))
                    .toList());
        }
        return suspects.get();
    }

    /** Returns the members that watch a live member: the next ones after it on the ring. */
    List<Member> watchersOf(final String id) {
        final List<Member> live = ring();
        final int index = indexOf(live, id);
        final List<Member> watchers = new ArrayList<>();
        for (int i = 1; i < live.size() && watchers.size() < WATCHER_COUNT; i++) {
            watchers.add(live.get((index + i) % live.size()));
        }
        return watchers;
    }

    /** Returns the members that this node watches; empty if this node itself isn't live. */
    List<Member> watchedBySelf() {
        if (watched.isEmpty()) {
            watched = Optional.of(precedingOnRing());
        }
        return watched.get();
    }

    private List<Member> precedingOnRing() {
        final List<Member> live = ring();
        final int index = indexOf(live, selfId);
        final List<Member> preceding = new ArrayList<>();
        for (int i = 1; index >= 0 && i < live.size() && preceding.size() < WATCHER_COUNT; i++) {
            preceding.add(live.get(Math.floorMod(index - i, live.size())));
        }
        return preceding;
    }

    private List<Member> ring() {
        if (ring.isEmpty()) {
            ring = Optional.of(members.values().stream()
                    .filter(Member::isLive)
                    .sorted(Comparator.comparingLong((Member m) -> ringPosition(m.id()))
                            .thenComparing(Member::id))
                    .toList());
        }
        return ring.get();
    }

    private void put(final Member member) {
        members.put(member.id(), member);
        ring = Optional.empty();
        liveOthers = Optional.empty();
        watched = Optional.empty();
        suspects = Optional.empty();
        version++;
    }

    private static int indexOf(final List<Member> live, final String id) {
        for (int i = 0; i < live.size(); i++) {
            if (live.get(i).id().equals(id)) {
                return i;
            }
        }
        return -1;
    }

    private static long ringPosition(final String id) {
        final long hash = Fnv1a.hash(id);
        return hash ^ hash >>> HASH_FOLD_SHIFT;
    }
}
