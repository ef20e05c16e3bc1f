package silverlatch.simulation.explore;

import java.util.ArrayList;
import java.util.List;

/**
 * Determines the actions that a breadth-first search takes from a state: single deliveries and syncs, clock ticks, periods
 * without faults, and a bounded number of faults and operations.
 *
 * @param maxFaults     how many faults a path may have
 * @param maxOperations how many operations a path may have
 */
record Moves(int maxFaults, int maxOperations) {
    private static final int TICK_MILLISECONDS = 300;
    private static final int SETTLE_MILLISECONDS = 20;
    private static final int BOTH_DIRECTIONS = 3;
    private static final int ALL_WRITES = 9;

    /** Returns the actions at the start of every path, by which leases are granted and a first configuration is acknowledged. */
    List<Action> initialActions() {
        return List.of(
                Action.period(SETTLE_MILLISECONDS),
                new Action(Action.Kind.PUT, 0, 1, 0),
                Action.period(SETTLE_MILLISECONDS),
                Action.period(SETTLE_MILLISECONDS));
    }

    /** Returns the actions that may follow a path of actions that led to a world. */
    List<Action> possibleActions(final World world, final List<Action> path) {
        final List<Action> moves = new ArrayList<>();
        moves.add(Action.period(TICK_MILLISECONDS));
        moves.add(Action.tick(TICK_MILLISECONDS));
        moves.add(Action.of(Action.Kind.ROUND));
        final boolean mayFail = path.stream().filter(Moves::isFault).count() < maxFaults;
        channels(world, moves, mayFail);
        for (final Machine machine : world.machines()) {
            machine(world, machine, moves, mayFail);
        }
        if (world.network().anyCut()) {
            moves.add(Action.of(Action.Kind.HEAL));
        }
        if (path.stream().filter(Moves::isOperation).count() < maxOperations) {
            maxOperations(world, moves);
        }
        return moves;
    }

    private static boolean isFault(final Action action) {
        return switch (action.kind()) {
            case DROP, DUPLICATE, CRASH, LOSE_DISK, FREEZE, ISOLATE -> true;
            default -> false;
        };
    }

    private static boolean isOperation(final Action action) {
        return switch (action.kind()) {
            case PUT, RESEND, READ, EVACUATE, TAKE_BACK, READ_ZONE -> true;
            default -> false;
        };
    }

    private static void channels(final World world, final List<Action> moves, final boolean mayFail) {
        final int size = world.machines().size();
        for (int from = 0; from < size; from++) {
            for (int to = 0; to < size; to++) {
                final int count = world.network().channel(from, to).size();
                if (count > 0) {
                    channel(moves, mayFail, from, to, count);
                }
            }
        }
    }

    private static void channel(
            final List<Action> moves, final boolean mayFail, final int from, final int to, final int count) {
        moves.add(Action.of(Action.Kind.DELIVER, from, to));
        if (count > 1) {
            moves.add(new Action(Action.Kind.DELIVER, from, to, count - 1));
        }
        if (mayFail) {
            moves.add(Action.of(Action.Kind.DROP, from, to));
            moves.add(Action.of(Action.Kind.DUPLICATE, from, to));
        }
    }

    private static void machine(
            final World world, final Machine machine, final List<Action> moves, final boolean mayFail) {
        final int index = machine.index();
        if (machine.process().isEmpty()) {
            moves.add(Action.of(Action.Kind.RESTART, index));
            return;
        }
        if (machine.isFrozen()) {
            moves.add(Action.of(Action.Kind.THAW, index));
        } else if (!machine.pendingWrites().isEmpty()) {
            moves.add(Action.of(Action.Kind.SYNC, index));
        }
        if (mayFail) {
            maxFaults(world, machine, moves);
        }
    }

    private static void maxFaults(final World world, final Machine machine, final List<Action> moves) {
        final int index = machine.index();
        moves.add(Action.of(Action.Kind.CRASH, index));
        if (!machine.pendingWrites().isEmpty()) {
            moves.add(Action.of(Action.Kind.CRASH, index, ALL_WRITES));
        }
        if (world.mayLoseDisk()) {
            moves.add(Action.of(Action.Kind.LOSE_DISK, index));
        }
        if (!machine.isFrozen()) {
            moves.add(Action.of(Action.Kind.FREEZE, index));
        }
        for (int directions = 1; directions <= BOTH_DIRECTIONS; directions++) {
            moves.add(Action.of(Action.Kind.ISOLATE, index, directions));
        }
    }

    private static void maxOperations(final World world, final List<Action> moves) {
        final int newest = world.history().puts().stream()
                .mapToInt(Operation::number)
                .max()
                .orElse(0);
        final int last = world.machines().size() - 1;
        moves.add(new Action(Action.Kind.PUT, 0, newest + 1, newest));
        moves.add(new Action(Action.Kind.PUT, last, newest + 1, 1));
        moves.add(new Action(Action.Kind.PUT, last, newest, -1));
        moves.add(Action.of(Action.Kind.RESEND, last, 0));
        for (int i = 0; i <= last; i++) {
            moves.add(Action.of(Action.Kind.READ, i));
        }
        moves.add(Action.of(Action.Kind.EVACUATE, 0));
        moves.add(Action.of(Action.Kind.TAKE_BACK, last));
        moves.add(Action.of(Action.Kind.READ_ZONE, last));
    }
}
