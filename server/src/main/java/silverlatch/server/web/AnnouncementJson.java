package silverlatch.server.web;

import silverlatch.gossip.Worker;
import silverlatch.json.JsonDocument;

/** What workers say of themselves, read from JSON. */
public final class AnnouncementJson {
    private AnnouncementJson() {}

    /** A worker's word; what is wrong with it is noted in the sheet. */
    public static Worker read(final JsonDocument document) {
        return new Worker(
                document.string("worker", 64),
                document.string("address", 64),
                document.string("zone", 64),
                document.string("region", 64),
                document.integer("life", 0, Long.MAX_VALUE),
                document.integer("sequence", 0, Long.MAX_VALUE),
                (int) document.integer("running", 0, 1_000_000, 0),
                (int) document.integer("queued", 0, 1_000_000, 0),
                (int) document.integer("slots", 1, 100_000),
                document.integers("kept", 4_096),
                document.flag("leaving", false),
                document.integer("up", 0, Long.MAX_VALUE, 0),
                document.string("pool", 256, ""),
                document.integer("coldMs", 0, 86_400_000L, 0) * 1_000,
                document.integer("restMs", 0, 1_000L * 86_400_000L, 0) * 1_000);
    }

    /** The token of the last reply that the word brings back. */
    public static long echo(final JsonDocument document) {
        return document.integer("echo", 0, Long.MAX_VALUE, 0);
    }
}
