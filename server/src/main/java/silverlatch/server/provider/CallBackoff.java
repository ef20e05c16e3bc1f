package silverlatch.server.provider;

import java.util.random.RandomGenerator;

/** The pauses after calls that weren't accepted: each twice as long as the one before, up to a bound, and spread by chance. */
final class CallBackoff {
    private static final long INITIAL_MICROS = 200_000L;
    private static final long MAX_MICROS = 1_600_000L;
    private final RandomGenerator random;
    private long pause = INITIAL_MICROS;

    CallBackoff(final RandomGenerator random) {
        this.random = random;
    }

    /** The next pause in microseconds: half of the present bound at least. */
    long next() {
        final long half = pause / 2;
        pause = Math.min(MAX_MICROS, 2 * pause);
        return half + random.nextLong(half + 1);
    }

    /** A call was accepted: the next pause is a short one again. */
    void reset() {
        pause = INITIAL_MICROS;
    }
}
