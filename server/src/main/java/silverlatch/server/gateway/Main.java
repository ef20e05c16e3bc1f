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
import silverlatch.server.eventloop.EventLoop;
import silverlatch.server.eventloop.EventLoopHandle;
import silverlatch.server.eventloop.Logs;
import silverlatch.server.settings.Flags;
import silverlatch.server.settings.Settings;

/** The program gateway. */
public final class Main {
    private Main() {}

    /** Runs a gateway until it is told to stop. */
    public static void main(final String[] args) {
        switch (Flags.parse("gateway", args, false, System.out, System.err)) {
            case Flags.Parsed.End end -> System.exit(end.code());
            case Flags.Parsed.Run run -> {
                try {
                    final Gateway gateway = build(run.settings());
                    Runtime.getRuntime().addShutdownHook(new Thread(gateway::stop, "stop"));
                    gateway.start();
                    Thread.currentThread().join();
                } catch (final Exception e) {
                    Logs.write(Event.FAULT, "gateway can't start", e);
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
            final long now = EventLoop.now();
            final long wall = EventLoopHandle.wall();
            final Member me = new Member(
                    s.name(), "gateway", s.zone(), s.region(), s.address(), s.door(), wall / 1000, 0, "up", false);
            return new Node(
                    new Node.Settings(
                            me,
                            s.seeds(),
                            s.low(),
                            s.skew(),
                            s.rates().crew(),
                            s.rates().rumor()),
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
                    s.carry(),
                    new PermitSigner(s.key()),
                    deck.facts(),
                    () -> deck.localStamp(EventLoop.now()),
                    luck.split());
        }

        @Provides
        @Singleton
        static Router passage(final Settings s, final Node deck, final SplittableRandom luck) {
            return new Router(
                    Router.Settings.DEFAULT, deck.facts(), () -> deck.localStamp(EventLoop.now()), luck.split());
        }
    }
}
