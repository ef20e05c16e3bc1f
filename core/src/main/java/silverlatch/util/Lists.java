package silverlatch.util;

import java.util.List;

/** Access to the last element of a list, for JDK 17, whose lists lack {@code getLast} and {@code removeLast}. */
public final class Lists {
    private Lists() {}

    /**
     * Returns the last element.
     *
     * @throws IndexOutOfBoundsException if the list is empty
     */
    public static <T> T last(final List<T> list) {
        return list.get(list.size() - 1);
    }

    /**
     * Removes and returns the last element.
     *
     * @throws IndexOutOfBoundsException if the list is empty
     */
    public static <T> T removeLast(final List<T> list) {
        return list.remove(list.size() - 1);
    }
}
