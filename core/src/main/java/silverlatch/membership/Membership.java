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
    private static final int WATCHERS = 3;
    private static final long SOON = 200_000L;
    /** For so long after its death was noticed a member is called again: it may only have been cut off. */
    private static final long RECONNECT = 600_000_000L;

    private final Times times;
    private List<String> seeds;
    private final TransitionTable chart = TransitionTable.load("member");
    private final Map<String, Member> members = new TreeMap<>();
    private final Map<String, Long> beats = new HashMap<>();
    private final Map<String, Long> since = new HashMap<>();
    private final List<Effect> out = new ArrayList<>();
    private final List<Member> news = new ArrayList<>();
    private Member me;
    private List<Member> ring = List.of();
    private Optional<List<Member>> watched = Optional.empty();
    private Optional<List<Member>> suspects = Optional.empty();
    private long beatAt;
    private long hailAt;
    private List<Member> live = List.of();
    private boolean doubt;
    private boolean fresh = true;
    private long version;
    private long count;
    private int reconnects;

    /**
     * Times in microseconds; every so many heartbeats one tells the whole of the daemon, the others only its life. Where
     * that is more than one, a muster is not passed on either.
     */
    public record Times(long beat, long miss, long bury, long hail, int whole) {
        /** The times that hold when nothing is said. */
        public static final Times PLAIN = new Times(250_000L, 1_500_000L, 2_000_000L, 1_000_000L);
        /** Times for a large fleet. */
        public static final Times QUIET = new Times(500_000L, 2_000_000L, 2_000_000L, 1_000_000L, 4);

        /** Times where each heartbeat tells the whole. */
        public Times(final long beat, final long miss, final long bury, final long hail) {
            this(beat, miss, bury, hail, 1);
        }
    }

    /** A daemon that knows itself and its seeds. */
    public Membership(final Member me, final List<String> seeds, final Times times) {
        this.me = me;
        this.seeds = List.copyOf(seeds);
        this.times = times;
        members.put(me.id(), me);
    }

    /** This daemon as it tells of itself. */
    public Member me() {
        return me;
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
    public List<Member> live() {
        if (live.isEmpty()) {
            live = members.values().stream()
                    .filter(m -> m.live() && !m.id().equals(me.id()))
                    .toList();
        }
        return live;
    }

    /** A daemon by its name. */
    public Optional<Member> get(final String id) {
        return Optional.ofNullable(members.get(id));
    }

    /** Whether this daemon doubts itself, since most of those it watches are gone. */
    public boolean doubt() {
        return doubt;
    }

    /** Says whether this daemon takes tickets. */
    public void ready(final boolean open) {
        if (me.ready() != open) {
            mine(me.turned(me.turn() + 1, open));
        }
    }

    /** Takes the seeds that hold from now on, and hails them at the next clock event. */
    public void seeds(final List<String> next) {
        if (!seeds.equals(next)) {
            seeds = List.copyOf(next);
            again();
        }
    }

    /** Starts a new incarnation, as a rejoin does. */
    public void life(final long next) {
        mine(new Member(
                me.id(), me.role(), me.zone(), me.region(), me.address(), me.door(), next, 0, "up", me.ready()));
    }

    /** Hails the seeds again at the next clock event, known or not. */
    public void again() {
        hailAt = 0;
        fresh = true;
    }

    /** Tells the others that this daemon leaves. */
    public void leave() {
        mine(me.in(chart.move(me.state(), "leave")));
    }

    /** Takes a message. */
    public void on(final Message msg, final long now, final long phys, final silverlatch.clock.Stamp floor) {
        switch (msg) {
            case Message.JoinGreeting m -> {
                hear(m.sender(), now);
                out.add(new Effect.Send(m.sender().address(), new Message.MemberList(all(), m.sentAt(), phys, floor)));
            }
            case Message.MemberList m -> {
                fresh = false;
                m.members().forEach(x -> learn(x, times.whole() == 1, now));
            }
            case Message.Heartbeat m -> hear(m.sender(), now);
            case Message.LivenessHeartbeat m ->
                get(m.id()).filter(x -> x.life() == m.incarnation()).ifPresent(x -> beats.put(x.id(), now));
            default -> {}
        }
    }

    /** Takes word on a daemon, from anyone, and passes it on. */
    public void learn(final Member word, final long now) {
        learn(word, true, now);
    }

    /** Takes word on a daemon from one who tells all that it knows, and doesn't pass it on. */
    public void hold(final Member word, final long now) {
        learn(word, false, now);
    }

    private void learn(final Member word, final boolean pass, final long now) {
        if (word.id().equals(me.id())) {
            if (word.life() > me.life()) {
                life(word.life() + 1);
            } else if (word.life() == me.life()
                    && word.turn() >= me.turn()
                    && !word.equals(me)
                    && !me.state().equals("left")) {
                mine(me.turned(word.turn() + 1, me.ready()));
            }
            return;
        }
        final Optional<Member> old = Optional.ofNullable(members.get(word.id()));
        if (old.map(word::beats).orElse(true)) {
            put(word);
            since.put(word.id(), now);
            if (pass) {
                news.add(word);
            }
            if (old.map(o -> !o.state().equals(word.state())).orElse(true)) {
                tell(word);
            }
        }
    }

    /** A clock event. */
    public void tick(final long now) {
        if (now - hailAt >= (fresh ? Math.min(SOON, times.hail()) : times.hail())) {
            hailAt = now;
            seeds.stream()
                    .filter(s -> !s.equals(me.address()))
                    .filter(s -> fresh
                            || members.values().stream()
                                    .noneMatch(m ->
                                            m.address().equals(s) && m.state().equals("up")))
                    .forEach(s -> out.add(new Effect.Send(s, new Message.JoinGreeting(me, now))));
            reconnect(now).ifPresent(m -> out.add(new Effect.Send(m.address(), new Message.JoinGreeting(me, now))));
        }
        if (now - beatAt >= times.beat()) {
            beatAt = now;
            final Message beat = count++ % times.whole() == 0
                    ? new Message.Heartbeat(me)
                    : new Message.LivenessHeartbeat(me.id(), me.life());
            watchers(me.id()).forEach(w -> out.add(new Effect.Send(w.address(), beat)));
        }
        look(now);
    }

    /**
     * The next member to call of those thought dead, each in its turn. Two sides of a cut bury each other; where all the
     * seeds lie on one's own side, nothing else would bring them together again.
     */
    private Optional<Member> reconnect(final long now) {
        final List<Member> dead = members.values().stream()
                .filter(m -> m.state().equals("dead") && now - since.getOrDefault(m.id(), now) < RECONNECT)
                .filter(m -> !seeds.contains(m.address()))
                .filter(m -> live().stream().noneMatch(l -> l.address().equals(m.address())))
                .toList();
        return dead.isEmpty() ? Optional.empty() : Optional.of(dead.get(reconnects++ % dead.size()));
    }

    /** Word to be passed on; it is handed over once. */
    public List<Member> news() {
        final List<Member> list = List.copyOf(news);
        news.clear();
        return list;
    }

    /** What is to be done; it is handed over once. */
    public List<Effect> drain() {
        final List<Effect> list = List.copyOf(out);
        out.clear();
        return list;
    }

    /** Those who watch a live daemon: the next live ones on the ring. */
    public List<Member> watchers(final String id) {
        final List<Member> ring = ring();
        final int at = spot(ring, id);
        final List<Member> list = new ArrayList<>();
        for (int i = 1; i < ring.size() && list.size() < WATCHERS; i++) {
            list.add(ring.get((at + i) % ring.size()));
        }
        return list;
    }

    private List<Member> ring() {
        if (ring.isEmpty()) {
            ring = members.values().stream()
                    .filter(Member::live)
                    .sorted(Comparator.comparingLong((Member m) -> place(m.id()))
                            .thenComparing(Member::id))
                    .toList();
        }
        return ring;
    }

    private static int spot(final List<Member> ring, final String id) {
        for (int i = 0; i < ring.size(); i++) {
            if (ring.get(i).id().equals(id)) {
                return i;
            }
        }
        return -1;
    }

    private List<Member> watched() {
        if (watched.isEmpty()) {
            watched = Optional.of(before());
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

    private List<Member> before() {
        final List<Member> ring = ring();
        final int at = spot(ring, me.id());
        final List<Member> list = new ArrayList<>();
        for (int i = 1; at >= 0 && i < ring.size() && list.size() < WATCHERS; i++) {
            list.add(ring.get(Math.floorMod(at - i, ring.size())));
        }
        return list;
    }

    private void put(final Member m) {
        members.put(m.id(), m);
        ring = List.of();
        live = List.of();
        watched = Optional.empty();
        suspects = Optional.empty();
        version++;
    }

    private void look(final long now) {
        final List<Member> watched = watched();
        watched.forEach(m -> beats.putIfAbsent(m.id(), now));
        beats.keySet().retainAll(watched.stream().map(Member::id).toList());
        final List<Member> missing = watched.stream()
                .filter(m -> now - beats.get(m.id()) > times.miss())
                .toList();
        final boolean most = missing.size() >= 2 && missing.size() * 2 > watched.size();
        if (most != doubt) {
            doubt = most;
            if (doubt) {
                out.add(new Effect.Log(
                        Event.SELF_DOUBT, missing.size() + " of " + watched.size() + " watched are silent"));
            }
        }
        if (!doubt) {
            missing.stream()
                    .filter(m -> m.state().equals("up"))
                    .forEach(m -> learn(m.in(chart.move(m.state(), "miss")), now));
        }
        suspects().stream()
                .filter(m -> now - since.getOrDefault(m.id(), now) > times.bury())
                .toList()
                .forEach(m -> learn(m.in(chart.move(m.state(), "bury")), now));
    }

    private void hear(final Member word, final long now) {
        beats.put(word.id(), now);
        learn(word, now);
    }

    private void mine(final Member next) {
        me = next;
        put(me);
        news.add(me);
    }

    private void tell(final Member m) {
        out.add(new Effect.Log(
                switch (m.state()) {
                    case "up" -> Event.MEMBER_UP;
                    case "suspect" -> Event.MEMBER_SUSPECT;
                    case "dead" -> Event.MEMBER_DEAD;
                    default -> Event.MEMBER_LEFT;
                },
                m.id() + " life " + m.life()));
    }

    private static long place(final String id) {
        long sum = 0xCBF29CE484222325L;
        for (int i = 0; i < id.length(); i++) {
            sum = (sum ^ id.charAt(i)) * 0x100000001B3L;
        }
        return sum ^ sum >>> 29;
    }
}
