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

/** The program `gateway`: accepts requests of clients and places them at workers. */
public final class Main {
    private static final int START_FAILED = 3;

    private Main() {}

    /**
     * Runs a gateway until SIGTERM or SIGINT. Exit codes: 0 after a stop, 2 for faulty flags or settings, 3 when it can't start.
     */
    public static void main(final String[] args) {
        switch (CommandLineFlags.parse("gateway", args, false, System.out, System.err)) {
            case CommandLineFlags.Parsed.Exit exit -> System.exit(exit.code());
            case CommandLineFlags.Parsed.Run run -> run(run.settings());
        }
    }

    private static void run(final Settings settings) {
        try {
            final Gateway gateway = build(settings);
            Runtime.getRuntime().addShutdownHook(new Thread(gateway::stop, "stop"));
            gateway.start();
            Thread.currentThread().join();
        } catch (final Exception e) {
            EventLog.write(Event.FAULT, "gateway can't start", e);
            Runtime.getRuntime().halt(START_FAILED);
        }
    }

    /** Builds a gateway from checked settings; nothing is started and no port is opened. */
    public static Gateway build(final Settings settings) {
        return DaggerMain_GatewayComponent.factory().create(settings).gateway();
    }

    /** The object graph of a gateway process. */
    @Singleton
    @Component(modules = GatewayModule.class)
    interface GatewayComponent {
        /** The one gateway of the process. */
        Gateway gateway();

        /** Creates the graph. */
        @Component.Factory
        interface Factory {
            /** Creates it from checked settings; nothing is started. */
            GatewayComponent create(@BindsInstance Settings settings);
        }
    }

    /** What Dagger cannot construct by itself. */
    @Module
    static final class GatewayModule {
        private GatewayModule() {}

        @Provides
        @Singleton
        static SplittableRandom random() {
            return new SplittableRandom(new SecureRandom().nextLong());
        }

        @Provides
        @Singleton
        static Node node(final Settings settings, final SplittableRandom random) {
            final long nowMicros = EventLoop.nowMicros();
            final long wallNanos = EventLoopHandle.wallClockNanos();
            final Member self = new Member(
                    settings.name(),
                    "gateway",
                    settings.zone(),
                    settings.region(),
                    settings.peerAddress(),
                    settings.httpAddress(),
                    wallNanos / 1000,
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
                    new PhysicalClock(wallNanos, nowMicros, 0),
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
