package silverlatch.server.controller;

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
import silverlatch.gossip.Worker;
import silverlatch.log.LogRecord;
import silverlatch.log.WriteAheadLog;
import silverlatch.membership.Member;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.node.Node;
import silverlatch.replication.ChainClient;
import silverlatch.replication.ChainReplica;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.eventloop.Logs;
import silverlatch.server.settings.Settings;
import silverlatch.server.transport.Transport;
import silverlatch.server.web.Web;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.ConfigurationValidator;

/** The control plane's process: chain, view, and the operators' door. */
@Singleton
public final class Controller implements ControlService {
    private static final long SPAN = 4_000_000L;
    private static final long SOON = 880_000L;
    private final Settings settings;
    private final EventLoopHandle bridge;
    private final Transport dock;
    private final Web web;
    private final Optional<LogWriter> scribe;
    private final Node deck;
    private volatile Optional<String> unready = Optional.of("starting");
    private volatile List<Member> nears = List.of();
    private volatile boolean gone;
    private volatile boolean closing;
    private final Optional<WorkerRoster> roster;
    private final Schedules calendars = new Schedules();
    private long listed;
    private long calendarAt;
    private final List<Runnable> owed = new ArrayList<>();

    /** Joins the parts. */
    @Inject
    public Controller(final Settings settings, final Node deck, final Optional<WriteAheadLog> ledger) {
        this.settings = settings;
        this.deck = deck;
        this.dock = new Transport(settings.address(), this::frame);
        this.scribe = ledger.map(log -> new LogWriter(log, new LogWriter.Listener() {
            @Override
            public void synced(final List<Long> tokens) {
                tell(d -> tokens.forEach(t -> d.onPersisted(t, EventLoop.now())), () -> {});
            }

            @Override
            public void failed(final String why, final Runnable fenced) {
                tell(d -> d.onDiskFailed(why, EventLoop.now()), fenced);
            }

            @Override
            public void recovered(final List<LogRecord> records) {
                Logs.write(Event.RECOVERED, records.size() + " records, after the disk had failed");
                tell(d -> d.onDiskRecovered(records, EventLoop.now()), () -> {});
            }
        }));
        this.roster = settings.data().map(d -> new WorkerRoster(java.nio.file.Path.of(d)));
        this.bridge = new EventLoopHandle(deck, settings.rates().deck(), dock::ship, this::keep, this::look);
        this.web = new Web(
                settings.door(),
                Math.max(settings.body(), 8 << 20),
                new Door(settings, bridge, dock, calendars, () -> unready)::route);
    }

    /** Opens the doors. */
    public void start() throws IOException, Web.WebFault {
        scribe.ifPresent(LogWriter::start);
        roster.ifPresent(r -> {
            deck.gossip().restoreReports(r.read(), EventLoop.now());
            r.start();
        });
        dock.start();
        bridge.start();
        web.start();
        Logs.write(
                Event.STARTED,
                "controller " + settings.name() + " at " + settings.address() + " door " + settings.door());
    }

    /** Stops in good order: the chain goes on without this machine, its duties have a successor. */
    public void stop() {
        try {
            closing = true;
            bridge.with(d -> d.leave(EventLoop.now()));
            final long end = EventLoop.now() + settings.grace();
            while (EventLoop.now() < end && scribe.isPresent() && !gone) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
            TimeUnit.MILLISECONDS.sleep(100);
            Logs.write(Event.STOPPED, "controller " + settings.name());
            web.stop();
        } catch (final InterruptedException | Web.WebFault e) {
            Logs.write(Event.STOPPED, "controller " + settings.name() + " in haste");
        }
    }

    @Override
    public void lay(final Command.PutConfiguration wish, final Consumer<CommandResult> then) {
        if (ConfigurationValidator.isTooLong(wish.document())) {
            then.accept(new CommandResult.Rejected(
                    413, List.of("$: longer than " + ConfigurationValidator.MAX_DOCUMENT_BYTES + " bytes"), 0));
            return;
        }
        wish(wish, SOON, then);
    }

    @Override
    public void zone(final String zone, final boolean on, final Consumer<CommandResult> then) {
        final String id = UUID.randomUUID().toString();
        wish(new Command.SetEvacuation(id, zone, on, Command.SetEvacuation.LATEST), SOON, then);
    }

    @Override
    public void paper(final Consumer<ChainClient.ReadResult> then) {
        if (!bridge.read(ConfigurationValidator.DOCUMENT_KEY, SOON, r -> then.accept((ChainClient.ReadResult) r))) {
            then.accept(new ChainClient.ReadResult(false, 0, List.of()));
        }
    }

