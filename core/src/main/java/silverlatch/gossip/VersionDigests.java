package silverlatch.gossip;

import silverlatch.util.Fnv1a;

/**
 * Digests of a set of versions: one of all versions, and one for each of 64 ranges of ids. An id is assigned to a
 * range by its hash. A digest is a sum of hashes, so it doesn't depend on the order in which versions are added, and
 * removing a version undoes adding it. Two nodes whose digests are equal hold the same versions, unless 64-bit hashes
 * collide.
 */
final class VersionDigests {
    /** The number of ranges. A set of ranges is represented by a long with one bit per range. */
    static final int RANGE_COUNT = Long.SIZE;

    /** Shifts a hash so that its top 6 bits remain, which are the index of the range. */
    private static final int RANGE_SHIFT = Long.SIZE - 6;

    private final long[] ranges = new long[RANGE_COUNT];
    private long total;

    /** Returns the index of the range to which an id belongs. */
    static int rangeOf(final String id) {
        return (int) (mix(Fnv1a.hash(id)) >>> RANGE_SHIFT);
    }

    /** Returns whether an id belongs to one of a set of ranges. */
    static boolean isInRanges(final long rangeBits, final String id) {
        return (rangeBits >>> rangeOf(id) & 1) == 1;
    }

    /** Adds a version that isn't in the set. */
    void add(final ReportVersion version) {
        accumulate(version.id(), hashOf(version));
    }

    /** Removes a version that was added before. */
    void remove(final ReportVersion version) {
        accumulate(version.id(), -hashOf(version));
    }

    /** Returns the digest of all versions. */
    long total() {
        return total;
    }

    /** Returns a copy of the digests of all ranges. */
    long[] ranges() {
        return ranges.clone();
    }

    /**
     * Returns the set of ranges whose digests differ from another node's; no range if the other node sent no digests.
     */
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

    /** Applies the finalizer of MurmurHash3, by which each bit of the result depends on each bit of the value. */
    private static long mix(final long value) {
        final long first = (value ^ value >>> 33) * 0xFF51AFD7ED558CCDL;
        final long second = (first ^ first >>> 33) * 0xC4CEB9FE1A85EC53L;
        return second ^ second >>> 33;
    }
}
