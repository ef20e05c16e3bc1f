package silverlatch.simulation.explore;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import silverlatch.clock.PauseDetector;
import silverlatch.clock.Stamp;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;
import silverlatch.replication.ChainClient;
import silverlatch.replication.ChainReplica;
import silverlatch.replication.Replica;
import silverlatch.replication.ReplicaSettings;
import silverlatch.replication.ReplicaStatus;
import silverlatch.replication.View;
import silverlatch.wire.ChainClientMessage;
import silverlatch.wire.Message;

/**
 * A simulated world of machines with replicas and clients, a network and a clock. It changes only by actions, each
 * {@link Action} being one step, and the same actions always lead to the same state. Times are in microseconds.
 */
final class World {
    private static final long MICROS_PER_MILLISECOND = 1_000;
    private static final long START_MICROS = 10_000_000;
    private static final long FLEET_ID = 7;
    private static final int ROUNDS_PER_PERIOD = 4;
    private static final int INBOUND = 1;
    private static final int OUTBOUND = 2;
    private final WorldOptions options;
    private final List<Machine> machines = new ArrayList<>();
    private final List<String> addresses = new ArrayList<>();
    private final Network network;
    private final History history = new History();
    private final PropertyMonitor monitor;
    private final LateCommandMonitor lateCommands;
    private final Operators operators;
    private long now = START_MICROS;
    private long lastStamp;
    private long startCount;
    private long step;

    /** Creates a world in which every machine has the first view on disk and has just started. */
    World(final WorldOptions options) {
        this.options = options;
        this.network = new Network(options.replicas());
        for (int i = 0; i < options.replicas(); i++) {
            machines.add(new Machine(i, (i % 3 - 1) * options.driftPercent()));
            addresses.add(Machine.address(i));
        }
        this.monitor = new PropertyMonitor(options, machines, history);
        this.lateCommands = new LateCommandMonitor(monitor);
        this.operators = new Operators(this, lateCommands);
        final List<Replica> members = machines.stream().map(Machine::identity).toList();
        final View first =
                new View(1, FLEET_ID, members, members, members.get(0).id());
        machines.forEach(machine -> machine.write(List.of(new LogRecord.ViewInstalled(first, true))));
        machines.forEach(this::start);
    }

    List<Machine> machines() {
        return machines;
    }

    Network network() {
        return network;
    }

    History history() {
        return history;
    }

    /** Returns the time, in microseconds. */
    long now() {
        return now;
    }

    /** Returns the number of the current step. */
    long step() {
        return step;
    }

    /** Returns the first violation of a property. */
    Optional<Violation> violation() {
        return monitor.violation();
    }

    /** Returns whether another disk may be lost, so that one of the required copies of each write remains. */
    boolean mayLoseDisk() {
        return machines.stream().filter(Machine::awaitsRepair).count() < options.copies() - 1;
    }

    /** Checks that the history so far is linearizable. */
    void checkHistory() {
        monitor.checkHistory();
    }

    /** Records as violation that the machines didn't recover in time after the last fault. */
    void reportNotRecovered() {
        final List<ReplicaStatus> states = machines.stream()
                .map(machine -> machine.process().orElseThrow().replica().status(machine.clock(now)))
                .toList();
        monitor.reportViolation(Property.RECOVERS, "not within " + Recovery.BOUND_MILLISECONDS + " ms: " + states);
    }

    /** Takes one step and returns whether the action was possible. An exception of a replica is recorded as violation. */
    boolean apply(final Action action) {
        step++;
        try {
            return dispatch(action);
        } catch (final IllegalStateException | IllegalArgumentException | IndexOutOfBoundsException failure) {
            monitor.reportViolation(Property.NO_EXCEPTION, failure.toString());
            return true;
        }
    }

