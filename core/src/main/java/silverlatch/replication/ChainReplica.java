package silverlatch.replication;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import java.util.function.LongConsumer;
import java.util.function.Supplier;
import java.util.stream.Stream;
import silverlatch.clock.Stamp;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.state.Value;
import silverlatch.statemachine.TransitionTable;
import silverlatch.wire.Message;

/**
 * The chain and the view as one machine with a data folder runs them. It does no input or output: events go in,
 * effects come out, and a write to the ledger comes back as a kept token.
 */
public final class ChainReplica {
    private static final int RANGES = 64;

    /** The low bits of a ballot name its proposer's place among the voters, the others count its rounds. */
    private static final int BALLOT_SEAT_BITS = 8;

    private static final long RECENT_BYTES = 8L << 20;
    private static final int RECENT_ENTRIES = 10_000;
    private static final long SNAPSHOT_BYTES = 8L << 20;
    private static final int SNAPSHOT_ENTRIES = 10_000;
    private static final int BATCH = 512;
    private static final long REPAIR_PAUSE = 900_000L;
    private static final int PENDING = 4_096;
    private static final int EARLY = 64;
    private static final long RESEND = 300_000L;
    private static final long SWEEP = 600_000_000L;
    private final Setup setup;
    private final Supplier<Stamp> stamps;
    private final TransitionTable chart = TransitionTable.load("controller");
    private final StateMachine books;
    private final List<Effect> out = new ArrayList<>();
    private final Deque<LogEntry> pend = new ArrayDeque<>();
    private final Deque<LogEntry> recent = new ArrayDeque<>();
    private final Map<String, Entry> overlay = new HashMap<>();
    private final Map<Long, Held> held = new LinkedHashMap<>();
    private final Map<String, Long> granted = new HashMap<>();
    private final Map<String, Long> heard = new HashMap<>();
    private final Map<String, Long> received = new HashMap<>();
    private final Map<String, Sought> sought = new TreeMap<>();
    private final Map<String, Message.JoinRequest> joins = new TreeMap<>();
    private final Map<Long, List<Waiting>> waits = new HashMap<>();
    private final List<Late> late = new ArrayList<>();
    private final List<Early> early = new ArrayList<>();
    private final Set<String> agreed = new HashSet<>();
    private final ReplicationWindow window = new ReplicationWindow();
    private final Map<String, RepairSource> repairSources = new HashMap<>();
    private Optional<RepairProgress> repair = Optional.empty();
    private long repairAskedAt;
    private List<String> seats;
    private String spot;
    private View view = View.NONE;
    private boolean level;
    private boolean shut;
    private final Map<String, Long> given = new HashMap<>();
    private final Set<String> levels = new HashSet<>();
    private long floor;
    private long promised;
    private long nodded;
    private Optional<View> nod = Optional.empty();
    private Optional<View> birth = Optional.empty();
    private Optional<Bid> bid = Optional.empty();
    private long round;
    private long last;
    private long kept;
    private long token;
    private long recentBytes;
    private long loggedBytes;
    private int loggedEntries;
    private long asked;
    private long sentAt;
    private long soughtAt;
    private long doubt;
    private long hush;
    private Optional<Long> want = Optional.empty();
    private long low;
    private long clock;
    private long epoch;
    private long roof;
    private long swept;
    private boolean quit;
    private final Set<String> informed = new HashSet<>();
    private boolean joining;
    private boolean forgetful;

    /** A machine as its ledger left it. */
    public ChainReplica(final Setup setup, final List<LogRecord> notes, final Supplier<Stamp> stamps, final long now) {
        this(setup, notes, stamps, now, 0);
    }

    private ChainReplica(
            final Setup setup,
            final List<LogRecord> notes,
            final Supplier<Stamp> stamps,
            final long now,
            final long token) {
        this.token = token;
        this.setup = setup;
        this.stamps = stamps;
        this.seats = setup.seats();
        this.books = new StateMachine(setup.guards());
        this.spot = chart.initialState();
        notes.forEach(this::recall);
        floor = now + setup.lease();
        clock = now;
        swept = now;
        if (view.number() > 0) {
            final boolean in = view.place(setup.me().id()) >= 0;
            spot = chart.transition(spot, in ? "chain" : "learn");
            if (!in) {
                forget();
            }
            view.voters().forEach(b -> heard.put(b.id(), now));
        }
        kept = last;
        if (tail() && level && enough()) {
            commit(kept);
        }
    }

    /**
     * What this machine is made with; times in microseconds.
     *
     * @param copies how many synced copies there are before an acknowledgement
     * @param most   how many machines vote where so many are there
     * @param found  whether this machine may take part in a first founding
     */
    public record Setup(
            Replica me,
            List<String> seats,
            long lease,
            long ask,
            long suspect,
            long stall,
            int copies,
            int most,
            boolean found,
            Safeguards guards) {
        /** Copies the seats. */
        public Setup {
            seats = List.copyOf(seats);
        }

        /** The times that hold when nothing is said. */
        public static Setup of(final Replica me, final List<String> seats) {
            return new Setup(me, seats, 600_000L, 120_000L, 800_000L, 1_000_000L, 2, 3, true, Safeguards.ALL);
        }

        /** The same under the guards that stand. */
        public Setup under(final Safeguards standing) {
            return new Setup(me, seats, lease, ask, suspect, stall, copies, most, found, standing);
        }

        /** The same with other counts of copies and of voters. */
        public Setup counts(final int synced, final int voters) {
            return new Setup(me, seats, lease, ask, suspect, stall, synced, voters, found, guards);
        }

        /** The same, where a first founding is allowed or not. */
        public Setup founds(final boolean allowed) {
            return new Setup(me, seats, lease, ask, suspect, stall, copies, most, allowed, guards);
        }
    }

    /** What the log and the status show. */
    public record State(String spot, boolean level, View view, long sequence, long page, int pending, boolean leased) {}

    /** What is to be done in the world; it is handed over once. */
    public List<Effect> drain() {
        final List<Effect> list = List.copyOf(out);
        out.clear();
        return list;
    }

