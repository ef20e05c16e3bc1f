package silverlatch.util;

/** Bounded numbers, for JDK 17, whose {@code Math} lacks {@code clamp}. */
public final class Numbers {
    private Numbers() {}

    /** The value, or the bound that it lies beyond. */
    public static double clamp(final double value, final double min, final double max) {
        return Math.max(min, Math.min(max, value));
    }

    /** The value, or the bound that it lies beyond. */
    public static long clamp(final long value, final long min, final long max) {
        return Math.max(min, Math.min(max, value));
    }

    /** The value, or the bound that it lies beyond. */
    public static int clamp(final int value, final int min, final int max) {
        return Math.max(min, Math.min(max, value));
    }
}
