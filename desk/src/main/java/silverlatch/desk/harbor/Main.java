package silverlatch.desk.harbor;

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
import java.util.concurrent.locks.LockSupport;
import java.util.SplittableRandom;
import silverlatch.crew.Member;
import silverlatch.deck.Deck;
import silverlatch.deck.Event;
import silverlatch.desk.duty.Bridge;
import silverlatch.desk.duty.Duty;
import silverlatch.desk.duty.Logs;
import silverlatch.desk.settings.Flags;
import silverlatch.desk.settings.Settings;
import silverlatch.ledger.Ledger;
import silverlatch.ledger.Note;
import silverlatch.quay.Berth;
import silverlatch.quay.Quay;
import silverlatch.tide.Anchor;

/** The program harbor. */
public final class Main {
    private static final long PAUSE = 200_000_000L;

    private Main() {
    }

    /** Runs a harbor until it is told to stop. */
    public static void main(final String[] args) {
        switch (Flags.parse("harbor", args, true, System.out, System.err)) {
            case Flags.Parsed.End end -> System.exit(end.code());
            case Flags.Parsed.Run run -> start(run.settings());
        }
    }

    /** Opens the ledger in the data folder, if there is one, as soon as the disk lets it; a damaged one ends the process. */
    public static Optional<Ledger.Opened.Good> open(final Settings s) {
        return open(s, false);
    }

    /** The same; where damaged ones are put aside, the machine starts as an empty one under a new identity. */
    public static Optional<Ledger.Opened.Good> open(final Settings s, final boolean aside) {
        return s.data().map(data -> {
            boolean told = false;
            while (true) {
                switch (Ledger.open(Path.of(data), s.found())) {
                    case Ledger.Opened.Barred b -> {
                        if (!told) {
                            Logs.write(Event.BARRED, b.why());
                        }
                        told = true;
                        LockSupport.parkNanos(PAUSE);
                    }
                    case Ledger.Opened.Damaged d -> {
                        Logs.write(Event.DAMAGED, d.why());
                        if (!aside || !aside(Path.of(data))) {
                            System.exit(4);
                        }
                    }
                    case Ledger.Opened.Good g -> {
                        Logs.write(Event.RECOVERED, g.notes().size() + " notes, " + g.torn() + " bytes of a torn tail cut off");
                        return g;
                    }
                }
            }
        });
    }

    private static boolean aside(final Path data) {
        try {
            Ledger.aside(data);
            return true;
        } catch (final IOException e) {
            Logs.write(Event.BARRED, "" + e.getMessage());
            return false;
        }
    }

    /** Builds a harbor from its settings and its ledger, if it has a data folder. */
    public static Harbor build(final Settings s, final Optional<Ledger.Opened.Good> opened) {
        return DaggerMain_Parts.factory().make(s, opened).harbor();
    }

    private static void start(final Settings s) {
        try {
            final Harbor harbor = build(s, open(s));
            Runtime.getRuntime().addShutdownHook(new Thread(harbor::stop, "stop"));
            harbor.start();
            Thread.currentThread().join();
        } catch (final Exception e) {
            Logs.write(Event.FAULT, "harbor can't start", e);
            Runtime.getRuntime().halt(3);
        }
    }

    /** The parts of a harbor. */
    @Singleton
    @Component(modules = Shed.class)
    interface Parts {
        /** The harbor. */
        Harbor harbor();

        /** Makes the parts. */
        @Component.Factory
        interface Maker {
            /** From its settings and its ledger, if it has a data folder. */
            Parts make(@BindsInstance Settings settings, @BindsInstance Optional<Ledger.Opened.Good> opened);
        }
    }

    /** How the parts are made. */
    @Module
    static final class Shed {
        private Shed() {
        }

        @Provides
        @Singleton
        static Optional<Ledger> ledger(final Optional<Ledger.Opened.Good> opened) {
            return opened.map(Ledger.Opened.Good::ledger);
        }

        @Provides
        @Singleton
        static Deck deck(final Settings s, final Optional<Ledger.Opened.Good> opened) {
            final long now = Duty.now();
            final long wall = Bridge.wall();
            final Member me = new Member(s.name(), "harbor", s.zone(), s.region(), s.address(), s.door(), wall / 1000, 0, "up", false);
            final List<Note> notes = opened.map(Ledger.Opened.Good::notes).orElse(List.of());
            return new Deck(new Deck.Setup(me, s.seeds(), s.low(), s.skew(), s.rates().crew(), s.rates().rumor()),
                    opened.map(o -> Quay.Setup.of(new Berth(o.identity(), s.address()), s.seeds()).counts(s.copies(), s.voters())
                            .founds(s.found() || o.founder())), notes,
                    new Anchor(wall, now, 0), new SplittableRandom(new SecureRandom().nextLong()), now);
        }
    }
}
