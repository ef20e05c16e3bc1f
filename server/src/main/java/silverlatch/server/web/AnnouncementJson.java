package silverlatch.server.web;

import silverlatch.gossip.Worker;
import silverlatch.json.JsonDocument;

/** Reads workers' reports on themselves from JSON. Fields ending in Ms are in milliseconds there and in microseconds here. */
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

    /** Reads a worker's report on itself; faults are recorded in the document. */
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

    /** Reads the echo token of the previous reply, which the worker sends back with its report; 0 if there was no reply yet. */
    public static long echo(final JsonDocument document) {
        return document.integer("echo", 0, Long.MAX_VALUE, 0);
    }
}
