package silverlatch.clock;

/**
 * Timestamp of a PWC (physical clock with causality, {@link PwcClock}): an event's stamp is less than the stamps of the
 * events that it causes. The bits are 32 of seconds since 2020-01-01 UTC and 32 of fraction, compared as a signed
 * integer. Stamps are stored and sent between processes.
 */
public record Stamp(long bits) implements Comparable<Stamp> {
    /** A stamp that is less than all stamps of events. */
    public static final Stamp NONE = new Stamp(0L);

    /** Returns whether this stamp is less than the other. */
    public boolean isBefore(final Stamp other) {
        return bits < other.bits;
    }

    @Override
    public int compareTo(final Stamp other) {
        return Long.compare(bits, other.bits);
    }
}
