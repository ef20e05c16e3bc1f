package silverlatch.gossip;

/** To whom workers announce themselves, and how their reports spread from there. */
public sealed interface WorkerReporting {
    /** Workers announce themselves to any node; pulls renew the age of each report everywhere. */
    record ToAnyNode() implements WorkerReporting {}

    /**
     * Workers announce themselves to controllers; only changed reports travel.
     *
     * @param silenceTimeout    microseconds without an announcement after which a worker is reported as silent
     * @param retention         microseconds after which a silent or gone worker is forgotten
     * @param maxPullsPerSecond how many pulls a second the gateways together send to each controller; where that would be
     *                          exceeded each gateway pulls less often, down to once a second
     */
    record ToControllers(long silenceTimeout, long retention, int maxPullsPerSecond) implements WorkerReporting {
        /** The values that hold when the settings name none. */
        public static final ToControllers DEFAULTS = new ToControllers(5_000_000L, 60_000_000L, 40);
    }
}
