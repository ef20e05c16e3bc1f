package silverlatch.carry;

/** The budget for extra tries: each fresh ticket adds a part of one, each extra try takes a whole one. */
public final class Budget {
    private final double part;
    private final double most;
    private double held;

    /** A budget that starts with a small stock. */
    public Budget(final double part, final double most, final double first) {
        this.part = part;
        this.most = most;
        this.held = first;
    }

    /** A fresh ticket came. */
    public void fresh() {
        held = Math.min(most, held + part);
    }

    /** Takes one extra try, if there is one. */
    public boolean take() {
        if (held < 1) {
            return false;
        }
        held--;
        return true;
    }
}
