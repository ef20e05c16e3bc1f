package silverlatch.server.controller;

import jakarta.inject.Inject;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.UUID;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.stream.Stream;
import silverlatch.gossip.Worker;
import silverlatch.log.WriteAheadLog;
import silverlatch.membership.Member;
import silverlatch.membership.MemberState;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.node.Node;
import silverlatch.replication.ChainClient;
import silverlatch.replication.ChainReplica;
import silverlatch.server.eventloop.Caller;
import silverlatch.server.eventloop.EventLog;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.persistence.SavedWorkerReports;
import silverlatch.server.process.DaemonProcess;
import silverlatch.server.provider.CallSource;
import silverlatch.server.provider.CloudProvider;
import silverlatch.server.provider.ProviderCaller;
import silverlatch.server.provider.ScalingCallSource;
import silverlatch.server.provider.UsageCallSource;
import silverlatch.server.settings.Settings;
import silverlatch.server.transport.Transport;
import silverlatch.server.web.ApiServer;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.ConfigurationValidator;
import silverlatch.wire.Frame;

/**
 * A process of the control plane: a node with its event loop, transport and HTTP API and, if it has a data directory, a log writer
 * and a replica of the chain.
 */
@Singleton
public final class Controller implements ControlService, DaemonProcess.Daemon {
    /** Shorter than 900 ms, so that the result of a {@link ControlService} call is delivered within that time. */
    private static final long SERVICE_TIMEOUT_MICROS = 880_000L;

    private static final long STOP_POLL_MS = 20;

    /** Time for the last frames to be sent before the process stops. */
    private static final long STOP_LINGER_MS = 100;

    private final Settings settings;
    private final Node node;
    private final EventLoopHandle eventLoop;
    private final Transport transport;
    private final ApiServer apiServer;
    private final Optional<LogWriter> logWriter;
    private final Optional<SavedWorkerReports> savedWorkerReports;
    private final Readiness readiness;
    private final WorkerAnnouncements announcements;
    private final ScheduleRunner scheduleRunner;
    private Optional<ProviderCaller> providerCaller = Optional.empty();
    private volatile List<Member> liveControllers = List.of();

    /** Creates and connects the parts of a controller; no thread runs before {@link #start()}. */
    @Inject
    public Controller(final Settings settings, final Node node, final Optional<WriteAheadLog> writeAheadLog) {
        this.settings = settings;
        this.node = node;
        this.transport = new Transport(settings.peerAddress(), this::onFrame);
        this.eventLoop = new EventLoopHandle(
                node, settings.intervals().nodeTick(), transport::send, this::persist, this::afterTick);
        this.logWriter = writeAheadLog.map(log -> new LogWriter(log, new NodeLogListener(eventLoop)));
        this.savedWorkerReports = settings.dataDirectory().map(folder -> new SavedWorkerReports(Path.of(folder)));
        this.readiness = new Readiness(settings.name());
        this.announcements = new WorkerAnnouncements(eventLoop, SERVICE_TIMEOUT_MICROS);
        final CronScheduler scheduler = new CronScheduler();
        this.scheduleRunner = new ScheduleRunner(scheduler, eventLoop);
        this.apiServer = new ApiServer(
                settings.httpAddress(),
                ApiRouter.maxBodyBytes(settings),
                new ApiRouter(
                                settings,
                                eventLoop,
                                transport,
                                scheduler,
                                readiness::unreadyReason,
                                this::providerCallCounts)::route);
        if (settings.singleton().reportsUsage()) {
            node.traffic().enableUsageClosing(settings.singleton().usageSchedule());
        }
    }

    /** Enables calls of the cloud provider while this process owns the singleton role. Must be called before {@link #start()}. */
    public void enableProviderCalls(final CloudProvider provider) {
        final List<CallSource> sources = new ArrayList<>();
        if (settings.singleton().reportsUsage()) {
            sources.add(new UsageCallSource(
                    node.traffic().outbox(), () -> node.chainReplica().map(ChainReplica::stateMachine)));
        }
        if (settings.singleton().scales()) {
            sources.add(new ScalingCallSource(now -> ScalingObserver.observe(node, now)));
        }
        providerCaller = Optional.of(new ProviderCaller(
                settings.singleton(),
                provider,
                sources,
                now -> node.chainReplica().flatMap(replica -> replica.fencingToken(now)),
                EventLoop::nowMicros,
                task -> eventLoop.execute(target -> task.run()),
                new SplittableRandom()));
    }

    /** Restores the saved reports on workers, starts the threads, and binds the addresses. */
    @Override
    public void start() throws IOException, ApiServer.HttpServerException {
        logWriter.ifPresent(LogWriter::start);
        savedWorkerReports.ifPresent(reports -> {
            eventLoop.openReportStore(reports);
            reports.start();
        });
        transport.start();
        eventLoop.start();
        apiServer.start();
        EventLog.write(
                Event.STARTED,
                "controller " + settings.name() + " at " + settings.peerAddress() + ", HTTP at "
                        + settings.httpAddress());
    }

