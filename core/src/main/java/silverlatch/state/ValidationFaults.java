package silverlatch.state;

import java.util.ArrayList;
import java.util.List;

/**
 * Collects the faults found in a document, each with the path of the invalid field. Only a limited number is reported.
 */
final class ValidationFaults {
    private static final int MAX_ABBREVIATED_LENGTH = 64;
    private final int limit;
    private final List<String> faults = new ArrayList<>();

    ValidationFaults(final int limit) {
        this.limit = limit;
    }

    void add(final String path, final String reason) {
        faults.add(path + ": " + reason);
    }

    boolean isEmpty() {
        return faults.isEmpty();
    }

    /** Returns whether the limit on reported faults is reached, so that further checks are of no use. */
    boolean isFull() {
        return faults.size() >= limit;
    }

    /** Returns the faults to report. */
    List<String> reported() {
        return List.copyOf(faults.subList(0, Math.min(limit, faults.size())));
    }

    /** Checks that a text has 1 to {@code maxLength} characters. */
    void checkLength(final String path, final String text, final int maxLength) {
        if (text.isEmpty() || text.length() > maxLength) {
            add(path, "1 to " + maxLength + " characters are needed, not " + text.length());
        }
    }

    /** Checks that a number is not less than a minimum. NaN counts as less. */
    void checkAtLeast(final String path, final double value, final long minimum) {
        if (!(value >= minimum)) {
            add(path, formatNumber(value) + " is less than " + minimum);
        }
    }

    private static String formatNumber(final double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    /**
     * Returns a text shortened to {@link #MAX_ABBREVIATED_LENGTH} characters, so that no fault is much longer than its
     * path.
     */
    static String abbreviated(final String text) {
        return text.length() <= MAX_ABBREVIATED_LENGTH ? text : text.substring(0, MAX_ABBREVIATED_LENGTH) + "...";
    }
}
