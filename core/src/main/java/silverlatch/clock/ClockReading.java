package silverlatch.clock;

/** What asking the clock for a stamp gives. */
public sealed interface ClockReading {
    /** The event has its stamp; the clock's next state is the given one. */
    record Stamped(PwcClock clock, Stamp stamp) implements ClockReading {}

    /** The stamp would carry into the high bits: wait this many microseconds and ask again. */
    record Wait(long micros) implements ClockReading {}

    /** The message's stamp is ahead of any that a clock within the skew could make, by this many units of {@link NtpTime}. */
    record TooFarAhead(long units) implements ClockReading {}
}
