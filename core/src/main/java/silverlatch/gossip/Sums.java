package silverlatch.gossip;

import silverlatch.wire.Message;

/** Digests over marks: one over all, and one for each range of names. Order plays no part. */
final class Sums {
    /** How many ranges; one bit of a long for each. */
    static final int RANGES = Long.SIZE;

    private final long[] ranges = new long[RANGES];
    private long total;

    static int range(final String id) {
        return (int) (mix(name(id)) >>> 58);
    }

    void add(final Message.ReportVersion m) {
        put(m.id(), hash(m));
    }

    void remove(final Message.ReportVersion m) {
        put(m.id(), -hash(m));
    }

    long total() {
        return total;
    }

    long[] ranges() {
        return ranges.clone();
    }

    /** A bit for each range that differs; none when the other's digests are not given. */
    long differ(final long[] other) {
        long bits = 0;
        for (int i = 0; i < Math.min(RANGES, other.length); i++) {
            bits |= ranges[i] != other[i] ? 1L << i : 0;
        }
        return bits;
    }

    static boolean in(final long bits, final String id) {
        return (bits >>> range(id) & 1) == 1;
    }

    private void put(final String id, final long sum) {
        ranges[range(id)] += sum;
        total += sum;
    }

    private static long hash(final Message.ReportVersion m) {
        return mix(mix(name(m.id()) + m.incarnation()) + m.sequence());
    }

    private static long name(final String id) {
        long sum = 0xCBF29CE484222325L;
        for (int i = 0; i < id.length(); i++) {
            sum = (sum ^ id.charAt(i)) * 0x100000001B3L;
        }
        return sum;
    }

    private static long mix(final long x) {
        final long a = (x ^ x >>> 33) * 0xFF51AFD7ED558CCDL;
        final long b = (a ^ a >>> 33) * 0xC4CEB9FE1A85EC53L;
        return b ^ b >>> 33;
    }
}
