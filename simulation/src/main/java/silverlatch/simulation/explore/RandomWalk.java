package silverlatch.simulation.explore;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

/**
 * One seeded random walk through the states of a world. Every channel and disk has a fixed priority, and each step handles
 * the channel or disk of the highest priority that has pending work; the clock advances when none has. Faults and operations
 * happen only at the few steps of the {@link WalkPlan}. Long delays of one channel, and hence old messages, are likely in such
 * a walk, while they are unlikely if each step is drawn independently.
 */
final class RandomWalk {
    private static final int LOWEST_PRIORITY = 1_000;
    private static final int[] TICK_CHOICES_MILLISECONDS = {20, 50, 100, 300};
    private static final int JUMP_MILLISECONDS = 700;
    private static final int NO_MATCH = -1;
    /** The close of a connection arrives a round trip after what was sent before it. */
    private static final int MAX_CLOSE_MILLISECONDS = 80;

    /** One in this many walks ends with a command that the network holds. */
    private static final int WALKS_PER_HOLD = 8;

    private static final int MAX_OPERATIONS = 40;
    private final Random random;
    /** Draws the held commands, so that the rest of a walk doesn't depend on them. */
    private final Random holds;

    private final World world;
    private final WalkPlan plan;
    private final int size;
    private final int[] priorities;
    private final int tickMilliseconds;
    private final List<Action> actions = new ArrayList<>();
    private int nextNumber = 1;

    RandomWalk(final WorldOptions options, final long seed, final int steps) {
        this.random = new Random(seed * 0x9E3779B97F4A7C15L);
        this.holds = new Random(seed * 0xBF58476D1CE4E5B9L);
        this.world = new World(options);
        this.plan = WalkPlan.draw(random, steps);
        this.size = options.replicas();
        this.priorities = new int[size * size + size];
        this.tickMilliseconds = TICK_CHOICES_MILLISECONDS[random.nextInt(TICK_CHOICES_MILLISECONDS.length)];
        Arrays.setAll(priorities, i -> random.nextInt(LOWEST_PRIORITY - 1));
    }

    /** Walks to the end or to the first violation, and at the end checks that the world recovers if so requested. */
    World run(final boolean checkRecovery) {
        grantLeases();
        for (int step = 0; step < plan.steps() && world.violation().isEmpty(); step++) {
            if (plan.faultSteps().contains(step)) {
                injectFault(
                        plan.faultKinds().get(random.nextInt(plan.faultKinds().size())));
            }
            if (plan.operationSteps().contains(step)) {
                startOperation();
            }
            takeNextStep();
        }
        if (holds.nextInt(WALKS_PER_HOLD) == 0 && world.violation().isEmpty()) {
            holdCommand();
        }
        if (checkRecovery && world.violation().isEmpty()) {
            act(Action.of(Action.Kind.RECOVER));
        }
        world.checkHistory();
        return world;
    }

    /** Returns the actions that had an effect, for a schedule. */
    List<Action> actions() {
        return actions;
    }

    private boolean act(final Action action) {
        final boolean possible = world.apply(action);
        if (possible) {
            actions.add(action);
        }
        return possible;
    }

    /** Lets the leases be granted before the first fault. */
    private void grantLeases() {
        act(Action.tick(TICK_CHOICES_MILLISECONDS[0]));
        for (int i = 0; i < 3; i++) {
            act(Action.of(Action.Kind.ROUND));
        }
    }

    private void takeNextStep() {
        int best = LOWEST_PRIORITY;
        int chosen = -1;
        for (int i = 0; i < priorities.length; i++) {
            if (priorities[i] < best && runnable(i)) {
                best = priorities[i];
                chosen = i;
            }
        }
        if (chosen < 0) {
            act(Action.tick(tickMilliseconds));
        } else if (chosen >= size * size) {
            act(Action.of(Action.Kind.SYNC, chosen - size * size));
        } else {
            act(Action.of(Action.Kind.DELIVER, chosen / size, chosen % size));
        }
    }

    private boolean runnable(final int source) {
        if (source >= size * size) {
            final Machine machine = world.machines().get(source - size * size);
            return machine.isRunning() && !machine.pendingWrites().isEmpty();
        }
        return !world.network().channel(source / size, source % size).isEmpty()
                && !world.machines().get(source % size).isFrozen();
    }

    private void injectFault(final WalkPlan.FaultKind kind) {
        final int machine = random.nextInt(size);
        switch (kind) {
            case DELAY -> priorities[random.nextInt(priorities.length)] = LOWEST_PRIORITY;
            case RELEASE -> release(machine);
            case DROP -> actOnRandomMessage(Action.Kind.DROP);
            case DUPLICATE -> actOnRandomMessage(Action.Kind.DUPLICATE);
            case REORDER -> actOnRandomMessage(Action.Kind.DELIVER);
            case CRASH -> act(Action.of(Action.Kind.CRASH, machine, random.nextInt(3)));
            case CRASH_UNSYNCED -> crashUnsynced();
            case CRASH_ALL ->
                IntStream.range(0, size).forEach(i -> act(Action.of(Action.Kind.CRASH, i, random.nextInt(2))));
            case LOSE_DISK -> act(Action.of(Action.Kind.LOSE_DISK, machine));
            case FREEZE -> act(Action.of(Action.Kind.FREEZE, machine));
            case ISOLATE -> act(Action.of(Action.Kind.ISOLATE, machine, 1 + random.nextInt(3)));
            case CUT_LINK -> {
                final int other = (machine + 1 + random.nextInt(size - 1)) % size;
                act(Action.of(Action.Kind.CUT, machine, other));
                act(Action.of(Action.Kind.CUT, other, machine));
            }
            case JUMP -> act(Action.tick(JUMP_MILLISECONDS));
            case FREEZE_WITH_COMMAND -> freezeWithCommand(machine);
        }
    }

