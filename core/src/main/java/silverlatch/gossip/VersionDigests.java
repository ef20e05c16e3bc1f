package silverlatch.gossip;

import silverlatch.util.Fnv1a;

/**
 * Digests over a set of versions: one over all, and one for each of 64 ranges of names. A digest is a sum of hashes, so it
 * doesn't depend on the order of additions, and removing a version undoes its addition. Two nodes whose digests are equal
 * hold the same versions but for a collision of 64-bit hashes.
 */
final class VersionDigests {
    /** The number of ranges; a set of ranges is a long with one bit for each. */
    static final int RANGE_COUNT = Long.SIZE;

    /** The top bits of a hash that number the range. */
    private static final int RANGE_SHIFT = Long.SIZE - 6;

    private final long[] ranges = new long[RANGE_COUNT];
    private long total;

    /** Returns the number of the range that a name belongs to. */
    static int rangeOf(final String id) {
        return (int) (mix(Fnv1a.hash(id)) >>> RANGE_SHIFT);
    }

    /** Returns whether a name belongs to one of a set of ranges. */
    static boolean isInRanges(final long rangeBits, final String id) {
        return (rangeBits >>> rangeOf(id) & 1) == 1;
    }

    void add(final ReportVersion version) {
        accumulate(version.id(), hashOf(version));
    }

    /** Removes a version that was added before. */
    void remove(final ReportVersion version) {
        accumulate(version.id(), -hashOf(version));
    }

    /** Returns the digest over all versions. */
    long total() {
        return total;
    }

    /** Returns the digests of the ranges, a copy. */
    long[] ranges() {
        return ranges.clone();
    }

    /** Returns the set of ranges that differ from another node's; empty when the other's digests are not given. */
    long differingRanges(final long[] other) {
        long differing = 0;
        for (int i = 0; i < Math.min(RANGE_COUNT, other.length); i++) {
            differing |= ranges[i] != other[i] ? 1L << i : 0;
        }
        return differing;
    }

    private void accumulate(final String id, final long change) {
        ranges[rangeOf(id)] += change;
        total += change;
    }

    private static long hashOf(final ReportVersion version) {
        return mix(mix(Fnv1a.hash(version.id()) + version.incarnation()) + version.sequence());
    }

    /** The finalizer of MurmurHash3: each bit of the result depends on each bit of the value. */
    private static long mix(final long value) {
        final long first = (value ^ value >>> 33) * 0xFF51AFD7ED558CCDL;
        final long second = (first ^ first >>> 33) * 0xC4CEB9FE1A85EC53L;
        return second ^ second >>> 33;
    }
}
