package silverlatch.simulation.sim;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

/**
 * Tracks the injected faults and their repairs: when the last one happened, how many are pending, which regions recovered, and
 * which faults wait for a node to reach an {@link InjectionPoint}. Times and durations are microseconds of true time.
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

    /** The recovery of a region, or of all regions if the name is empty. */
    record Recovery(String region, long time) {}

    /** Records that a fault is injected or healed now. */
    void recordChange() {
        lastChangeAt = scheduler.now();
    }

    /** Returns when a fault was last injected or healed. */
    long lastChangeAt() {
        return lastChangeAt;
    }

    /** Schedules a task that injects or heals a fault; the world doesn't count as healed until it has run. */
    void scheduleChange(final long delay, final Runnable task) {
        pendingChanges++;
        scheduler.schedule(delay, () -> {
            pendingChanges--;
            recordChange();
            task.run();
        });
    }

    /** Returns whether no injection and no repair is pending. */
    boolean isEverythingHealed() {
        return pendingChanges == 0;
    }

    /** Records the recovery of a region, or of all regions if the name is empty. */
    void recordRecovery(final String region) {
        recoveries.add(new Recovery(region, scheduler.now()));
        recordChange();
    }

    /** Returns the recoveries so far, in order. */
    List<Recovery> recoveries() {
        return List.copyOf(recoveries);
    }

    /** Records that a fault may destroy disks for the given time from now on. */
    void expectDiskLossesFor(final long duration) {
        diskLossesExpectedUntil = scheduler.now() + duration;
    }

    /** Returns whether an active fault may still destroy a disk. */
    boolean areDiskLossesExpected() {
        return scheduler.now() < diskLossesExpectedUntil;
    }

    /** Records that a wall clock is set off now; stamps are checked against true time for the next 20 s. */
    void recordClockSkew() {
        clockSkewedAt = scheduler.now();
    }

    /** Returns whether a wall clock was set off in the last 20 s. */
    boolean isClockSkewRecent() {
        return scheduler.now() - clockSkewedAt < CLOCK_SKEW_CHECK_TIME;
    }

    /** Arms a fault that hits the next node to reach the point, in place of any fault armed there before. */
    void arm(final InjectionPoint point, final Consumer<SimulatedNode> injection) {
        armedInjections.put(point, injection);
    }

    /** Injects the fault that is armed at a point, if any, into the node that reached it, before this method returns. */
    void onPointReached(final InjectionPoint point, final SimulatedNode node) {
        Optional.ofNullable(armedInjections.remove(point)).ifPresent(injection -> {
            observer.count("aimed-" + point);
            recordChange();
            injection.accept(node);
        });
    }
}
