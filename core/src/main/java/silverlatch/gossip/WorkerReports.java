package silverlatch.gossip;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import silverlatch.membership.Member;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.wire.Message;

/** Words on workers that announce to controllers. What a worker repeats renews its age here; what it changes travels. */
final class WorkerReports {
    private static final int MOST = 4_096;
    private static final long SLACK = 500_000L;
    private static final long LOOK = 250_000L;
    private static final long GAP = 1_000_000L;
    private static final int STEPS = 12;
    private static final int NONE = 15;
    private static final int PACK = 16;
    private final Way.Controllers way;
    private final Map<String, Item> items = new TreeMap<>();
    private final Map<String, Long> contacts = new HashMap<>();
    private final Map<String, Long> matched = new HashMap<>();
    private final Set<String> fresh = new LinkedHashSet<>();
    private final List<Effect> logs = new ArrayList<>();
    private final Sums sums = new Sums();
    private final Sums roster = new Sums();
    private Optional<Long> sure = Optional.empty();
    private Map<String, Gossip.Heard> seen = Map.of();
    private boolean dirty;
    private long looked = Long.MIN_VALUE / 2;
    private long awake = Long.MIN_VALUE / 2;

    WorkerReports(final Way.Controllers way) {
        this.way = way;
    }

    Sums sums() {
        return sums;
    }

    /** A worker said this here; false when it came late. */
    boolean say(final Worker said, final long now) {
        final Optional<Item> old = Optional.ofNullable(items.get(said.id()));
        if (old.isEmpty() && items.size() >= MOST
                || old.filter(i -> i.late(said)).isPresent()) {
            return false;
        }
        final WorkerReport word = WorkerReport.of(said);
        if (old.filter(i -> !i.changed(said, now)).isPresent()) {
            items.put(said.id(), old.get().beat(said.sequence(), now));
            dirty = true;
            return true;
        }
        put(new Item(word, now, now, now, said.sequence()));
        tell(old, word);
        fresh.add(word.id());
        return true;
    }

    /** A worker's life is over; false when it isn't known, true also where that was known before. */
    boolean gone(final String id, final long now) {
        final Optional<Item> old = Optional.ofNullable(items.get(id));
        old.filter(i -> !i.word().gone()).ifPresent(i -> {
            final WorkerReport word = new WorkerReport(i.now(now).worker(), false, true, 0);
            put(new Item(word, now, i.heard(), i.own(), i.top()));
            tell(old, word);
            fresh.add(id);
        });
        return old.isPresent();
    }

    /** Takes a word from another daemon; one that came by push is passed on. */
    void take(final WorkerReport word, final boolean pass, final long now) {
        final Optional<Item> old = Optional.ofNullable(items.get(word.id()));
        if (old.isEmpty() && items.size() >= MOST
                || (word.silent() || word.gone()) && word.age() > way.forget()
                || !old.map(i -> word.after(i.word())).orElse(true)) {
            return;
        }
        final Optional<Item> same =
                old.filter(i -> i.word().worker().life() == word.worker().life());
        final boolean beats = word.silent()
                && same.map(i -> now - i.own() < way.silent()
                                && i.top() > word.worker().sequence())
                        .orElse(false);
        final WorkerReport kept =
                beats ? new WorkerReport(word.worker().at(same.get().top()), false, false, 0) : word;
        final long heard = word.silent() || word.gone() ? same.map(Item::heard).orElse(now) : now;
        put(new Item(
                kept,
                now,
                heard,
                same.map(Item::own).orElse(Long.MIN_VALUE / 2),
                Math.max(same.map(Item::top).orElse(0L), kept.worker().sequence())));
        tell(old, kept);
        if (pass || beats) {
            fresh.add(word.id());
        }
    }

    /** Words to be passed on; handed over once. */
    List<WorkerReport> fresh(final long now) {
        final List<WorkerReport> list = words(fresh, now);
        fresh.clear();
        return list;
    }

    /** All words that are neither silent nor gone, as of now. */
    List<WorkerReport> standing(final long now) {
        return items.values().stream()
                .filter(i -> !i.word().gone() && !i.word().silent())
                .map(i -> i.now(now))
                .toList();
    }

    /** The words on some workers, as of now. */
    List<WorkerReport> words(final Collection<String> ids, final long now) {
        return ids.stream()
                .flatMap(id -> Optional.ofNullable(items.get(id)).stream())
                .map(i -> i.now(now))
                .toList();
    }

    /** What is held in these ranges. */
    List<Message.ReportVersion> marks(final long bits) {
        return items.values().stream()
                .filter(i -> Sums.in(bits, i.word().id()))
                .map(i -> i.word().mark())
                .toList();
    }