    /** The committed books; the caller does not change them. */
    public StateMachine books() {
        return books;
    }

    /** The view held here. */
    public View view() {
        return view;
    }

    /** The fencing number under which this machine holds the duties, if it does. */
    public Optional<Long> duty(final long now) {
        return chained()
                        && level
                        && leased(now)
                        && view.holder().equals(setup.me().id())
                ? Optional.of(view.number())
                : Optional.empty();
    }

    /** How this machine stands. */
    public State state(final long now) {
        return new State(spot, level, view, books.sequence(), books.policyRevision(), pend.size(), leased(now));
    }

    /** Whether every acknowledged change of policy is surely in the books here at this moment. */
    public boolean sure(final long now) {
        return chained()
                && level
                && leased(now)
                && pend.stream().noneMatch(c -> c.puts().stream().anyMatch(Entry::isPolicy));
    }

    /** Takes a message. */
    public void on(final Message msg, final String home, final long now) {
        clock = now;
        if (broken() || forgetful && !(msg instanceof Message.ViewDecided)) {
            return;
        }
        switch (msg) {
            case Message.Discover m -> seek(m, now);
            case Message.Bootstrap m -> found(m, home);
            case Message.BootstrapAgreed m -> agreed(m, now);
            case Message.LeaseRequest m -> lease(m, now);
            case Message.LeaseGrant m -> grant(m, now);
            case Message.ViewDecided m -> viewDecided(m, home, now);
            case Message.Prepare m -> prepare(m, home);
            case Message.Promise m -> promise(m, now);
            case Message.Accept m -> accept(m, home);
            case Message.Accepted m -> accepted(m, now);
            case Message.Preempted m -> outbid(m);
            case Message.Replicate m -> pass(m, now);
            case Message.CommitNotice m -> acked(m);
            case Message.CatchUpTarget m -> level(m);
            case Message.FetchEntries m -> reach(m, home);
            case Message.CompareDigests m -> compare(m);
            case Message.RepairRanges m -> mend(m, home);
            case Message.RepairNext m -> sendPiece(m);
            case Message.ReplicateAck m -> received(m);
            case Message.JoinRequest m -> joinRequested(m, now);
            case Message.WriteRequest m -> write(m);
            case Message.ReadRequest m -> read(m, now);
            default -> {}
        }
    }

    /** A write to the ledger was synced. */
    public void kept(final long done, final long now) {
        clock = now;
        Optional.ofNullable(held.remove(done)).ifPresent(h -> h.then().accept(now));
    }

    /**
     * This machine after its disk failed and takes writes again: as a restarted process would be, from what its log
     * holds. Tokens of writes go on from the old ones, so that no late word of an old write is taken for a new one's.
     */
    public ChainReplica recovered(final List<LogRecord> records, final long now) {
        final ChainReplica next = new ChainReplica(setup, records, stamps, now, token);
        next.seats = seats;
        next.quit = quit;
        return next;
    }

    /** The disk failed: this machine takes no part until it has recovered. */
    public void broke(final String why) {
        if (!broken()) {
            spot = chart.transition(spot, "break");
            log(Event.DISK_BROKEN, why);
            held.clear();
            abandonWaiting();
        }
    }

    /** Takes the addresses to ask for a view from now on; a founding keeps to those of the start. */
    public void seats(final List<String> next) {
        seats = List.copyOf(next);
    }

    /** This machine is about to stop: the others are asked to take it out of the chain and to name another holder. */
    public void leave() {
        quit = true;
    }

    /**
     * Whether this machine may end, after {@link #deliverFrame()}: the chain goes on without it, and a majority of the voters
     * that remain knows that. A member that the chain needs for its copies stays until its grace ends.
     */
    public boolean gone() {
        if (view.number() == 0 || broken()) {
            return true;
        }
        if (view.place(setup.me().id()) >= 0) {
            return view.voters().equals(List.of(setup.me())) && joins.isEmpty();
        }
        if (!setup.guards().isEnabled(Safeguard.HANDOVER)) {
            return true;
        }
        final long know = view.voters().stream()
                .filter(v -> !v.equals(setup.me()) && informed.contains(v.address()))
                .count();
        return view.majority((int) know);
    }

    /** A clock event, a few each lease. */
    public void tick(final long now) {
        clock = now;
        if (broken()) {
            return;
        }
        final boolean stalled = held.values().stream()
                .findFirst()
                .map(h -> now - h.at() > setup.stall())
                .orElse(false);
        for (final Late l : List.copyOf(late)) {
            if (l.due() <= now) {
                late.remove(l);
                if (l.number() == view.number() + 1) {
                    send(l.to(), l.msg());
                }
            }
        }
        if (view.number() == 0) {
            hunt(now);
            return;
        }
        if (forgetful) {
            askForLaterView(now);
            return;
        }
        if (quit && !chained()) {
            confirmLeft(now);
            return;
        }
        if (now - asked >= (view.votes(setup.me().id()) ? setup.ask() : RESEND) && !stalled) {
            ask(now);
        }
        if (chained()) {
            sweep(now);
            again(now);
            if (!stalled) {
                watch(now);
            }
        } else if (now - soughtAt >= (joining ? 5 * RESEND : RESEND) && !stalled) {
            soughtAt = now;
            view.tail().ifPresent(t -> askRepair(t.address(), now));
            seats.forEach(s -> send(s, new Message.LeaseRequest(view.number(), now, setup.me(), false, contact(now))));
        }
    }

    /**
     * A machine that has left tells the voters so until they show that they know. It no longer asks for leases, so that
     * its silence counts. A prepare for a number that was decided is replied to with the view of whoever knows it.
     */
    private void confirmLeft(final long now) {
        if (now - asked < setup.ask()) {
            return;
        }
        asked = now;
        view.voters().forEach(v -> {
            send(v.address(), new Message.ViewDecided(view));
            send(v.address(), new Message.Prepare(view.number(), 0));
        });
    }

