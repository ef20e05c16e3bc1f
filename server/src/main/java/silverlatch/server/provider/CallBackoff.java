package silverlatch.server.provider;

import java.util.random.RandomGenerator;

/** Exponential backoff with jitter after calls that were throttled or whose outcome is unknown: the bound doubles up to a maximum. */
final class CallBackoff {
    private static final long INITIAL_MICROS = 200_000L;
    private static final long MAX_MICROS = 1_600_000L;
    private final RandomGenerator random;
    private long pause = INITIAL_MICROS;

    CallBackoff(final RandomGenerator random) {
        this.random = random;
    }

    /** Returns the next pause in microseconds, chosen at random between half of the current bound and the whole bound. */
    long next() {
        final long half = pause / 2;
        pause = Math.min(MAX_MICROS, 2 * pause);
        return half + random.nextLong(half + 1);
    }

    /** Resets the bound to its initial value. */
    void reset() {
        pause = INITIAL_MICROS;
    }
}