    /** What is newer here than these marks, which are all that another holds in these ranges. */
    List<WorkerReport> newer(final long bits, final List<Message.ReportVersion> marks, final long now) {
        final Map<String, Message.ReportVersion> map = new HashMap<>();
        marks.forEach(m -> map.put(m.id(), m));
        return items.values().stream()
                .filter(i -> Sums.in(bits, i.word().id()))
                .filter(i -> Optional.ofNullable(map.get(i.word().id()))
                        .map(i.word()::after)
                        .orElse(true))
                .map(i -> i.now(now))
                .toList();
    }

    /** Which of these marks are newer than what is held here. */
    List<String> lacks(final List<Message.ReportVersion> marks) {
        return marks.stream()
                .filter(m -> Optional.ofNullable(items.get(m.id()))
                        .map(i -> i.word().mark())
                        .map(k -> m.incarnation() != k.incarnation()
                                ? m.incarnation() > k.incarnation()
                                : m.sequence() > k.sequence())
                        .orElse(true))
                .map(Message.ReportVersion::id)
                .toList();
    }

    /** What was here when another was asked was surely all that it knew, and that was the newest at a moment. */
    void sure(final long asOf) {
        if (sure.map(s -> s < asOf).orElse(true)) {
            sure = Optional.of(asOf);
            dirty = true;
        }
    }

    /** All that a controller knew at a moment is held here. */
    void match(final String home, final long at) {
        matched.merge(home, at, Math::max);
    }

    /** When the words here were surely the newest: at a controller, when most controllers knew no other. */
    Optional<Long> sure(final boolean controller, final int controllers, final long now) {
        if (!controller) {
            return sure;
        }
        final List<Long> times = new ArrayList<>(matched.values());
        times.add(now);
        times.sort((a, b) -> Long.compare(b, a));
        final int most = controllers / 2 + 1;
        return times.size() < most ? Optional.empty() : Optional.of(times.get(most - 1));
    }

    /** How long ago each worker was heard, in steps; only one that knows the same workers can read it. */
    Message.HeartbeatAges beats(final long now) {
        final List<Item> list = list();
        final long[] ages = new long[(list.size() + PACK - 1) / PACK];
        for (int i = 0; i < list.size(); i++) {
            final long step = Math.min(NONE, Math.max(0, now - list.get(i).heard()) / step());
            ages[i / PACK] |= step << i % PACK * 4;
        }
        return new Message.HeartbeatAges(roster.total(), ages);
    }

    /** Takes how long ago another controller heard each worker, dated from when it was asked. */
    void beats(final Message.HeartbeatAges b, final String home, final long at) {
        final List<Item> list = list();
        if (b.roster() != roster.total() || b.ages().length != (list.size() + PACK - 1) / PACK) {
            return;
        }
        contacts.merge(home, at, Math::max);
        for (int i = 0; i < list.size(); i++) {
            final long step = b.ages()[i / PACK] >>> i % PACK * 4 & NONE;
            final long heard = at - (step + 1) * step();
            if (step < NONE && heard > list.get(i).heard()) {
                items.put(list.get(i).word().id(), list.get(i).heard(heard));
                dirty = true;
            }
        }
    }

    /** A clock event; the controllers are all that are known, without this daemon, if it is one itself. */
    void tick(final boolean controller, final List<Member> controllers, final long now) {
        if (now - looked < LOOK) {
            return;
        }
        if (now - looked > GAP) {
            awake = now;
        }
        looked = now;
        final List<Item> old = items.values().stream()
                .filter(i -> (i.word().silent() || i.word().gone()) && i.word().age() + now - i.at() > way.forget())
                .toList();
        old.forEach(i -> drop(i.word()));
        if (controller && now - awake >= way.silent()) {
            items.values().stream()
                    .filter(i -> !i.word().silent() && !i.word().gone() && now - i.heard() > way.silent())
                    .filter(i -> contact(i.word().worker(), controllers, now))
                    .toList()
                    .forEach(i -> {
                        final WorkerReport word = new WorkerReport(i.now(now).worker(), true, false, now - i.heard());
                        put(new Item(word, now, i.heard(), i.own(), i.top()));
                        tell(Optional.of(i), word);
                        fresh.add(word.id());
                    });
        }
    }

    /** Forgets what makes the words sure. */
    void doubt() {
        sure = Optional.empty();
        contacts.clear();
        matched.clear();
        awake = Long.MIN_VALUE / 2;
        looked = Long.MIN_VALUE / 2;
        dirty = true;
    }

