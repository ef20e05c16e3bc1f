package silverlatch.desk.harbor;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.function.Function;
import silverlatch.crew.Member;
import silverlatch.deck.Deck;
import silverlatch.deck.Effect;
import silverlatch.deck.Event;
import silverlatch.desk.dock.Dock;
import silverlatch.desk.duty.Bridge;
import silverlatch.desk.duty.Duty;
import silverlatch.desk.duty.Logs;
import silverlatch.desk.settings.Settings;
import silverlatch.desk.web.Web;
import silverlatch.ledger.Ledger;
import silverlatch.quay.Clerk;
import silverlatch.quay.Quay;
import silverlatch.rumor.Worker;
import silverlatch.tariff.Charters;
import silverlatch.tariff.Verdict;
import silverlatch.tariff.Wish;

/** The control plane's process: chain, view, and the operators' door. */
@Singleton
public final class Harbor implements Counter {
    private static final long SPAN = 4_000_000L;
    private static final long SOON = 880_000L;
    private final Settings settings;
    private final Bridge bridge;
    private final Dock dock;
    private final Web web;
    private final Optional<Scribe> scribe;
    private final Deck deck;
    private volatile Optional<String> unready = Optional.of("starting");
    private volatile List<Member> nears = List.of();
    private volatile boolean gone;
    private volatile boolean closing;
    private final Optional<Roster> roster;
    private final Calendars calendars = new Calendars();
    private long listed;
    private long calendarAt;
    private final List<Runnable> owed = new ArrayList<>();

    /** Joins the parts. */
    @Inject
    public Harbor(final Settings settings, final Deck deck, final Optional<Ledger> ledger) {
        this.settings = settings;
        this.deck = deck;
        this.dock = new Dock(settings.address(), this::frame);
        this.scribe = ledger.map(l -> new Scribe(l, new Scribe.Told() {
            @Override
            public void kept(final List<Long> tokens) {
                tell(d -> tokens.forEach(t -> d.kept(t, Duty.now())));
            }

            @Override
            public void broke(final String why) {
                tell(d -> d.broke(why, Duty.now()));
            }
        }));
        this.roster = settings.data().map(d -> new Roster(java.nio.file.Path.of(d)));
        this.bridge = new Bridge(deck, settings.rates().deck(), dock::ship, this::keep, this::look);
        this.web = new Web(settings.door(), Math.max(settings.body(), 8 << 20),
                new Door(settings, bridge, dock, calendars, () -> unready)::route);
    }

    /** Opens the doors. */
    public void start() throws IOException, Web.WebFault {
        scribe.ifPresent(Scribe::start);
        roster.ifPresent(r -> {
            deck.rumor().recall(r.read(), Duty.now());
            r.start();
        });
        dock.start();
        bridge.start();
        web.start();
        Logs.write(Event.STARTED, "harbor " + settings.name() + " at " + settings.address() + " door " + settings.door());
    }

    /** Stops in good order: the chain goes on without this machine, its duties have a successor. */
    public void stop() {
        try {
            closing = true;
            bridge.with(d -> d.leave(Duty.now()));
            final long end = Duty.now() + settings.grace();
            while (Duty.now() < end && scribe.isPresent() && !gone) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
            TimeUnit.MILLISECONDS.sleep(100);
            Logs.write(Event.STOPPED, "harbor " + settings.name());
            web.stop();
        } catch (final InterruptedException | Web.WebFault e) {
            Logs.write(Event.STOPPED, "harbor " + settings.name() + " in haste");
        }
    }

    @Override
    public void lay(final Wish.Lay wish, final Consumer<Verdict> then) {
        if (Charters.huge(wish.paper())) {
            then.accept(new Verdict.Rejected(413, List.of("$: longer than " + Charters.LONGEST + " bytes"), 0));
            return;
        }
        wish(wish, SOON, then);
    }

    @Override
    public void zone(final String zone, final boolean on, final Consumer<Verdict> then) {
        wish(new Wish.Zone(UUID.randomUUID().toString(), zone, on, -1), SOON, then);
    }

    @Override
    public void paper(final Consumer<Clerk.Page> then) {
        if (!bridge.read(Charters.PAPER, SOON, r -> then.accept((Clerk.Page) r))) {
            then.accept(new Clerk.Page(false, 0, List.of()));
        }
    }