    private boolean dispatch(final Action action) {
        final Machine machine = machines.get(action.first());
        return switch (action.kind()) {
            case DELIVER -> deliver(action.first(), action.second(), action.third());
            case DROP -> removeMessage(action).isPresent();
            case DUPLICATE -> duplicate(action);
            case SYNC -> sync(machine);
            case TICK -> tick(action.second() * MICROS_PER_MILLISECOND);
            case ROUND -> round();
            case PERIOD -> period(action.second() * MICROS_PER_MILLISECOND);
            case CRASH -> crash(machine, action.second());
            case RESTART -> restart(machine);
            case LOSE_DISK -> loseDisk(machine);
            case FREEZE -> freeze(machine, true);
            case THAW -> freeze(machine, false);
            case ISOLATE -> isolate(action.first(), action.second());
            case CUT -> cut(action.first(), action.second());
            case HEAL -> heal();
            case RECOVER -> Recovery.run(this);
            case PUT -> operators.put(machine, action.second(), action.third());
            case RESEND -> operators.resend(machine, action.second());
            case READ, READ_ZONE -> operators.read(machine, action.kind());
            case EVACUATE, TAKE_BACK -> operators.evacuate(machine, action.kind());
            case HOLD_EVACUATE -> operators.hold(machine, Action.Kind.EVACUATE);
            case HOLD_TAKE_BACK -> operators.hold(machine, Action.Kind.TAKE_BACK);
            case RELEASE_HELD -> operators.releaseHeld(machine, action.second());
        };
    }

    private void start(final Machine machine) {
        startCount++;
        final ReplicaSettings setup = ReplicaSettings.of(machine.identity(), addresses)
                .withCounts(options.copies(), options.replicas())
                .withBootstrap(false)
                .withSafeguards(options.mutant().safeguards());
        final ChainReplica replica =
                new ChainReplica(setup, List.copyOf(machine.disk()), () -> new Stamp(++lastStamp), machine.clock(now));
        final PauseDetector pauses = new PauseDetector(setup.safeguards());
        final ChainClient client =
                new ChainClient(machine.address(), replica::view, startCount << 32, pauses, setup.safeguards());
        machine.setProcess(new Machine.Process(replica, client, pauses));
        flush(machine);
    }

    private Optional<Message> removeMessage(final Action action) {
        final List<Message> channel = network.channel(action.first(), action.second());
        return action.third() < channel.size() ? Optional.of(channel.remove(action.third())) : Optional.empty();
    }

    private boolean duplicate(final Action action) {
        final List<Message> channel = network.channel(action.first(), action.second());
        return action.third() < channel.size() && channel.add(channel.get(action.third()));
    }

    private boolean deliver(final int from, final int to, final int position) {
        final List<Message> channel = network.channel(from, to);
        final Machine machine = machines.get(to);
        if (position >= channel.size() || machine.isFrozen()) {
            return false;
        }
        final Message message = channel.remove(position);
        if (machine.process().isPresent()) {
            handle(machine, message, Machine.address(from));
            flush(machine);
        }
        return true;
    }

    /** Returns the running process of a machine, which is about to handle an event. */
    Machine.Process processForEvent(final Machine machine) {
        final Machine.Process process = machine.process().orElseThrow();
        process.pauses().observe(machine.clock(now));
        return process;
    }

    private void handle(final Machine machine, final Message message, final String sender) {
        final Machine.Process process = processForEvent(machine);
        if (message instanceof ChainClientMessage.WriteReply || message instanceof ChainClientMessage.ReadReply) {
            process.client().onMessage(message, machine.clock(now));
        } else {
            process.replica().onMessage(message, sender, machine.clock(now));
        }
    }

    private boolean sync(final Machine machine) {
        if (machine.pendingWrites().isEmpty() || !machine.isRunning()) {
            return false;
        }
        final Effect.Persist write = machine.pendingWrites().poll();
        machine.write(write.records());
        if (options.mutant() != Mutant.SYNC) {
            machine.process().orElseThrow().replica().onSynced(write.token(), machine.clock(now));
        }
        flush(machine);
        monitor.onDiskChanged();
        return true;
    }

    private boolean tick(final long duration) {
        now += duration;
        lateCommands.onTimePassed(now, step);
        for (final Machine machine : machines) {
            if (machine.isRunning()) {
                final Machine.Process process = processForEvent(machine);
                process.replica().tick(machine.clock(now));
                process.client().tick(machine.clock(now));
                operators.closeConnections(machine);
                flush(machine);
            }
        }
        return true;
    }

