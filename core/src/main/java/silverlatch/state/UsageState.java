package silverlatch.state;

import java.util.Collection;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.SortedMap;

/** Reads from a state what it holds of usage: which windows are closed, and up to where they were reported. */
public final class UsageState {
    private UsageState() {}

    /** Whether the routing configuration in force has tenants, whose usage is counted. */
    public static boolean hasTenants(final StateMachine state) {
        return value(state, EntryKeys.ACCESS_CONTROL, Value.AccessControl.class)
                .filter(Value.AccessControl::keysRequired)
                .isPresent();
    }

    /** The newest window that is closed, if one is. */
    public static OptionalLong newestClosed(final StateMachine state) {
        final SortedMap<String, Entry> closed = state.entriesWithPrefix(EntryKeys.USAGE_WINDOWS);
        return closed.isEmpty()
                ? OptionalLong.empty()
                : OptionalLong.of(window(closed.get(closed.lastKey())).number());
    }

    /** The oldest remembered window that is closed and comes after another one. */
    public static Optional<Value.UsageWindow> firstClosedAfter(final StateMachine state, final long number) {
        final Collection<Entry> later = state.entriesWithPrefix(EntryKeys.USAGE_WINDOWS)
                .tailMap(UsageManager.key(number + 1))
                .values();
        return later.stream().findFirst().map(UsageState::window);
    }

    /** The newest window that the provider has as far as was committed; -1 before there is one. */
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
