package silverlatch.clock;

import java.util.Optional;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/** Owns the clock of one daemon: every stamp of the process is made here, one event at a time. */
public final class ProcessClock {
    /** The longest wait for an overflow, in microseconds. */
    public static final long BOUND = 5_000L;

    private static final long WINDOW = 10_000_000L;
    private static final int STORM = 64;
    private final Safeguards guards;
    private PwcClock clock;
    private long waits;
    private long carries;
    private long fars;
    private long dropped;
    private long since;
    private int storm;
    private long heard;

    /** Starts a clock above a floor. */
    public ProcessClock(final PwcClock clock) {
        this(clock, Safeguards.ALL);
    }

    /** Starts a clock above a floor, under the guards that stand. */
    public ProcessClock(final PwcClock clock, final Safeguards guards) {
        this.guards = guards;
        this.clock = clock;
        this.heard = clock.last();
    }

    /** The stamp of a local event; after an overflow that no wait could mend it carries on, counted. */
    public synchronized Stamp local(final long phys) {
        if (clock.brim(phys)) {
            carries++;
        }
        final ClockReading.Made made = clock.carry(phys);
        clock = made.clock();
        return made.stamp();
    }

    /** The stamp of a send event, or how long to wait for it. */
    public synchronized ClockReading send(final long phys) {
        return settle(clock.send(phys));
    }

    /** The stamp of a receive event, or how long to wait, or that the message is from too far ahead. */
    public synchronized ClockReading take(final Stamp mark, final long phys) {
        final ClockReading step = settle(taken(mark, phys));
        if (step instanceof ClockReading.Made) {
            heard = Math.max(heard, mark.bits());
        }
        return step;
    }

    /** Notes that a message was given up since its wait went past the bound. */
    public synchronized void drop(final long now) {
        dropped++;
        if (now - since > WINDOW) {
            since = now;
            storm = 0;
        }
        storm++;
    }

    /** Whether overflows came so often, or the clock stands so far out, that a rejoin is due. */
    public synchronized boolean due(final long phys) {
        return storm >= STORM || clock.astray(phys);
    }

    /** Starts again at the masked clock, but above all that was learned from peers in bounds. */
    public synchronized void reset(final long phys) {
        clock = PwcClock.start(phys, clock.low(), clock.skew(), Math.min(heard, clock.top(phys)));
        storm = 0;
    }

    /** Raises the clock above a floor learned at joining, unless the floor is out of bounds. */
    public synchronized Optional<Stamp> floor(final Stamp mark, final long phys) {
        if (mark.bits() > clock.top(phys)) {
            return Optional.empty();
        }
        heard = Math.max(heard, mark.bits());
        clock = new PwcClock(Math.max(clock.last(), mark.bits() + 1), clock.low(), clock.skew());
        return Optional.of(new Stamp(clock.last()));
    }

    /** The newest stamp made. */
    public synchronized Stamp last() {
        return new Stamp(clock.last());
    }

    /** How often something happened: waits, carries of local events, far stamps, messages dropped. */
    public synchronized Counts counts() {
        return new Counts(waits, carries, fars, dropped);
    }

    private ClockReading taken(final Stamp mark, final long phys) {
        if (!guards.stands(Safeguard.ABOVE)) {
            return clock.send(phys);
        }
        final ClockReading step = clock.take(mark, phys);
        return step instanceof ClockReading.Far && !guards.stands(Safeguard.FAR)
                ? new PwcClock(Math.max(clock.last(), mark.bits()), clock.low(), clock.skew()).send(phys)
                : step;
    }

    private ClockReading settle(final ClockReading step) {
        switch (step) {
            case ClockReading.Made made -> clock = made.clock();
            case ClockReading.Wait wait -> waits++;
            case ClockReading.Far far -> fars++;
        }
        return step;
    }

    /** Counts of what the clock met. */
    public record Counts(long waits, long carries, long fars, long dropped) {}
}
