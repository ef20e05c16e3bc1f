package silverlatch.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import silverlatch.state.Command;
import silverlatch.state.Value;

/** Draws orders of an operator that knows the configuration of some number: most build on it, some are invalid or stale. */
final class OrderGenerator {
    private final Random random;
    private int generated;

    OrderGenerator(final Random random) {
        this.random = random;
    }

    /** An order of an operator that has last heard of this number. */
    OperatorOrder next(final long known) {
        final long number = known + 1 + random.nextInt(2);
        return switch (random.nextInt(14)) {
            case 0 -> order(number, known, "no service", "other", 1, 1_000, 1);
            case 1 -> order(number, known, "same place", "pool", 1, 1_000, 2);
            case 2 -> order(number, known, "no weight", "pool", 0, 1_000, 1);
            case 3 -> order(number, known, "no timeout", "pool", 1, 0, 1);
            case 4 -> order(known, known, "same version", "pool", 1, 1_000, 1);
            case 5 -> order(Math.max(0, known - 1), known, "old version", "pool", 1, 1_000, 1);
            case 6 -> order(number, Math.max(0, known - 1), "", "pool", 1, 1_000, 1);
            case 7 -> order(number + 1, number, "", "pool", 1, 1_000, 1);
            default -> order(number, known, "", "pool", 1, 1_000, 1);
        };
    }

    /** An order; it is invalid if it has a fault, which is a part of its document then. */
    private OperatorOrder order(
            final long number,
            final long expectedRevision,
            final String fault,
            final String pool,
            final int weight,
            final long timeoutMicros,
            final int routeCount) {
        final List<Value.Route> routes = new ArrayList<>();
        for (int i = 0; i < routeCount; i++) {
            routes.add(route("rule " + i, "host" + number, timeoutMicros, new Value.WeightedBackend(pool, weight)));
        }
        final Command.PutConfiguration command = new Command.PutConfiguration(
                "",
                new Value.RoutingConfiguration(number, 1, 1, 1, 1),
                routes,
                List.of(new Value.BackendPool("pool", "/", 1, 0, 1, 1, 0, 1)),
                "document " + generated + " number " + number + " " + fault,
                expectedRevision);
        generated++;
        return new OperatorOrder(command, !fault.isEmpty());
    }

    private static Value.Route route(
            final String name, final String host, final long timeoutMicros, final Value.WeightedBackend backend) {
        return new Value.Route(
                name, host, "/", false, false, false, false, timeoutMicros, 0, 0, 0, 1, List.of(), List.of(backend));
    }
}
