package silverlatch.server.web;

import silverlatch.gossip.Worker;
import silverlatch.json.JsonDocument;

/** What workers say of themselves, read from JSON. */
public final class Words {
    private Words() {}

    /** A worker's word; what is wrong with it is noted in the sheet. */
    public static Worker read(final JsonDocument s) {
        return new Worker(
                s.text("worker", 64),
                s.text("address", 64),
                s.text("zone", 64),
                s.text("region", 64),
                s.whole("life", 0, Long.MAX_VALUE),
                s.whole("sequence", 0, Long.MAX_VALUE),
                (int) s.whole("running", 0, 1_000_000, 0),
                (int) s.whole("queued", 0, 1_000_000, 0),
                (int) s.whole("slots", 1, 100_000),
                s.wholes("kept", 4_096),
                s.flag("leaving", false),
                s.whole("up", 0, Long.MAX_VALUE, 0),
                s.text("pool", 256, ""),
                s.whole("coldMs", 0, 86_400_000L, 0) * 1_000,
                s.whole("restMs", 0, 1_000L * 86_400_000L, 0) * 1_000);
    }

    /** The token of the last reply that the word brings back. */
    public static long echo(final JsonDocument s) {
        return s.whole("echo", 0, Long.MAX_VALUE, 0);
    }
}
