package silverlatch.clock;

/** Result of requesting a stamp from the clock. */
public sealed interface ClockReading {
    /** The event is stamped. {@code clock} is the clock's next state. */
    record Stamped(PwcClock clock, Stamp stamp) implements ClockReading {}

    /** The stamp would carry into the high bits: the caller must wait this many microseconds and retry. */
    record Wait(long micros) implements ClockReading {}

    /**
     * The message's stamp is higher than any that a clock within the allowed skew could have made, by this many units
     * of {@link NtpTime}.
     */
    record TooFarAhead(long units) implements ClockReading {}
}