    @Override
    public void word(final Worker worker, final Consumer<Boolean> then) {
        word(
                d -> {
                    final boolean left = leaving(d, worker.id());
                    d.onAnnouncement(worker, 0, EventLoop.now());
                    return new Taken(d.gossip().workers().containsKey(worker.id()), !left && leaving(d, worker.id()));
                },
                then);
    }

    @Override
    public void gone(final String worker, final Consumer<Boolean> then) {
        word(
                d -> {
                    final boolean known = d.onWorkerGone(worker, EventLoop.now());
                    return new Taken(known, known);
                },
                then);
    }

    /** Takes the seeds that hold from now on. */
    public void seeds(final List<String> next) {
        bridge.with(d -> {
            d.membership().setSeeds(next);
            d.chainReplica().ifPresent(q -> q.seeds(next));
        });
    }

    /** A controller of this region that a worker may call from now on, if it is not this one alone that stands there. */
    public Optional<Member> near(final String zone, final String region) {
        return nears.stream()
                .filter(m -> m.zone().equals(zone))
                .findFirst()
                .or(() -> nears.stream().filter(m -> m.region().equals(region)).findFirst());
    }

    private record Taken(boolean good, boolean news) {}

    /** A leaving that is news goes out with the next beat at the latest, and its reply after that. */
    private void word(final Function<Node, Taken> what, final Consumer<Boolean> then) {
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

    private static boolean leaving(final Node d, final String id) {
        return Optional.ofNullable(d.gossip().workers().get(id))
                .map(h -> h.worker().draining())
                .orElse(false);
    }

    private void wish(final Command w, final long span, final Consumer<CommandResult> then) {
        if (!bridge.wish(w, span, r -> then.accept((CommandResult) r))) {
            then.accept(new CommandResult.Rejected(503, List.of("the ring is full"), 0));
        }
    }

    private void frame(final silverlatch.wire.Frame f) {
        bridge.with(d -> d.onFrame(f, EventLoop.now()));
    }

    private void keep(final Effect.Persist k) {
        scribe.ifPresent(s -> s.write(k));
    }

    private void tell(final Consumer<Node> job, final Runnable then) {
        while (!bridge.with(job, then)) {
            Thread.onSpinWait();
        }
    }

    private void look(final Node d) {
        final long now = EventLoop.now();
        final List<Runnable> due = List.copyOf(owed);
        owed.clear();
        due.forEach(Runnable::run);
        nears = java.util.stream.Stream.concat(
                        java.util.stream.Stream.of(d.membership().self()), d.membership().liveMembers().stream())
                .filter(m -> !m.isGateway() && m.state().equals("up"))
                .toList();
        final Optional<String> why = closing
                ? Optional.of("stopping")
                : d.chainReplica()
                        .map(q -> {
                            final ChainReplica.ReplicaStatus s = q.status(now);
                            gone = q.hasLeft();
                            return s.state().equals("chained") && s.isCaughtUp() && s.isLeased()
                                    ? Optional.<String>empty()
                                    : Optional.of("the chain: " + s.state() + (s.isLeased() ? "" : ", no lease"));
                        })
                        .orElseGet(() -> d.gossip().stateAge(now) < 2_500_000L
                                ? Optional.empty()
                                : Optional.of("the books are not confirmed"));
        if (why.isPresent() != unready.isPresent()) {
            Logs.write(
                    why.isPresent() ? Event.UNREADY : Event.READY,
                    settings.name() + why.map(w -> ": " + w).orElse(""));
            d.setReady(why.isEmpty());
        }
        unready = why;
        roster.filter(r -> listed != d.gossip().reportsDigest()).ifPresent(r -> {
            if (r.write(d.gossip().activeReports(now))) {
                listed = d.gossip().reportsDigest();
            }
        });
        calendars(d, now);
    }

    private void calendars(final Node d, final long now) {
        if (now - calendarAt < 1_000_000L) {
            return;
        }
        calendarAt = now;
        d.chainReplica()
                .ifPresent(q -> q.fencingToken(now)
                        .ifPresent(fence -> calendars
                                .due(
                                        q.stateMachine(),
                                        d.physicalClock().unixNanos()
                                                + (now - d.physicalClock().monotonicMicros()) * 1000,
                                        fence)
                                .forEach(w -> {
                                    Logs.write(Event.CALENDAR, w.id());
                                    bridge.wish(w, SPAN, v -> {
                                        if (v instanceof CommandResult.Unknown) {
                                            calendars.forget(w.id());
                                        }
                                    });
                                })));
    }
}
