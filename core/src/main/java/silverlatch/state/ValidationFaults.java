package silverlatch.state;

import java.util.ArrayList;
import java.util.List;

/** The faults found in a document so far, each with the path of what is wrong; a limited number is reported. */
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

    /** Whether as many were found as are reported, so that looking for more is of no use. */
    boolean isFull() {
        return faults.size() >= limit;
    }

    /** The faults that are reported. */
    List<String> reported() {
        return List.copyOf(faults.subList(0, Math.min(limit, faults.size())));
    }

    /** Checks that a text has 1 to so many characters. */
    void checkLength(final String path, final String text, final int maxLength) {
        if (text.isEmpty() || text.length() > maxLength) {
            add(path, "1 to " + maxLength + " characters are needed, not " + text.length());
        }
    }

    /** Checks that a number is not less than a minimum; NaN is. */
    void checkAtLeast(final String path, final double value, final long minimum) {
        if (!(value >= minimum)) {
            add(path, formatNumber(value) + " is less than " + minimum);
        }
    }

    private static String formatNumber(final double value) {
        return value == Math.rint(value) ? Long.toString((long) value) : Double.toString(value);
    }

    /** The beginning of a text, so that no fault is much longer than its path. */
    static String abbreviated(final String text) {
        return text.length() <= MAX_ABBREVIATED_LENGTH ? text : text.substring(0, MAX_ABBREVIATED_LENGTH) + "...";
    }
}
