package silverlatch.desk.purser;

import dagger.BindsInstance;
import dagger.Component;
import dagger.Module;
import dagger.Provides;
import jakarta.inject.Singleton;
import java.security.SecureRandom;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import silverlatch.carry.Carry;
import silverlatch.carry.permit.Seals;
import silverlatch.crew.Member;
import silverlatch.deck.Deck;
import silverlatch.deck.Event;
import silverlatch.desk.duty.Bridge;
import silverlatch.desk.duty.Duty;
import silverlatch.desk.duty.Logs;
import silverlatch.desk.settings.Flags;
import silverlatch.desk.settings.Settings;
import silverlatch.passage.Passage;
import silverlatch.tide.Anchor;

/** The program purser. */
public final class Main {
    private Main() {
    }

    /** Runs a purser until it is told to stop. */
    public static void main(final String[] args) {
        switch (Flags.parse("purser", args, false, System.out, System.err)) {
            case Flags.Parsed.End end -> System.exit(end.code());
            case Flags.Parsed.Run run -> {
                try {
                    final Purser purser = build(run.settings());
                    Runtime.getRuntime().addShutdownHook(new Thread(purser::stop, "stop"));
                    purser.start();
                    Thread.currentThread().join();
                } catch (final Exception e) {
                    Logs.write(Event.FAULT, "purser can't start", e);
                    Runtime.getRuntime().halt(3);
                }
            }
        }
    }

    /** Builds a purser from its settings. */
    public static Purser build(final Settings s) {
        return DaggerMain_Parts.factory().make(s).purser();
    }

    /** The parts of a purser. */
    @Singleton
    @Component(modules = Shed.class)
    interface Parts {
        /** The purser. */
        Purser purser();

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
        private Shed() {
        }

        @Provides
        @Singleton
        static SplittableRandom luck() {
            return new SplittableRandom(new SecureRandom().nextLong());
        }

        @Provides
        @Singleton
        static Deck deck(final Settings s, final SplittableRandom luck) {
            final long now = Duty.now();
            final long wall = Bridge.wall();
            final Member me = new Member(s.name(), "purser", s.zone(), s.region(), s.address(), s.door(), wall / 1000, 0, "up", false);
            return new Deck(new Deck.Setup(me, s.seeds(), s.low(), s.skew(), s.rates().crew(), s.rates().rumor()), Optional.empty(),
                    List.of(), new Anchor(wall, now, 0), luck.split(), now);
        }

        @Provides
        @Singleton
        static Carry carry(final Settings s, final Deck deck, final SplittableRandom luck) {
            return new Carry(s.carry(), new Seals(s.key()), deck.facts(), () -> deck.local(Duty.now()), luck.split());
        }

        @Provides
        @Singleton
        static Passage passage(final Settings s, final Deck deck, final SplittableRandom luck) {
            return new Passage(Passage.Setup.PLAIN, deck.facts(), () -> deck.local(Duty.now()), luck.split());
        }
    }
}
