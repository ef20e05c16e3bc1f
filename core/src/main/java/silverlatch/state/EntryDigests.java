package silverlatch.state;

import java.util.Collection;
import silverlatch.util.Fnv1a;

/**
 * Digests of entries by range of keys: replicas compare them to find the ranges in which they differ (anti-entropy).
 * An entry falls into a range by its key alone. The digest of a range is the sum of its entries' hashes, so their order
 * plays no part; a hash covers key and sequence, which stand for the value, as one sequence writes a key once. Digests
 * are compared between processes of different versions: the values must stay as they are.
 */
final class EntryDigests {
    private static final int RANGE_MULTIPLIER = 0x9E3779B9;
    private static final long SEQUENCE_MULTIPLIER = 0x9E3779B97F4A7C15L;

    private EntryDigests() {}

    /** The range of a key, from 0 on. */
    static int rangeOf(final String key, final int rangeCount) {
        return Math.floorMod(key.hashCode() * RANGE_MULTIPLIER, rangeCount);
    }

    /** The digest of each range. */
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

    /** The finalizer of SplitMix64: each bit of the result depends on each bit of the value. */
    private static long mix(final long value) {
        final long first = (value ^ value >>> 30) * 0xBF58476D1CE4E5B9L;
        final long second = (first ^ first >>> 27) * 0x94D049BB133111EBL;
        return second ^ second >>> 31;
    }
}
