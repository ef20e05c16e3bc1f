package silverlatch.server.web;

import silverlatch.gossip.Worker;
import silverlatch.json.JsonDocument;

/** What workers report on themselves, read from JSON. Times ending in Ms are milliseconds there and microseconds here. */
public final class AnnouncementJson {
    private static final int MAX_NAME_LENGTH = 64;
    private static final int MAX_POOL_LENGTH = 256;
    private static final int MAX_REQUESTS = 1_000_000;
    private static final int MAX_SLOTS = 100_000;
    private static final int MAX_CACHED_PREFIXES = 4_096;
    private static final long DAY_MS = 86_400_000L;
    private static final long MAX_WARMUP_MS = DAY_MS;
    private static final long MAX_LIFETIME_MS = 1_000L * DAY_MS;
    private static final long MICROS_PER_MS = 1_000;

    private AnnouncementJson() {}

    /** A worker as it reports itself; faults are noted in the document. */
    public static Worker read(final JsonDocument document) {
        return new Worker(
                document.string("worker", MAX_NAME_LENGTH),
                document.string("address", MAX_NAME_LENGTH),
                document.string("zone", MAX_NAME_LENGTH),
                document.string("region", MAX_NAME_LENGTH),
                document.integer("life", 0, Long.MAX_VALUE),
                document.integer("sequence", 0, Long.MAX_VALUE),
                (int) document.integer("running", 0, MAX_REQUESTS, 0),
                (int) document.integer("queued", 0, MAX_REQUESTS, 0),
                (int) document.integer("slots", 1, MAX_SLOTS),
                document.integers("kept", MAX_CACHED_PREFIXES),
                document.flag("leaving", false),
                document.integer("up", 0, Long.MAX_VALUE, 0),
                document.string("pool", MAX_POOL_LENGTH, ""),
                document.integer("coldMs", 0, MAX_WARMUP_MS, 0) * MICROS_PER_MS,
                document.integer("restMs", 0, MAX_LIFETIME_MS, 0) * MICROS_PER_MS);
    }

    /** The echo of the last reply, which the report brings back; 0 where there is none yet. */
    public static long echo(final JsonDocument document) {
        return document.integer("echo", 0, Long.MAX_VALUE, 0);
    }
}
