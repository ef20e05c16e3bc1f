package silverlatch.replication;

import java.util.List;
import java.util.Set;
import java.util.TreeSet;

/** Injects random losses and replacements of machines, never more at a time than the tolerance, except when all processes are killed at once. */
final class MembershipFaults {
    private static final long SECOND = MembershipModel.SECOND;
    private static final long STEP = MembershipModel.STEP;
    /** How long a controller may take for a graceful leave after SIGTERM: three quarters of {@code gracePeriodS}. */
    private static final long GRACE_MICROS = 6 * SECOND;

    private final MembershipModel model;
    private final ReplicaCluster cluster;
    private int eventCount;
    private int gracePeriodKills;

    MembershipFaults(final MembershipModel model) {
        this.model = model;
        this.cluster = model.cluster();
    }

    /** Returns how many losses and replacements were injected. */
    int eventCount() {
        return eventCount;
    }

    /** Returns how many machines were killed because their graceful leave took longer than the grace period. */
    int gracePeriodKills() {
        return gracePeriodKills;
    }

    /**
     * With a probability of 1/12, injects one loss or replacement or as many as the tolerance allows, and sometimes kills a
     * returned machine again or all processes.
     */
    void step() {
        if (model.random().nextInt(12) > 0) {
            return;
        }
        if (model.random().nextInt(6) == 0) {
            killAgain();
        }
        final int events = model.random().nextInt(3) == 0 ? model.tolerance() : 1;
        for (int i = 0; i < events && model.lossCount() < model.tolerance(); i++) {
            final List<String> healthy = model.members().stream()
                    .filter(address -> !model.leaving().contains(address) && !model.isLost(address))
                    .toList();
            loseOrReplace(healthy.get(model.random().nextInt(healthy.size())));
            eventCount++;
        }
        if (model.lossCount() == 0
                && model.leaving().isEmpty()
                && model.random().nextInt(30) == 0) {
            killAll();
        }
    }

    private void loseOrReplace(final String address) {
        switch (model.random().nextInt(9)) {
            case 0 -> restart(address, false);
            case 1 -> restart(address, true);
            case 2, 3 -> replace(address);
            case 4, 5 -> replaceAsPlanned(address);
            case 6 -> terminate(address);
            case 7 -> freeze(address);
            default -> isolate(address);
        }
    }

    private void markReturned(final MembershipLoss loss) {
        loss.markReturned(model.now() + MembershipModel.CATCH_UP);
    }

    /** Kills a machine, with or without the loss of its disk, and restarts it later at the same address. */
    private void restart(final String address, final boolean losesDisk) {
        model.recordEvent((losesDisk ? "kill and wipe " : "kill ") + address);
        final MembershipLoss loss = model.addLoss(address);
        cluster.kill(address);
        if (losesDisk) {
            cluster.loseDisk(address);
        }
        model.schedule(model.randomBetween(STEP, 8 * SECOND), () -> model.start(loss));
    }

    /** Removes a machine permanently without a graceful leave; its replacement starts later. */
    private void replace(final String address) {
        model.recordEvent("remove " + address);
        final MembershipLoss loss = model.addLoss(address);
        model.remove(address);
        loss.setReplacement(model.nextReplacement());
        model.schedule(model.randomBetween(STEP, 3 * SECOND), () -> model.start(loss));
    }

    /** Starts the replacement first; once that had its time to catch up, the old machine leaves gracefully and is removed permanently. */
    private void replaceAsPlanned(final String address) {
        final MembershipLoss loss = model.addLoss(model.nextReplacement());
        model.recordEvent("planned: " + loss.address() + " for " + address);
        model.start(loss);
        model.leaving().add(address);
        model.schedule(MembershipModel.CATCH_UP + model.randomBetween(0, SECOND), () -> leave(address, () -> {}));
    }

    /** Stops a machine gracefully; the task runs when it has stopped or was killed. */
    private void leave(final String address, final Runnable onStopped) {
        if (!cluster.running().contains(address)) {
            model.remove(address);
            onStopped.run();
            return;
        }
        model.recordEvent("SIGTERM " + address);
        model.leaving().add(address);
        cluster.replica(address).leave();
        awaitStop(address, model.now() + GRACE_MICROS, onStopped);
    }

    private void awaitStop(final String address, final long killAtMicros, final Runnable onStopped) {
        if (cluster.replica(address).hasLeft()) {
            model.recordEvent(address + " stopped");
            model.leaving().remove(address);
            finish(address, onStopped);
        } else if (model.now() >= killAtMicros) {
            model.recordEvent("SIGKILL " + address);
            gracePeriodKills++;
            model.leaving().remove(address);
            finish(address, onStopped);
            if (!model.isLost(address) && !model.members().contains(address)) {
                model.addLoss(address).setEnd(model.now() + MembershipSchedule.DETECTION);
            }
        } else {
            model.schedule(STEP, () -> awaitStop(address, killAtMicros, onStopped));
        }
    }

    private void finish(final String address, final Runnable onStopped) {
        onStopped.run();
        if (model.isPresent(address)) {
            model.remove(address);
        } else {
            cluster.kill(address);
        }
    }

    /** Stops a machine gracefully, and then restarts it with its disk or replaces it. */
    private void terminate(final String address) {
        final MembershipLoss loss = model.addLoss(address);
        loss.markRunning();
        final boolean isReplaced = model.random().nextBoolean();
        leave(address, () -> {
            loss.markDown();
            if (isReplaced) {
                model.remove(address);
                loss.setReplacement(model.nextReplacement());
            }
            model.schedule(model.randomBetween(STEP, SECOND), () -> model.start(loss));
        });
    }

    private void freeze(final String address) {
        model.recordEvent("freeze " + address);
        final MembershipLoss loss = model.addLoss(address);
        cluster.freeze(address);
        model.schedule(model.randomBetween(STEP, 9 * SECOND), () -> {
            model.recordEvent("thaw " + address);
            cluster.thaw(address);
            markReturned(loss);
        });
    }

    private void isolate(final String address) {
        model.recordEvent("isolate " + address);
        final MembershipLoss loss = model.addLoss(address);
        final Set<String> others = new TreeSet<>(model.members());
        others.remove(address);
        others.forEach(other -> cluster.setCut(address, other, true));
        model.schedule(model.randomBetween(STEP, 9 * SECOND), () -> {
            model.recordEvent("reconnect " + address);
            others.forEach(other -> cluster.setCut(address, other, false));
            markReturned(loss);
        });
    }

    /** Kills a machine again that has returned but still counts as lost; in half of the cases it is replaced. */
    private void killAgain() {
        model.losses().stream()
                .filter(loss -> !loss.isDown() && loss.hasReturned())
                .filter(loss -> !model.leaving().contains(loss.address()))
                .findFirst()
                .ifPresent(loss -> {
                    model.recordEvent("kill again " + loss.address());
                    loss.markLostAgain();
                    cluster.kill(loss.address());
                    if (model.random().nextBoolean()) {
                        model.remove(loss.address());
                        loss.setReplacement(model.nextReplacement());
                    }
                    model.schedule(model.randomBetween(STEP, 3 * SECOND), () -> model.start(loss));
                });
    }

    /** Kills all processes at the same moment; each restarts within a second, with its disk. */
    private void killAll() {
        model.recordEvent("kill all");
        model.members().forEach(address -> {
            final MembershipLoss loss = model.addLoss(address);
            cluster.kill(address);
            model.schedule(model.randomBetween(STEP, SECOND), () -> model.start(loss));
        });
    }
}
