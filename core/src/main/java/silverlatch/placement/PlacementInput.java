package silverlatch.placement;

import silverlatch.gossip.Worker;

/**
 * The state of a worker, as known to one gateway, when a request is placed.
 *
 * @param worker              the newest report of the worker
 * @param reportAge           the maximum age of that report, in microseconds
 * @param attemptsSinceReport attempts that this gateway sent to the worker and that the report can't include yet
 * @param ownAttempts         attempts of this gateway that are in flight at the worker
 * @param sinceRecovery       microseconds since the worker recovered from a silence or a restart
 * @param isEjected           whether an attempt there failed recently
 * @param gatewayCount        how many gateways share the worker
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

    /** Returns how many slots of the worker are occupied, as far as this gateway knows. */
    public int occupiedSlots() {
        return worker.running() + worker.queued() + attemptsSinceReport;
    }

    /** Returns the progress of the slow start, from 0.1 to 1; at 1 the worker gets its full share of requests. */
    public double warmupProgress() {
        final long timeServing = Math.max(0, Math.min(worker.uptime(), sinceRecovery));
        return Math.min(1, MIN_WARMUP_PROGRESS + (1 - MIN_WARMUP_PROGRESS) * timeServing / SLOW_START_MICROS);
    }

    /** Returns how many requests the worker may have at once at this point of its slow start. */
    public int slotLimit() {
        return Math.max(1, (int) Math.floor(worker.slots() * warmupProgress()));
    }

    /**
     * Returns how many requests of this gateway the worker may have at once: twice the gateway's equal share during the
     * slow start, all slots afterwards.
     */
    public int ownSlotLimit() {
        return warmupProgress() >= 1
                ? worker.slots()
                : Math.max(1, (int) Math.ceil(2.0 * slotLimit() / Math.max(1, gatewayCount)));
    }
}
