package silverlatch.placement;

import silverlatch.gossip.Worker;

/**
 * A worker as one gateway sees it at the moment of a pick.
 *
 * @param worker  its newest word
 * @param reportAge     how old that word can be, in microseconds
 * @param attemptsSinceReport   runs this gateway sent there that the word can't count yet
 * @param ownAttempts    runs of this gateway under way there
 * @param sinceReturn    microseconds since it came back after a silence
 * @param isEjected whether a try there failed just now
 * @param gatewayCount   how many gateways share it
 */
public record PlacementInput(
        Worker worker,
        long reportAge,
        int attemptsSinceReport,
        int ownAttempts,
        long sinceReturn,
        boolean isEjected,
        int gatewayCount) {
    private static final long SLOW_START_MICROS = 6_000_000L;
    private static final double MIN_WARMTH = 0.1;

    /** Runs there, as far as can be known here. */
    public int occupiedSlots() {
        return worker.running() + worker.queued() + attemptsSinceReport;
    }

    /** How warm it is, from a tenth to one. */
    public double warmth() {
        final long uptime = Math.max(0, Math.min(worker.uptime(), sinceReturn));
        return Math.min(1, MIN_WARMTH + (1 - MIN_WARMTH) * uptime / SLOW_START_MICROS);
    }

    /** How many runs it may have at once while it warms up. */
    public int slotLimit() {
        return Math.max(1, (int) Math.floor(worker.slots() * warmth()));
    }

    /** How many runs this gateway alone may have there while it warms up. */
    public int ownSlotLimit() {
        return warmth() >= 1
                ? worker.slots()
                : Math.max(1, (int) Math.ceil(2.0 * slotLimit() / Math.max(1, gatewayCount)));
    }
}