    private void freezeWithCommand(final int machine) {
        act(Action.of(Action.Kind.FREEZE, machine));
        act(Action.of(randomZoneCommand(), machine));
        for (int passed = 0; passed <= Operators.CALLER_TIMEOUT_MILLISECONDS; passed += JUMP_MILLISECONDS) {
            act(Action.tick(JUMP_MILLISECONDS));
        }
        act(Action.of(randomZoneCommand(), (machine + 1 + random.nextInt(size - 1)) % size));
    }

    /**
     * Holds a command on the zone in the network, sends another one elsewhere once its caller has left, and delivers it a little later. Time
     * passes in small steps without further faults, so that the other command can be acknowledged.
     */
    private void holdCommand() {
        final int machine = holds.nextInt(size);
        act(Action.of(holds.nextBoolean() ? Action.Kind.HOLD_EVACUATE : Action.Kind.HOLD_TAKE_BACK, machine));
        passTime(Operators.CALLER_TIMEOUT_MILLISECONDS + holds.nextInt(Operators.CALLER_TIMEOUT_MILLISECONDS));
        final Action.Kind later = holds.nextBoolean() ? Action.Kind.EVACUATE : Action.Kind.TAKE_BACK;
        act(Action.of(later, (machine + 1 + holds.nextInt(size - 1)) % size));
        passTime(holds.nextInt(Operators.CALLER_TIMEOUT_MILLISECONDS));
        act(Action.of(Action.Kind.RELEASE_HELD, machine, holds.nextInt(MAX_CLOSE_MILLISECONDS)));
        passTime(Operators.CALLER_TIMEOUT_MILLISECONDS);
    }

    private void passTime(final int milliseconds) {
        for (int passed = 0; passed < milliseconds; passed += TICK_CHOICES_MILLISECONDS[0]) {
            act(Action.period(TICK_CHOICES_MILLISECONDS[0]));
        }
    }

    private Action.Kind randomZoneCommand() {
        return random.nextBoolean() ? Action.Kind.EVACUATE : Action.Kind.TAKE_BACK;
    }

    private void crashUnsynced() {
        final List<Machine> writing = world.machines().stream()
                .filter(machine -> !machine.pendingWrites().isEmpty())
                .toList();
        if (!writing.isEmpty()) {
            final int machine = writing.get(random.nextInt(writing.size())).index();
            act(Action.of(Action.Kind.CRASH, machine));
            if (random.nextBoolean()) {
                act(Action.of(Action.Kind.RESTART, machine));
            }
        }
    }

    /**
     * Thaws and restarts a machine, and each other one with probability 1/2. With probability 1/2 it also restores all links
     * and ends the delays of channels and disks.
     */
    private void release(final int machine) {
        if (random.nextInt(2) == 0) {
            act(Action.of(Action.Kind.HEAL));
            for (int i = 0; i < priorities.length; i++) {
                priorities[i] = priorities[i] == LOWEST_PRIORITY ? random.nextInt(LOWEST_PRIORITY - 1) : priorities[i];
            }
        }
        for (int i = 0; i < size; i++) {
            if (i == machine || random.nextInt(2) == 0) {
                act(Action.of(Action.Kind.THAW, i));
                act(Action.of(Action.Kind.RESTART, i));
            }
        }
    }

    private void actOnRandomMessage(final Action.Kind kind) {
        final List<int[]> channels = new ArrayList<>();
        for (int i = 0; i < size * size; i++) {
            if (!world.network().channel(i / size, i % size).isEmpty()) {
                channels.add(new int[] {i / size, i % size});
            }
        }
        if (!channels.isEmpty()) {
            final int[] channel = channels.get(random.nextInt(channels.size()));
            final int position = random.nextInt(
                    world.network().channel(channel[0], channel[1]).size());
            act(new Action(kind, channel[0], channel[1], position));
        }
    }

    private void startOperation() {
        final int machine = random.nextInt(size);
        if (world.history().operations().size() >= MAX_OPERATIONS) {
            return;
        }
        switch (random.nextInt(10)) {
            case 0, 1, 2 -> put(machine);
            case 3 -> putConcurrently(machine);
            case 4, 5, 6 -> act(Action.of(Action.Kind.READ, machine));
            case 7 -> resend(machine);
            case 8 -> act(Action.of(randomZoneCommand(), machine));
            default -> act(Action.of(Action.Kind.READ_ZONE, machine));
        }
    }

    /** Puts a configuration that expects the newest acknowledged number, an older one, or any. */
    private void put(final int machine) {
        final int known = newestAcknowledged();
        final int match = switch (random.nextInt(4)) {
            case 0 -> NO_MATCH;
            case 1 -> random.nextInt(known + 1);
            default -> known;
        };
        act(new Action(Action.Kind.PUT, machine, Math.max(nextNumber++, known + 1), match));
    }

    /** Puts two different documents under one number concurrently, each through a random machine. */
    private void putConcurrently(final int machine) {
        final int number = Math.max(nextNumber++, newestAcknowledged() + 1);
        act(new Action(Action.Kind.PUT, machine, number, newestAcknowledged()));
        act(new Action(Action.Kind.PUT, random.nextInt(size), number, NO_MATCH));
    }

    private void resend(final int machine) {
        final int puts = world.history().puts().size();
        if (puts > 0) {
            act(Action.of(Action.Kind.RESEND, machine, random.nextInt(puts)));
        }
    }

    private int newestAcknowledged() {
        return world.history().puts().stream()
                .filter(put -> put.outcome()
                        .map(outcome -> outcome instanceof Operation.Outcome.Acknowledged)
                        .orElse(false))
                .mapToInt(Operation::number)
                .max()
                .orElse(0);
    }
}
