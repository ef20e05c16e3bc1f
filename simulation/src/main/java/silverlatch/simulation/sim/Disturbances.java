package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * What is done to a world and healed: when that last happened, what is still to be healed, what came back, and the faults
 * that wait for a node to reach an {@link InjectionPoint}. Times and durations are microseconds of true time.
 */
final class Disturbances {
    private static final long CLOCK_SKEW_CHECK_TIME = 20_000_000L;
    private final EventScheduler scheduler;
    private final Observer observer;
    private final Map<InjectionPoint, Consumer<SimulatedNode>> armedInjections = new EnumMap<>(InjectionPoint.class);
    private final List<Recovery> recoveries = new ArrayList<>();
    private long lastChangeAt;
    private long pendingChanges;
    private long diskLossesExpectedUntil;
    private long clockSkewedAt = Long.MIN_VALUE / 2;

    Disturbances(final EventScheduler scheduler, final Observer observer) {
        this.scheduler = scheduler;
        this.observer = observer;
    }

    /** A region came back, or all when the name is empty. */
    record Recovery(String region, long time) {}

    /** Something is done to the world, or is healed, at this moment. */
    void recordChange() {
        lastChangeAt = scheduler.now();
    }

    /** When something was last done to the world or healed. */
    long lastChangeAt() {
        return lastChangeAt;
    }

    /** Does something later that disturbs or heals the world; until then the world isn't healed. */
    void scheduleChange(final long delay, final Runnable task) {
        pendingChanges++;
        scheduler.schedule(delay, () -> {
            pendingChanges--;
            recordChange();
            task.run();
        });
    }

    /** Whether nothing that was done to the world waits to be healed. */
    boolean isEverythingHealed() {
        return pendingChanges == 0;
    }

    /** A region came back, or all when the name is empty. */
    void recordRecovery(final String region) {
        recoveries.add(new Recovery(region, scheduler.now()));
        recordChange();
    }

    /** What came back, and when. */
    List<Recovery> recoveries() {
        return List.copyOf(recoveries);
    }

    /** Disks may go on being lost for so long from now on. */
    void expectDiskLossesFor(final long duration) {
        diskLossesExpectedUntil = scheduler.now() + duration;
    }

    /** Whether a fault that loses disks is still at work. */
    boolean areDiskLossesExpected() {
        return scheduler.now() < diskLossesExpectedUntil;
    }

    /** A clock is off from now on: stamps are looked at closely for a while. */
    void recordClockSkew() {
        clockSkewedAt = scheduler.now();
    }

    /** Whether a clock was set off a short while ago. */
    boolean isClockSkewRecent() {
        return scheduler.now() - clockSkewedAt < CLOCK_SKEW_CHECK_TIME;
    }

    /** The next node that reaches the point is hit there. */
    void arm(final InjectionPoint point, final Consumer<SimulatedNode> injection) {
        armedInjections.put(point, injection);
    }

    /** A node reaches a point; a fault that waits there strikes before this returns. */
    void onPointReached(final InjectionPoint point, final SimulatedNode node) {
        Optional.ofNullable(armedInjections.remove(point)).ifPresent(injection -> {
            observer.count("aimed-" + point);
            recordChange();
            injection.accept(node);
        });
    }
}
