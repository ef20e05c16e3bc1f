package silverlatch.server.settings;

import java.util.List;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.WorkerReporting;
import silverlatch.json.JsonDocument;
import silverlatch.membership.Membership;

/** How often the daemons speak to each other and their duties beat; times in microseconds. */
public record Rates(Membership.Settings crew, Gossip.Settings rumor, long deck, long carry) {
    /** What holds when nothing is said. */
    public static final Rates PLAIN =
            new Rates(Membership.Settings.DEFAULTS, Gossip.Settings.DEFAULTS, 20_000L, 20_000L);
    /** What suits a large fleet whose workers announce to controllers. */
    public static final Rates QUIET =
            new Rates(Membership.Settings.LARGE_FLEET, Gossip.Settings.LARGE_FLEET, 50_000L, 50_000L);

    /** Reads the rates; where workers announce to controllers, quiet ones hold when nothing is said. */
    static Rates read(final JsonDocument s, final List<String> faults) {
        final String way = s.string("announce", 16, "everywhere");
        if (!way.equals("everywhere") && !way.equals("controllers")) {
            faults.add("announce: 'everywhere' or 'controllers' is needed, not '" + way + "'");
        }
        final boolean controllers = way.equals("controllers");
        final Rates plain = controllers ? QUIET : PLAIN;
        final long silent =
                s.integer("silent", 2_000_000L, 600_000_000L, WorkerReporting.ToControllers.DEFAULTS.silenceTimeout());
        final long forget =
                s.integer("forget", 5_000_000L, 3_600_000_000L, WorkerReporting.ToControllers.DEFAULTS.retention());
        final Rates made = new Rates(
                new Membership.Settings(
                        s.integer(
                                "heartbeat", 50_000L, 10_000_000L, plain.crew().heartbeatInterval()),
                        s.integer("miss", 200_000L, 60_000_000L, plain.crew().suspicionTimeout()),
                        s.integer("bury", 200_000L, 600_000_000L, plain.crew().deathTimeout()),
                        s.integer("hail", 100_000L, 60_000_000L, plain.crew().joinInterval()),
                        plain.crew().fullHeartbeatEvery()),
                new Gossip.Settings(
                        s.integer(
                                "pullPurser",
                                50_000L,
                                10_000_000L,
                                plain.rumor().gatewayPullInterval()),
                        s.integer(
                                "pullHarbor", 50_000L, 2_000_000L, plain.rumor().controllerPullInterval()),
                        controllers
                                ? new WorkerReporting.ToControllers(silent, forget, (int) s.integer(
                                        "asks", 1, 10_000, WorkerReporting.ToControllers.DEFAULTS.maxPullsPerSecond()))
                                : new WorkerReporting.ToAnyNode()),
                s.integer("deck", 1_000L, 200_000L, plain.deck()),
                s.integer("carry", 1_000L, 200_000L, plain.carry()));
        if (made.crew().suspicionTimeout() < 2 * made.crew().heartbeatInterval()) {
            faults.add("miss: at least two heartbeats are needed");
        }
        if (controllers && forget <= silent) {
            faults.add("forget: it comes after silent");
        }
        if (controllers && silent < 8 * made.rumor().controllerPullInterval()) {
            faults.add("silent: at least eight times pullHarbor is needed");
        }
        return made;
    }
}
