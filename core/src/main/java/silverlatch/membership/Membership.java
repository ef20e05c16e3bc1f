package silverlatch.membership;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.statemachine.TransitionTable;
import silverlatch.wire.Message;

/** Who is in the fleet and who lives: joining by seeds, heartbeats to watchers named by the ring, suspicion as news. */
public final class Membership {
    private static final int WATCHER_COUNT = 3;
    private static final long FIRST_JOIN_INTERVAL = 200_000L;
    /** For so long after its death was noticed a member is called again: it may only have been cut off. */
    private static final long RECONNECT_WINDOW = 600_000_000L;

    private final Settings settings;
    private List<String> setSeeds;
    private final TransitionTable transitions = TransitionTable.load("member");
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, Long> lastHeartbeats = new HashMap<>();
    private final Map<String, Long> stateSince = new HashMap<>();
    private final List<Effect> effects = new ArrayList<>();
    private final List<Member> drainUpdates = new ArrayList<>();
    private Member self;
    private List<Member> ring = List.of();
    private Optional<List<Member>> watched = Optional.empty();
    private Optional<List<Member>> suspects = Optional.empty();
    private long lastHeartbeatSent;
    private long lastJoinAttempt;
    private List<Member> liveMembers = List.of();
    private boolean suspectsSelf;
    private boolean isJoining = true;
    private long version;
    private long heartbeatCount;
    private int reconnectCount;

    /**
     * Times in microseconds; every so many heartbeats one tells the whole of the daemon, the others only its life. Where
     * that is more than one, a muster is not passed on either.
     */
    public record Settings(
            long heartbeatInterval,
            long suspicionTimeout,
            long deathTimeout,
            long joinInterval,
            int fullHeartbeatEvery) {
        /** The times that hold when nothing is said. */
        public static final Settings DEFAULTS = new Settings(250_000L, 1_500_000L, 2_000_000L, 1_000_000L);
        /** Times for a large fleet. */
        public static final Settings LARGE_FLEET = new Settings(500_000L, 2_000_000L, 2_000_000L, 1_000_000L, 4);

        /** Times where each heartbeat tells the whole. */
        public Settings(
                final long heartbeatInterval,
                final long suspicionTimeout,
                final long deathTimeout,
                final long joinInterval) {
            this(heartbeatInterval, suspicionTimeout, deathTimeout, joinInterval, 1);
        }
    }

    /** A daemon that knows itself and its seeds. */
    public Membership(final Member self, final List<String> seeds, final Settings settings) {
        this.self = self;
        this.setSeeds = List.copyOf(seeds);
        this.settings = settings;
        members.put(self.id(), self);
    }

    /** This daemon as it tells of itself. */
    public Member self() {
        return self;
    }

    /** All that are known, dead ones too. */
    public List<Member> all() {
        return List.copyOf(members.values());
    }

    /** A number that changes whenever what is known of anyone does. */
    public long version() {
        return version;
    }

    /** Those thought to live, without this daemon. */
    public List<Member> liveMembers() {
        if (liveMembers.isEmpty()) {
            liveMembers = members.values().stream()
                    .filter(m -> m.isLive() && !m.id().equals(self.id()))
                    .toList();
        }
        return liveMembers;
    }

    /** A daemon by its name. */
    public Optional<Member> get(final String id) {
        return Optional.ofNullable(members.get(id));
    }

    /** Whether this daemon doubts itself, since most of those it watches are gone. */
    public boolean suspectsSelf() {
        return suspectsSelf;
    }

    /** Says whether this daemon takes tickets. */
    public void setReady(final boolean isReady) {
        if (self.ready() != isReady) {
            updateSelf(self.asUp(self.sequence() + 1, isReady));
        }
    }

    /** Takes the seeds that hold from now on, and hails them at the next clock event. */
    public void setSeeds(final List<String> newSeeds) {
        if (!setSeeds.equals(newSeeds)) {
            setSeeds = List.copyOf(newSeeds);
            rejoinSeeds();
        }
    }

    /** Starts a new incarnation, as a rejoin does. */
    public void startIncarnation(final long incarnation) {
        updateSelf(new Member(
                self.id(),
                self.role(),
                self.zone(),
                self.region(),
                self.address(),
                self.httpAddress(),
                incarnation,
                0,
                "up",
                self.ready()));
    }

