package silverlatch.server.controller;

import dagger.BindsInstance;
import dagger.Component;
import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import java.io.IOException;
import java.nio.file.Path;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.concurrent.locks.LockSupport;
import silverlatch.clock.PhysicalClock;
import silverlatch.log.LogRecord;
import silverlatch.log.WriteAheadLog;
import silverlatch.membership.Member;
import silverlatch.node.Event;
import silverlatch.node.Node;
import silverlatch.replication.ChainReplica;
import silverlatch.replication.Replica;
import silverlatch.server.eventloop.EventLog;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.settings.CommandLineFlags;
import silverlatch.server.settings.Settings;

/** The program controller. */
public final class Main {
    private static final long RETRY_PAUSE_NANOS = 200_000_000L;

    private Main() {}

    /** Runs a controller until it is told to stop. */
    public static void main(final String[] args) {
        switch (CommandLineFlags.parse("controller", args, true, System.out, System.err)) {
            case CommandLineFlags.Parsed.Exit end -> System.exit(end.code());
            case CommandLineFlags.Parsed.Run run -> start(run.settings());
        }
    }

    /** Opens the ledger in the data folder, if there is one, as soon as the disk lets it; a damaged one ends the process. */
    public static Optional<WriteAheadLog.OpenResult.Success> openLog(final Settings settings) {
        return openLog(settings, false);
    }

    /** The same; where damaged ones are put aside, the machine starts as an empty one under a new identity. */
    public static Optional<WriteAheadLog.OpenResult.Success> openLog(
            final Settings settings, final boolean setDamagedAside) {
        return settings.dataFolder().map(data -> {
            boolean isReported = false;
            while (true) {
                switch (WriteAheadLog.open(Path.of(data), settings.mayBootstrap())) {
                    case WriteAheadLog.OpenResult.Unavailable b -> {
                        if (!isReported) {
                            EventLog.write(Event.BARRED, b.reason());
                        }
                        isReported = true;
                        LockSupport.parkNanos(RETRY_PAUSE_NANOS);
                    }
                    case WriteAheadLog.OpenResult.Damaged d -> {
                        EventLog.write(Event.DAMAGED, d.reason());
                        if (!setDamagedAside || !setAside(Path.of(data))) {
                            System.exit(4);
                        }
                    }
                    case WriteAheadLog.OpenResult.Unsupported u -> {
                        EventLog.write(Event.LOG_FORMAT, u.reason());
                        System.exit(4);
                    }
                    case WriteAheadLog.OpenResult.Success g -> {
                        EventLog.write(
                                Event.RECOVERED,
                                g.records().size() + " notes, " + g.tornBytes() + " bytes of a torn tail cut off");
                        return g;
                    }
                }
            }
        });
    }

    private static boolean setAside(final Path data) {
        try {
            WriteAheadLog.moveAside(data);
            return true;
        } catch (final IOException e) {
            EventLog.write(Event.BARRED, "" + e.getMessage());
            return false;
        }
    }

    /** Builds a controller from its settings and its ledger, if it has a data folder. */
    public static Controller build(final Settings settings, final Optional<WriteAheadLog.OpenResult.Success> opened) {
        return DaggerMain_Parts.factory().make(settings, opened).controller();
    }

    private static void start(final Settings settings) {
        try {
            final Controller controller = build(settings, openLog(settings));
            Runtime.getRuntime().addShutdownHook(new Thread(controller::stop, "stop"));
            controller.start();
            Thread.currentThread().join();
        } catch (final Exception e) {
            EventLog.write(Event.FAULT, "controller can't start", e);
            Runtime.getRuntime().halt(3);
        }
    }

    /** The parts of a controller. */
    @Singleton
    @Component(modules = ControllerModule.class)
    interface Parts {
        /** The controller. */
        Controller controller();

        /** Makes the parts. */
        @Component.Factory
        interface Maker {
            /** From its settings and its ledger, if it has a data folder. */
            Parts make(
                    @BindsInstance Settings settings, @BindsInstance Optional<WriteAheadLog.OpenResult.Success> opened);
        }
    }

    /** How the parts are made. */
    @Module
    static final class ControllerModule {
        private ControllerModule() {}

        @Provides
        @Singleton
        static Optional<WriteAheadLog> writeAheadLog(final Optional<WriteAheadLog.OpenResult.Success> opened) {
            return opened.map(WriteAheadLog.OpenResult.Success::log);
        }

        @Provides
        @Singleton
        static Node node(final Settings settings, final Optional<WriteAheadLog.OpenResult.Success> opened) {
            final long now = EventLoop.nowMicros();
            final long wallNanos = EventLoopHandle.wallClockNanos();
            final Member self = new Member(
                    settings.name(),
                    "controller",
                    settings.zone(),
                    settings.region(),
                    settings.peerAddress(),
                    settings.httpAddress(),
                    wallNanos / 1000,
                    0,
                    "up",
                    false);
            final List<LogRecord> records =
                    opened.map(WriteAheadLog.OpenResult.Success::records).orElse(List.of());
            return new Node(
                    new Node.Settings(
                            self,
                            settings.seeds(),
                            settings.stampLowBits(),
                            settings.maxClockSkew(),
                            settings.intervals().membership(),
                            settings.intervals().gossip()),
                    opened.map(o -> ChainReplica.ReplicaSettings.of(
                                    new Replica(o.identity(), settings.peerAddress()), settings.seeds())
                            .withCounts(settings.minInSyncReplicas(), settings.voterCount())
                            .withBootstrap(settings.mayBootstrap() || o.mayFound())),
                    records,
                    new PhysicalClock(wallNanos, now, 0),
                    new SplittableRandom(new SecureRandom().nextLong()),
                    now);
        }
    }
}
