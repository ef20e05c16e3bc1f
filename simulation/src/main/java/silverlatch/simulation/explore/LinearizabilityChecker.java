package silverlatch.simulation.explore;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

/**
 * Whether a history is linearizable: some order of the operations that keeps to their times gives each its outcome (the
 * search of Wing and Gong, with Lowe's memory of what was tried). Operations whose end is unknown may be left out.
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

    /** Whether the history of at most 62 operations is linearizable; reads whose end is unknown tell nothing. */
    static boolean isLinearizable(final SequentialRegister register, final List<Operation> history) {
        final List<Operation> telling = history.stream()
                .filter(operation -> operation.outcome().isPresent() || !operation.isRead())
                .toList();
        if (telling.size() > MAX_OPERATIONS) {
            throw new IllegalArgumentException("a history of " + telling.size() + " operations is too long");
        }
        return new LinearizabilityChecker(register, telling).search(0, register.initialState());
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

    /** What begins after this can't come before an operation that isn't done yet. */
    private long earliestEnd(final long done) {
        long bound = Long.MAX_VALUE;
        for (int i = 0; i < operations.size(); i++) {
            bound = (done & 1L << i) == 0 ? Math.min(bound, operations.get(i).end()) : bound;
        }
        return bound;
    }
}