    /** Hails the seeds again at the next clock event, known or not. */
    public void rejoinSeeds() {
        lastJoinAttempt = 0;
        isJoining = true;
    }

    /** Tells the others that this daemon leaves. */
    public void leave() {
        updateSelf(self.withState(transitions.transition(self.state(), "leave")));
    }

    /** Takes a message. */
    public void on(
            final Message message, final long now, final long physicalTime, final silverlatch.clock.Stamp stampFloor) {
        switch (message) {
            case Message.JoinGreeting m -> {
                onFullHeartbeat(m.sender(), now);
                effects.add(new Effect.Send(
                        m.sender().address(), new Message.MemberList(all(), m.sentAt(), physicalTime, stampFloor)));
            }
            case Message.MemberList m -> {
                isJoining = false;
                m.members().forEach(x -> learn(x, settings.fullHeartbeatEvery() == 1, now));
            }
            case Message.Heartbeat m -> onFullHeartbeat(m.sender(), now);
            case Message.LivenessHeartbeat m ->
                get(m.id())
                        .filter(x -> x.incarnation() == m.incarnation())
                        .ifPresent(x -> lastHeartbeats.put(x.id(), now));
            default -> {}
        }
    }

    /** Takes word on a daemon, from anyone, and passes it on. */
    public void learn(final Member update, final long now) {
        learn(update, true, now);
    }

    /** Takes word on a daemon from one who tells all that it knows, and doesn't pass it on. */
    public void learnWithoutForwarding(final Member update, final long now) {
        learn(update, false, now);
    }

    private void learn(final Member update, final boolean forward, final long now) {
        if (update.id().equals(self.id())) {
            if (update.incarnation() > self.incarnation()) {
                startIncarnation(update.incarnation() + 1);
            } else if (update.incarnation() == self.incarnation()
                    && update.sequence() >= self.sequence()
                    && !update.equals(self)
                    && !self.state().equals("left")) {
                updateSelf(self.asUp(update.sequence() + 1, self.ready()));
            }
            return;
        }
        final Optional<Member> old = Optional.ofNullable(members.get(update.id()));
        if (old.map(update::supersedes).orElse(true)) {
            store(update);
            stateSince.put(update.id(), now);
            if (forward) {
                drainUpdates.add(update);
            }
            if (old.map(o -> !o.state().equals(update.state())).orElse(true)) {
                logState(update);
            }
        }
    }

    /** A clock event. */
    public void tick(final long now) {
        if (now - lastJoinAttempt
                >= (isJoining ? Math.min(FIRST_JOIN_INTERVAL, settings.joinInterval()) : settings.joinInterval())) {
            lastJoinAttempt = now;
            setSeeds.stream()
                    .filter(s -> !s.equals(self.address()))
                    .filter(s -> isJoining
                            || members.values().stream()
                                    .noneMatch(m ->
                                            m.address().equals(s) && m.state().equals("up")))
                    .forEach(s -> effects.add(new Effect.Send(s, new Message.JoinGreeting(self, now))));
            nextToReconnect(now)
                    .ifPresent(m -> effects.add(new Effect.Send(m.address(), new Message.JoinGreeting(self, now))));
        }
        if (now - lastHeartbeatSent >= settings.heartbeatInterval()) {
            lastHeartbeatSent = now;
            final Message heartbeat = heartbeatCount++ % settings.fullHeartbeatEvery() == 0
                    ? new Message.Heartbeat(self)
                    : new Message.LivenessHeartbeat(self.id(), self.incarnation());
            watchers(self.id()).forEach(w -> effects.add(new Effect.Send(w.address(), heartbeat)));
        }
        detectFailures(now);
    }

    /**
     * The next member to call of those thought dead, each in its turn. Two sides of a cut bury each other; where all the
     * seeds lie on one's own side, nothing else would bring them together again.
     */
    private Optional<Member> nextToReconnect(final long now) {
        final List<Member> dead = members.values().stream()
                .filter(m -> m.state().equals("dead") && now - stateSince.getOrDefault(m.id(), now) < RECONNECT_WINDOW)
                .filter(m -> !setSeeds.contains(m.address()))
                .filter(m -> liveMembers().stream().noneMatch(l -> l.address().equals(m.address())))
                .toList();
        return dead.isEmpty() ? Optional.empty() : Optional.of(dead.get(reconnectCount++ % dead.size()));
    }

