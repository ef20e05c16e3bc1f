package silverlatch.util;

/** Bounded numbers, for JDK 17, whose {@code Math} lacks {@code clamp}. */
public final class Numbers {
    private Numbers() {}

    /** The value, or the bound that it lies beyond. */
    public static double clamp(final double value, final double least, final double most) {
        return Math.max(least, Math.min(most, value));
    }

    /** The value, or the bound that it lies beyond. */
    public static long clamp(final long value, final long least, final long most) {
        return Math.max(least, Math.min(most, value));
    }

    /** The value, or the bound that it lies beyond. */
    public static int clamp(final int value, final int least, final int most) {
        return Math.max(least, Math.min(most, value));
    }
}