    private void viewDecided(final Message.ViewDecided m, final String home, final long now) {
        adopt(m.view(), now);
        if (m.view().number() == view.number()) {
            informed.add(home);
        }
    }

    private void joinRequested(final Message.JoinRequest m, final long now) {
        joins.put(m.sender().id(), m);
        heard.put(m.sender().id(), now);
    }

    private void ask(final long now) {
        asked = now;
        view.voters()
                .forEach(b -> send(
                        b.address(),
                        new Message.LeaseRequest(view.number(), now, setup.me(), chained() && level, contact(now))));
    }

    /** Whether a majority of the voters, this one among them, was heard of late. */
    private boolean contact(final long now) {
        final long heardVoters = view.voters().stream()
                .map(Replica::id)
                .filter(id -> id.equals(setup.me().id())
                        || Optional.ofNullable(received.get(id))
                                .filter(at -> now - at <= setup.suspect() / 2)
                                .isPresent())
                .count();
        return view.majority((int) heardVoters);
    }

    private void recall(final LogRecord note) {
        switch (note) {
            case LogRecord.Snapshot p -> {
                books.reset(p.sequence(), p.entries());
                books.completeRepair(p.sequence());
                view = p.view();
                level = p.caughtUp();
                promised = p.promisedBallot();
                nodded = p.acceptedBallot();
                nod = p.acceptedView().stream().findFirst();
                shut = nod.isPresent();
                pend.clear();
                overlay.clear();
                last = p.sequence();
                roof = Math.max(roof, p.highestStamp());
            }
            case LogRecord.Appended d -> {
                if (d.entry().sequence() == last + 1) {
                    enter(d.entry());
                }
            }
            case LogRecord.ViewInstalled s -> {
                if (s.view().number() > view.number()) {
                    promised = 0;
                    nodded = 0;
                    nod = Optional.empty();
                    shut = false;
                }
                view = s.view();
                level = s.caughtUp();
                birth = Optional.empty();
            }
            case LogRecord.Promised v -> promised = v.viewNumber() == view.number() + 1 ? v.ballot() : promised;
            case LogRecord.Accepted n -> {
                if (n.viewNumber() == view.number() + 1) {
                    promised = n.ballot();
                    nodded = n.ballot();
                    nod = Optional.of(n.view());
                    shut = true;
                }
            }
            case LogRecord.Founding b -> birth = Optional.of(b.view());
            case LogRecord.Batch b -> b.records().forEach(this::recall);
            case LogRecord.SnapshotPart p -> throw new IllegalArgumentException("a part without its snapshot");
        }
    }

    private void hunt(final long now) {
        if (now - soughtAt < RESEND) {
            return;
        }
        soughtAt = now;
        sought.values().removeIf(s -> now - s.at() > 2_000_000L);
        final Message.Discover seek = new Message.Discover(
                setup.me(),
                birth.isEmpty() && setup.found(),
                sought.values().stream().map(s -> s.seek().sender()).toList());
        seats.forEach(s -> send(s, seek));
        birth.filter(v -> first(v).equals(setup.me()))
                .ifPresent(v -> v.voters().forEach(b -> send(b.address(), new Message.Bootstrap(v))));
    }

    private static Replica first(final View v) {
        return v.voters().stream()
                .min(java.util.Comparator.comparing(Replica::id))
                .orElseThrow();
    }

    private void seek(final Message.Discover m, final long now) {
        if (view.number() > 0) {
            send(m.sender().address(), new Message.ViewDecided(view));
            return;
        }
        if (!m.empty()
                || birth.isPresent()
                || !setup.found()
                || !setup.seats().contains(setup.me().address())
                || !setup.seats().contains(m.sender().address())) {
            return;
        }
        sought.put(m.sender().id(), new Sought(m, now));
        final List<Replica> all =
                sought.values().stream().map(s -> s.seek().sender()).toList();
        final Set<Replica> same = Set.copyOf(all);
        final boolean whole = all.size() == setup.seats().size()
                && all.stream()
                        .map(Replica::address)
                        .collect(java.util.stream.Collectors.toSet())
                        .equals(Set.copyOf(setup.seats()))
                && sought.values().stream()
                        .allMatch(s -> Set.copyOf(s.seek().heard()).equals(same));
        if (whole && all.get(0).id().equals(setup.me().id())) {
            final List<Replica> order = all.stream()
                    .sorted(java.util.Comparator.comparingInt(b -> setup.seats().indexOf(b.address())))
                    .toList();
            final long fleet = Math.max(1, order.hashCode() * 0x9E3779B97F4A7C15L & Long.MAX_VALUE);
            final View v = new View(1, fleet, order, order, order.get(0).id());
            order.forEach(b -> send(b.address(), new Message.Bootstrap(v)));
        }
    }

    private void found(final Message.Bootstrap m, final String home) {
        final boolean same = birth.map(b -> b.equals(m.view())).orElse(false);
        final boolean fits = birth.isEmpty()
                && view.number() == 0
                && m.view().votes(setup.me().id())
                && m.view().voters().stream().allMatch(b -> sought.containsKey(b.id()));
        if (same) {
            send(home, new Message.BootstrapAgreed(m.view().fleet(), setup.me()));
        } else if (fits) {
            birth = Optional.of(m.view());
            keep(
                    List.of(new LogRecord.Founding(m.view())),
                    t -> send(home, new Message.BootstrapAgreed(m.view().fleet(), setup.me())));
        }
    }

    private void agreed(final Message.BootstrapAgreed m, final long now) {
        birth.filter(b -> b.fleet() == m.fleet()).ifPresent(b -> {
            agreed.add(m.sender().id());
            if (b.voters().stream().allMatch(v -> agreed.contains(v.id()))) {
                log(Event.FOUNDED, "fleet " + Long.toHexString(b.fleet()));
                b.voters().forEach(v -> send(v.address(), new Message.ViewDecided(b)));
                adopt(b, now);
            }
        });
    }

