package silverlatch.simulation.explore;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import silverlatch.clock.PauseDetector;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;
import silverlatch.replication.ChainClient;
import silverlatch.replication.ChainReplica;
import silverlatch.replication.Replica;
import silverlatch.state.Command;

/** One simulated machine: its disk with the synced records, its writes that aren't synced yet, and its running process. */
final class Machine {
    private final int index;
    private final int drift;
    private final List<LogRecord> disk = new ArrayList<>();
    private final Deque<Effect.Persist> pendingWrites = new ArrayDeque<>();
    private final List<WaitingCommand> waitingCommands = new ArrayList<>();
    private final List<WaitingCommand> heldCommands = new ArrayList<>();
    private final List<ClosingConnection> closingConnections = new ArrayList<>();
    private Optional<Process> process = Optional.empty();
    private int generation;
    private boolean frozen;
    private boolean awaitsRepair;

    /** Creates a machine whose clock runs fast by {@code drift} percent, or slow if it is negative. */
    Machine(final int index, final int drift) {
        this.index = index;
        this.drift = drift;
    }

    /** A running process. */
    record Process(ChainReplica replica, ChainClient client, PauseDetector pauses) {}

    /** A command that was sent to the frozen process, and its operation's token in the history. */
    record WaitingCommand(Command command, long token) {}

    /** A connection of a command whose caller has left, and when the close arrives, in microseconds. */
    record ClosingConnection(long token, long closesAt) {}

    /** Returns the address of the machine with an index. */
    static String address(final int index) {
        return String.valueOf((char) ('a' + index));
    }

    /** Returns the index of the machine with an address. */
    static int index(final String address) {
        return address.charAt(0) - 'a';
    }

    String address() {
        return address(index);
    }

    int index() {
        return index;
    }

    /** Returns the replica identity, which is new after each loss of the disk. */
    Replica identity() {
        return new Replica("id-" + address() + "-" + generation, address());
    }

    /** Returns this machine's clock at a time of the world, both in microseconds. */
    long clock(final long now) {
        return now + now * drift / 100;
    }

    Optional<Process> process() {
        return process;
    }

    void setProcess(final Process started) {
        process = Optional.of(started);
    }

    boolean isFrozen() {
        return frozen;
    }

    void setFrozen(final boolean on) {
        frozen = on;
    }

    /** Returns the commands that wait for the frozen process. */
    List<WaitingCommand> waitingCommands() {
        return waitingCommands;
    }

    /** Returns the commands that the network holds on their way to this machine. */
    List<WaitingCommand> heldCommands() {
        return heldCommands;
    }

    /** Returns the connections to the process whose close is on its way. */
    List<ClosingConnection> closingConnections() {
        return closingConnections;
    }

    /** Returns whether the process exists and isn't frozen. */
    boolean isRunning() {
        return process.isPresent() && !frozen;
    }

    /** Returns whether the disk was lost and the replica hasn't caught up since. */
    boolean awaitsRepair() {
        return awaitsRepair;
    }

    /** Records that the replica has caught up with the chain after the loss of its disk. */
    void markRepaired() {
        awaitsRepair = false;
    }

    List<LogRecord> disk() {
        return disk;
    }

    Deque<Effect.Persist> pendingWrites() {
        return pendingWrites;
    }

    /** Appends records to the disk; a snapshot replaces everything before it. */
    void write(final List<LogRecord> records) {
        for (final LogRecord entry : records) {
            if (entry instanceof LogRecord.Snapshot) {
                disk.clear();
            }
            disk.add(entry);
        }
    }

    /** Ends the process; the first {@code kept} unsynced writes reach the disk, the others are lost. */
    void crash(final int kept) {
        for (int i = 0; i < kept && !pendingWrites.isEmpty(); i++) {
            write(pendingWrites.poll().records());
        }
        pendingWrites.clear();
        waitingCommands.clear();
        closingConnections.clear();
        process = Optional.empty();
        frozen = false;
    }

    /** Ends the process and erases the disk together with the replica identity on it. */
    void loseDisk() {
        crash(0);
        disk.clear();
        generation++;
        awaitsRepair = true;
    }
}
