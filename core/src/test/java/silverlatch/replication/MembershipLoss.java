package silverlatch.replication;

/** A machine that counts as lost until a time, in microseconds; for good while it isn't known when it comes back. */
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

    /** Whether the machine's process is down or can't be reached. */
    boolean isDown() {
        return isDown;
    }

    /** Whether the machine came back and is a full member when the loss is over. */
    boolean hasReturned() {
        return hasReturned;
    }

    boolean isOver(final long nowMicros) {
        return untilMicros <= nowMicros;
    }

    /** The machine is gone for good; its successor comes in its place. */
    void setReplacement(final String successor) {
        address = successor;
    }

    /** The machine is told to end, but still runs. */
    void markRunning() {
        isDown = false;
    }

    /** The machine has ended; it counts as long as before. */
    void markDown() {
        isDown = true;
    }

    /** The machine went again; it isn't known when it comes back. */
    void markLostAgain() {
        untilMicros = NEVER;
        isDown = true;
    }

    /** The machine is back and counts as lost until it has had its time to catch up. */
    void markReturned(final long caughtUpAtMicros) {
        isDown = false;
        hasReturned = true;
        untilMicros = caughtUpAtMicros;
    }

    /** Counts until a time, whatever the machine does. */
    void setEnd(final long micros) {
        untilMicros = micros;
    }
}