    @Override
    public void word(final Worker worker, final Consumer<Boolean> then) {
        word(d -> {
            final boolean left = leaving(d, worker.id());
            d.announced(worker, 0, Duty.now());
            return new Taken(d.rumor().workers().containsKey(worker.id()), !left && leaving(d, worker.id()));
        }, then);
    }

    @Override
    public void gone(final String worker, final Consumer<Boolean> then) {
        word(d -> {
            final boolean known = d.gone(worker, Duty.now());
            return new Taken(known, known);
        }, then);
    }

    /** Takes the seeds that hold from now on. */
    public void seeds(final List<String> next) {
        bridge.with(d -> {
            d.crew().seeds(next);
            d.quay().ifPresent(q -> q.seats(next));
        });
    }

    /** A harbor of this region that a worker may call from now on, if it is not this one alone that stands there. */
    public Optional<Member> near(final String zone, final String region) {
        return nears.stream().filter(m -> m.zone().equals(zone)).findFirst()
                .or(() -> nears.stream().filter(m -> m.region().equals(region)).findFirst());
    }

    private record Taken(boolean good, boolean news) {
    }

    /** A leaving that is news goes out with the next beat at the latest, and its reply after that. */
    private void word(final Function<Deck, Taken> what, final Consumer<Boolean> then) {
        final Taken[] taken = {new Taken(false, false)};
        if (!bridge.with(d -> taken[0] = what.apply(d), () -> {
            if (taken[0].news()) {
                owed.add(() -> then.accept(taken[0].good()));
            } else {
                then.accept(taken[0].good());
            }
        })) {
            then.accept(false);
        }
    }

    private static boolean leaving(final Deck d, final String id) {
        return Optional.ofNullable(d.rumor().workers().get(id)).map(h -> h.worker().leaving()).orElse(false);
    }

    private void wish(final Wish w, final long span, final Consumer<Verdict> then) {
        if (!bridge.wish(w, span, r -> then.accept((Verdict) r))) {
            then.accept(new Verdict.Rejected(503, List.of("the ring is full"), 0));
        }
    }

    private void frame(final silverlatch.wire.Frame f) {
        bridge.with(d -> d.frame(f, Duty.now()));
    }

    private void keep(final Effect.Keep k) {
        scribe.ifPresent(s -> s.write(k));
    }

    private void tell(final Consumer<Deck> job) {
        while (!bridge.with(job)) {
            Thread.onSpinWait();
        }
    }

    private void look(final Deck d) {
        final long now = Duty.now();
        final List<Runnable> due = List.copyOf(owed);
        owed.clear();
        due.forEach(Runnable::run);
        nears = java.util.stream.Stream.concat(java.util.stream.Stream.of(d.crew().me()), d.crew().live().stream())
                .filter(m -> !m.purser() && m.state().equals("up")).toList();
        final Optional<String> why = closing ? Optional.of("stopping") : d.quay().map(q -> {
            final Quay.State s = q.state(now);
            gone = q.gone();
            return s.spot().equals("chained") && s.level() && s.leased() ? Optional.<String>empty()
                    : Optional.of("the chain: " + s.spot() + (s.leased() ? "" : ", no lease"));
        }).orElseGet(() -> d.rumor().age(now) < 2_500_000L ? Optional.empty() : Optional.of("the books are not confirmed"));
        if (why.isPresent() != unready.isPresent()) {
            Logs.write(why.isPresent() ? Event.UNREADY : Event.READY, settings.name() + why.map(w -> ": " + w).orElse(""));
            d.ready(why.isEmpty());
        }
        unready = why;
        roster.filter(r -> listed != d.rumor().roster()).ifPresent(r -> {
            if (r.write(d.rumor().standing(now))) {
                listed = d.rumor().roster();
            }
        });
        calendars(d, now);
    }

    private void calendars(final Deck d, final long now) {
        if (now - calendarAt < 1_000_000L) {
            return;
        }
        calendarAt = now;
        d.quay().ifPresent(q -> q.duty(now).ifPresent(fence -> calendars.due(q.books(), d.anchor().unix() + (now - d.anchor().mono()) * 1000, fence)
                .forEach(w -> {
                    Logs.write(Event.CALENDAR, w.id());
                    bridge.wish(w, SPAN, v -> {
                        if (v instanceof Verdict.Unknown) {
                            calendars.forget(w.id());
                        }
                    });
                })));
    }
}
