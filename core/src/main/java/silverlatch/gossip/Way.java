package silverlatch.gossip;

/** How words of workers spread. */
public sealed interface Way {
    /** Workers announce to any daemon; pulls renew the age of each word everywhere. */
    record Everywhere() implements Way {}

    /**
     * Workers announce to controllers; only what changes travels.
     *
     * @param silent after so long without a word a worker is told as silent
     * @param forget after so long a silent or gone worker is forgotten
     * @param asks   how many pulls a second gateways leave to each controller; beyond that each asks less often, to once a second
     */
    record Controllers(long silent, long forget, int asks) implements Way {
        /** The times that hold when nothing is said. */
        public static final Controllers PLAIN = new Controllers(5_000_000L, 60_000_000L, 40);
    }
}
