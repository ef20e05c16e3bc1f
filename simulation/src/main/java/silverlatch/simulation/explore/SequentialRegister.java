package silverlatch.simulation.explore;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** The sequential specification: one operation on a state, with its outcome, gives the next state or is impossible. */
interface SequentialRegister {
    /** The state at first. */
    String initialState();

    /**
     * The state after the operation, if the operation may have the outcome it had; an operation whose end is unknown takes
     * effect as if it had been acknowledged.
     */
    Optional<String> apply(String state, Operation operation);

    /** The configuration: a put is taken when its match is the number in force; one that was taken is taken again. */
    SequentialRegister CONFIGURATION = new SequentialRegister() {
        private static final String SEPARATOR = ";";

        @Override
        public String initialState() {
            return "";
        }

        @Override
        public Optional<String> apply(final String state, final Operation operation) {
            final String current = state.isEmpty() ? "" : state.substring(0, state.indexOf(SEPARATOR));
            if (operation.isRead()) {
                final boolean seen = operation.outcome().orElseThrow() instanceof Operation.Outcome.Value value
                        && value.value().equals(current);
                return seen ? Optional.of(state) : Optional.empty();
            }
            final boolean refused = operation
                    .outcome()
                    .map(o -> o instanceof Operation.Outcome.Refused)
                    .orElse(false);
            final boolean taken = state.contains(SEPARATOR + operation.text() + SEPARATOR);
            final boolean fits = matches(current, operation);
            if (refused) {
                return taken || fits ? Optional.empty() : Optional.of(state);
            }
            if (taken) {
                return Optional.of(state);
            }
            return fits ? Optional.of(with(state, operation)) : Optional.empty();
        }

        private boolean matches(final String current, final Operation operation) {
            final int number = current.isEmpty() ? 0 : Integer.parseInt(current.substring(0, current.indexOf('/')));
            return operation.number() > number && (operation.match() < 0 || operation.match() == number);
        }

        private String with(final String state, final Operation operation) {
            final Set<String> taken = new TreeSet<>(Set.of(operation.text()));
            final int from = state.indexOf(SEPARATOR);
            if (from >= 0) {
                for (final String text : state.substring(from + 1).split(SEPARATOR)) {
                    taken.add(text);
                }
            }
            return operation.text() + SEPARATOR + String.join(SEPARATOR, taken) + SEPARATOR;
        }
    };

    /** The evacuation of the zone: the last order that took effect stands. */
    SequentialRegister ZONE = new SequentialRegister() {
        @Override
        public String initialState() {
            return "false";
        }

        @Override
        public Optional<String> apply(final String state, final Operation operation) {
            if (operation.isRead()) {
                final boolean seen = operation.outcome().orElseThrow() instanceof Operation.Outcome.Value value
                        && value.value().equals(state);
                return seen ? Optional.of(state) : Optional.empty();
            }
            final boolean refused = operation
                    .outcome()
                    .map(o -> o instanceof Operation.Outcome.Refused)
                    .orElse(false);
            return refused ? Optional.empty() : Optional.of(Boolean.toString(operation.kind() == Action.Kind.EVACUATE));
        }
    };
}
