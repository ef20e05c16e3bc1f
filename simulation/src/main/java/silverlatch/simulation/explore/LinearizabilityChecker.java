package silverlatch.simulation.explore;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Checks whether a history is linearizable: whether there is an order of the operations that respects their real-time order
 * and explains the outcome of each. Uses the search of Wing and Gong with Lowe's cache of configurations already tried.
 * Operations whose outcome is unknown may be left out of the order.
 */
final class LinearizabilityChecker {
    private static final int MAX_OPERATIONS = 62;
    private final SequentialRegister register;
    private final List<Operation> operations;
    private final long completed;
    private final Set<Tried> tried = new HashSet<>();

    private record Tried(long done, String state) {}

    private LinearizabilityChecker(final SequentialRegister register, final List<Operation> operations) {
        this.register = register;
        this.operations = operations;
        long bits = 0;
        for (int i = 0; i < operations.size(); i++) {
            bits |= operations.get(i).outcome().isPresent() ? 1L << i : 0;
        }
        this.completed = bits;
    }

    /**
     * Returns whether a history is linearizable; reads without an outcome are ignored.
     *
     * @throws IllegalArgumentException if more than 62 operations remain, as the search keeps them as bits of a long
     */
    static boolean isLinearizable(final SequentialRegister register, final List<Operation> history) {
        final List<Operation> relevant = history.stream()
                .filter(operation -> operation.outcome().isPresent() || !operation.isRead())
                .toList();
        if (relevant.size() > MAX_OPERATIONS) {
            throw new IllegalArgumentException("a history of " + relevant.size() + " operations is too long to check");
        }
        return new LinearizabilityChecker(register, relevant).search(0, register.initialState());
    }

    private boolean search(final long done, final String state) {
        if ((done & completed) == completed) {
            return true;
        }
        if (!tried.add(new Tried(done, state))) {
            return false;
        }
        final long bound = earliestEnd(done);
        for (int i = 0; i < operations.size(); i++) {
            final Operation operation = operations.get(i);
            if ((done & 1L << i) == 0 && operation.start() <= bound) {
                final Optional<String> next = register.apply(state, operation);
                if (next.isPresent() && search(done | 1L << i, next.get())) {
                    return true;
                }
            }
        }
        return false;
    }

    /** Returns the earliest end of the operations not yet placed; an operation that begins later can't be placed next. */
    private long earliestEnd(final long done) {
        long bound = Long.MAX_VALUE;
        for (int i = 0; i < operations.size(); i++) {
            bound = (done & 1L << i) == 0 ? Math.min(bound, operations.get(i).end()) : bound;
        }
        return bound;
    }
}
