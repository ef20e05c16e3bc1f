package silverlatch.util;

/**
 * The 64-bit FNV-1a hash of a string, computed over its UTF-16 code units instead of bytes. Processes compare digests
 * made with it, so the computed values must not change. The low bits are well distributed, the high bits aren't: mix
 * the hash before using only a part of its bits.
 */
public final class Fnv1a {
    private static final long OFFSET_BASIS = 0xCBF29CE484222325L;
    private static final long PRIME = 0x100000001B3L;

    private Fnv1a() {}

    /** Returns the hash of a string, with seed 0. */
    public static long hash(final String text) {
        return hash(text, 0);
    }

    /** Returns the hash of a string with a seed. */
    public static long hash(final String text, final long seed) {
        long hash = OFFSET_BASIS ^ seed;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * PRIME;
        }
        return hash;
    }
}
