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
import silverlatch.server.eventloop.EventLog;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.settings.Settings;
import silverlatch.server.transport.Transport;
import silverlatch.server.web.ApiServer;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.ConfigurationValidator;

/** The control plane's process: chain, view, and the operators' door. */
@Singleton
public final class Controller implements ControlService {
    private static final long SCHEDULE_TIMEOUT_MICROS = 4_000_000L;
    private static final long SERVICE_TIMEOUT_MICROS = 880_000L;
    private final Settings settings;
    private final EventLoopHandle eventLoop;
    private final Transport transport;
    private final ApiServer apiServer;
    private final Optional<LogWriter> logWriter;
    private final Node node;
    private volatile Optional<String> unreadyReason = Optional.of("starting");
    private volatile List<Member> readyControllers = List.of();
    private volatile boolean gone;
    private volatile boolean isStopping;
    private final Optional<WorkerRoster> roster;
    private final CronScheduler calendars = new CronScheduler();
    private long savedRosterRevision;
    private long schedulesCheckedAt;
    private final List<Runnable> delayedReplies = new ArrayList<>();

    /** Joins the parts. */
    @Inject
    public Controller(final Settings settings, final Node node, final Optional<WriteAheadLog> writeAheadLog) {
        this.settings = settings;
        this.node = node;
        this.transport = new Transport(settings.peerAddress(), this::frame);
        this.logWriter = writeAheadLog.map(log -> new LogWriter(log, new LogWriter.Listener() {
            @Override
            public void synced(final List<Long> tokens) {
                postUntilAccepted(d -> tokens.forEach(t -> d.onPersisted(t, EventLoop.nowMicros())), () -> {});
            }

            @Override
            public void failed(final String why, final Runnable fenced) {
                postUntilAccepted(d -> d.onDiskFailed(why, EventLoop.nowMicros()), fenced);
            }

            @Override
            public void recovered(final List<LogRecord> records) {
                EventLog.write(Event.RECOVERED, records.size() + " records, after the disk had failed");
                postUntilAccepted(d -> d.onDiskRecovered(records, EventLoop.nowMicros()), () -> {});
            }
        }));
        this.roster = settings.dataFolder().map(d -> new WorkerRoster(java.nio.file.Path.of(d)));
        this.eventLoop = new EventLoopHandle(
                node, settings.intervals().nodeTick(), transport::send, this::writeLog, this::afterTick);
        this.apiServer = new ApiServer(
                settings.httpAddress(),
                ApiRouter.maxBodyBytes(settings),
                new ApiRouter(settings, eventLoop, transport, calendars, () -> unreadyReason)::route);
    }

    /** Opens the doors. */
    public void start() throws IOException, ApiServer.HttpServerException {
        logWriter.ifPresent(LogWriter::start);
        roster.ifPresent(r -> {
            node.gossip().restoreReports(r.read(), EventLoop.nowMicros());
            r.start();
        });
        transport.start();
        eventLoop.start();
        apiServer.start();
        EventLog.write(
                Event.STARTED,
                "controller " + settings.name() + " at " + settings.peerAddress() + " door " + settings.httpAddress());
    }

    /** Stops in good order: the chain goes on without this machine, its duties have a successor. */
    public void stop() {
        try {
            isStopping = true;
            eventLoop.execute(d -> d.leave(EventLoop.nowMicros()));
            final long deadline = EventLoop.nowMicros() + settings.shutdownGrace();
            while (EventLoop.nowMicros() < deadline && logWriter.isPresent() && !gone) {
                TimeUnit.MILLISECONDS.sleep(20);
            }
            TimeUnit.MILLISECONDS.sleep(100);
            EventLog.write(Event.STOPPED, "controller " + settings.name());
            apiServer.stop();
        } catch (final InterruptedException | ApiServer.HttpServerException e) {
            EventLog.write(Event.STOPPED, "controller " + settings.name() + " in haste");
        }
    }

    @Override
    public void putConfiguration(final Command.PutConfiguration command, final Consumer<CommandResult> onResult) {
        if (ConfigurationValidator.isTooLong(command.document())) {
            onResult.accept(new CommandResult.Rejected(
                    413, List.of("$: longer than " + ConfigurationValidator.MAX_DOCUMENT_BYTES + " bytes"), 0));
            return;
        }
        wish(command, SERVICE_TIMEOUT_MICROS, onResult);
    }

    @Override
    public void setEvacuation(final String zone, final boolean isEvacuated, final Consumer<CommandResult> onResult) {
        final String id = UUID.randomUUID().toString();
        wish(
                new Command.SetEvacuation(id, zone, isEvacuated, Command.SetEvacuation.LATEST),
                SERVICE_TIMEOUT_MICROS,
                onResult);
    }

    @Override
    public void readConfiguration(final Consumer<ChainClient.ReadResult> onResult) {
        if (!eventLoop.read(
                ConfigurationValidator.DOCUMENT_KEY,
                SERVICE_TIMEOUT_MICROS,
                r -> onResult.accept((ChainClient.ReadResult) r))) {
            onResult.accept(new ChainClient.ReadResult(false, 0, List.of()));
        }
    }

