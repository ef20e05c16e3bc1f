package silverlatch.server.settings;

import java.util.List;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.WorkerReporting;
import silverlatch.json.JsonDocument;
import silverlatch.membership.Membership;

/**
 * The intervals and timeouts of the messages between the processes of a cluster, in microseconds.
 *
 * @param membership   heartbeats, failure detection and join requests
 * @param gossip       pulls of worker reports, and where workers announce themselves
 * @param nodeTick     the tick interval of a node's event loop
 * @param dispatchTick the tick interval of the event loop that dispatches a gateway's requests
 */
public record Intervals(Membership.Settings membership, Gossip.Settings gossip, long nodeTick, long dispatchTick) {
    /** The defaults where workers announce themselves to any node. */
    public static final Intervals DEFAULTS =
            new Intervals(Membership.Settings.DEFAULTS, Gossip.Settings.DEFAULTS, 20_000L, 20_000L);

    /** The defaults for a large cluster, where workers announce themselves to controllers. */
    public static final Intervals LARGE_FLEET =
            new Intervals(Membership.Settings.LARGE_FLEET, Gossip.Settings.LARGE_FLEET, 50_000L, 50_000L);

    /**
     * The defaults of a gateway in a large cluster. Its event loop ticks less often, since the intervals of its periodic work are half
     * a second or longer, and since it handles messages from other processes without waiting for the next tick.
     */
    public static final Intervals LARGE_FLEET_GATEWAY =
            new Intervals(Membership.Settings.LARGE_FLEET, Gossip.Settings.LARGE_FLEET, 100_000L, 50_000L);

    private static final String EVERYWHERE = "everywhere";
    private static final String CONTROLLERS = "controllers";
    private static final int MAX_WORD_LENGTH = 16;
    private static final int MIN_HEARTBEATS_BEFORE_SUSPICION = 2;
    private static final int MIN_PULLS_BEFORE_SILENCE = 8;

    /**
     * Reads the intervals. A fault of a single value is recorded in the document; a fault that concerns several values, or the value
     * of {@code announce}, is added to {@code faults}.
     */
    static Intervals read(final JsonDocument document, final List<String> faults) {
        final String announceTo = document.string("announce", MAX_WORD_LENGTH, EVERYWHERE);
        if (!announceTo.equals(EVERYWHERE) && !announceTo.equals(CONTROLLERS)) {
            faults.add("announce: 'everywhere' or 'controllers' is needed, not '" + announceTo + "'");
        }
        final boolean toControllers = announceTo.equals(CONTROLLERS);
        final Intervals defaults = toControllers ? LARGE_FLEET : DEFAULTS;
        final WorkerReporting reporting = readReporting(document, toControllers);
        final Intervals intervals = new Intervals(
                readMembership(document, defaults.membership()),
                readGossip(document, defaults.gossip(), reporting),
                document.integer("deck", 1_000L, 200_000L, defaults.nodeTick()),
                document.integer("carry", 1_000L, 200_000L, defaults.dispatchTick()));
        intervals.check(faults);
        return intervals;
    }

    /**
     * Reads to which nodes workers announce themselves. The settings silent and forget are also accepted where workers announce
     * themselves to any node, but have no effect there.
     */
    private static WorkerReporting readReporting(final JsonDocument document, final boolean toControllers) {
        final WorkerReporting.ToControllers defaults = WorkerReporting.ToControllers.DEFAULTS;
        final long silenceTimeout = document.integer("silent", 2_000_000L, 600_000_000L, defaults.silenceTimeout());
        final long retention = document.integer("forget", 5_000_000L, 3_600_000_000L, defaults.retention());
        return toControllers
                ? new WorkerReporting.ToControllers(silenceTimeout, retention, (int)
                        document.integer("asks", 1, 10_000, defaults.maxPullsPerSecond()))
                : new WorkerReporting.ToAnyNode();
    }

    private static Membership.Settings readMembership(final JsonDocument document, final Membership.Settings defaults) {
        return defaults.toBuilder()
                .heartbeatInterval(document.integer("heartbeat", 50_000L, 10_000_000L, defaults.heartbeatInterval()))
                .suspicionTimeout(document.integer("miss", 200_000L, 60_000_000L, defaults.suspicionTimeout()))
                .deathTimeout(document.integer("bury", 200_000L, 600_000_000L, defaults.deathTimeout()))
                .joinInterval(document.integer("hail", 100_000L, 60_000_000L, defaults.joinInterval()))
                .build();
    }

    private static Gossip.Settings readGossip(
            final JsonDocument document, final Gossip.Settings defaults, final WorkerReporting reporting) {
        return new Gossip.Settings(
                document.integer("pullPurser", 50_000L, 10_000_000L, defaults.gatewayPullInterval()),
                document.integer("pullHarbor", 50_000L, 2_000_000L, defaults.controllerPullInterval()),
                reporting);
    }

    private void check(final List<String> faults) {
        if (membership.suspicionTimeout() < MIN_HEARTBEATS_BEFORE_SUSPICION * membership.heartbeatInterval()) {
            faults.add("miss: at least two heartbeats are needed");
        }
        if (gossip.reporting() instanceof WorkerReporting.ToControllers reporting) {
            if (reporting.retention() <= reporting.silenceTimeout()) {
                faults.add("forget: it comes after silent");
            }
            if (reporting.silenceTimeout() < MIN_PULLS_BEFORE_SILENCE * gossip.controllerPullInterval()) {
                faults.add("silent: at least eight times pullHarbor is needed");
            }
        }
    }
}
