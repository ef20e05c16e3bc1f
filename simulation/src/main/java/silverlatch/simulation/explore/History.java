package silverlatch.simulation.explore;

import java.util.ArrayList;
import java.util.List;
import silverlatch.replication.ChainClient;
import silverlatch.state.CommandResult;

/** The operations of all operators in the order in which they began. An operation's token is its index in this order. */
final class History {
    private final List<Operation> operations = new ArrayList<>();

    /** Records the beginning of an operation and returns its token. */
    long begin(final Operation operation) {
        operations.add(operation);
        return operations.size() - 1L;
    }

    /** Records the response to an operation. A response with an unknown outcome leaves the operation without an outcome. */
    void recordResponse(final long token, final Object reply, final long step) {
        final Operation operation = operation(token);
        switch (reply) {
            case CommandResult.Applied applied -> end(token, new Operation.Outcome.Acknowledged(step));
            case CommandResult.Rejected rejected -> end(token, new Operation.Outcome.Refused(step, rejected.code()));
            case ChainClient.ReadResult page -> {
                if (page.answered()) {
                    end(
                            token,
                            new Operation.Outcome.Value(step, Documents.readValue(operation.kind(), page.entries())));
                }
            }
            default -> {}
        }
    }

    private void end(final long token, final Operation.Outcome outcome) {
        operations.set((int) token, operation(token).withOutcome(outcome));
    }

    Operation operation(final long token) {
        return operations.get((int) token);
    }

    List<Operation> operations() {
        return operations;
    }

    /** Returns the puts in the order in which they began. */
    List<Operation> puts() {
        return operations.stream()
                .filter(operation -> operation.kind() == Action.Kind.PUT)
                .toList();
    }

    /** Returns the operations on the configuration. */
    List<Operation> configurationOperations() {
        return operations.stream()
                .filter(operation -> operation.kind() == Action.Kind.PUT || operation.kind() == Action.Kind.READ)
                .toList();
    }

    /** Returns the operations on the evacuation of the zone. */
    List<Operation> zoneOperations() {
        return operations.stream()
                .filter(operation -> operation.kind() != Action.Kind.PUT && operation.kind() != Action.Kind.READ)
                .toList();
    }
}
