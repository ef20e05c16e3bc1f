package silverlatch.gossip;

/** How words of workers spread. */
public sealed interface WorkerReporting {
    /** Workers announce to any daemon; pulls renew the age of each word everywhere. */
    record ToAnyNode() implements WorkerReporting {}

    /**
     * Workers announce to controllers; only what changes travels.
     *
     * @param silenceTimeout after so long without a word a worker is told as silent
     * @param retention after so long a silent or gone worker is forgotten
     * @param maxPullsPerSecond   how many pulls a second gateways leave to each controller; beyond that each asks less often, to once a second
     */
    record ToControllers(long silenceTimeout, long retention, int maxPullsPerSecond) implements WorkerReporting {
        /** The times that hold when nothing is said. */
        public static final ToControllers DEFAULTS = new ToControllers(5_000_000L, 60_000_000L, 40);
    }
}
