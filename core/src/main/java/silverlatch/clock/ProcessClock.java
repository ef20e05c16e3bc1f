package silverlatch.clock;

import java.util.Optional;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/**
 * The clock of one process, which makes all of its stamps, one event at a time. Physical times are in units of {@link
 * NtpTime}. Thread-safe.
 */
public final class ProcessClock {
    /** Maximum time to wait for the masked physical clock to pass an overflow, in microseconds. */
    public static final long MAX_WAIT_MICROS = 5_000L;

    private static final long DROP_WINDOW_MICROS = 10_000_000L;
    private static final int MAX_DROPS_PER_WINDOW = 64;
    private final Safeguards safeguards;
    private PwcClock clock;
    private long waits;
    private long overflows;
    private long tooFarAhead;
    private long dropped;
    private long windowStart;
    private int dropsInWindow;
    private long highestReceived;

    /** Creates a process clock in a given state. */
    public ProcessClock(final PwcClock clock) {
        this(clock, Safeguards.ALL);
    }

    /** Creates a process clock in a given state and with the given safeguards. */
    public ProcessClock(final PwcClock clock, final Safeguards safeguards) {
        this.safeguards = safeguards;
        this.clock = clock;
        this.highestReceived = clock.last();
    }

    /**
     * Returns the stamp of a local event. This never waits: a stamp that carries into the high bits is counted as an
     * overflow.
     */
    public synchronized Stamp local(final long physicalTime) {
        if (clock.wouldOverflow(physicalTime)) {
            overflows++;
        }
        final ClockReading.Stamped stamped = clock.local(physicalTime);
        clock = stamped.clock();
        return stamped.stamp();
    }

    /** Returns the stamp of a send event, or how long to wait for it. */
    public synchronized ClockReading send(final long physicalTime) {
        return advance(clock.send(physicalTime));
    }

    /**
     * Returns the stamp of a receive event, or how long to wait for it, or that the message's stamp is too far ahead.
     */
    public synchronized ClockReading receive(final Stamp received, final long physicalTime) {
        final ClockReading reading = advance(merge(received, physicalTime));
        if (reading instanceof ClockReading.Stamped) {
            highestReceived = Math.max(highestReceived, received.bits());
        }
        return reading;
    }

    /** Counts a message that was dropped because its wait exceeded the limit. */
    public synchronized void recordDrop(final long nowMicros) {
        dropped++;
        if (nowMicros - windowStart > DROP_WINDOW_MICROS) {
            windowStart = nowMicros;
            dropsInWindow = 0;
        }
        dropsInWindow++;
    }

    /**
     * Returns whether the process must rejoin: because too many messages were dropped in the current window, or because
     * the clock is ahead of the physical clock by more than the allowed skew.
     */
    public synchronized boolean needsRejoin(final long physicalTime) {
        return dropsInWindow >= MAX_DROPS_PER_WINDOW || clock.isBeyondSkew(physicalTime);
    }

    /**
     * Restarts the clock at the masked physical clock, but above all accepted stamps of peers that are within the
     * bound.
     */
    public synchronized void reset(final long physicalTime) {
        clock = PwcClock.start(
                physicalTime,
                clock.lowBits(),
                clock.maxSkew(),
                Math.min(highestReceived, clock.highestAcceptable(physicalTime)));
        dropsInWindow = 0;
    }

    /**
     * Raises the clock above a floor, e.g. the one learned on joining. Returns the clock's newest stamp, or empty if
     * the floor is too far ahead.
     */
    public synchronized Optional<Stamp> raiseAbove(final Stamp floor, final long physicalTime) {
        if (floor.bits() > clock.highestAcceptable(physicalTime)) {
            return Optional.empty();
        }
        highestReceived = Math.max(highestReceived, floor.bits());
        clock = new PwcClock(Math.max(clock.last(), floor.bits() + 1), clock.lowBits(), clock.maxSkew());
        return Optional.of(new Stamp(clock.last()));
    }

    /** Returns the newest stamp. */
    public synchronized Stamp last() {
        return new Stamp(clock.last());
    }

    /** Returns the counts of clock events. */
    public synchronized Counts counts() {
        return new Counts(waits, overflows, tooFarAhead, dropped);
    }

    private ClockReading merge(final Stamp received, final long physicalTime) {
        if (!safeguards.isEnabled(Safeguard.STAMP_ABOVE)) {
            return clock.send(physicalTime);
        }
        final ClockReading reading = clock.receive(received, physicalTime);
        return reading instanceof ClockReading.TooFarAhead && !safeguards.isEnabled(Safeguard.STAMP_BOUND)
                ? new PwcClock(Math.max(clock.last(), received.bits()), clock.lowBits(), clock.maxSkew())
                        .send(physicalTime)
                : reading;
    }

    private ClockReading advance(final ClockReading reading) {
        switch (reading) {
            case ClockReading.Stamped stamped -> clock = stamped.clock();
            case ClockReading.Wait wait -> waits++;
            case ClockReading.TooFarAhead rejected -> tooFarAhead++;
        }
        return reading;
    }

    /**
     * Counts of clock events since the start.
     *
     * @param waits       stamps that had to wait for the masked physical clock
     * @param overflows   local events that carried into the high bits
     * @param tooFarAhead messages whose stamps were rejected
     * @param dropped     messages that were dropped because their wait exceeded the limit
     */
    public record Counts(long waits, long overflows, long tooFarAhead, long dropped) {}
}
