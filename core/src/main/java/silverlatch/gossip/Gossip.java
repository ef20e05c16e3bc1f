package silverlatch.gossip;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.random.RandomGenerator;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.replication.View;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.StateMachine;
import silverlatch.wire.Message;

/**
 * News of one daemon. Restrictions travel by push and hold at once; freshness is renewed only by pull and is aged
 * from the moment the asker sent its question.
 */
public final class Gossip {
    private static final int FEW = 3;
    private static final int MOST = 4_096;
    private static final long FORGET = 60_000_000L;
    private static final long OLD = 1_000_000L;
    private final Times times;
    private final Membership crew;
    private final Safeguards guards;
    private final RandomGenerator luck;
    private final Peers peers;
    private final StateMachine books = new StateMachine();
    private final Map<String, Heard> workers = new TreeMap<>();
    private final Map<String, Echo> echoes = new HashMap<>();
    private final List<Effect> out = new ArrayList<>();
    private Map<String, Heard> seen = Map.of();
    private final List<Worker> fresh = new ArrayList<>();
    private Optional<Long> sure = Optional.empty();
    private long page;
    private long fleet;
    private long told;
    private View view = View.NONE;
    private long askAt;
    private long rootAt;
    private final Optional<WorkerReports> words;
    private final Optional<Pulls> pulls;

    /** How often to pull from gateways and from controllers, in microseconds, and how words of workers spread. */
    public record Times(long pull, long root, Way way) {
        /** The times that hold when nothing is said. */
        public static final Times PLAIN = new Times(250_000L, 400_000L);
        /** Times for a large fleet whose workers announce to controllers. */
        public static final Times QUIET = new Times(1_000_000L, 400_000L, Way.Controllers.PLAIN);

        /** Times where words spread everywhere. */
        public Times(final long pull, final long root) {
            this(pull, root, new Way.Everywhere());
        }
    }

    /**
     * A worker's word, by this daemon's monotonic clock.
     *
     * @param worker what it said of itself
     * @param asOf   the moment up to which it is surely true
     * @param silent whether no controller has heard from it for long
     * @param at     the moment from which the spans it told run
     */
    public record Heard(Worker worker, Optional<Long> asOf, boolean silent, long at) {
        /** A worker that isn't silent; its spans run from the moment up to which its word is true. */
        public Heard(final Worker worker, final Optional<Long> asOf) {
            this(worker, asOf, false, asOf.orElse(0L));
        }

        /** How long it stays cold yet. */
        public long cold(final long now) {
            return worker.aged(now - at).cold();
        }

        /** How long it is there yet by its own word; 0 when it says nothing of its end. */
        public long rest(final long now) {
            return worker.aged(now - at).rest();
        }

        /** How old the word is; the largest number when it was never renewed here. */
        public long age(final long now) {
            return asOf.map(t -> now - t).orElse(Long.MAX_VALUE);
        }
    }

    /** News for a daemon of the crew. */
    public Gossip(final Membership crew, final RandomGenerator luck, final Times times, final Safeguards guards) {
        this.crew = crew;
        this.luck = luck;
        this.peers = new Peers(crew, luck);
        this.times = times;
        this.guards = guards;
        this.words = times.way() instanceof Way.Controllers h ? Optional.of(new WorkerReports(h)) : Optional.empty();
        this.pulls = words.map(w -> new Pulls(w, peers, crew));
    }

    /** The copy of the books held here; the caller does not change it. */
    public StateMachine books() {
        return books;
    }

    /** The view heard of. */
    public View view() {
        return view;
    }

    /** The fleet's number, or 0. */
    public long fleet() {
        return fleet;
    }

    /** The highest page heard of, held or not. */
    public long page() {
        return Math.max(page, books.policyRevision());
    }

    /** How long ago the books here were surely the newest. */
    public long age(final long now) {
        return page > books.policyRevision()
                ? Long.MAX_VALUE
                : sure.map(t -> now - t).orElse(Long.MAX_VALUE);
    }

    /** Whether the books here were surely the newest at some moment since this one. */
    public boolean confirmedSince(final long since) {
        return sure.filter(at -> at >= since).isPresent();
    }