    private void adopt(final View next, final long now) {
        if (next.number() <= view.number() || view.fleet() != 0 && next.fleet() != view.fleet()) {
            return;
        }
        final boolean was = view.place(setup.me().id()) >= 0;
        final boolean in = next.place(setup.me().id()) >= 0;
        final boolean born = birth.map(next::equals).orElse(false);
        given.values().removeIf(t -> t <= now);
        floor = Set.copyOf(view.voters()).equals(Set.copyOf(next.voters())) ? floor : now + setup.lease();
        view = next;
        forgetful = false;
        level = in && (was && level || born);
        birth = Optional.empty();
        granted.clear();
        bid = Optional.empty();
        nod = Optional.empty();
        promised = 0;
        nodded = 0;
        shut = false;
        doubt = 0;
        hush = 0;
        late.clear();
        joins.clear();
        informed.clear();
        want = Optional.empty();
        joining = false;
        low = now;
        repair = Optional.empty();
        repairSources.clear();
        repairAskedAt = 0;
        window.begin(books.sequence(), now);
        levels.clear();
        heard.keySet().retainAll(view.voters().stream().map(Replica::id).toList());
        received.keySet().retainAll(heard.keySet());
        view.voters().forEach(b -> {
            if (was) {
                heard.putIfAbsent(b.id(), now);
            } else {
                heard.put(b.id(), now);
            }
        });
        spot = chart.transition(spot, in ? "chain" : "learn");
        keep(List.of(new LogRecord.ViewInstalled(view, level)), t -> {});
        log(
                Event.VIEW,
                "view " + view.number() + " chain "
                        + view.chain().stream().map(Replica::address).toList());
        ask(now);
        if (!in) {
            forget();
            return;
        }
        sentAt = 0;
        again(now);
        settle(now);
    }

    private void forget() {
        abandonWaiting();
        pend.clear();
        overlay.clear();
        last = books.sequence();
        kept = last;
        epoch++;
    }

    private void lease(final Message.LeaseRequest m, final long now) {
        if (view.number() == 0) {
            return;
        }
        if (m.view() < view.number()) {
            send(m.sender().address(), new Message.ViewDecided(view));
        } else if (m.view() == view.number() && view.votes(setup.me().id())) {
            if (joins.containsKey(m.sender().id())) {
                heard.put(m.sender().id(), now);
            }
            if (view.votes(m.sender().id())) {
                received.put(m.sender().id(), now);
                if (m.hearsMajority()) {
                    heard.put(m.sender().id(), now);
                }
            }
            if (m.caughtUp()) {
                levels.add(m.sender().id());
            } else {
                levels.remove(m.sender().id());
            }
            if (!shut && view.place(m.sender().id()) >= 0) {
                given.put(m.sender().id(), now + setup.lease());
                send(
                        m.sender().address(),
                        new Message.LeaseGrant(
                                view.number(), m.askedAt(), setup.me().id(), books.sequence()));
            }
        }
    }

    private void grant(final Message.LeaseGrant m, final long now) {
        if (m.view() == view.number() && view.votes(m.voter())) {
            if (chained() && level && m.committed() > last) {
                fenceForgetful(m);
                return;
            }
            granted.merge(m.voter(), m.askedAt(), Math::max);
            if (!early.isEmpty() && leased(now)) {
                final List<Early> due = List.copyOf(early);
                early.clear();
                due.stream().filter(e -> now - e.at() < setup.lease()).forEach(e -> write(e.msg()));
            }
        }
    }

    /**
     * What is acknowledged has been synced by each member that has caught up; this one lacks some of it, so its folder is
     * not the one that it had. It neither asks, grants nor votes until a later view, in which it is repaired.
     */
    private void fenceForgetful(final Message.LeaseGrant m) {
        log(Event.LOG_OUTDATED, "the log ends at " + last + ", but " + m.committed() + " was acknowledged with it");
        forgetful = true;
        level = false;
        granted.clear();
        forget();
    }

    /** Asks under the view before this one: the reply is the view as it is now, and the asker counts as silent. */
    private void askForLaterView(final long now) {
        if (now - soughtAt >= RESEND) {
            soughtAt = now;
            view.voters()
                    .forEach(v -> send(
                            v.address(), new Message.LeaseRequest(view.number() - 1, now, setup.me(), false, false)));
        }
    }

    private boolean leased(final long now) {
        final long span = setup.lease() * 9 / 10;
        return view.majority(
                (int) granted.values().stream().filter(at -> now - at < span).count());
    }

    private void prepare(final Message.Prepare m, final String home) {
        if (m.number() <= view.number()) {
            send(home, new Message.ViewDecided(view));
        } else if (m.number() == view.number() + 1 && view.votes(setup.me().id())) {
            if (m.ballot() > promised) {
                hush = home.equals(setup.me().address()) ? hush : clock;
                promised = m.ballot();
                final Message.Promise reply = new Message.Promise(
                        m.number(),
                        m.ballot(),
                        setup.me().id(),
                        nodded,
                        nod.stream().toList());
                keep(List.of(new LogRecord.Promised(m.number(), m.ballot())), t -> send(home, reply));
            } else if (m.ballot() < promised) {
                send(home, new Message.Preempted(m.number(), promised));
            }
        }
    }

    private void accept(final Message.Accept m, final String home) {
        if (m.number() != view.number() + 1 || !view.votes(setup.me().id())) {
            return;
        }
        if (m.ballot() < promised) {
            send(home, new Message.Preempted(m.number(), promised));
            return;
        }
        promised = m.ballot();
        nodded = m.ballot();
        nod = Optional.of(m.view());
        shut = true;
        final Message.Accepted reply =
                new Message.Accepted(m.number(), m.ballot(), setup.me().id());
        keep(List.of(new LogRecord.Accepted(m.number(), m.ballot(), m.view())), t -> {
            final long due = due(m.view());
            if (t >= due) {
                send(home, reply);
            } else {
                late.add(new Late(due, m.number(), home, reply));
            }
        });
    }

