package silverlatch.simulation.sim;

import java.util.HashMap;
import java.util.Map;

/** How much was served before the first fault, and every recovery judged by it. Times and durations are microseconds. */
final class Baseline {
    /** How long after a recovery service is judged again. */
    static final long RECOVERY_TIME = 12_000_000L;

    /** Over how long completed requests are counted. */
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

    /** How many requests were completed in a window before the faults. */
    long completed() {
        return completed;
    }

    /** Lets time pass; 12 s after what came back, or after what was done or healed on top of it, service is judged. */
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

    /** Judges service from a time on, and that the table could be read back and changed; call it after both. */
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