    /** The workers heard of. */
    public Map<String, Heard> workers() {
        if (words.isPresent()) {
            return words.get().workers(peers.controller());
        }
        if (seen.size() != workers.size()) {
            seen = Map.copyOf(workers);
        }
        return seen;
    }

    /** How long ago the words on workers here were surely the newest. */
    public long sure(final long now) {
        return words.flatMap(w -> w.sure(peers.controller(), peers.controllers().size() + 1, now))
                .map(t -> Math.max(0, now - t))
                .orElse(Long.MAX_VALUE);
    }

    /** Forgets what makes this daemon sure, as a rejoin does. */
    public void doubt() {
        words.ifPresent(WorkerReports::doubt);
        pulls.ifPresent(Pulls::doubt);
        sure = Optional.empty();
        workers.replaceAll((k, h) -> new Heard(h.worker(), Optional.empty()));
        seen = Map.of();
    }

    /** What a controller knows for itself. */
    public void own(final StateMachine mine, final View now, final boolean certain, final long at) {
        if (now.number() > view.number()) {
            view = now;
            fleet = now.fleet();
        }
        if (certain) {
            if (mine.policyRevision() > books.policyRevision()) {
                books.apply(mine.policyRevision(), mine.policySince(books.policyRevision()));
                announce();
            }
            sure = Optional.of(at);
        }
    }

    /** A worker announced itself here; the echo proves how old its word can be. Gives the echo to hand back. */
    public long announced(final Worker word, final long echo, final long now) {
        if (words.isPresent()) {
            words.get().say(word, now);
            spread(now);
            return 0;
        }
        final Optional<Long> asOf = Optional.ofNullable(echoes.get(word.id()))
                .filter(e -> e.life() == word.life() && e.token() == echo)
                .map(Echo::at);
        take(word, asOf, now);
        final long token = luck.nextLong() >>> 11;
        echoes.put(word.id(), new Echo(word.life(), token, now));
        return token;
    }

    /** A digest over the words of workers that announce to controllers; it changes when one of them does. */
    public long roster() {
        return words.map(w -> w.sums().total()).orElse(0L);
    }

    /** The words to be kept over a restart. */
    public List<WorkerReport> standing(final long now) {
        return words.map(w -> w.standing(now)).orElse(List.of());
    }

    /** Takes words kept over a restart; what is known already or comes later goes before them. */
    public void recall(final List<WorkerReport> kept, final long now) {
        words.ifPresent(w -> kept.forEach(k -> w.take(k, false, now)));
    }

    /** A worker's life is over; false when it isn't known here. */
    public boolean gone(final String id, final long now) {
        final boolean known = words.map(w -> w.gone(id, now)).orElseGet(() -> {
            final Optional<Worker> last =
                    Optional.ofNullable(workers.get(id)).map(h -> h.worker().gone());
            last.filter(w -> !workers.get(id).worker().leaving()).ifPresent(w -> take(w.next(), Optional.empty(), now));
            return last.isPresent();
        });
        spread(now);
        return known;
    }

    /** Takes a message. */
    public void on(final Message msg, final String home, final long now) {
        switch (msg) {
            case Message.GossipPull m -> tell(m, home, now);
            case Message.GossipPullReply m -> told(m, home, now);
            case Message.ReportVersions m -> pulls.ifPresent(p -> out.add(new Effect.Send(home, p.bodies(m, now))));
            case Message.MissingReports m ->
                pulls.flatMap(p -> p.take(m, home, now)).ifPresent(b -> out.add(new Effect.Send(home, b)));
            case Message.GossipPush m -> {
                words.ifPresent(w -> m.reports().forEach(x -> w.take(x, true, now)));
                m.members().forEach(x -> crew.learn(x, now));
                m.workers().forEach(w -> take(w, Optional.empty(), now));
                if (m.revision() > page) {
                    page = m.revision();
                    out.add(new Effect.Send(home, ask(now)));
                }
            }
            default -> {}
        }
    }