    /** Word to be passed on; it is handed over once. */
    public List<Member> drainUpdates() {
        final List<Member> list = List.copyOf(drainUpdates);
        drainUpdates.clear();
        return list;
    }

    /** What is to be done; it is handed over once. */
    public List<Effect> drain() {
        final List<Effect> list = List.copyOf(effects);
        effects.clear();
        return list;
    }

    /** Those who watch a live daemon: the next live ones on the ring. */
    public List<Member> watchers(final String id) {
        final List<Member> ring = ring();
        final int index = indexOf(ring, id);
        final List<Member> watchers = new ArrayList<>();
        for (int i = 1; i < ring.size() && watchers.size() < WATCHER_COUNT; i++) {
            watchers.add(ring.get((index + i) % ring.size()));
        }
        return watchers;
    }

    private List<Member> ring() {
        if (ring.isEmpty()) {
            ring = members.values().stream()
                    .filter(Member::isLive)
                    .sorted(Comparator.comparingLong((Member m) -> ringPosition(m.id()))
                            .thenComparing(Member::id))
                    .toList();
        }
        return ring;
    }

    private static int indexOf(final List<Member> ring, final String id) {
        for (int i = 0; i < ring.size(); i++) {
            if (ring.get(i).id().equals(id)) {
                return i;
            }
        }
        return -1;
    }

    private List<Member> watched() {
        if (watched.isEmpty()) {
            watched = Optional.of(watchedBySelf());
        }
        return watched.get();
    }

    private List<Member> suspects() {
        if (suspects.isEmpty()) {
            suspects = Optional.of(members.values().stream()
                    .filter(m -> m.state().equals("suspect"))
                    .toList());
        }
        return suspects.get();
    }

    private List<Member> watchedBySelf() {
        final List<Member> ring = ring();
        final int index = indexOf(ring, self.id());
        final List<Member> watched = new ArrayList<>();
        for (int i = 1; index >= 0 && i < ring.size() && watched.size() < WATCHER_COUNT; i++) {
            watched.add(ring.get(Math.floorMod(index - i, ring.size())));
        }
        return watched;
    }

    private void store(final Member member) {
        members.put(member.id(), member);
        ring = List.of();
        liveMembers = List.of();
        watched = Optional.empty();
        suspects = Optional.empty();
        version++;
    }

    private void detectFailures(final long now) {
        final List<Member> watched = watched();
        watched.forEach(m -> lastHeartbeats.putIfAbsent(m.id(), now));
        lastHeartbeats.keySet().retainAll(watched.stream().map(Member::id).toList());
        final List<Member> missing = watched.stream()
                .filter(m -> now - lastHeartbeats.get(m.id()) > settings.suspicionTimeout())
                .toList();
        final boolean majorityMissing = missing.size() >= 2 && missing.size() * 2 > watched.size();
        if (majorityMissing != suspectsSelf) {
            suspectsSelf = majorityMissing;
            if (suspectsSelf) {
                effects.add(new Effect.Log(
                        Event.SELF_DOUBT, missing.size() + " of " + watched.size() + " watched are silent"));
            }
        }
        if (!suspectsSelf) {
            missing.stream()
                    .filter(m -> m.state().equals("up"))
                    .forEach(m -> learn(m.withState(transitions.transition(m.state(), "miss")), now));
        }
        suspects().stream()
                .filter(m -> now - stateSince.getOrDefault(m.id(), now) > settings.deathTimeout())
                .toList()
                .forEach(m -> learn(m.withState(transitions.transition(m.state(), "bury")), now));
    }

    private void onFullHeartbeat(final Member sender, final long now) {
        lastHeartbeats.put(sender.id(), now);
        learn(sender, now);
    }

    private void updateSelf(final Member updated) {
        self = updated;
        store(self);
        drainUpdates.add(self);
    }

    private void logState(final Member member) {
        effects.add(new Effect.Log(
                switch (member.state()) {
                    case "up" -> Event.MEMBER_UP;
                    case "suspect" -> Event.MEMBER_SUSPECT;
                    case "dead" -> Event.MEMBER_DEAD;
                    default -> Event.MEMBER_LEFT;
                },
                member.id() + " life " + member.incarnation()));
    }

    private static long ringPosition(final String id) {
        long hash = 0xCBF29CE484222325L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001B3L;
        }
        return hash ^ hash >>> 29;
    }
}
