package silverlatch.gossip;

import java.util.List;

/**
 * A worker's announcement of itself. Within an incarnation the announcement with the higher sequence is newer; a
 * worker that restarts uses a larger incarnation.
 *
 * @param id its name
 * @param address host and port at which it accepts requests
 * @param zone its zone
 * @param region its region
 * @param incarnation a number that is larger for each start of the worker
 * @param sequence the number of the announcement, increasing within an incarnation
 * @param running requests being served
 * @param queued requests waiting
 * @param slots requests that it can serve at the same time
 * @param cachedPrefixes the salted digests of the prefixes in its prefix cache
 * @param draining whether it accepts no new requests
 * @param uptime microseconds since it started
 * @param pool the backend pool that it belongs to, or empty
 * @param warmupRemaining microseconds for which it is still warming up, as it reports itself
 * @param lifetimeRemaining microseconds after which it will end, as it reports itself; 0 if it announces no end
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

    /** Creates a worker that belongs to no pool, isn't warming up and announces no end. */
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

    /** Returns whether this announcement is newer than another by the same worker. */
    public boolean isNewerThan(final Worker other) {
        return incarnation != other.incarnation ? incarnation > other.incarnation : sequence > other.sequence;
    }

    /** Returns whether this has the same incarnation and sequence as another announcement by the same worker. */
    public boolean isSameAnnouncement(final Worker other) {
        return incarnation == other.incarnation && sequence == other.sequence;
    }

    /** Returns the same announcement, but of a draining worker. */
    public Worker asDraining() {
        return copy(sequence, true, warmupRemaining, lifetimeRemaining);
    }

    /**
     * Returns the announcement as of {@code elapsed} microseconds later: the remaining times are shorter, but an
     * announced end stays announced, as a lifetime of at least 1.
     */
    public Worker agedBy(final long elapsed) {
        if (elapsed <= 0 || warmupRemaining == 0 && lifetimeRemaining == 0) {
            return this;
        }
        final long warmupLeft = Math.max(0, warmupRemaining - elapsed);
        final long lifetimeLeft = lifetimeRemaining == 0 ? 0 : Math.max(1, lifetimeRemaining - elapsed);
        return copy(sequence, draining, warmupLeft, lifetimeLeft);
    }

    /** Returns the same announcement with another sequence. */
    public Worker withSequence(final long newSequence) {
        return copy(newSequence, draining, warmupRemaining, lifetimeRemaining);
    }

    /** Returns the same announcement with the next sequence. */
    public Worker withNextSequence() {
        return withSequence(sequence + 1);
    }

    private Worker copy(
            final long newSequence, final boolean isDraining, final long warmupLeft, final long lifetimeLeft) {
        return new Worker(
                id,
                address,
                zone,
                region,
                incarnation,
                newSequence,
                running,
                queued,
                slots,
                cachedPrefixes,
                isDraining,
                uptime,
                pool,
                warmupLeft,
                lifetimeLeft);
    }
}