    /** A clock event. */
    public void tick(final long now) {
        words.ifPresent(w -> w.tick(peers.controller(), peers.controllers(), now));
        spread(now);
        if (now - askAt >= times.pull() && !(words.isPresent() && peers.controller())) {
            askAt = now;
            peers.some(crew.live().stream().filter(Member::gateway).toList(), words.isPresent() ? 1 : 2)
                    .forEach(m -> out.add(new Effect.Send(m.address(), ask(now))));
        }
        if (now - rootAt >= peers.root(times)) {
            rootAt = now;
            roots(now).forEach(m -> out.add(new Effect.Send(m.address(), ask(now))));
        }
        if (workers.values().removeIf(h -> h.age(now) > FORGET && h.asOf().isPresent())) {
            seen = Map.of();
        }
        echoes.keySet().retainAll(workers.keySet());
    }

    /** What is to be done; it is handed over once. */
    public List<Effect> drain() {
        final List<Effect> list = List.copyOf(out);
        out.clear();
        return list;
    }

    private List<Member> roots(final long now) {
        final List<Member> roots = peers.roots(view, words.isPresent());
        return words.isEmpty()
                ? peers.some(roots, 2)
                : peers.controller()
                        ? peers.turn(roots, 3)
                        : peers.some(age(now) > OLD || sure(now) > OLD ? roots : peers.near(roots), 1);
    }

    private void spread(final long now) {
        final List<Member> news = crew.news();
        final List<WorkerReport> told = words.map(w -> w.fresh(now)).orElse(List.of());
        words.ifPresent(w -> out.addAll(w.drain()));
        if (!news.isEmpty() || !fresh.isEmpty() || !told.isEmpty()) {
            push(new Message.GossipPush(news, List.copyOf(fresh), told, page()));
            fresh.clear();
        }
    }

    private void push(final Message.GossipPush msg) {
        (words.isEmpty() ? peers.some(crew.live(), FEW) : peers.spread())
                .forEach(m -> out.add(new Effect.Send(m.address(), msg)));
    }

    private Message.GossipPull ask(final long now) {
        return new Message.GossipPull(
                now,
                books.policyRevision(),
                view.number(),
                words.isPresent()
                        ? List.of()
                        : workers.values().stream()
                                .map(h -> new Message.ReportVersion(
                                        h.worker().id(),
                                        h.worker().life(),
                                        h.worker().sequence()))
                                .toList(),
                words.isPresent() ? peers.ring().total() : digest(),
                words.map(w -> w.sums().total()).orElse(0L));
    }

    private long digest() {
        return crew.all().stream()
                .mapToLong(m -> (m.id().hashCode() * 31L
                                + m.life() * 17
                                + m.turn() * 7
                                + m.state().hashCode())
                        * 0x9E3779B97F4A7C15L)
                .sum();
    }

    private void tell(final Message.GossipPull m, final String home, final long now) {
        final long age = age(now);
        out.add(new Effect.Send(
                home,
                new Message.GossipPullReply(
                        m.askedAt(),
                        books.policyRevision(),
                        age == Long.MAX_VALUE ? -1 : Math.max(0, age),
                        fleet,
                        m.revision() < books.policyRevision()
                                ? books.policySince(m.revision())
                                : guards.stands(Safeguard.PAGE) ? List.of() : books.policySince(0),
                        m.view() < view.number() ? List.of(view) : List.of(),
                        pulls.<Message.PullContent>map(p -> p.brief(m, home, sure(now), now))
                                .orElseGet(() -> whole(m, now)))));
    }

    private Message.PullContent.FullContent whole(final Message.GossipPull m, final long now) {
        final Map<String, Message.ReportVersion> marks = new HashMap<>();
        m.versions().forEach(k -> marks.put(k.id(), k));
        final List<Message.ReportAge> ages = new ArrayList<>();
        final List<Worker> bodies = new ArrayList<>();
        for (final Heard h : workers.values()) {
            final Worker w = h.worker();
            final Optional<Message.ReportVersion> mark = Optional.ofNullable(marks.get(w.id()));
            final boolean newer = mark.map(
                            k -> w.life() != k.incarnation() ? w.life() > k.incarnation() : w.sequence() > k.sequence())
                    .orElse(true);
            final boolean same = mark.map(k -> w.life() == k.incarnation() && w.sequence() == k.sequence())
                    .orElse(false);
            if (newer) {
                bodies.add(w);
            }
            if (newer || same) {
                ages.add(new Message.ReportAge(
                        w.id(),
                        w.life(),
                        w.sequence(),
                        h.asOf().map(t -> Math.max(0, now - t)).orElse(-1L)));
            }
        }
        return new Message.PullContent.FullContent(
                ages, bodies, m.membershipDigest() == digest() ? List.of() : crew.all());
    }

