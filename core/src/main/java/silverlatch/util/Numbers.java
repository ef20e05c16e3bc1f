package silverlatch.util;

/** Clamps numbers to a range, for JDK 17, whose {@code Math} lacks {@code clamp}. */
public final class Numbers {
    private Numbers() {}

    /** Returns the value limited to the range from {@code min} to {@code max}. */
    public static double clamp(final double value, final double min, final double max) {
        return Math.max(min, Math.min(max, value));
    }

    /** Returns the value limited to the range from {@code min} to {@code max}. */
    public static long clamp(final long value, final long min, final long max) {
        return Math.max(min, Math.min(max, value));
    }

    /** Returns the value limited to the range from {@code min} to {@code max}. */
    public static int clamp(final int value, final int min, final int max) {
        return Math.max(min, Math.min(max, value));
    }
}
