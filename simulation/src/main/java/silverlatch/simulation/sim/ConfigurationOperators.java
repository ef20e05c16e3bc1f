package silverlatch.simulation.sim;

import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;
import silverlatch.replication.ChainClient;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.ConfigurationValidator;
import silverlatch.state.Value;

/**
 * Operators of routing configurations: up to eight orders under way at once, each sent to any controller, rivals under one
 * revision or on top of one, invalid ones among them, answers lost, and orders sent again long after they were taken.
 */
final class ConfigurationOperators {
    private static final long SECOND = 1_000_000L;
    private static final long CALL_TIMEOUT = 900_000L;
    private static final long START_INTERVAL = 100_000L;
    private static final int UNDER_WAY = 8;
    private static final int CALLS = 10;
    private final World world;
    private final ConfigurationHistory history;
    private int underWay;
    private long documents;
    private long calls;
    private long end;

    ConfigurationOperators(final World world) {
        this.world = world;
        this.history = new ConfigurationHistory(world.watch());
    }

    private record Order(String document, long revision, long match, boolean valid) {}

    /** Starts orders for a span from now on. */
    void run(final long span) {
        final boolean idle = end <= world.engine().now();
        end = Math.max(end, world.engine().now() + span);
        if (idle) {
            start();
        }
    }

    /** Reads the newest configuration back through every controller that is up. */
    void readBack() {
        world.controllers().stream().filter(SimulatedNode::alive).forEach(this::read);
    }

    private void start() {
        if (world.engine().now() >= end) {
            return;
        }
        if (underWay < UNDER_WAY) {
            final long match = history.newest();
            final long revision = match + 1 + chance(3);
            send(order(revision, match, chance(10) > 0));
            if (chance(3) == 0 && underWay < UNDER_WAY) {
                send(order(revision + chance(2), match, true));
            }
        }
        if (chance(5) == 0) {
            controller().ifPresent(this::read);
        }
        world.engine().in(START_INTERVAL, this::start);
    }

    private Order order(final long revision, final long match, final boolean valid) {
        return new Order("document-" + ++documents, revision, match, valid);
    }

    private void send(final Order order) {
        underWay++;
        call(order, CALLS, () -> underWay--);
    }

    /** Calls some controller; where no answer comes, or it is lost, the same order goes to any controller again. */
    private void call(final Order order, final int left, final Runnable then) {
        final boolean[] over = {false};
        final Consumer<Boolean> done = clear -> {
            if (!over[0]) {
                over[0] = true;
                if (clear || left == 1) {
                    then.run();
                    late(order);
                } else {
                    world.engine().in(SECOND / 5 + chance(SECOND), () -> call(order, left - 1, then));
                }
            }
        };
        world.engine().in(SECOND, () -> done.accept(false));
        controller()
                .ifPresent(c -> c.wish(command(order), CALL_TIMEOUT, r -> {
                    final boolean clear = note(order, (CommandResult) r);
                    if (chance(10) >= 7) {
                        done.accept(clear);
                    }
                }));
    }

    private void late(final Order order) {
        if (history.acknowledged(order.document()) && chance(4) == 0) {
            world.engine().in(2 * SECOND + chance(18 * SECOND), () -> call(order, 1, () -> {}));
        }
    }

    private boolean note(final Order order, final CommandResult result) {
        return switch (result) {
            case CommandResult.Applied a -> {
                history.acknowledge(order.document(), order.revision(), order.match());
                if (!order.valid()) {
                    world.watch().fault(Mark.LOSER, order.document() + " is invalid and was acknowledged");
                }
                yield true;
            }
            case CommandResult.Rejected r -> {
                if (r.code() != 503) {
                    history.refuse(order.document());
                }
                yield r.code() != 503;
            }
            case CommandResult.AlreadyClaimed a -> false;
            case CommandResult.Unknown u -> false;
        };
    }

    private void read(final SimulatedNode controller) {
        final long before = history.newest();
        controller.read(ConfigurationValidator.DOCUMENT_KEY, CALL_TIMEOUT, r -> {
            if (r instanceof ChainClient.ReadResult p && p.answered()) {
                p.entries().stream()
                        .filter(e -> !e.isDeleted())
                        .map(e -> (Value.ConfigurationDocument) e.value().get(0))
                        .findFirst()
                        .ifPresentOrElse(
                                d -> history.read(d.text(), d.number(), before), () -> history.read("none", 0, before));
            }
        });
    }

    /** Each call bears an id of its own, as one over HTTP does. */
    private Command command(final Order order) {
        final Value.BackendPool pool = new Value.BackendPool("pool", "/", 1, 0, 1, 1, 0, 1);
        final Value.Route route = new Value.Route(
                "route",
                order.document() + ".example",
                "/",
                false,
                false,
                false,
                false,
                1,
                0,
                0,
                0,
                1,
                List.of(),
                List.of(new Value.WeightedBackend(order.valid() ? "pool" : "unknown", 1)));
        return new Command.PutConfiguration(
                "configuration-" + ++calls,
                new Value.RoutingConfiguration(order.revision(), 1, 1, 1, 1),
                List.of(route),
                List.of(pool),
                order.document(),
                order.match());
    }

    private Optional<SimulatedNode> controller() {
        final List<SimulatedNode> up =
                world.controllers().stream().filter(SimulatedNode::alive).toList();
        return up.isEmpty() ? Optional.empty() : Optional.of(world.some(up));
    }

    private long chance(final long bound) {
        return world.engine().luck().nextLong(bound);
    }
}
