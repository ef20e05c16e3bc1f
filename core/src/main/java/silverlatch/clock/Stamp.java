package silverlatch.clock;

/** A PWC value: 32 bits of seconds since 2020-01-01 UTC and 32 bits of fraction, compared as a plain integer. */
public record Stamp(long bits) implements Comparable<Stamp> {
    /** The stamp below all others. */
    public static final Stamp NONE = new Stamp(0L);

    /** Tells whether this stamp is less than the other, by plain integer comparison. */
    public boolean isBefore(final Stamp other) {
        return bits < other.bits;
    }

    @Override
    public int compareTo(final Stamp other) {
        return Long.compare(bits, other.bits);
    }
}