    /**
     * When none that goes with this view can answer under a lease from here any more. Those that stay can't answer for
     * the old view alone: what the new one acknowledges has passed them.
     */
    private long due(final View next) {
        return ViewPlanner.grown(view, next) || !setup.guards().isEnabled(Safeguard.LEASE_WAIT)
                ? 0
                : view.chain().stream()
                        .filter(b -> next.place(b.id()) < 0)
                        .mapToLong(b -> given.getOrDefault(b.id(), 0L))
                        .reduce(floor, Math::max);
    }

    /**
     * Takes a promise. The proposer's own must be among the majority: it is synced, so a ballot is not used again for
     * another view after a restart.
     */
    private void promise(final Message.Promise m, final long now) {
        bid.filter(b -> b.number() == m.number() && b.ballot() == m.ballot() && !b.asking())
                .ifPresent(b -> {
                    b.yes().add(m.voter());
                    final Bid best = m.acceptedBallot() > b.best()
                                    && !m.acceptedView().isEmpty()
                            ? b.better(m.acceptedBallot(), m.acceptedView().get(0))
                            : b;
                    bid = Optional.of(best);
                    if (view.majority(best.yes().size())
                            && best.yes().contains(setup.me().id())) {
                        final Bid chosen = free(best) ? best.better(0, withPromised(best)) : best;
                        bid = Optional.of(chosen.ask());
                        view.voters()
                                .forEach(v -> send(
                                        v.address(),
                                        new Message.Accept(chosen.number(), chosen.ballot(), chosen.view())));
                    }
                });
    }

    /** Whether no view that an earlier ballot may have decided binds this one. */
    private static boolean free(final Bid bid) {
        return bid.best() == 0;
    }

    private View withPromised(final Bid bid) {
        return new ViewPlanner(setup, view, id -> silent(id, clock), levels).withPromised(bid.view(), bid.yes());
    }

    private void accepted(final Message.Accepted m, final long now) {
        bid.filter(b -> b.number() == m.number() && b.ballot() == m.ballot() && b.asking())
                .ifPresent(b -> {
                    b.yes().add(m.voter());
                    if (view.majority(b.yes().size())) {
                        final Set<Replica> all = new HashSet<>(view.voters());
                        all.addAll(b.view().voters());
                        all.addAll(b.view().chain());
                        all.stream()
                                .filter(t -> !t.equals(setup.me()))
                                .sorted(java.util.Comparator.comparing(Replica::id))
                                .forEach(t -> send(t.address(), new Message.ViewDecided(b.view())));
                        adopt(b.view(), now);
                    }
                });
    }

    private void outbid(final Message.Preempted m) {
        round = Math.max(round, m.ballot() >> BALLOT_SEAT_BITS);
        hush = clock;
        bid = bid.filter(b -> b.number() != m.number());
    }

    private void watch(final long now) {
        if (bid.isPresent() && now - bid.get().at() < setup.lease() * 2 + setup.suspect()) {
            return;
        }
        bid = Optional.empty();
        if (!view.votes(setup.me().id()) || !setup.guards().isEnabled(Safeguard.MEND)) {
            return;
        }
        if (level) {
            levels.add(setup.me().id());
        }
        final ViewPlanner after = new ViewPlanner(setup, view, id -> silent(id, now), levels);
        final Optional<View> next = after.next(quit, joins.values());
        if (next.isEmpty() && nod.isEmpty()) {
            doubt = 0;
            return;
        }
        if (doubt == 0) {
            doubt = now;
            after.missed().forEach(b -> log(Event.CHAIN_SUSPECT, b.address()));
        }
        final List<Replica> able = after.able();
        final int rank = quit && after.missed().isEmpty() ? 0 : rank(able);
        final boolean others = hush > 0 && now - hush < setup.suspect() + rank * setup.suspect() / 2;
        if (others || now - doubt < rank * setup.suspect() || !view.majority(able.size())) {
            return;
        }
        round = Math.max(round, promised >> BALLOT_SEAT_BITS) + 1;
        final int seat = view.voters().stream()
                .map(Replica::id)
                .toList()
                .indexOf(setup.me().id());
        final Bid mine = new Bid(
                view.number() + 1,
                round << BALLOT_SEAT_BITS | seat,
                next.or(() -> nod).orElse(view),
                0,
                false,
                new HashSet<>(),
                now);
        bid = Optional.of(mine);
        log(
                Event.PROPOSED,
                "view " + mine.number() + " chain "
                        + mine.view().chain().stream().map(Replica::address).toList());
        view.voters().forEach(b -> send(b.address(), new Message.Prepare(mine.number(), mine.ballot())));
    }

    /** This machine's place among the members that are heard: those with a higher one let the others propose first. */
    private int rank(final List<Replica> able) {
        final List<String> members =
                able.stream().map(Replica::id).filter(i -> view.place(i) >= 0).toList();
        return Math.max(0, members.indexOf(setup.me().id()));
    }

    private void sweep(final long now) {
        if (duty(now).isEmpty()) {
            swept = now;
        } else if (now - swept >= SWEEP) {
            swept = now;
            final long turn = books.epoch() + 1;
            view.head()
                    .ifPresent(h -> send(
                            h.address(),
                            new Message.WriteRequest(
                                    0,
                                    setup.me().address(),
                                    new Command.AdvanceEpoch("sweep-" + turn, turn, view.number()))));
        }
    }

    private long silent(final String id, final long now) {
        return id.equals(setup.me().id()) ? 0 : now - heard.getOrDefault(id, 0L);
    }

    /** Whether the chain is long enough for an acknowledgement. */
    private boolean enough() {
        return view.chain().size() >= setup.copies() || !setup.guards().isEnabled(Safeguard.COPIES);
    }

    /** Whether a replication message is of another view than the one held here, and so must not be taken. */
    private boolean fenced(final long number) {
        return number != view.number() && setup.guards().isEnabled(Safeguard.FENCE);
    }