    private void told(final Message.GossipPullReply m, final String home, final long now) {
        if (m.askedAt() > now || fleet != 0 && m.fleet() != 0 && m.fleet() != fleet) {
            return;
        }
        if (fleet == 0) {
            fleet = m.fleet();
        }
        switch (m.content()) {
            case Message.PullContent.FullContent n -> told(n, m.askedAt(), now);
            case Message.PullContent.DigestContent b ->
                pulls.flatMap(p -> p.told(b, m.askedAt(), home)).ifPresent(x -> out.add(new Effect.Send(home, x)));
        }
        m.view().stream()
                .filter(v -> v.number() > view.number() && v.fleet() == fleet)
                .forEach(v -> view = v);
        if (m.revision() > books.policyRevision()) {
            books.apply(m.revision(), m.entries());
            announce();
        } else if (m.revision() > 0 && m.revision() < books.policyRevision() && !guards.stands(Safeguard.PAGE)) {
            books.reset(m.revision(), m.entries());
            page = m.revision();
        }
        if (m.revision() == books.policyRevision() && m.age() >= 0) {
            sure = Optional.of(Math.max(sure.orElse(Long.MIN_VALUE), m.askedAt() - m.age()));
        }
    }

    private void told(final Message.PullContent.FullContent n, final long at, final long now) {
        n.members().forEach(x -> crew.learn(x, now));
        n.workers().forEach(w -> take(w, Optional.empty(), now));
        for (final Message.ReportAge a : n.ages()) {
            Optional.ofNullable(workers.get(a.id()))
                    .filter(h -> a.age() >= 0
                            && h.worker().life() == a.incarnation()
                            && h.worker().sequence() == a.sequence())
                    .ifPresent(h -> renew(h, at - a.age()));
        }
    }

    private void announce() {
        page = Math.max(page, books.policyRevision());
        if (books.policyRevision() > told) {
            told = books.policyRevision();
            push(new Message.GossipPush(List.of(), List.of(), told));
        }
    }

    private void renew(final Heard h, final long asOf) {
        if (h.asOf().map(t -> t < asOf).orElse(true)) {
            put(new Heard(h.worker(), Optional.of(asOf)));
        }
    }

    private void take(final Worker word, final Optional<Long> asOf, final long now) {
        final Optional<Heard> old = Optional.ofNullable(workers.get(word.id()));
        if (old.isEmpty() && workers.size() >= MOST) {
            return;
        }
        if (old.map(h -> word.after(h.worker())).orElse(true)) {
            final boolean same = old.map(h -> h.worker().life() == word.life()).orElse(false);
            final boolean left = old.map(h -> h.worker().leaving()).orElse(false) && same;
            put(new Heard(word, asOf.or(() -> old.filter(h -> same).flatMap(Heard::asOf))));
            if (old.isEmpty()) {
                out.add(new Effect.Log(Event.WORKER_KNOWN, word.id() + " " + word.address() + " zone " + word.zone()));
            }
            if (word.leaving() && !left) {
                out.add(new Effect.Log(Event.WORKER_LEAVING, word.id()));
                fresh.add(word);
            }
        }
        asOf.ifPresent(t -> Optional.ofNullable(workers.get(word.id()))
                .filter(h -> h.worker().life() == word.life() && h.worker().sequence() == word.sequence())
                .ifPresent(h -> renew(h, t)));
    }

    private void put(final Heard heard) {
        workers.put(heard.worker().id(), heard);
        seen = Map.of();
    }

    private record Echo(long life, long token, long at) {}
}
