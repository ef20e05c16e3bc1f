package silverlatch.clock;

import silverlatch.util.Numbers;

/**
 * The physical clock under the stamps: the wall clock read once and carried on by the monotonic clock.
 * A wall clock that wanders is followed slowly; one that jumps is not followed.
 *
 * @param unix  Unix nanoseconds at the anchor
 * @param mono  monotonic microseconds at the anchor
 * @param jumps how often the wall clock was found beyond the bound
 */
public record PhysicalClock(long unix, long mono, long jumps) {
    /** Physical time in fixed point units at a monotonic time. */
    public long phys(final long now) {
        return Ntp.ofUnixNanos(unix + (now - mono) * 1000);
    }

    /** Moves by at most 500 parts in a million towards a wall clock within the bound; counts one beyond it. */
    public PhysicalClock slew(final long wall, final long now, final long bound) {
        final long mine = unix + (now - mono) * 1000;
        final long gap = wall - mine;
        if (Math.abs(gap) > bound * 1000) {
            return new PhysicalClock(mine, now, jumps + 1);
        }
        final long most = (now - mono) / 2;
        return new PhysicalClock(mine + Numbers.clamp(gap, -most, most), now, jumps);
    }

    /** The anchor moved by an offset in microseconds, as a rejoin does that takes the median of its seeds. */
    public PhysicalClock moved(final long micros) {
        return new PhysicalClock(unix + micros * 1000, mono, jumps);
    }
}
