package silverlatch.server.gateway;

import dagger.BindsInstance;
import dagger.Component;
import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import silverlatch.clock.PhysicalClock;
import silverlatch.dispatch.Dispatcher;
import silverlatch.dispatch.permit.PermitSigner;
import silverlatch.membership.Member;
import silverlatch.node.Event;
import silverlatch.node.Node;
import silverlatch.routing.Router;
import silverlatch.server.eventloop.EventLog;
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.settings.CommandLineFlags;
import silverlatch.server.settings.Settings;

/** The program gateway. */
public final class Main {
    private Main() {}

    /** Runs a gateway until it is told to stop. */
    public static void main(final String[] args) {
        switch (CommandLineFlags.parse("gateway", args, false, System.out, System.err)) {
            case CommandLineFlags.Parsed.Exit end -> System.exit(end.code());
            case CommandLineFlags.Parsed.Run run -> {
                try {
                    final Gateway gateway = build(run.settings());
                    Runtime.getRuntime().addShutdownHook(new Thread(gateway::stop, "stop"));
                    gateway.start();
                    Thread.currentThread().join();
                } catch (final Exception e) {
                    EventLog.write(Event.FAULT, "gateway can't start", e);
                    Runtime.getRuntime().halt(3);
                }
            }
        }
    }

    /** Builds a gateway from its settings. */
    public static Gateway build(final Settings settings) {
        return DaggerMain_Parts.factory().create(settings).gateway();
    }

    /** The parts of a gateway. */
    @Singleton
    @Component(modules = Shed.class)
    interface Parts {
        /** The gateway. */
        Gateway gateway();

        /** Makes the parts. */
        @Component.Factory
        interface Maker {
            /** From its settings. */
            Parts create(@BindsInstance Settings settings);
        }
    }

    /** How the parts are made. */
    @Module
    static final class Shed {
        private Shed() {}

        @Provides
        @Singleton
        static SplittableRandom random() {
            return new SplittableRandom(new SecureRandom().nextLong());
        }

        @Provides
        @Singleton
        static Node node(final Settings settings, final SplittableRandom random) {
            final long nowMicros = EventLoop.nowMicros();
            final long wallMicros = EventLoopHandle.wallClockNanos();
            final Member self = new Member(
                    settings.name(),
                    "gateway",
                    settings.zone(),
                    settings.region(),
                    settings.peerAddress(),
                    settings.httpAddress(),
                    wallMicros / 1000,
                    0,
                    "up",
                    false);
            return new Node(
                    new Node.Settings(
                            self,
                            settings.seeds(),
                            settings.stampLowBits(),
                            settings.maxClockSkew(),
                            settings.intervals().membership(),
                            settings.intervals().gossip()),
                    Optional.empty(),
                    List.of(),
                    new PhysicalClock(wallMicros, nowMicros, 0),
                    random.split(),
                    nowMicros);
        }

        @Provides
        @Singleton
        static Dispatcher dispatcher(final Settings settings, final Node node, final SplittableRandom random) {
            return new Dispatcher(
                    settings.dispatch(),
                    new PermitSigner(settings.clusterKey()),
                    node.facts(),
                    () -> node.localStamp(EventLoop.nowMicros()),
                    random.split());
        }

        @Provides
        @Singleton
        static Router router(final Settings settings, final Node node, final SplittableRandom random) {
            return new Router(
                    Router.Settings.DEFAULT,
                    node.facts(),
                    () -> node.localStamp(EventLoop.nowMicros()),
                    random.split());
        }
    }
}
