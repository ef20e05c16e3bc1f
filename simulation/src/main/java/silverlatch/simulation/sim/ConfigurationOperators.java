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
 * Simulates operators of routing configurations. Up to eight writes are in flight at once, each sent to a random controller. Some
 * conflict under one revision or on top of one, some are invalid, some replies are lost, and some writes are sent again long
 * after they were acknowledged. Durations are microseconds.
 */
final class ConfigurationOperators {
    private static final long SECOND = 1_000_000L;
    private static final long CALL_TIMEOUT = 900_000L;
    private static final long START_INTERVAL = 100_000L;
    private static final int MAX_IN_FLIGHT = 8;
    private static final int MAX_CALLS = 10;
    private final World world;
    private final ConfigurationHistory history;
    private int inFlight;
    private long nextDocument;
    private long nextCall;
    private long endTime;

    ConfigurationOperators(final World world) {
        this.world = world;
        this.history = new ConfigurationHistory(world.observer());
    }

    private record ConfigurationWrite(String document, long revision, long match, boolean valid) {}

    /** Sends writes for the given time from now on. */
    void run(final long duration) {
        final boolean idle = endTime <= world.scheduler().now();
        endTime = Math.max(endTime, world.scheduler().now() + duration);
        if (idle) {
            start();
        }
    }

    /** Reads the newest configuration through every running controller. */
    void readBack() {
        world.controllers().stream().filter(SimulatedNode::isAlive).forEach(this::read);
    }

    private void start() {
        if (world.scheduler().now() >= endTime) {
            return;
        }
        if (inFlight < MAX_IN_FLIGHT) {
            final long match = history.newest();
            final long revision = match + 1 + randomBelow(3);
            send(newWrite(revision, match, randomBelow(10) > 0));
            if (randomBelow(3) == 0 && inFlight < MAX_IN_FLIGHT) {
                send(newWrite(revision + randomBelow(2), match, true));
            }
        }
        if (randomBelow(5) == 0) {
            controller().ifPresent(this::read);
        }
        world.scheduler().schedule(START_INTERVAL, this::start);
    }

    private ConfigurationWrite newWrite(final long revision, final long match, final boolean valid) {
        return new ConfigurationWrite("document-" + ++nextDocument, revision, match, valid);
    }

    private void send(final ConfigurationWrite write) {
        inFlight++;
        call(write, MAX_CALLS, () -> inFlight--);
    }

    /** Sends a write to a random controller; if the reply doesn't arrive or is drawn to be lost, sends the same write again. */
    private void call(final ConfigurationWrite write, final int callsLeft, final Runnable onDone) {
        final boolean[] ended = {false};
        final Consumer<Boolean> onReply = decided -> {
            if (!ended[0]) {
                ended[0] = true;
                if (decided || callsLeft == 1) {
                    onDone.run();
                    resendLater(write);
                } else {
                    world.scheduler()
                            .schedule(SECOND / 5 + randomBelow(SECOND), () -> call(write, callsLeft - 1, onDone));
                }
            }
        };
        world.scheduler().schedule(SECOND, () -> onReply.accept(false));
        controller()
                .ifPresent(controller -> controller.submit(command(write), CALL_TIMEOUT, result -> {
                    final boolean decided = recordResult(write, (CommandResult) result);
                    if (randomBelow(10) >= 7) {
                        onReply.accept(decided);
                    }
                }));
    }

    private void resendLater(final ConfigurationWrite write) {
        if (history.isAcknowledged(write.document()) && randomBelow(4) == 0) {
            world.scheduler().schedule(2 * SECOND + randomBelow(18 * SECOND), () -> call(write, 1, () -> {}));
        }
    }

    private boolean recordResult(final ConfigurationWrite write, final CommandResult result) {
        return switch (result) {
            case CommandResult.Applied applied -> {
                history.recordAcknowledgement(write.document(), write.revision(), write.match());
                if (!write.valid()) {
                    world.observer()
                            .violated(Invariant.REJECTED_CHANGE, write.document() + " is invalid and was acknowledged");
                }
                yield true;
            }
            case CommandResult.Rejected rejected -> {
                if (rejected.code() != 503) {
                    history.recordRejection(write.document());
                }
                yield rejected.code() != 503;
            }
            case CommandResult.AlreadyClaimed applied -> false;
            case CommandResult.Unknown u -> false;
        };
    }

    private void read(final SimulatedNode controller) {
        final long newestBefore = history.newest();
        controller.read(ConfigurationValidator.DOCUMENT_KEY, CALL_TIMEOUT, reply -> {
            if (reply instanceof ChainClient.ReadResult answer && answer.answered()) {
                answer.entries().stream()
                        .filter(e -> !e.isDeleted())
                        .map(e -> (Value.ConfigurationDocument) e.value().get(0))
                        .findFirst()
                        .ifPresentOrElse(
                                d -> history.recordRead(d.text(), d.number(), newestBefore),
                                () -> history.recordRead("none", 0, newestBefore));
            }
        });
    }

    /** Returns the command of a write. Each call has a command id of its own, as over HTTP. */
    private Command command(final ConfigurationWrite write) {
        final Value.BackendPool pool = new Value.BackendPool("pool", "/", 1, 0, 1, 1, 0, 1);
        final Value.Route route = new Value.Route(
                "route",
                write.document() + ".example",
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
                List.of(new Value.WeightedBackend(write.valid() ? "pool" : "unknown", 1)));
        return new Command.PutConfiguration(
                "configuration-" + ++nextCall,
                new Value.RoutingConfiguration(write.revision(), 1, 1, 1, 1),
                List.of(route),
                List.of(pool),
                write.document(),
                write.match());
    }

    private Optional<SimulatedNode> controller() {
        final List<SimulatedNode> up =
                world.controllers().stream().filter(SimulatedNode::isAlive).toList();
        return up.isEmpty() ? Optional.empty() : Optional.of(world.randomOf(up));
    }

    private long randomBelow(final long bound) {
        return world.scheduler().random().nextLong(bound);
    }
}
