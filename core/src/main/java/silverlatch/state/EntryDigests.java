package silverlatch.state;

import java.util.Collection;
import silverlatch.util.Fnv1a;

/**
 * Computes digests of entries by key range: replicas compare them to find the ranges in which they differ
 * (anti-entropy).
 *
 * <p>The range of an entry depends on its key alone. The digest of a range is the sum of its entries' hashes, so their
 * order doesn't matter. A hash covers the key and the sequence but not the value, since one sequence writes a key only
 * once and so determines its value. Processes of different versions compare digests, so the computed values must not
 * change.
 */
final class EntryDigests {
    private static final int RANGE_MULTIPLIER = 0x9E3779B9;
    private static final long SEQUENCE_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private EntryDigests() {}

    /** Returns the range of a key, from 0 to {@code rangeCount} - 1. */
    static int rangeOf(final String key, final int rangeCount) {
        return Math.floorMod(key.hashCode() * RANGE_MULTIPLIER, rangeCount);
    }

    /** Returns the digest of each range. */
    static long[] of(final Collection<Entry> entries, final int rangeCount) {
        final long[] digests = new long[rangeCount];
        for (final Entry entry : entries) {
            digests[rangeOf(entry.key(), rangeCount)] += hash(entry);
        }
        return digests;
    }

    private static long hash(final Entry entry) {
        return mix(Fnv1a.hash(entry.key()) + entry.sequence() * SEQUENCE_MULTIPLIER);
    }

    /**
     * Mixes the bits with the finalizer of SplitMix64, so that each bit of the result depends on each bit of the value.
     */
    private static long mix(final long value) {
        final long first = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        final long second = (first ^ first >>> 27) * 0x94D049BB133111EBL;
        return second ^ second >>> 31;
    }
}
