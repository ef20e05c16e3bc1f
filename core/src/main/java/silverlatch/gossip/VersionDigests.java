package silverlatch.gossip;

import silverlatch.wire.Message;

/** Digests over marks: one over all, and one for each range of names. Order plays no part. */
final class VersionDigests {
    /** How many ranges; one bit of a long for each. */
    static final int RANGE_COUNT = Long.SIZE;

    private final long[] ranges = new long[RANGE_COUNT];
    private long total;

    static int rangeOf(final String id) {
        return (int) (mix(nameHash(id)) >>> 58);
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
        return mix(mix(nameHash(version.id()) + version.incarnation()) + version.sequence());
    }

    private static long nameHash(final String id) {
        long hash = 0xCBF29CE484222325L;
        for (int i = 0; i < id.length(); i++) {
            hash = (hash ^ id.charAt(i)) * 0x100000001B3L;
        }
        return hash;
    }

    private static long mix(final long value) {
        final long first = (value ^ value >>> 33) * 0xFF51AFD7ED558CCDL;
        final long second = (first ^ first >>> 33) * 0xC4CEB9FE1A85EC53L;
        return second ^ second >>> 33;
    }
}