    private void again(final long now) {
        if (now - sentAt < RESEND) {
            return;
        }
        sentAt = now;
        view.after(setup.me().id()).ifPresent(b -> {
            if (level) {
                send(b.address(), new Message.CatchUpTarget(view.number(), last));
            }
            if (!pend.isEmpty() && pend.peek().sequence() <= kept && window.due(now)) {
                window.restart(books.sequence(), now);
            }
            sendNext();
        });
        if (!level) {
            view.before(setup.me().id()).ifPresent(b -> {
                if (now - low > 4 * RESEND) {
                    askRepair(b.address(), now);
                } else {
                    send(
                            b.address(),
                            new Message.FetchEntries(view.number(), setup.me().id(), last));
                }
            });
        }
        if (tail() && level) {
            settle(now);
            tell();
        }
    }

    private boolean tail() {
        return chained() && view.after(setup.me().id()).isEmpty();
    }

    private void tell() {
        view.chain().stream()
                .filter(b -> !b.id().equals(setup.me().id()))
                .forEach(b -> send(b.address(), new Message.CommitNotice(view.number(), books.sequence())));
    }

    private void settle(final long now) {
        if (tail() && level && enough()) {
            final long old = books.sequence();
            commit(kept);
            if (books.sequence() > old) {
                tell();
            }
        }
    }

    private void write(final Message.WriteRequest m) {
        if (!chained() || !level || view.place(setup.me().id()) != 0) {
            return;
        }
        if (!leased(clock)) {
            if (early.size() < EARLY) {
                early.add(new Early(clock, m));
            }
            return;
        }
        final Stamp stamp = stamps.get();
        if (!enough() || pend.size() >= PENDING || stamp.bits() <= roof) {
            return;
        }
        if (m.command() instanceof Command.AdvanceEpoch s && s.fencingToken() != view.number()
                || m.command() instanceof Command.Scheduled t && t.fencingToken() != view.number()) {
            reject(m, 409, "the duty has another holder");
            return;
        }
        switch (books.evaluate(m.command(), overlay, last + 1, stamp)) {
            case StateMachine.Evaluation.Reply over -> decide(m, over.result(), stamp);
            case StateMachine.Evaluation.Write let -> {
                final LogEntry c = new LogEntry(last + 1, view.number(), stamp, let.entries());
                await(c.sequence(), new Waiting(m, Optional.empty()));
                append(List.of(c));
            }
        }
    }

    /** Answers a write that needs no change of its own, once all that the answer rests on is committed. */
    private void decide(final Message.WriteRequest m, final CommandResult result, final Stamp stamp) {
        final Optional<Entry> pending =
                Optional.ofNullable(overlay.get("o/" + m.command().id()));
        if (pending.isPresent()) {
            await(pending.get().sequence(), new Waiting(m, Optional.empty()));
            return;
        }
        switch (result) {
            case CommandResult.Applied applied -> {
                if (applied.sequence() > books.sequence()) {
                    await(applied.sequence(), new Waiting(m, Optional.empty()));
                } else {
                    reply(m, applied);
                }
            }
            case CommandResult.Rejected rejected -> refuse(m, rejected, stamp);
            case CommandResult.AlreadyClaimed claimed -> refuse(m, claimed, stamp);
            case CommandResult.Unknown unknown -> reply(m, unknown);
        }
    }

    /**
     * Refuses a write at once where the committed state alone refuses it. Else the refusal rests on changes that a new
     * view may drop, and is held until the newest of them is committed.
     */
    private void refuse(final Message.WriteRequest m, final CommandResult refusal, final Stamp stamp) {
        if (pend.isEmpty() || !setup.guards().isEnabled(Safeguard.SETTLED)) {
            reply(m, refusal);
            return;
        }
        final StateMachine.Evaluation committed = books.evaluate(m.command(), Map.of(), last + 1, stamp);
        if (committed instanceof StateMachine.Evaluation.Reply over && refuses(over.result())) {
            reply(m, over.result());
        } else {
            await(last, new Waiting(m, Optional.of(refusal)));
        }
    }

    private static boolean refuses(final CommandResult result) {
        return result instanceof CommandResult.Rejected || result instanceof CommandResult.AlreadyClaimed;
    }

    private void await(final long sequence, final Waiting waiting) {
        waits.computeIfAbsent(sequence, s -> new ArrayList<>()).add(waiting);
    }

    /** Those that wait for changes which this machine may drop are told that nothing is known. */
    private void abandonWaiting() {
        waits.values()
                .forEach(l -> l.forEach(w -> {
                    final Message.WriteRequest m = w.request();
                    reply(m, new CommandResult.Unknown(m.command().id()));
                }));
        waits.clear();
    }

    private void reply(final Message.WriteRequest m, final CommandResult result) {
        if (result instanceof CommandResult.Rejected r) {
            log(Event.CHANGE_REJECTED, m.command().id() + " " + r.code());
        }
        send(m.replyTo(), new Message.WriteReply(m.requestId(), result));
    }

    private void reject(final Message.WriteRequest m, final int code, final String why) {
        send(
                m.replyTo(),
                new Message.WriteReply(
                        m.requestId(), new CommandResult.Rejected(code, List.of(why), books.sequence())));
    }

    private void enter(final LogEntry c) {
        last = c.sequence();
        roof = Math.max(roof, c.stamp().bits());
        pend.add(c);
        c.puts().forEach(e -> overlay.put(e.key(), e));
    }

    private void append(final List<LogEntry> list) {
        list.forEach(this::enter);
        final long end = last;
        final long mine = epoch;
        keep(list.stream().map(c -> (LogRecord) new LogRecord.Appended(c)).toList(), t -> {
            if (mine == epoch && chained()) {
                kept = Math.max(kept, end);
                sendNext();
                rise(t);
                settle(t);
            }
        });
    }

