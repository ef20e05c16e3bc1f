package silverlatch.simulation.sim;

import java.util.Optional;
import silverlatch.replication.ChainClient;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;

/** Two operators concurrently drain a zone and return it to service, both on top of the same sequence number. */
final class ZoneRace {
    private static final long TIMEOUT = 8_000_000L;
    private final World world;
    private final Operators operators;
    private final String zone;
    private final Runnable onDone;
    private Optional<CommandResult> drainResult = Optional.empty();
    private Optional<CommandResult> undrainResult = Optional.empty();
    private boolean ended;

    /** Creates a race; {@code onDone} runs once, when both replies have arrived or after 8 s. */
    ZoneRace(final World world, final Operators operators, final String zone, final Runnable onDone) {
        this.world = world;
        this.operators = operators;
        this.zone = zone;
        this.onDone = onDone;
    }

    void start() {
        world.record("race on " + zone);
        world.observer().operatorHistory().drainWithdrawn(zone);
        world.scheduler().schedule(TIMEOUT, this::end);
        final CommandSubmitter submitter = operators.submitter();
        submitter.randomController().ifPresent(first -> submitter.read(first, "z/", page -> submit(first, page)));
    }

    private void submit(final SimulatedNode first, final ChainClient.ReadResult page) {
        if (ended) {
            return;
        }
        final long match = CommandSubmitter.sequenceOf(page, "z/" + zone);
        final long requestedAt = world.scheduler().now();
        final SimulatedNode second = operators.submitter().randomController().orElse(first);
        final boolean firstDrains = world.scheduler().random().nextBoolean();
        for (final boolean drains : new boolean[] {firstDrains, !firstDrains}) {
            final Command command = new Command.SetEvacuation(operators.nextCommandId("race"), zone, drains, match);
            (drains ? first : second).submit(command, CommandSubmitter.TIMEOUT, result -> {
                if (drains) {
                    drainResult = Optional.of((CommandResult) result);
                } else {
                    undrainResult = Optional.of((CommandResult) result);
                }
                checkResults(match, requestedAt);
            });
        }
    }

    private void checkResults(final long match, final long requestedAt) {
        if (ended || drainResult.isEmpty() || undrainResult.isEmpty()) {
            return;
        }
        final Observer observer = world.observer();
        observer.count("races");
        observer.exercise(Invariant.REJECTED_CHANGE);
        final boolean isDrained = drainResult.get() instanceof CommandResult.Applied;
        if (isDrained && undrainResult.get() instanceof CommandResult.Applied) {
            observer.violated(
                    Invariant.REJECTED_CHANGE,
                    "an order to empty " + zone + " and one to give it back were both kept against " + match);
        }
        if (isDrained && undrainResult.get() instanceof CommandResult.Rejected) {
            observer.operatorHistory().drainRequested(zone, requestedAt);
            observer.operatorHistory().drainAcknowledged(zone, world.scheduler().now());
        }
        end();
    }

    private void end() {
        if (!ended) {
            ended = true;
            onDone.run();
        }
    }
}
