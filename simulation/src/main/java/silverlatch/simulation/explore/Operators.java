package silverlatch.simulation.explore;

import java.util.List;
import java.util.Optional;
import silverlatch.state.Command;
import silverlatch.state.ConfigurationValidator;

/** Sends the operations of a world's operators to its machines and records their beginnings in the history. */
final class Operators {
    /** The time after which a caller gives up and sends other commands, in milliseconds. */
    static final int CALLER_TIMEOUT_MILLISECONDS = 1_000;

    private static final long MICROS_PER_MILLISECOND = 1_000;
    private static final long OPERATION_TIMEOUT_MICROS = 880_000;
    private static final String ZONE = "zone";
    private final World world;
    private final History history;
    private final LateCommandMonitor lateCommands;
    private long commands;

    Operators(final World world, final LateCommandMonitor lateCommands) {
        this.world = world;
        this.history = world.history();
        this.lateCommands = lateCommands;
    }

    /** Puts a configuration; returns false if the machine isn't running. */
    boolean put(final Machine machine, final int number, final int match) {
        return machine.isRunning()
                && write(machine, new Operation(Action.Kind.PUT, number, match, world.step(), Optional.empty()));
    }

    /** Sends an earlier put once more; returns false if there is none, or if the machine isn't running. */
    boolean resend(final Machine machine, final int index) {
        final List<Operation> puts = history.puts();
        return index < puts.size()
                && put(machine, puts.get(index).number(), puts.get(index).match());
    }

    /** Evacuates the zone or cancels that; a frozen machine gets the command once it is resumed. */
    boolean evacuate(final Machine machine, final Action.Kind kind) {
        return machine.process().isPresent()
                && write(machine, new Operation(kind, 0, -1, world.step(), Optional.empty()));
    }

    /** Evacuates the zone or cancels that by a command that the network holds. */
    boolean hold(final Machine machine, final Action.Kind kind) {
        machine.heldCommands().add(begin(new Operation(kind, 0, -1, world.step(), Optional.empty())));
        return true;
    }

    /**
     * Delivers the commands that the network holds for a machine, each on a new connection, which is closed shortly after; returns false
     * if there is none, or if the machine isn't running.
     */
    boolean releaseHeld(final Machine machine, final int closeMilliseconds) {
        if (!machine.isRunning() || machine.heldCommands().isEmpty()) {
            return false;
        }
        final long closesAt = world.now() + closeMilliseconds * MICROS_PER_MILLISECOND;
        final List<Machine.WaitingCommand> held = List.copyOf(machine.heldCommands());
        machine.heldCommands().clear();
        for (final Machine.WaitingCommand command : held) {
            machine.closingConnections().add(new Machine.ClosingConnection(command.token(), closesAt));
            submit(machine, command.command(), command.token());
        }
        return true;
    }

    /** Lets a running machine read the closes that have arrived. */
    void closeConnections(final Machine machine) {
        for (final Machine.ClosingConnection closing : List.copyOf(machine.closingConnections())) {
            if (closing.closesAt() <= world.now()) {
                machine.closingConnections().remove(closing);
                world.processForEvent(machine).client().cancel(closing.token());
            }
        }
    }

    private Machine.WaitingCommand begin(final Operation operation) {
        final long token = history.begin(operation);
        final Command command = command(operation, "order-" + ++commands);
        if (command instanceof Command.SetEvacuation) {
            final long callerLeavesAt = world.now() + CALLER_TIMEOUT_MILLISECONDS * MICROS_PER_MILLISECOND;
            lateCommands.onSent(command.id(), token, world.step(), callerLeavesAt);
        }
        return new Machine.WaitingCommand(command, token);
    }

    private boolean write(final Machine machine, final Operation operation) {
        final Machine.WaitingCommand command = begin(operation);
        if (machine.isFrozen()) {
            machine.waitingCommands().add(command);
        } else {
            submit(machine, command.command(), command.token());
        }
        return true;
    }

    /** Submits the commands that a machine got while it was frozen. */
    void submitWaitingCommands(final Machine machine) {
        final List<Machine.WaitingCommand> waiting = List.copyOf(machine.waitingCommands());
        machine.waitingCommands().clear();
        waiting.forEach(command -> submit(machine, command.command(), command.token()));
    }

    private void submit(final Machine machine, final Command command, final long token) {
        final long clock = machine.clock(world.now());
        world.processForEvent(machine).client().submit(command, token, clock, clock + OPERATION_TIMEOUT_MICROS);
        world.flush(machine);
    }

    private static Command command(final Operation operation, final String id) {
        return operation.kind() == Action.Kind.PUT
                ? Documents.put(id, operation)
                : new Command.SetEvacuation(
                        id, ZONE, operation.kind() == Action.Kind.EVACUATE, Command.Revisioned.LATEST);
    }

    /** Reads the configuration or the zone; returns false if the machine isn't running. */
    boolean read(final Machine machine, final Action.Kind kind) {
        if (!machine.isRunning()) {
            return false;
        }
        final long token = history.begin(new Operation(kind, 0, -1, world.step(), Optional.empty()));
        final long clock = machine.clock(world.now());
        final String start =
                kind == Action.Kind.READ ? ConfigurationValidator.DOCUMENT_KEY : Documents.EVACUATION_PREFIX;
        world.processForEvent(machine).client().read(start, token, clock, clock + OPERATION_TIMEOUT_MICROS);
        world.flush(machine);
        return true;
    }
}