    /** Sends the entries that the successor lacks and that are synced here, as far as the window admits them. */
    private void sendNext() {
        final Optional<Replica> successor = view.after(setup.me().id());
        if (successor.isEmpty() || window.sent() >= kept) {
            return;
        }
        final Stream<LogEntry> committed = window.sent() < books.sequence() ? recent.stream() : Stream.empty();
        final List<LogEntry> entries = new ArrayList<>();
        for (final LogEntry entry : (Iterable<LogEntry>) Stream.concat(committed, pend.stream())::iterator) {
            if (entry.sequence() <= window.sent()) {
                continue;
            }
            final boolean next = entry.sequence() == window.sent() + 1 && entry.sequence() <= kept;
            if (!next || entries.size() >= BATCH || !window.admits(entry)) {
                break;
            }
            window.add(entry);
            entries.add(entry);
        }
        if (!entries.isEmpty()) {
            send(successor.get().address(), new Message.Replicate(view.number(), entries));
        }
    }

    private void received(final Message.ReplicateAck m) {
        final boolean successor =
                view.after(setup.me().id()).map(b -> b.id().equals(m.id())).orElse(false);
        if (m.view() == view.number() && chained() && successor) {
            window.progress(m.sequence(), clock);
            sendNext();
        }
    }

    private void pass(final Message.Replicate m, final long now) {
        if (fenced(m.view()) || !chained() || view.place(setup.me().id()) == 0) {
            return;
        }
        final List<LogEntry> fresh = new ArrayList<>();
        long at = last;
        for (final LogEntry c : m.entries()) {
            if (c.sequence() == at + 1) {
                fresh.add(c);
                at++;
            } else if (c.sequence() > at + 1) {
                view.before(setup.me().id())
                        .ifPresent(b -> send(
                                b.address(),
                                new Message.FetchEntries(
                                        view.number(), setup.me().id(), last)));
                break;
            }
        }
        view.before(setup.me().id())
                .ifPresent(b -> send(
                        b.address(),
                        new Message.ReplicateAck(view.number(), setup.me().id(), last + fresh.size())));
        if (!fresh.isEmpty()) {
            append(fresh);
        } else if (tail() && level) {
            tell();
        }
    }

    private void acked(final Message.CommitNotice m) {
        if (!fenced(m.view()) && chained()) {
            commit(Math.min(m.sequence(), kept));
        }
    }

    private void level(final Message.CatchUpTarget m) {
        if (m.view() == view.number() && chained() && !level) {
            want = Optional.of(m.sequence());
            rise(clock);
            settle(clock);
        }
    }

    private void rise(final long now) {
        if (!level && want.map(w -> kept >= w).orElse(false)) {
            level = true;
            keep(List.of(new LogRecord.ViewInstalled(view, true)), t -> {});
        }
    }

    private void reach(final Message.FetchEntries m, final String home) {
        if (m.view() != view.number() || !chained() || !level) {
            return;
        }
        send(home, new Message.CatchUpTarget(view.number(), last));
        if (m.sequence() < window.received() || m.sequence() > window.sent()) {
            window.restart(m.sequence(), clock);
        } else {
            window.progress(m.sequence(), clock);
        }
        sendNext();
    }

    private void commit(final long upto) {
        while (!pend.isEmpty() && pend.peek().sequence() <= upto) {
            final LogEntry c = pend.poll();
            books.apply(c.sequence(), c.puts());
            c.puts().forEach(e -> overlay.remove(e.key(), e));
            remember(c);
            if (c.puts().stream().anyMatch(Entry::isPolicy)) {
                log(
                        Event.CHANGED,
                        "sequence " + c.sequence() + " view " + c.view() + " stamp "
                                + c.stamp().bits());
            }
            Optional.ofNullable(waits.remove(c.sequence())).ifPresent(l -> l.forEach(w -> decided(w, c.sequence())));
        }
        if (loggedBytes > SNAPSHOT_BYTES || loggedEntries > SNAPSHOT_ENTRIES) {
            picture(t -> {});
        }
    }

    /** Keeps a committed entry for a successor that lacks it, within bounds. */
    private void remember(final LogEntry entry) {
        recent.add(entry);
        recentBytes += entry.weight();
        loggedBytes += entry.weight();
        loggedEntries++;
        while (recent.size() > 1 && (recentBytes > RECENT_BYTES || recent.size() > RECENT_ENTRIES)) {
            recentBytes -= recent.poll().weight();
        }
    }

    private void decided(final Waiting waiting, final long sequence) {
        final Message.WriteRequest m = waiting.request();
        reply(m, waiting.refusal().orElseGet(() -> outcome(m.command().id(), sequence)));
    }

    private CommandResult outcome(final String id, final long sequence) {
        return books.get("o/" + id)
                .map(e -> (Value.CommandOutcome) e.value().get(0))
                .filter(o -> o.code() != 0)
                .map(o -> (CommandResult) new CommandResult.Rejected(o.code(), o.faults(), o.sequence()))
                .orElse(new CommandResult.Applied(sequence));
    }

    private void picture(final LongConsumer then) {
        loggedBytes = 0;
        loggedEntries = 0;
        final List<LogRecord> notes = new ArrayList<>();
        notes.add(new LogRecord.Snapshot(
                books.sequence(), view, level, promised, nodded, nod.stream().toList(), roof, books.allEntries()));
        pend.forEach(c -> notes.add(new LogRecord.Appended(c)));
        final long sequence = books.sequence();
        keep(notes, t -> {
            log(Event.PICTURE, "sequence " + sequence);
            then.accept(t);
        });
    }

    private Message.CompareDigests compareOf() {
        return new Message.CompareDigests(view.number(), setup.me(), books.sequence(), books.digests(RANGES));
    }

    private void compare(final Message.CompareDigests m) {
        if (m.view() != view.number() || !chained() || !level || m.digests().length != RANGES) {
            return;
        }
        if (m.sequence() > books.sequence()) {
            commit(Math.min(m.sequence(), kept));
        }
        final RepairSource source = RepairSource.of(books, m.digests(), syncedPending());
        repairSources.put(m.sender().id(), source);
        sendPiece(new Message.RepairNext(m.view(), m.sender(), source.sequence(), 0));
    }

    /**
     * The changes that are synced here but not known to be committed. One of them may have been acknowledged before
     * this machine restarted, so a machine that is repaired from here keeps them too.
     */
    private List<LogEntry> syncedPending() {
        return setup.guards().isEnabled(Safeguard.REPAIR_PENDING)
                ? pend.stream().filter(c -> c.sequence() <= kept).toList()
                : List.of();
    }