    /** Shuts down gracefully: waits, at most for the grace period, until this replica has left the chain. */
    @Override
    public void stop() {
        try {
            readiness.markStopping();
            eventLoop.execute(target -> target.leave(EventLoop.nowMicros()));
            final long deadline = EventLoop.nowMicros() + settings.shutdownGrace();
            while (EventLoop.nowMicros() < deadline && logWriter.isPresent() && !readiness.hasLeftChain()) {
                TimeUnit.MILLISECONDS.sleep(STOP_POLL_MS);
            }
            TimeUnit.MILLISECONDS.sleep(STOP_LINGER_MS);
            EventLog.write(Event.STOPPED, "controller " + settings.name());
            apiServer.stop();
        } catch (final InterruptedException | ApiServer.HttpServerException failure) {
            EventLog.write(Event.STOPPED, "controller " + settings.name() + ", not gracefully");
        }
    }

    @Override
    public void putConfiguration(final Command.PutFullConfiguration command, final Consumer<CommandResult> onResult) {
        if (ConfigurationValidator.isTooLong(command.base().document())) {
            onResult.accept(new CommandResult.Rejected(
                    ApiReplies.CONTENT_TOO_LARGE,
                    List.of("$: longer than " + ConfigurationValidator.MAX_DOCUMENT_BYTES + " bytes"),
                    0));
            return;
        }
        submit(command.toCompatibleCommand(), Caller.WAITS, onResult);
    }

    @Override
    public void setEvacuation(
            final String zone, final boolean isEvacuated, final Caller caller, final Consumer<CommandResult> onResult) {
        final String id = UUID.randomUUID().toString();
        EventLog.write(
                Event.COMMAND_RECEIVED,
                id + " " + (isEvacuated ? "evacuate " : "restore ") + zone + ", connected for "
                        + caller.possibleWaitMicros() + " us");
        submit(new Command.SetEvacuation(id, zone, isEvacuated, Command.SetEvacuation.LATEST), caller, onResult);
    }

    @Override
    public void readConfiguration(final Consumer<ChainClient.ReadResult> onResult) {
        final boolean isPosted = eventLoop.read(ConfigurationValidator.DOCUMENT_KEY, SERVICE_TIMEOUT_MICROS, onResult);
        if (!isPosted) {
            onResult.accept(new ChainClient.ReadResult(false, 0, List.of()));
        }
    }

    @Override
    public void announce(final Worker worker, final Consumer<Boolean> onResult) {
        announcements.announce(worker, onResult);
    }

    @Override
    public void markWorkerGone(final String workerId, final Consumer<Boolean> onResult) {
        announcements.markWorkerGone(workerId, onResult);
    }

    /** Replaces the seed addresses. Callable from any thread. */
    public void updateSeeds(final List<String> newSeeds) {
        eventLoop.execute(target -> {
            target.membership().setSeeds(newSeeds);
            target.chainReplica().ifPresent(replica -> replica.updateSeeds(newSeeds));
        });
    }

    /**
     * Returns a live controller, possibly this one, to which a worker can announce itself: one in the worker's zone, else one in its
     * region; empty if there is neither. Callable from any thread.
     */
    public Optional<Member> nearestController(final String zone, final String region) {
        return liveControllers.stream()
                .filter(member -> member.zone().equals(zone))
                .findFirst()
                .or(() -> liveControllers.stream()
                        .filter(member -> member.region().equals(region))
                        .findFirst());
    }

    private Map<CloudProvider.Outcome, Long> providerCallCounts() {
        return providerCaller.map(ProviderCaller::counters).orElse(Map.of());
    }

    private void submit(final Command command, final Caller caller, final Consumer<CommandResult> onResult) {
        final boolean isPosted = eventLoop.submit(command, SERVICE_TIMEOUT_MICROS, caller, onResult);
        if (!isPosted) {
            onResult.accept(
                    new CommandResult.Rejected(ApiReplies.SERVICE_UNAVAILABLE, List.of(ApiReplies.OVERLOADED), 0));
        }
    }

    private void onFrame(final Frame frame) {
        eventLoop.execute(target -> target.onFrame(frame, EventLoop.nowMicros()));
    }

    private void persist(final Effect.Persist write) {
        logWriter.ifPresent(writer -> writer.write(write));
    }

    /** Updates everything that follows the node's state. Called on the event loop after each tick. */
    private void afterTick(final Node tickedNode) {
        final long now = EventLoop.nowMicros();
        liveControllers = Stream.concat(
                        Stream.of(tickedNode.membership().self()), tickedNode.membership().liveMembers().stream())
                .filter(member -> !member.isGateway() && member.is(MemberState.UP))
                .toList();
        readiness.update(tickedNode, now);
        scheduleRunner.afterTick(tickedNode, now);
        providerCaller.ifPresent(ProviderCaller::tick);
    }
}
