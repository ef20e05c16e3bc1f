package silverlatch.placement;

import silverlatch.gossip.Worker;

/**
 * A worker as one gateway sees it when a request is placed.
 *
 * @param worker              its newest report
 * @param reportAge           how old that report can be, in microseconds
 * @param attemptsSinceReport attempts that this gateway sent there and that the report can't count yet
 * @param ownAttempts         attempts of this gateway that are in flight there
 * @param sinceRecovery         microseconds since it came back after a silence or a restart
 * @param isEjected           whether an attempt there failed a short time ago
 * @param gatewayCount        how many gateways share it
 */
public record PlacementInput(
        Worker worker,
        long reportAge,
        int attemptsSinceReport,
        int ownAttempts,
        long sinceRecovery,
        boolean isEjected,
        int gatewayCount) {
    private static final long SLOW_START_MICROS = 6_000_000L;
    private static final double MIN_WARMUP_PROGRESS = 0.1;

    /** How many of its slots are taken, as far as is known here. */
    public int occupiedSlots() {
        return worker.running() + worker.queued() + attemptsSinceReport;
    }

    /** How far its slow start has come, from a tenth to one, where it takes as much as any other. */
    public double warmupProgress() {
        final long uptime = Math.max(0, Math.min(worker.uptime(), sinceRecovery));
        return Math.min(1, MIN_WARMUP_PROGRESS + (1 - MIN_WARMUP_PROGRESS) * uptime / SLOW_START_MICROS);
    }

    /** How many requests it may have at once as far as its slow start has come. */
    public int slotLimit() {
        return Math.max(1, (int) Math.floor(worker.slots() * warmupProgress()));
    }

    /** How many requests this gateway alone may have there: twice its even part, until the slow start is over. */
    public int ownSlotLimit() {
        return warmupProgress() >= 1
                ? worker.slots()
                : Math.max(1, (int) Math.ceil(2.0 * slotLimit() / Math.max(1, gatewayCount)));
    }
}
