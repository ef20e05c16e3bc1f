package silverlatch.state;

import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedMap;

/** Reads usage data from a state: which windows are closed, and which have been reported. */
public final class UsageState {
    private UsageState() {}

    /**
     * Returns whether the routing configuration in force requires keys, so that it has tenants whose usage is counted.
     */
    public static boolean hasTenants(final StateMachine state) {
        return value(state, EntryKeys.ACCESS_CONTROL, Value.AccessControl.class)
                .filter(Value.AccessControl::keysRequired)
                .isPresent();
    }

    /** Returns the newest closed window, if there is one. */
    public static OptionalLong newestClosed(final StateMachine state) {
        final SortedMap<String, Entry> closed = state.entriesWithPrefix(EntryKeys.USAGE_WINDOWS);
        return closed.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(window(closed.get(closed.lastKey())).number());
    }

    /** Returns the oldest retained closed window after the window with the given number. */
    public static Optional<Value.UsageWindow> firstClosedAfter(final StateMachine state, final long number) {
        final Collection<Entry> later = state.entriesWithPrefix(EntryKeys.USAGE_WINDOWS)
                .tailMap(UsageManager.key(number + 1))
                .values();
        return later.stream().findFirst().map(UsageState::window);
    }

    /** Returns the newest window that is recorded as reported to the provider; -1 if there is none. */
    public static long reportedUpTo(final StateMachine state) {
        return value(state, EntryKeys.USAGE_REPORTED, Value.UsageReported.class)
                .map(Value.UsageReported::window)
                .orElse(-1L);
    }

    private static Value.UsageWindow window(final Entry entry) {
        return (Value.UsageWindow) entry.value().get(0);
    }

    private static <T extends Value> Optional<T> value(
            final StateMachine state, final String key, final Class<T> type) {
        return state.get(key).map(entry -> type.cast(entry.value().get(0)));
    }
}
