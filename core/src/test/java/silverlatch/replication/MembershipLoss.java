package silverlatch.replication;

/** A machine that counts as lost until a time, in microseconds; for good while it isn't known when it comes back. */
final class MembershipLoss {
    private static final long NEVER = Long.MAX_VALUE;

    private String address;
    private long untilMicros = NEVER;
    private boolean isDown = true;
    private boolean hasComeBack;

    MembershipLoss(final String address) {
        this.address = address;
    }

    String address() {
        return address;
    }

    boolean isOf(final String machine) {
        return address.equals(machine);
    }

    /** Whether the machine's process is down or can't be reached. */
    boolean isDown() {
        return isDown;
    }

    /** Whether the machine came back and is a full member when the loss is over. */
    boolean hasComeBack() {
        return hasComeBack;
    }

    boolean isOver(final long nowMicros) {
        return untilMicros <= nowMicros;
    }

    /** The machine is gone for good; its successor comes in its place. */
    void replaceBy(final String successor) {
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
    void lostAgain() {
        untilMicros = NEVER;
        isDown = true;
    }

    /** The machine is back and counts as lost until it has had its time to catch up. */
    void cameBack(final long caughtUpAtMicros) {
        isDown = false;
        hasComeBack = true;
        untilMicros = caughtUpAtMicros;
    }

    /** Counts until a time, whatever the machine does. */
    void countUntil(final long micros) {
        untilMicros = micros;
    }
}
