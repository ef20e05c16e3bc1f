package silverlatch.gossip;

import java.util.List;

/**
 * What a worker said of itself.
 *
 * @param id       its name
 * @param address  where it takes runs
 * @param zone     its zone
 * @param region   its region
 * @param life     its start; a larger one for each
 * @param sequence the number of the word, rising within a life
 * @param running  runs under way
 * @param queued   runs waiting
 * @param slots    runs it takes at once
 * @param kept     the salted digests of prefixes in its cache
 * @param leaving  whether it takes no new work
 * @param up       microseconds since it started
 * @param pool     the pool it belongs to, or empty
 * @param cold     how long it stays cold yet by its own word, in microseconds
 * @param rest     how long it is there yet by its own word, in microseconds; 0 when it says nothing of its end
 */
public record Worker(
        String id,
        String address,
        String zone,
        String region,
        long life,
        long sequence,
        int running,
        int queued,
        int slots,
        List<Long> kept,
        boolean leaving,
        long up,
        String pool,
        long cold,
        long rest) {
    /** Copies the digests. */
    public Worker {
        kept = List.copyOf(kept);
    }

    /** A worker of no pool. */
    public Worker(
            final String id,
            final String address,
            final String zone,
            final String region,
            final long life,
            final long sequence,
            final int running,
            final int queued,
            final int slots,
            final List<Long> kept,
            final boolean leaving,
            final long up) {
        this(id, address, zone, region, life, sequence, running, queued, slots, kept, leaving, up, "", 0, 0);
    }

    /** Whether this word is newer than the other. */
    public boolean after(final Worker old) {
        return life != old.life ? life > old.life : sequence > old.sequence;
    }

    /** The same worker, leaving. */
    public Worker gone() {
        return new Worker(
                id, address, zone, region, life, sequence, running, queued, slots, kept, true, up, pool, cold, rest);
    }

    /** The same word so much later: what it stays cold and what it rests grow shorter. */
    public Worker aged(final long span) {
        return span <= 0 || cold == 0 && rest == 0
                ? this
                : new Worker(
                        id,
                        address,
                        zone,
                        region,
                        life,
                        sequence,
                        running,
                        queued,
                        slots,
                        kept,
                        leaving,
                        up,
                        pool,
                        Math.max(0, cold - span),
                        rest == 0 ? 0 : Math.max(1, rest - span));
    }

    /** The same word under another sequence. */
    public Worker at(final long next) {
        return new Worker(
                id, address, zone, region, life, next, running, queued, slots, kept, leaving, up, pool, cold, rest);
    }

    /** The same, said once more. */
    public Worker next() {
        return new Worker(
                id,
                address,
                zone,
                region,
                life,
                sequence + 1,
                running,
                queued,
                slots,
                kept,
                leaving,
                up,
                pool,
                cold,
                rest);
    }
}
