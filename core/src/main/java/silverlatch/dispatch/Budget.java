package silverlatch.dispatch;

/**
 * The budget for extra tries: each first run adds a part of one, each extra try takes a whole one. What is saved up
 * never exceeds that part of the first runs of the last few seconds, so that a burst after a quiet time stays small.
 */
public final class Budget {
    private static final long BUCKET = 2_000_000L;
    private final double part;
    private double held;
    private long begun;
    private long now;
    private long before;

    /** A budget that starts with a small stock. */
    public Budget(final double part, final double first) {
        this.part = part;
        this.held = first;
    }

    /** A first run is asked for. */
    public void fresh(final long time) {
        turn(time);
        now++;
        held = Math.min(most(), held + part);
    }

    /** Takes one extra try, if there is one. */
    public boolean take(final long time) {
        turn(time);
        held = Math.min(most(), held);
        if (held < 1) {
            return false;
        }
        held--;
        return true;
    }

    private double most() {
        return Math.max(1, part * (before + now));
    }

    private void turn(final long time) {
        if (time - begun >= BUCKET) {
            before = time - begun >= 2 * BUCKET ? 0 : now;
            now = 0;
            begun = time;
        }
    }
}
