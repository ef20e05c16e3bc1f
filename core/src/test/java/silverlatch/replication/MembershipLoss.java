package silverlatch.replication;

/** A machine that counts as lost until a time in microseconds, or indefinitely while it isn't known when it returns. */
final class MembershipLoss {
    private static final long NEVER = Long.MAX_VALUE;

    private String address;
    private long untilMicros = NEVER;
    private boolean isDown = true;
    private boolean hasReturned;

    MembershipLoss(final String address) {
        this.address = address;
    }

    String address() {
        return address;
    }

    boolean isAt(final String machine) {
        return address.equals(machine);
    }

    /** Returns whether the machine's process is down or can't be reached. */
    boolean isDown() {
        return isDown;
    }

    /** Returns whether the machine has returned, so that it must be a caught-up member of the chain when the loss ends. */
    boolean hasReturned() {
        return hasReturned;
    }

    boolean isOver(final long nowMicros) {
        return untilMicros <= nowMicros;
    }

    /** Records that the machine was removed permanently and that a replacement at this address takes its place. */
    void setReplacement(final String successor) {
        address = successor;
    }

    /** Records that the machine still runs, as it leaves gracefully. */
    void markRunning() {
        isDown = false;
    }

    /** Records that the machine has stopped; the end of the loss is unchanged. */
    void markDown() {
        isDown = true;
    }

    /** Records that the machine was lost again, for an unknown time. */
    void markLostAgain() {
        untilMicros = NEVER;
        isDown = true;
    }

    /** Records that the machine has returned; it counts as lost until the time by which it must have caught up. */
    void markReturned(final long caughtUpAtMicros) {
        isDown = false;
        hasReturned = true;
        untilMicros = caughtUpAtMicros;
    }

    /** Ends the loss at this time, whether or not the machine returns. */
    void setEnd(final long micros) {
        untilMicros = micros;
    }
}
