package silverlatch.simulation.explore;

import silverlatch.replication.ReplicaStatus;

/**
 * Ends all faults of a world and checks that it recovers: within a time limit, every machine must be a caught-up member of the
 * chain and a put must be acknowledged. The puts are sent through one machine after the other.
 */
final class Recovery {
    /** The time limit for recovery after the last fault, in milliseconds. */
    static final int BOUND_MILLISECONDS = 40_000;

    private static final int TICK_MILLISECONDS = 100;
    private static final int ROUNDS_PER_TICK = 3;
    private static final int PUT_INTERVAL_MILLISECONDS = 2_000;

    private final World world;

    private Recovery(final World world) {
        this.world = world;
    }

    /** Ends all faults and awaits recovery. Returns true, as this action is always possible. */
    static boolean run(final World world) {
        final Recovery recovery = new Recovery(world);
        recovery.endFaults();
        recovery.awaitRecovery(BOUND_MILLISECONDS);
        return true;
    }

    private void act(final Action action) {
        world.apply(action);
    }

    private void endFaults() {
        act(Action.of(Action.Kind.HEAL));
        for (int i = 0; i < world.machines().size(); i++) {
            act(Action.of(Action.Kind.THAW, i));
            act(Action.of(Action.Kind.RESTART, i));
        }
    }

    private void awaitRecovery(final int bound) {
        final int number = 1
                + world.history().puts().stream()
                        .mapToInt(Operation::number)
                        .max()
                        .orElse(0);
        int attempts = 0;
        for (int passed = 0; passed < bound; passed += TICK_MILLISECONDS) {
            if (passed % PUT_INTERVAL_MILLISECONDS == 0) {
                act(new Action(Action.Kind.PUT, attempts % world.machines().size(), number + attempts, -1));
                attempts++;
            }
            act(Action.tick(TICK_MILLISECONDS));
            for (int i = 0; i < ROUNDS_PER_TICK; i++) {
                act(Action.of(Action.Kind.ROUND));
            }
            if (world.violation().isPresent() || isChainComplete() && acknowledged(number)) {
                return;
            }
        }
        world.reportNotRecovered();
    }

    private boolean isChainComplete() {
        return world.machines().stream().allMatch(machine -> {
            final ReplicaStatus state =
                    machine.process().orElseThrow().replica().status(machine.clock(world.now()));
            return state.isCaughtUp()
                    && state.view().positionOf(machine.identity().id()) >= 0;
        });
    }

    private boolean acknowledged(final int least) {
        return world.history().puts().stream()
                .anyMatch(put -> put.number() >= least
                        && put.outcome()
                                .map(outcome -> outcome instanceof Operation.Outcome.Acknowledged)
                                .orElse(false));
    }
}
