package silverlatch.server.web;

import silverlatch.gossip.Worker;
import silverlatch.json.JsonDocument;

/** What workers say of themselves, read from JSON. */
public final class Words {
    private Words() {}

    /** A worker's word; what is wrong with it is noted in the sheet. */
    public static Worker read(final JsonDocument s) {
        return new Worker(
                s.string("worker", 64),
                s.string("address", 64),
                s.string("zone", 64),
                s.string("region", 64),
                s.integer("life", 0, Long.MAX_VALUE),
                s.integer("sequence", 0, Long.MAX_VALUE),
                (int) s.integer("running", 0, 1_000_000, 0),
                (int) s.integer("queued", 0, 1_000_000, 0),
                (int) s.integer("slots", 1, 100_000),
                s.integers("kept", 4_096),
                s.flag("leaving", false),
                s.integer("up", 0, Long.MAX_VALUE, 0),
                s.string("pool", 256, ""),
                s.integer("coldMs", 0, 86_400_000L, 0) * 1_000,
                s.integer("restMs", 0, 1_000L * 86_400_000L, 0) * 1_000);
    }

    /** The token of the last reply that the word brings back. */
    public static long echo(final JsonDocument s) {
        return s.integer("echo", 0, Long.MAX_VALUE, 0);
    }
}
