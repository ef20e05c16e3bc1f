package silverlatch.clock;

/** What came of asking the clock for a stamp. */
public sealed interface ClockReading {
    /** The event has its stamp; the clock moves on to the given state. */
    record Stamped(PwcClock clock, Stamp stamp) implements ClockReading {}

    /** A carry into the high bits would follow: wait this many microseconds and ask again. */
    record Wait(long micros) implements ClockReading {}

    /** The message's stamp is ahead of anything a clock within the skew could make, by this many units. */
    record TooFarAhead(long units) implements ClockReading {}
}