    /** Delivers the messages that are in flight at the start of the round, then syncs the pending writes. */
    private boolean round() {
        final int size = machines.size();
        final int[] counts = new int[size * size];
        for (int channel = 0; channel < counts.length; channel++) {
            counts[channel] = network.channel(channel / size, channel % size).size();
        }
        boolean changed = false;
        for (int channel = 0; channel < counts.length; channel++) {
            for (int i = 0; i < counts[channel]; i++) {
                changed |= deliver(channel / size, channel % size, 0);
            }
        }
        for (final Machine machine : machines) {
            for (int left = machine.pendingWrites().size(); left > 0; left--) {
                changed |= sync(machine);
            }
        }
        return changed;
    }

    private boolean period(final long duration) {
        tick(duration);
        for (int i = 0; i < ROUNDS_PER_PERIOD; i++) {
            round();
        }
        return true;
    }

    private boolean crash(final Machine machine, final int kept) {
        if (machine.process().isEmpty()) {
            return false;
        }
        machine.crash(kept);
        monitor.onDiskChanged();
        return true;
    }

    private boolean restart(final Machine machine) {
        if (machine.process().isPresent()) {
            return false;
        }
        start(machine);
        return true;
    }

    private boolean loseDisk(final Machine machine) {
        if (machine.awaitsRepair() || !mayLoseDisk()) {
            return false;
        }
        machine.loseDisk();
        monitor.onDiskChanged();
        return true;
    }

    private boolean freeze(final Machine machine, final boolean freeze) {
        if (machine.isFrozen() == freeze || machine.process().isEmpty()) {
            return false;
        }
        machine.setFrozen(freeze);
        if (!freeze) {
            operators.submitWaitingCommands(machine);
        }
        return true;
    }

    private boolean isolate(final int machine, final int directions) {
        for (int other = 0; other < machines.size(); other++) {
            if (other != machine && (directions & INBOUND) != 0) {
                network.cut(other, machine);
            }
            if (other != machine && (directions & OUTBOUND) != 0) {
                network.cut(machine, other);
            }
        }
        return true;
    }

    private boolean cut(final int from, final int to) {
        final boolean wasConnected = from != to && !network.isCut(from, to);
        if (wasConnected) {
            network.cut(from, to);
        }
        return wasConnected;
    }

    private boolean heal() {
        final boolean wasCut = network.anyCut();
        network.heal();
        return wasCut;
    }

    /** Performs the effects of a machine's process. */
    void flush(final Machine machine) {
        final Machine.Process process = machine.process().orElseThrow();
        boolean more = true;
        while (more) {
            final List<Effect> effects = new ArrayList<>(process.replica().drain());
            effects.addAll(process.client().drain());
            more = !effects.isEmpty();
            effects.forEach(effect -> perform(machine, effect));
        }
        monitor.onReplicaChanged(machine, now);
        lateCommands.check(process.replica().stateMachine());
    }

    private void perform(final Machine machine, final Effect effect) {
        switch (effect) {
            case Effect.Send send -> send(machine, send);
            case Effect.Persist keep -> {
                machine.pendingWrites().add(keep);
                if (options.mutant() == Mutant.SYNC) {
                    machine.process().orElseThrow().replica().onSynced(keep.token(), machine.clock(now));
                }
            }
            case Effect.Respond answer -> {
                history.recordResponse(answer.token(), answer.response(), step);
                lateCommands.onResponse(answer.token(), answer.response());
                monitor.onOperationEnded(answer.token());
            }
            case Effect.Log log -> {}
            case Effect.SaveReports save -> throw new IllegalStateException("the explorer has no worker reports");
        }
    }

    private void send(final Machine machine, final Effect.Send send) {
        monitor.onMessageSent(machine, send.message());
        if (send.to().equals(machine.address())) {
            handle(machine, send.message(), machine.address());
        } else {
            network.send(machine.index(), Machine.index(send.to()), send.message());
        }
    }
}
