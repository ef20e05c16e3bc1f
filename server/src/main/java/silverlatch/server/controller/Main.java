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
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.eventloop.Logs;
import silverlatch.server.settings.Flags;
import silverlatch.server.settings.Settings;

/** The program controller. */
public final class Main {
    private static final long PAUSE = 200_000_000L;

    private Main() {}

    /** Runs a controller until it is told to stop. */
    public static void main(final String[] args) {
        switch (Flags.parse("controller", args, true, System.out, System.err)) {
            case Flags.Parsed.End end -> System.exit(end.code());
            case Flags.Parsed.Run run -> start(run.settings());
        }
    }

    /** Opens the ledger in the data folder, if there is one, as soon as the disk lets it; a damaged one ends the process. */
    public static Optional<WriteAheadLog.OpenResult.Success> open(final Settings s) {
        return open(s, false);
    }

    /** The same; where damaged ones are put aside, the machine starts as an empty one under a new identity. */
    public static Optional<WriteAheadLog.OpenResult.Success> open(final Settings s, final boolean aside) {
        return s.data().map(data -> {
            boolean told = false;
            while (true) {
                switch (WriteAheadLog.open(Path.of(data), s.found())) {
                    case WriteAheadLog.OpenResult.Unavailable b -> {
                        if (!told) {
                            Logs.write(Event.BARRED, b.reason());
                        }
                        told = true;
                        LockSupport.parkNanos(PAUSE);
                    }
                    case WriteAheadLog.OpenResult.Damaged d -> {
                        Logs.write(Event.DAMAGED, d.reason());
                        if (!aside || !aside(Path.of(data))) {
                            System.exit(4);
                        }
                    }
                    case WriteAheadLog.OpenResult.Unsupported u -> {
                        Logs.write(Event.LOG_FORMAT, u.reason());
                        System.exit(4);
                    }
                    case WriteAheadLog.OpenResult.Success g -> {
                        Logs.write(
                                Event.RECOVERED,
                                g.records().size() + " notes, " + g.tornBytes() + " bytes of a torn tail cut off");
                        return g;
                    }
                }
            }
        });
    }

    private static boolean aside(final Path data) {
        try {
            WriteAheadLog.moveAside(data);
            return true;
        } catch (final IOException e) {
            Logs.write(Event.BARRED, "" + e.getMessage());
            return false;
        }
    }

    /** Builds a controller from its settings and its ledger, if it has a data folder. */
    public static Controller build(final Settings s, final Optional<WriteAheadLog.OpenResult.Success> opened) {
        return DaggerMain_Parts.factory().make(s, opened).controller();
    }

    private static void start(final Settings s) {
        try {
            final Controller controller = build(s, open(s));
            Runtime.getRuntime().addShutdownHook(new Thread(controller::stop, "stop"));
            controller.start();
            Thread.currentThread().join();
        } catch (final Exception e) {
            Logs.write(Event.FAULT, "controller can't start", e);
            Runtime.getRuntime().halt(3);
        }
    }

    /** The parts of a controller. */
    @Singleton
    @Component(modules = Shed.class)
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
    static final class Shed {
        private Shed() {}

        @Provides
        @Singleton
        static Optional<WriteAheadLog> ledger(final Optional<WriteAheadLog.OpenResult.Success> opened) {
            return opened.map(WriteAheadLog.OpenResult.Success::log);
        }

        @Provides
        @Singleton
        static Node deck(final Settings s, final Optional<WriteAheadLog.OpenResult.Success> opened) {
            final long now = EventLoop.now();
            final long wall = EventLoopHandle.wall();
            final Member me = new Member(
                    s.name(), "controller", s.zone(), s.region(), s.address(), s.door(), wall / 1000, 0, "up", false);
            final List<LogRecord> notes =
                    opened.map(WriteAheadLog.OpenResult.Success::records).orElse(List.of());
            return new Node(
                    new Node.Settings(
                            me,
                            s.seeds(),
                            s.low(),
                            s.skew(),
                            s.rates().crew(),
                            s.rates().rumor()),
                    opened.map(o -> ChainReplica.ReplicaSettings.of(new Replica(o.identity(), s.address()), s.seeds())
                            .withCounts(s.copies(), s.voters())
                            .withBootstrap(s.found() || o.mayFound())),
                    notes,
                    new PhysicalClock(wall, now, 0),
                    new SplittableRandom(new SecureRandom().nextLong()),
                    now);
        }
    }
}
