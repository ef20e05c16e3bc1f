package silverlatch.server.settings;

import java.util.List;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Way;
import silverlatch.json.JsonDocument;
import silverlatch.membership.Membership;

/** How often the daemons speak to each other and their duties beat; times in microseconds. */
public record Rates(Membership.Times crew, Gossip.Times rumor, long deck, long carry) {
    /** What holds when nothing is said. */
    public static final Rates PLAIN = new Rates(Membership.Times.PLAIN, Gossip.Times.PLAIN, 20_000L, 20_000L);
    /** What suits a large fleet whose workers announce to controllers. */
    public static final Rates QUIET = new Rates(Membership.Times.QUIET, Gossip.Times.QUIET, 50_000L, 50_000L);

    /** Reads the rates; where workers announce to controllers, quiet ones hold when nothing is said. */
    static Rates read(final JsonDocument s, final List<String> faults) {
        final String way = s.string("announce", 16, "everywhere");
        if (!way.equals("everywhere") && !way.equals("controllers")) {
            faults.add("announce: 'everywhere' or 'controllers' is needed, not '" + way + "'");
        }
        final boolean controllers = way.equals("controllers");
        final Rates plain = controllers ? QUIET : PLAIN;
        final long silent = s.integer("silent", 2_000_000L, 600_000_000L, Way.Controllers.PLAIN.silent());
        final long forget = s.integer("forget", 5_000_000L, 3_600_000_000L, Way.Controllers.PLAIN.forget());
        final Rates made = new Rates(
                new Membership.Times(
                        s.integer(
                                "heartbeat", 50_000L, 10_000_000L, plain.crew().beat()),
                        s.integer("miss", 200_000L, 60_000_000L, plain.crew().miss()),
                        s.integer("bury", 200_000L, 600_000_000L, plain.crew().bury()),
                        s.integer("hail", 100_000L, 60_000_000L, plain.crew().hail()),
                        plain.crew().whole()),
                new Gossip.Times(
                        s.integer(
                                "pullPurser",
                                50_000L,
                                10_000_000L,
                                plain.rumor().pull()),
                        s.integer(
                                "pullHarbor", 50_000L, 2_000_000L, plain.rumor().root()),
                        controllers
                                ? new Way.Controllers(silent, forget, (int)
                                        s.integer("asks", 1, 10_000, Way.Controllers.PLAIN.asks()))
                                : new Way.Everywhere()),
                s.integer("deck", 1_000L, 200_000L, plain.deck()),
                s.integer("carry", 1_000L, 200_000L, plain.carry()));
        if (made.crew().miss() < 2 * made.crew().beat()) {
            faults.add("miss: at least two heartbeats are needed");
        }
        if (controllers && forget <= silent) {
            faults.add("forget: it comes after silent");
        }
        if (controllers && silent < 8 * made.rumor().root()) {
            faults.add("silent: at least eight times pullHarbor is needed");
        }
        return made;
    }
}
