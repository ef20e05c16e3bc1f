package silverlatch.gossip;

/** To which nodes workers announce themselves, and how the reports on them are propagated from there. */
public sealed interface WorkerReporting {
    /** Workers announce themselves to any node. Pulls renew the age of each announcement at every node. */
    record ToAnyNode() implements WorkerReporting {}

    /**
     * Workers announce themselves to controllers. Only reports that changed are propagated.
     *
     * @param silenceTimeout microseconds without an announcement after which a worker is reported as silent
     * @param retention microseconds after which a silent or gone worker is removed
     * @param maxPullsPerSecond the limit on the pulls per second that all gateways together send to each controller;
     *                          if it would be exceeded each gateway pulls less often, but at least once a second
     */
    record ToControllers(long silenceTimeout, long retention, int maxPullsPerSecond) implements WorkerReporting {
        /** The defaults. */
        public static final ToControllers DEFAULTS = new ToControllers(5_000_000L, 60_000_000L, 40);
    }
}
