package silverlatch.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import silverlatch.state.Command;
import silverlatch.state.Value;

/** Generates random configuration writes on top of the configuration that an operator knows; some are invalid or stale. */
final class OperatorWriteGenerator {
    private final Random random;
    private int generated;

    OperatorWriteGenerator(final Random random) {
        this.random = random;
    }

    /** Returns a write of an operator that knows the configuration of this number as the newest. */
    OperatorWrite next(final long knownNumber) {
        final long number = knownNumber + 1 + random.nextInt(2);
        return switch (random.nextInt(14)) {
            case 0 -> write(number, knownNumber, "no service", "other", 1, 1_000, 1);
            case 1 -> write(number, knownNumber, "same place", "pool", 1, 1_000, 2);
            case 2 -> write(number, knownNumber, "no weight", "pool", 0, 1_000, 1);
            case 3 -> write(number, knownNumber, "no timeout", "pool", 1, 0, 1);
            case 4 -> write(knownNumber, knownNumber, "same version", "pool", 1, 1_000, 1);
            case 5 -> write(Math.max(0, knownNumber - 1), knownNumber, "old version", "pool", 1, 1_000, 1);
            case 6 -> write(number, Math.max(0, knownNumber - 1), "", "pool", 1, 1_000, 1);
            case 7 -> write(number + 1, number, "", "pool", 1, 1_000, 1);
            default -> write(number, knownNumber, "", "pool", 1, 1_000, 1);
        };
    }

    /** Creates a write; it is invalid if {@code fault} isn't empty. The fault becomes a part of the document's text. */
    private OperatorWrite write(
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
        return new OperatorWrite(command, !fault.isEmpty());
    }

    private static Value.Route route(
            final String name, final String host, final long timeoutMicros, final Value.WeightedBackend backend) {
        return new Value.Route(
                name, host, "/", false, false, false, false, timeoutMicros, 0, 0, 0, 1, List.of(), List.of(backend));
    }
}
