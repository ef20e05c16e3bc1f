package silverlatch.simulation.explore;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.List;
import java.util.Optional;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;
import silverlatch.replication.ChainClient;
import silverlatch.replication.ChainReplica;
import silverlatch.replication.Replica;

/** One machine: its disk with synced records, its writes that aren't synced yet, and its process while it runs. */
final class Machine {
    private final int index;
    private final int drift;
    private final List<LogRecord> disk = new ArrayList<>();
    private final Deque<Effect.Persist> pendingWrites = new ArrayDeque<>();
    private Optional<Process> process = Optional.empty();
    private int generation;
    private boolean isFrozen;
    private boolean awaitsRepair;

    /** A machine whose clock runs fast by some percent, or slow. */
    Machine(final int index, final int drift) {
        this.index = index;
        this.drift = drift;
    }

    /** A running process. */
    record Process(ChainReplica replica, ChainClient client) {}

    /** Where a machine listens. */
    static String address(final int index) {
        return String.valueOf((char) ('a' + index));
    }

    /** Which machine listens at an address. */
    static int index(final String address) {
        return address.charAt(0) - 'a';
    }

    String address() {
        return address(index);
    }

    int index() {
        return index;
    }

    /** The identity that was made with the data folder. */
    Replica identity() {
        return new Replica("id-" + address() + "-" + generation, address());
    }

    /** This machine's clock at a time of the world, in microseconds. */
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
        return isFrozen;
    }

    void setFrozen(final boolean on) {
        isFrozen = on;
    }

    /** Whether it runs and handles events. */
    boolean isRunning() {
        return process.isPresent() && !isFrozen;
    }

    /** Whether its disk was lost and it hasn't caught up since. */
    boolean awaitsRepair() {
        return awaitsRepair;
    }

    /** It has caught up with the others. */
    void markRepaired() {
        awaitsRepair = false;
    }

    List<LogRecord> disk() {
        return disk;
    }

    Deque<Effect.Persist> pendingWrites() {
        return pendingWrites;
    }

    /** Puts records on the disk; a snapshot replaces what is there. */
    void write(final List<LogRecord> records) {
        for (final LogRecord entry : records) {
            if (entry instanceof LogRecord.Snapshot) {
                disk.clear();
            }
            disk.add(entry);
        }
    }

    /** The process ends; the first unsynced writes are on the disk all the same, the others are lost. */
    void crash(final int kept) {
        for (int i = 0; i < kept && !pendingWrites.isEmpty(); i++) {
            write(pendingWrites.poll().records());
        }
        pendingWrites.clear();
        process = Optional.empty();
        isFrozen = false;
    }

    /** The process ends, and the disk is lost with the identity on it. */
    void loseDisk() {
        crash(0);
        disk.clear();
        generation++;
        awaitsRepair = true;
    }
}
