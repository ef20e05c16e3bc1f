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
    private PwcClock tide;
    private long waits;
    private long carries;
    private long fars;
    private long dropped;
    private long since;
    private int storm;
    private long heard;

    /** Starts a clock above a floor. */
    public ProcessClock(final PwcClock tide) {
        this(tide, Safeguards.ALL);
    }

    /** Starts a clock above a floor, under the guards that stand. */
    public ProcessClock(final PwcClock tide, final Safeguards guards) {
        this.guards = guards;
        this.tide = tide;
        this.heard = tide.last();
    }

    /** The stamp of a local event; after an overflow that no wait could mend it carries on, counted. */
    public synchronized Stamp local(final long phys) {
        if (tide.brim(phys)) {
            carries++;
        }
        final ClockReading.Made made = tide.carry(phys);
        tide = made.tide();
        return made.stamp();
    }

    /** The stamp of a send event, or how long to wait for it. */
    public synchronized ClockReading send(final long phys) {
        return settle(tide.send(phys));
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
        return storm >= STORM || tide.astray(phys);
    }

    /** Starts again at the masked clock, but above all that was learned from peers in bounds. */
    public synchronized void reset(final long phys) {
        tide = PwcClock.start(phys, tide.low(), tide.skew(), Math.min(heard, tide.top(phys)));
        storm = 0;
    }

    /** Raises the clock above a floor learned at joining, unless the floor is out of bounds. */
    public synchronized Optional<Stamp> floor(final Stamp mark, final long phys) {
        if (mark.bits() > tide.top(phys)) {
            return Optional.empty();
        }
        heard = Math.max(heard, mark.bits());
        tide = new PwcClock(Math.max(tide.last(), mark.bits() + 1), tide.low(), tide.skew());
        return Optional.of(new Stamp(tide.last()));
    }

    /** The newest stamp made. */
    public synchronized Stamp last() {
        return new Stamp(tide.last());
    }

    /** How often something happened: waits, carries of local events, far stamps, messages dropped. */
    public synchronized Counts counts() {
        return new Counts(waits, carries, fars, dropped);
    }

    private ClockReading taken(final Stamp mark, final long phys) {
        if (!guards.stands(Safeguard.ABOVE)) {
            return tide.send(phys);
        }
        final ClockReading step = tide.take(mark, phys);
        return step instanceof ClockReading.Far && !guards.stands(Safeguard.FAR)
                ? new PwcClock(Math.max(tide.last(), mark.bits()), tide.low(), tide.skew()).send(phys)
                : step;
    }

    private ClockReading settle(final ClockReading step) {
        switch (step) {
            case ClockReading.Made made -> tide = made.tide();
            case ClockReading.Wait wait -> waits++;
            case ClockReading.Far far -> fars++;
        }
        return step;
    }

    /** Counts of what the clock met. */
    public record Counts(long waits, long carries, long fars, long dropped) {}
}
