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
    public static Gateway build(final Settings s) {
        return DaggerMain_Parts.factory().make(s).gateway();
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
            Parts make(@BindsInstance Settings settings);
        }
    }

    /** How the parts are made. */
    @Module
    static final class Shed {
        private Shed() {}

        @Provides
        @Singleton
        static SplittableRandom luck() {
            return new SplittableRandom(new SecureRandom().nextLong());
        }

        @Provides
        @Singleton
        static Node deck(final Settings s, final SplittableRandom luck) {
            final long now = EventLoop.nowMicros();
            final long wall = EventLoopHandle.wallClockNanos();
            final Member me = new Member(
                    s.name(),
                    "gateway",
                    s.zone(),
                    s.region(),
                    s.peerAddress(),
                    s.httpAddress(),
                    wall / 1000,
                    0,
                    "up",
                    false);
            return new Node(
                    new Node.Settings(
                            me,
                            s.seeds(),
                            s.stampLowBits(),
                            s.maxClockSkew(),
                            s.intervals().membership(),
                            s.intervals().gossip()),
                    Optional.empty(),
                    List.of(),
                    new PhysicalClock(wall, now, 0),
                    luck.split(),
                    now);
        }

        @Provides
        @Singleton
        static Dispatcher carry(final Settings s, final Node deck, final SplittableRandom luck) {
            return new Dispatcher(
                    s.dispatch(),
                    new PermitSigner(s.clusterKey()),
                    deck.facts(),
                    () -> deck.localStamp(EventLoop.nowMicros()),
                    luck.split());
        }

        @Provides
        @Singleton
        static Router passage(final Settings s, final Node deck, final SplittableRandom luck) {
            return new Router(
                    Router.Settings.DEFAULT, deck.facts(), () -> deck.localStamp(EventLoop.nowMicros()), luck.split());
        }
    }
}
