package silverlatch.simulation.explore;

import java.util.Optional;
import java.util.Set;
import java.util.TreeSet;

/** A sequential specification: it determines whether an operation can have its outcome in a state, and the next state. */
interface SequentialRegister {
    /** Returns the initial state. */
    String initialState();

    /**
     * Returns the state after the operation, or empty if it can't have its outcome in this state. A write whose outcome is
     * unknown takes effect as if it had been acknowledged.
     */
    Optional<String> apply(String state, Operation operation);

    /**
     * The configuration. A put is accepted if its number is greater than the current one and its match is the current number or
     * negative; a put that was accepted before is accepted again, without effect. The state is the current text followed by
     * all accepted texts, each ended by the separator.
     */
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
            final boolean accepted = state.contains(SEPARATOR + operation.text() + SEPARATOR);
            final boolean fits = matches(current, operation);
            if (refused) {
                return accepted || fits ? Optional.empty() : Optional.of(state);
            }
            if (accepted) {
                return Optional.of(state);
            }
            return fits ? Optional.of(with(state, operation)) : Optional.empty();
        }

        private boolean matches(final String current, final Operation operation) {
            final int number = current.isEmpty() ? 0 : Integer.parseInt(current.substring(0, current.indexOf('/')));
            return operation.number() > number && (operation.match() < 0 || operation.match() == number);
        }

        private String with(final String state, final Operation operation) {
            final Set<String> accepted = new TreeSet<>(Set.of(operation.text()));
            final int from = state.indexOf(SEPARATOR);
            if (from >= 0) {
                for (final String text : state.substring(from + 1).split(SEPARATOR)) {
                    accepted.add(text);
                }
            }
            return operation.text() + SEPARATOR + String.join(SEPARATOR, accepted) + SEPARATOR;
        }
    };

    /** The evacuation of the zone: the state is "true" or "false" as the last write determines, and no write is rejected. */
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