    @Override
    public void announce(final Worker worker, final Consumer<Boolean> onResult) {
        word(
                d -> {
                    final boolean left = leaving(d, worker.id());
                    d.onAnnouncement(worker, 0, EventLoop.nowMicros());
                    return new ReportOutcome(
                            d.gossip().workers().containsKey(worker.id()), !left && leaving(d, worker.id()));
                },
                onResult);
    }

    @Override
    public void workerLeft(final String workerId, final Consumer<Boolean> onResult) {
        word(
                d -> {
                    final boolean known = d.onWorkerGone(workerId, EventLoop.nowMicros());
                    return new ReportOutcome(known, known);
                },
                onResult);
    }

    /** Takes the seeds that hold from now on. */
    public void updateSeeds(final List<String> newSeeds) {
        eventLoop.execute(d -> {
            d.membership().setSeeds(newSeeds);
            d.chainReplica().ifPresent(q -> q.seeds(newSeeds));
        });
    }

    /** A controller of this region that a worker may call from now on, if it is not this one alone that stands there. */
    public Optional<Member> nearestController(final String zone, final String region) {
        return readyControllers.stream()
                .filter(m -> m.zone().equals(zone))
                .findFirst()
                .or(() -> readyControllers.stream()
                        .filter(m -> m.region().equals(region))
                        .findFirst());
    }

    private record ReportOutcome(boolean isAccepted, boolean startsDraining) {}

    /** A leaving that is news goes out with the next beat at the latest, and its reply after that. */
    private void word(final Function<Node, ReportOutcome> report, final Consumer<Boolean> onResult) {
        final ReportOutcome[] outcome = {new ReportOutcome(false, false)};
        if (!eventLoop.execute(d -> outcome[0] = report.apply(d), () -> {
            if (outcome[0].startsDraining()) {
                delayedReplies.add(() -> onResult.accept(outcome[0].isAccepted()));
            } else {
                onResult.accept(outcome[0].isAccepted());
            }
        })) {
            onResult.accept(false);
        }
    }

    private static boolean leaving(final Node d, final String id) {
        return Optional.ofNullable(d.gossip().workers().get(id))
                .map(h -> h.worker().draining())
                .orElse(false);
    }

    private void wish(final Command command, final long timeoutMicros, final Consumer<CommandResult> onResult) {
        if (!eventLoop.submit(command, timeoutMicros, r -> onResult.accept((CommandResult) r))) {
            onResult.accept(new CommandResult.Rejected(503, List.of("the ring is full"), 0));
        }
    }

    private void frame(final silverlatch.wire.Frame frame) {
        eventLoop.execute(d -> d.onFrame(frame, EventLoop.nowMicros()));
    }

    private void writeLog(final Effect.Persist write) {
        logWriter.ifPresent(s -> s.write(write));
    }

    private void postUntilAccepted(final Consumer<Node> task, final Runnable afterFlush) {
        while (!eventLoop.execute(task, afterFlush)) {
            Thread.onSpinWait();
        }
    }

    private void afterTick(final Node d) {
        final long now = EventLoop.nowMicros();
        final List<Runnable> due = List.copyOf(delayedReplies);
        delayedReplies.clear();
        due.forEach(Runnable::run);
        readyControllers = java.util.stream.Stream.concat(
                        java.util.stream.Stream.of(d.membership().self()), d.membership().liveMembers().stream())
                .filter(m -> !m.isGateway() && m.state().equals("up"))
                .toList();
        final Optional<String> why = isStopping
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
        if (why.isPresent() != unreadyReason.isPresent()) {
            EventLog.write(
                    why.isPresent() ? Event.UNREADY : Event.READY,
                    settings.name() + why.map(w -> ": " + w).orElse(""));
            d.setReady(why.isEmpty());
        }
        unreadyReason = why;
        roster.filter(r -> savedRosterRevision != d.gossip().reportsDigest()).ifPresent(r -> {
            if (r.write(d.gossip().activeReports(now))) {
                savedRosterRevision = d.gossip().reportsDigest();
            }
        });
        calendars(d, now);
    }

    private void calendars(final Node d, final long now) {
        if (now - schedulesCheckedAt < 1_000_000L) {
            return;
        }
        schedulesCheckedAt = now;
        d.chainReplica()
                .ifPresent(q -> q.fencingToken(now)
                        .ifPresent(fence -> calendars
                                .dueCommands(
                                        q.stateMachine(),
                                        d.physicalClock().unixNanos()
                                                + (now - d.physicalClock().monotonicMicros()) * 1000,
                                        fence)
                                .forEach(w -> {
                                    EventLog.write(Event.CALENDAR, w.id());
                                    eventLoop.submit(w, SCHEDULE_TIMEOUT_MICROS, v -> {
                                        if (v instanceof CommandResult.Unknown) {
                                            calendars.forget(w.id());
                                        }
                                    });
                                })));
    }
}
