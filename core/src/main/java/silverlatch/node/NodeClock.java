package silverlatch.node;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.stream.Stream;
import silverlatch.clock.NtpTime;
import silverlatch.clock.PhysicalClock;
import silverlatch.clock.ProcessClock;
import silverlatch.clock.PwcClock;
import silverlatch.clock.Stamp;
import silverlatch.log.LogRecord;

/**
 * The clocks of a node: the physical clock, which is slewed towards the wall clock, and shifted to the median of the
 * peers if it is too far off; and the process clock, which derives stamps from it.
 *
 * <p>Offsets of peers are differences of physical time in fixed-point units; other times are microseconds of the
 * monotonic clock. Only the node's event loop changes this object; other threads may read both clocks.
 */
final class NodeClock {
    private static final long SLEW_INTERVAL_MICROS = 1_000_000L;
    private static final long CHECK_INTERVAL_MICROS = 500_000L;

    /** How long a peer's offset is used for the median. */
    private static final long OFFSET_RETENTION_MICROS = 4_000_000L;

    /** The minimum number of clocks for a median, including this node's own. */
    private static final int MIN_CLOCKS = 3;

    private final long maxSkewMicros;
    private final ProcessClock processClock;
    private final Consumer<Effect> effects;
    private final Map<String, PeerOffset> peerOffsets = new HashMap<>();
    private volatile PhysicalClock physicalClock;
    private Optional<Stamp> stampFloor;
    private long lastSlew;
    private long lastCheck;

    /**
     * Creates the clocks of a node that starts.
     *
     * @param records the contents of the node's log; once {@link #raiseToLogFloor} has succeeded, all stamps are
     *                above the newest one in it
     * @param effects consumes the log events
     */
    NodeClock(
            final Node.Settings settings,
            final PhysicalClock physicalClock,
            final List<LogRecord> records,
            final long now,
            final Consumer<Effect> effects) {
        this.maxSkewMicros = settings.maxClockSkew();
        this.physicalClock = physicalClock;
        this.effects = effects;
        final long skew = NtpTime.fromMicros(maxSkewMicros);
        final PwcClock start = PwcClock.start(physicalClock.physicalTime(now), settings.stampLowBits(), skew, 0);
        this.processClock = new ProcessClock(start, settings.safeguards());
        this.stampFloor = newestStamp(records);
    }

    private static Optional<Stamp> newestStamp(final List<LogRecord> records) {
        return records.stream().flatMap(NodeClock::stampsOf).max(Stamp::compareTo);
    }

    private static Stream<Stamp> stampsOf(final LogRecord logged) {
        if (logged instanceof LogRecord.Appended appended) {
            return Stream.of(appended.entry().stamp());
        }
        if (logged instanceof LogRecord.Snapshot snapshot) {
            return Stream.of(new Stamp(snapshot.highestStamp()));
        }
        return Stream.empty();
    }

    /** Returns the clock that creates stamps, which all event loops of the process share. */
    ProcessClock processClock() {
        return processClock;
    }

    /** Returns the physical clock. */
    PhysicalClock physicalClock() {
        return physicalClock;
    }

    /** Returns the physical time as of {@code now}, in fixed-point units. */
    long physicalTime(final long now) {
        return physicalClock.physicalTime(now);
    }

    /** Creates the stamp of a local event. */
    Stamp localStamp(final long now) {
        return processClock.local(physicalTime(now));
    }

    /** Slews the physical clock towards the wall clock if that is due. Doesn't follow a wall clock that jumped. */
    void slew(final long now, final long wallTime) {
        if (now - lastSlew < SLEW_INTERVAL_MICROS) {
            return;
        }
        lastSlew = now;
        final long jumps = physicalClock.jumps();
        physicalClock = physicalClock.slew(wallTime, now, maxSkewMicros);
        if (physicalClock.jumps() > jumps && physicalClock.jumps() == 1) {
            effects.accept(
                    new Effect.Log(Event.WALL_JUMP, "the wall clock jumped; the physical clock does not follow it"));
        }
    }

    /**
     * Raises the process clock above the newest stamp in the log, as soon as that stamp is within the skew bound of
     * the physical clock.
     */
    void raiseToLogFloor(final long now) {
        stampFloor = stampFloor.filter(
                floor -> processClock.raiseAbove(floor, physicalTime(now)).isEmpty());
    }

    /**
     * Records by how many fixed-point units the clock of the peer at an address is ahead; 0 if it is within bounds.
     */
    void recordPeerOffset(final String address, final long offset, final long now) {
        peerOffsets.put(address, new PeerOffset(offset, now));
    }

    /** Checks the clocks if that is due. If the node has to rejoin with a reset clock, returns the reason. */
    Optional<String> check(final long now) {
        if (now - lastCheck < CHECK_INTERVAL_MICROS) {
            return Optional.empty();
        }
        lastCheck = now;
        peerOffsets.values().removeIf(offset -> now - offset.measuredAt() > OFFSET_RETENTION_MICROS);
        final long physicalTime = physicalTime(now);
        final long median = medianOffset();
        if (peerOffsets.size() + 1 >= MIN_CLOCKS && Math.abs(median) > NtpTime.fromMicros(maxSkewMicros)) {
            final long shift = median < 0 ? -NtpTime.toMicros(-median) : NtpTime.toMicros(median);
            physicalClock = physicalClock.shiftedBy(shift);
            effects.accept(new Effect.Log(Event.ANCHORED, "the physical clock was shifted by " + shift + " us"));
            return Optional.of("the median of the peers");
        }
        return processClock.needsRejoin(physicalTime)
                ? Optional.of("too many dropped messages, or a process clock beyond the skew bound")
                : Optional.empty();
    }

    /** Restarts the process clock from the physical clock, and discards the offsets of the peers. */
    void reset(final long now) {
        processClock.reset(physicalTime(now));
        peerOffsets.clear();
    }

    /**
     * Returns the median of the peers' offsets and this node's own, which is 0; with an even count, the lower of the
     * two middle ones.
     */
    private long medianOffset() {
        final List<Long> offsets = new ArrayList<>(
                peerOffsets.values().stream().map(PeerOffset::offset).toList());
        offsets.add(0L);
        offsets.sort(Long::compare);
        return offsets.get((offsets.size() - 1) / 2);
    }

    private record PeerOffset(long offset, long measuredAt) {}
}
