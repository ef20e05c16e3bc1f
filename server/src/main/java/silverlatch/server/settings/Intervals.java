package silverlatch.server.settings;

import java.util.List;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.WorkerReporting;
import silverlatch.json.JsonDocument;
import silverlatch.membership.Membership;

/** How often the daemons speak to each other and their duties beat; times in microseconds. */
public record Intervals(Membership.Settings membership, Gossip.Settings gossip, long nodeTick, long dispatchTick) {
    /** What holds when nothing is said. */
    public static final Intervals DEFAULTS =
            new Intervals(Membership.Settings.DEFAULTS, Gossip.Settings.DEFAULTS, 20_000L, 20_000L);
    /** What suits a large fleet whose workers announce to controllers. */
    public static final Intervals LARGE_FLEET =
            new Intervals(Membership.Settings.LARGE_FLEET, Gossip.Settings.LARGE_FLEET, 50_000L, 50_000L);

    /** Reads the rates; where workers announce to controllers, quiet ones hold when nothing is said. */
    static Intervals read(final JsonDocument document, final List<String> faults) {
        final String announceTo = document.string("announce", 16, "everywhere");
        if (!announceTo.equals("everywhere") && !announceTo.equals("controllers")) {
            faults.add("announce: 'everywhere' or 'controllers' is needed, not '" + announceTo + "'");
        }
        final boolean toControllers = announceTo.equals("controllers");
        final Intervals defaults = toControllers ? LARGE_FLEET : DEFAULTS;
        final long silentAfter = document.integer(
                "silent", 2_000_000L, 600_000_000L, WorkerReporting.ToControllers.DEFAULTS.silenceTimeout());
        final long forgetAfter = document.integer(
                "forget", 5_000_000L, 3_600_000_000L, WorkerReporting.ToControllers.DEFAULTS.retention());
        final Intervals intervals = new Intervals(
                new Membership.Settings(
                        document.integer(
                                "heartbeat",
                                50_000L,
                                10_000_000L,
                                defaults.membership().heartbeatInterval()),
                        document.integer(
                                "miss",
                                200_000L,
                                60_000_000L,
                                defaults.membership().suspicionTimeout()),
                        document.integer(
                                "bury",
                                200_000L,
                                600_000_000L,
                                defaults.membership().deathTimeout()),
                        document.integer(
                                "hail",
                                100_000L,
                                60_000_000L,
                                defaults.membership().joinInterval()),
                        defaults.membership().fullHeartbeatEvery()),
                new Gossip.Settings(
                        document.integer(
                                "pullPurser",
                                50_000L,
                                10_000_000L,
                                defaults.gossip().gatewayPullInterval()),
                        document.integer(
                                "pullHarbor",
                                50_000L,
                                2_000_000L,
                                defaults.gossip().controllerPullInterval()),
                        toControllers
                                ? new WorkerReporting.ToControllers(silentAfter, forgetAfter, (int) document.integer(
                                        "asks", 1, 10_000, WorkerReporting.ToControllers.DEFAULTS.maxPullsPerSecond()))
                                : new WorkerReporting.ToAnyNode()),
                document.integer("deck", 1_000L, 200_000L, defaults.nodeTick()),
                document.integer("carry", 1_000L, 200_000L, defaults.dispatchTick()));
        if (intervals.membership().suspicionTimeout()
                < 2 * intervals.membership().heartbeatInterval()) {
            faults.add("miss: at least two heartbeats are needed");
        }
        if (toControllers && forgetAfter <= silentAfter) {
            faults.add("forget: it comes after silent");
        }
        if (toControllers && silentAfter < 8 * intervals.gossip().controllerPullInterval()) {
            faults.add("silent: at least eight times pullHarbor is needed");
        }
        return intervals;
    }
}
