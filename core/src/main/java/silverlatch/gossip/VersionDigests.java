package silverlatch.gossip;

import silverlatch.util.Fnv1a;
import silverlatch.wire.Message;

/** Digests over marks: one over all, and one for each range of names. Order plays no part. */
final class VersionDigests {
    /** How many ranges; one bit of a long for each. */
    static final int RANGE_COUNT = Long.SIZE;

    private final long[] ranges = new long[RANGE_COUNT];
    private long total;

    static int rangeOf(final String id) {
        return (int) (mix(Fnv1a.hash(id)) >>> 58);
    }

    void add(final Message.ReportVersion version) {
        accumulate(version.id(), hashOf(version));
    }

    void remove(final Message.ReportVersion version) {
        accumulate(version.id(), -hashOf(version));
    }

    long total() {
        return total;
    }

    long[] ranges() {
        return ranges.clone();
    }

    /** A bit for each range that differs; none when the other's digests are not given. */
    long differingRanges(final long[] other) {
        long differing = 0;
        for (int i = 0; i < Math.min(RANGE_COUNT, other.length); i++) {
            differing |= ranges[i] != other[i] ? 1L << i : 0;
        }
        return differing;
    }

    static boolean isInRanges(final long rangeBits, final String id) {
        return (rangeBits >>> rangeOf(id) & 1) == 1;
    }

    private void accumulate(final String id, final long change) {
        ranges[rangeOf(id)] += change;
        total += change;
    }

    private static long hashOf(final Message.ReportVersion version) {
        return mix(mix(Fnv1a.hash(version.id()) + version.incarnation()) + version.sequence());
    }

    /** The finalizer of MurmurHash3: each bit of the result depends on each bit of the value. */
    private static long mix(final long value) {
        final long first = (value ^ value >>> 33) * 0xFF51AFD7ED558CCDL;
        final long second = (first ^ first >>> 33) * 0xC4CEB9FE1A85EC53L;
        return second ^ second >>> 33;
    }
}