    /** The workers that are not gone; at a controller as of when they were heard, at a gateway as of when it was sure. */
    Map<String, Gossip.Heard> workers(final boolean controller) {
        if (dirty) {
            final Map<String, Gossip.Heard> map = new HashMap<>();
            list().forEach(i -> map.put(
                    i.word().id(),
                    new Gossip.Heard(
                            i.word().worker(),
                            controller ? Optional.of(i.heard()) : sure,
                            i.word().silent(),
                            i.at())));
            seen = Map.copyOf(map);
            dirty = false;
        }
        return seen;
    }

    /** What is to be logged; handed over once. */
    List<Effect> drain() {
        final List<Effect> list = List.copyOf(logs);
        logs.clear();
        return list;
    }

    private long step() {
        return way.silent() / STEPS;
    }

    private List<Item> list() {
        return items.values().stream().filter(i -> !i.word().gone()).toList();
    }

    /** Whether this controller knows what the controllers near a worker hear: those of its zone, else its region, else all. */
    private boolean contact(final Worker w, final List<Member> controllers, final long now) {
        final List<Member> zone =
                controllers.stream().filter(m -> m.zone().equals(w.zone())).toList();
        final List<Member> near = zone.isEmpty()
                ? controllers.stream()
                        .filter(m -> m.region().equals(w.region()))
                        .toList()
                : zone;
        return (near.isEmpty() ? controllers : near)
                .stream()
                        .allMatch(m -> Optional.ofNullable(contacts.get(m.address()))
                                .map(t -> now - t <= way.silent() / 2)
                                .orElse(false));
    }

    private void put(final Item next) {
        Optional.ofNullable(items.get(next.word().id())).ifPresent(i -> drop(i.word()));
        items.put(next.word().id(), next);
        sums.add(next.word().mark());
        if (!next.word().gone()) {
            roster.add(life(next.word()));
        }
        dirty = true;
    }

    private void drop(final WorkerReport word) {
        items.remove(word.id());
        sums.remove(word.mark());
        if (!word.gone()) {
            roster.remove(life(word));
        }
        dirty = true;
    }

    private static Message.ReportVersion life(final WorkerReport word) {
        return new Message.ReportVersion(word.id(), word.worker().life(), 0);
    }

    private void tell(final Optional<Item> before, final WorkerReport word) {
        final Optional<WorkerReport> old = before.map(Item::word)
                .filter(o -> o.worker().life() == word.worker().life());
        final Worker w = word.worker();
        if (before.isEmpty() && !word.gone()) {
            logs.add(new Effect.Log(Event.WORKER_KNOWN, w.id() + " " + w.address() + " zone " + w.zone()));
        }
        if (word.gone() && before.isPresent()) {
            logs.add(new Effect.Log(Event.WORKER_GONE, w.id() + " life " + w.life()));
        } else if (word.silent() && !old.map(WorkerReport::silent).orElse(false)) {
            logs.add(new Effect.Log(Event.WORKER_SILENT, w.id() + " for " + word.age() / 1000 + " ms"));
        } else if (w.leaving() && !old.map(o -> o.worker().leaving()).orElse(false)) {
            logs.add(new Effect.Log(Event.WORKER_LEAVING, w.id()));
        }
    }

    /**
     * A word and what this daemon knows of its age.
     *
     * @param word  the word, its spans those of a moment
     * @param at    that moment
     * @param heard when a controller last heard the worker, as far as is known here
     * @param own   when it last announced itself here
     * @param top   the highest sequence of this life
     */
    private record Item(WorkerReport word, long at, long heard, long own, long top) {
        boolean late(final Worker said) {
            final long life = word.worker().life();
            return said.life() < life || said.life() == life && (word.gone() || said.sequence() <= top);
        }

        boolean changed(final Worker said, final long now) {
            final Worker old = word.worker().aged(now - at);
            return word.silent()
                    || said.life() != old.life()
                    || said.leaving() != old.leaving()
                    || said.slots() != old.slots()
                    || !said.address().equals(old.address())
                    || !said.zone().equals(old.zone())
                    || !said.region().equals(old.region())
                    || !said.pool().equals(old.pool())
                    || Math.abs(said.cold() - old.cold()) > Math.max(SLACK, old.cold() / 8)
                    || said.rest() == 0 != (old.rest() == 0)
                    || Math.abs(said.rest() - old.rest()) > Math.max(4 * SLACK, old.rest() / 8);
        }

        Item beat(final long sequence, final long now) {
            return new Item(word, at, now, now, sequence);
        }

        Item heard(final long time) {
            return new Item(word, at, time, own, top);
        }

        WorkerReport now(final long now) {
            return word.aged(now - at);
        }
    }
}
