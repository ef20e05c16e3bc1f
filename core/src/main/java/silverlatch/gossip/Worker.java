package silverlatch.gossip;

import java.util.List;

/**
 * What a worker said of itself.
 *
 * @param id       its name
 * @param address  where it takes runs
 * @param zone     its zone
 * @param region   its region
 * @param incarnation     its start; a larger one for each
 * @param sequence the number of the word, rising within a life
 * @param running  runs under way
 * @param queued   runs waiting
 * @param slots    runs it takes at once
 * @param cachedPrefixes     the salted digests of prefixes in its cache
 * @param draining  whether it takes no new work
 * @param uptime       microseconds since it started
 * @param pool     the pool it belongs to, or empty
 * @param warmupRemaining     how long it stays cold yet by its own word, in microseconds
 * @param lifetimeRemaining     how long it is there yet by its own word, in microseconds; 0 when it says nothing of its end
 */
public record Worker(
        String id,
        String address,
        String zone,
        String region,
        long incarnation,
        long sequence,
        int running,
        int queued,
        int slots,
        List<Long> cachedPrefixes,
        boolean draining,
        long uptime,
        String pool,
        long warmupRemaining,
        long lifetimeRemaining) {
    /** Copies the digests. */
    public Worker {
        cachedPrefixes = List.copyOf(cachedPrefixes);
    }

    /** A worker of no pool. */
    public Worker(
            final String id,
            final String address,
            final String zone,
            final String region,
            final long incarnation,
            final long sequence,
            final int running,
            final int queued,
            final int slots,
            final List<Long> cachedPrefixes,
            final boolean draining,
            final long uptime) {
        this(
                id,
                address,
                zone,
                region,
                incarnation,
                sequence,
                running,
                queued,
                slots,
                cachedPrefixes,
                draining,
                uptime,
                "",
                0,
                0);
    }

    /** Whether this word is newer than the other. */
    public boolean isNewerThan(final Worker other) {
        return incarnation != other.incarnation ? incarnation > other.incarnation : sequence > other.sequence;
    }

    /** The same worker, leaving. */
    public Worker asDraining() {
        return new Worker(
                id,
                address,
                zone,
                region,
                incarnation,
                sequence,
                running,
                queued,
                slots,
                cachedPrefixes,
                true,
                uptime,
                pool,
                warmupRemaining,
                lifetimeRemaining);
    }

    /** The same word so much later: what it stays cold and what it rests grow shorter. */
    public Worker agedBy(final long elapsed) {
        return elapsed <= 0 || warmupRemaining == 0 && lifetimeRemaining == 0
                ? this
                : new Worker(
                        id,
                        address,
                        zone,
                        region,
                        incarnation,
                        sequence,
                        running,
                        queued,
                        slots,
                        cachedPrefixes,
                        draining,
                        uptime,
                        pool,
                        Math.max(0, warmupRemaining - elapsed),
                        lifetimeRemaining == 0 ? 0 : Math.max(1, lifetimeRemaining - elapsed));
    }

    /** The same word under another sequence. */
    public Worker withSequence(final long next) {
        return new Worker(
                id,
                address,
                zone,
                region,
                incarnation,
                next,
                running,
                queued,
                slots,
                cachedPrefixes,
                draining,
                uptime,
                pool,
                warmupRemaining,
                lifetimeRemaining);
    }

    /** The same, said once more. */
    public Worker withNextSequence() {
        return new Worker(
                id,
                address,
                zone,
                region,
                incarnation,
                sequence + 1,
                running,
                queued,
                slots,
                cachedPrefixes,
                draining,
                uptime,
                pool,
                warmupRemaining,
                lifetimeRemaining);
    }
}
