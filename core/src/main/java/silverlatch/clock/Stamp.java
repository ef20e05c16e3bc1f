package silverlatch.clock;

/**
 * A stamp of the PWC clock: an event's stamp is less than those of the events that it causes. The bits are 32 of seconds
 * since 2020-01-01 UTC and 32 of fraction, compared as a signed integer; stamps are stored and sent.
 */
public record Stamp(long bits) implements Comparable<Stamp> {
    /** The stamp below all others. */
    public static final Stamp NONE = new Stamp(0L);

    /** Whether this stamp is less than the other. */
    public boolean isBefore(final Stamp other) {
        return bits < other.bits;
    }

    @Override
    public int compareTo(final Stamp other) {
        return Long.compare(bits, other.bits);
    }
}