    private void sendPiece(final Message.RepairNext m) {
        final Optional<RepairSource> source = Optional.ofNullable(
                        repairSources.get(m.sender().id()))
                .filter(s -> s.sequence() == m.sequence() && m.piece() >= 0)
                .filter(s -> m.piece() < s.pieces().size());
        if (m.view() != view.number() || source.isEmpty()) {
            return;
        }
        final int pieces = source.get().pieces().size();
        send(
                m.sender().address(),
                new Message.RepairRanges(
                        view.number(),
                        m.sequence(),
                        m.piece(),
                        pieces,
                        source.get().pieces().get(m.piece()),
                        m.piece() == pieces - 1 ? source.get().pending() : List.of(),
                        m.piece() == pieces - 1 ? source.get().digests() : new long[0]));
        if (m.piece() == pieces - 1 && pieces == 1) {
            repairSources.remove(m.sender().id());
        }
    }

    /** Asks for a repair, or for the next piece of the one under way, a pause after the last word of it. */
    private void askRepair(final String source, final long now) {
        if (now - Math.max(repairAskedAt, repair.map(RepairProgress::at).orElse(0L)) < REPAIR_PAUSE) {
            return;
        }
        final boolean lost = repair.map(r -> now - r.at() > 3 * REPAIR_PAUSE).orElse(true);
        repairAskedAt = now;
        if (lost) {
            repair = Optional.empty();
            send(source, compareOf());
        } else {
            repair.ifPresent(r -> send(r.source(), r.question(view.number(), setup.me())));
        }
    }

    private void mend(final Message.RepairRanges m, final String home) {
        if (m.view() != view.number() || chained() && level || m.sequence() < books.sequence()) {
            return;
        }
        if (joining
                && held.isEmpty()
                && m.pieces() == 1
                && m.ranges().isEmpty()
                && m.sequence() == books.sequence()
                && m.pending().equals(List.copyOf(pend))
                && sameDigests(m)
                && !chained()) {
            join();
            return;
        }
        if (m.piece() == 0) {
            repair = Optional.of(new RepairProgress(m, home));
        }
        if (repair.isEmpty() || !repair.get().take(m, home, clock)) {
            return;
        }
        final RepairProgress taken = repair.get();
        if (!taken.whole()) {
            send(home, taken.question(view.number(), setup.me()));
            return;
        }
        repair = Optional.empty();
        if (setup.guards().isEnabled(Safeguard.DIGEST)) {
            taken.ranges().forEach((range, entries) -> books.replaceRange(range, RANGES, entries));
        }
        if (!sameDigests(m)) {
            return;
        }
        books.completeRepair(m.sequence());
        recent.clear();
        recentBytes = 0;
        window.begin(m.sequence(), clock);
        pend.clear();
        overlay.clear();
        last = m.sequence();
        m.pending().forEach(this::enter);
        epoch++;
        low = clock;
        joining = true;
        final long number = view.number();
        final long end = last;
        final long mine = epoch;
        kept = 0;
        picture(t -> {
            if (mine != epoch) {
                return;
            }
            kept = Math.max(kept, end);
            if (chained()) {
                rise(t);
                settle(t);
            } else if (number == view.number()) {
                log(Event.MENDED, "sequence " + m.sequence());
                join();
            }
        });
    }

    /**
     * Whether the state here is that of the source. It is not when a late repair answers a question that this machine
     * asked before it restarted, with other entries: then it asks again.
     */
    private boolean sameDigests(final Message.RepairRanges m) {
        return Arrays.equals(m.digests(), books.digests(RANGES))
                || !setup.guards().isEnabled(Safeguard.DIGEST);
    }

    private void join() {
        if (quit) {
            return;
        }
        view.voters()
                .forEach(b -> send(b.address(), new Message.JoinRequest(view.number(), setup.me(), books.sequence())));
    }

    private void read(final Message.ReadRequest m, final long now) {
        final boolean held = !enough() && pend.stream().anyMatch(c -> c.sequence() <= kept);
        final boolean ok =
                tail() && level && !held && (leased(now) || !setup.guards().isEnabled(Safeguard.LEASE));
        send(
                m.replyTo(),
                new Message.ReadReply(
                        m.requestId(),
                        ok,
                        books.sequence(),
                        ok ? List.copyOf(books.entriesWithPrefix(m.keyPrefix()).values()) : List.of()));
    }

    private boolean chained() {
        return spot.equals("chained");
    }

    private boolean broken() {
        return spot.equals("broken");
    }

    private void keep(final List<LogRecord> notes, final LongConsumer then) {
        token++;
        final boolean early = !setup.guards().isEnabled(Safeguard.PROMISE)
                && (notes.get(0) instanceof LogRecord.Promised || notes.get(0) instanceof LogRecord.Accepted);
        if (early) {
            then.accept(clock);
        }
        held.put(token, new Held(clock, early ? t -> {} : then));
        out.add(new Effect.Persist(token, notes));
    }

    private void send(final String to, final Message body) {
        out.add(new Effect.Send(to, body));
    }

    private void log(final Event event, final String text) {
        out.add(new Effect.Log(event, text));
    }

    private record Held(long at, LongConsumer then) {}

    /** A write whose answer waits for a change to be committed; the refusal is there where that will be the answer. */
    private record Waiting(Message.WriteRequest request, Optional<CommandResult> refusal) {}

    private record Early(long at, Message.WriteRequest msg) {}

    private record Late(long due, long number, String to, Message msg) {}

    private record Sought(Message.Discover seek, long at) {}

    private record Bid(long number, long ballot, View view, long best, boolean asking, Set<String> yes, long at) {
        Bid better(final long more, final View other) {
            return new Bid(number, ballot, other, more, asking, yes, at);
        }

        Bid ask() {
            return new Bid(number, ballot, view, best, true, new HashSet<>(), at);
        }
    }
}
