package silverlatch.util;

/**
 * The 64-bit FNV-1a hash of a text, over its UTF-16 code units in place of bytes. Digests made with it are compared
 * between processes, so the values must stay as they are. Its low bits are well spread, its high bits aren't: mix it
 * before taking a part of it.
 */
public final class Fnv1a {
    private static final long OFFSET_BASIS = 0xCBF29CE484222325L;
    private static final long PRIME = 0x100000001B3L;

    private Fnv1a() {}

    /** The hash of a text. */
    public static long hash(final String text) {
        return hash(text, 0);
    }

    /** The hash of a text under a seed; the hash without a seed is the one under 0. */
    public static long hash(final String text, final long seed) {
        long hash = OFFSET_BASIS ^ seed;
        for (int i = 0; i < text.length(); i++) {
            hash = (hash ^ text.charAt(i)) * PRIME;
        }
        return hash;
    }
}
