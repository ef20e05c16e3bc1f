package silverlatch.simulation.sim;

import java.util.HashMap;
import java.util.Map;

/**
 * The number of requests that were completed before the first fault, against which the service after each recovery is checked.
 * Times and durations are microseconds.
 */
final class Baseline {
    /** How long after a recovery the service is checked. */
    static final long RECOVERY_TIME = 12_000_000L;

    /** The window in which completed requests are counted. */
    static final long WINDOW = 3_000_000L;

    private static final long SECOND = 1_000_000L;
    private static final long MIN_TENANT_BASELINE = 12;
    private final World world;
    private final long completed;
    private final Map<String, Long> completedByTenant = new HashMap<>();
    private long checkedUntil;

    Baseline(final World world, final long from, final long to) {
        this.world = world;
        this.completed = world.observer().completedBetween(from, to) * WINDOW / (to - from);
        world.plan()
                .tenants()
                .forEach(tenant -> completedByTenant.put(
                        tenant.name(),
                        world.observer().completedBetween(tenant.name(), from, to) * WINDOW / (to - from)));
    }

    /** Returns how many requests were completed in a window before the faults. */
    long completed() {
        return completed;
    }

    /**
     * Lets time pass. Checks the service of each recovery in the window that begins 12 s after it or after the last change that
     * overlapped with it.
     */
    void advance(final long duration) {
        final long end = world.scheduler().now() + duration;
        while (world.scheduler().now() < end) {
            world.scheduler().runUntil(Math.min(end, world.scheduler().now() + SECOND));
            final long now = world.scheduler().now();
            if (world.disturbances().isEverythingHealed()
                    && now - world.disturbances().lastChangeAt() >= RECOVERY_TIME + WINDOW) {
                world.disturbances().recoveries().stream()
                        .filter(recovery -> recovery.time() > checkedUntil)
                        .toList()
                        .forEach(recovery -> {
                            checkedUntil = Math.max(checkedUntil, recovery.time());
                            checkRecovery(recovery, now);
                        });
            }
        }
    }

    private void checkRecovery(final Disturbances.Recovery recovery, final long now) {
        world.observer().exercise(Invariant.RECOVERY_TIME);
        final long completedNow = world.observer().completedBetween(now - WINDOW, now);
        if (completedNow * 4 < completed) {
            world.observer()
                    .violated(
                            Invariant.RECOVERY_TIME,
                            "12 s after a return " + completedNow + " replies come where " + completed
                                    + " came before");
        }
        world.observer()
                .recordMaximum("returnShortPerMille", Math.max(0, 1000 - 1000 * completedNow / Math.max(1, completed)));
        completedByTenant.forEach((tenant, tenantBaseline) -> {
            final long tenantCompleted = world.observer().completedBetween(tenant, now - WINDOW, now);
            if (tenantCompleted * 4 < tenantBaseline && tenantBaseline >= MIN_TENANT_BASELINE) {
                world.observer()
                        .violated(
                                Invariant.RECOVERY_TIME,
                                "12 s after a return of "
                                        + (recovery.region().isEmpty() ? "all" : recovery.region()) + " " + tenant
                                        + " has " + tenantCompleted + " replies where it had " + tenantBaseline
                                        + " before");
            }
        });
    }

    /**
     * Checks the service in the window from a time on, and that the table could be read back and changed. Both must have been
     * tried before this call.
     *
     * @param keepsState whether the cluster must have kept its state; otherwise nothing is required of it
     */
    void checkService(final long from, final boolean keepsState) {
        world.observer().exercise(Invariant.SERVES_AFTER_FAULTS);
        final long completedAfter = world.observer().completedBetween(from, from + WINDOW);
        if (completedAfter * 4 < completed && keepsState) {
            world.observer()
                    .violated(
                            Invariant.SERVES_AFTER_FAULTS,
                            "after all was healed " + completedAfter + " replies come where " + completed
                                    + " came before");
        }
        if (keepsState && world.operators().lastReadsAnswered() == 0) {
            world.observer()
                    .violated(Invariant.SERVES_AFTER_FAULTS, "the table can't be read back after all was healed");
        }
        if (keepsState && !world.operators().lastChangeApplied()) {
            world.observer().violated(Invariant.SERVES_AFTER_FAULTS, "the table can't be changed after all was healed");
        }
    }
}
