package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.safeguard.Safeguards;

/**
 * One random schedule of losses and replacements, with a write in each step of a tenth of a second. After every step it checks
 * that:
 *
 * <ul>
 *   <li>there is only one view per number;
 *   <li>the newest acknowledged write is synced on more present machines than may still be lost;
 *   <li>a majority of the voters remains if as many more machines are lost as the tolerance allows;
 *   <li>writes are still acknowledged;
 *   <li>a machine that no longer counts as lost has caught up in the chain.
 * </ul>
 */
final class MembershipSchedule {
    /** The maximum time in which the replicas must detect a change of the cluster, in microseconds. */
    static final long DETECTION = 2 * MembershipModel.SECOND;

    private static final long STEP = MembershipModel.STEP;
    private static final long MAX_OUTAGE = 5 * MembershipModel.SECOND;
    private static final long PUT_TIMEOUT = 2 * MembershipModel.SECOND;
    private static final int STEPS = 600;
    private static final int RECOVERY_STEPS = 250;

    private final MembershipModel model;
    private final MembershipFaults faults;
    private final ReplicaCluster cluster;
    private final List<Put> puts = new ArrayList<>();
    private final Map<Long, View> views = new HashMap<>();
    private long lastNumber;
    private long acknowledgedNumber;
    private long acknowledgedAtMicros;
    private long longestOutageMicros;
    private long voterLimitReachedAtMicros;

    MembershipSchedule(final long seed, final int tolerance, final int size, final Safeguards safeguards) {
        model = new MembershipModel(seed, tolerance, size, safeguards);
        cluster = model.cluster();
        faults = new MembershipFaults(model);
    }

    private record Put(PendingCall call, long number) {}

    /** Returns how many losses and replacements were injected. */
    int eventCount() {
        return faults.eventCount();
    }

    /** Returns how many machines were killed because their graceful leave took longer than the grace period. */
    int gracePeriodKills() {
        return faults.gracePeriodKills();
    }

    /** Returns the longest time between two acknowledgements, in microseconds. */
    long longestOutageMicros() {
        return longestOutageMicros;
    }

    /** Runs the schedule and the recovery after it; throws AssertionError if a check fails. */
    void run() {
        cluster.advance(20 * MembershipModel.SECOND);
        acknowledgedAtMicros = model.now();
        for (int i = 0; i < STEPS; i++) {
            endLosses();
            faults.step();
            writeAndCheck();
        }
        recover();
    }

    /** Waits without further events until all machines have returned, and checks that they have the newest acknowledged write. */
    private void recover() {
        for (int i = 0; i < RECOVERY_STEPS; i++) {
            endLosses();
            writeAndCheck();
        }
        final boolean mayLag = model.members().size() > model.maxVoters();
        model.members()
                .forEach(address -> assertThat(
                        address + model.describe(),
                        cluster.committedNumber(address),
                        greaterThanOrEqualTo(mayLag ? 0 : acknowledgedNumber - 20)));
    }

    private void endLosses() {
        model.runDueTasks();
        model.losses().stream().filter(loss -> loss.isOver(model.now())).forEach(this::checkRejoined);
        model.losses().removeIf(loss -> loss.isOver(model.now()));
    }

    private void writeAndCheck() {
        put();
        cluster.advance(STEP);
        recordAcknowledged();
        check();
    }

    private void put() {
        final List<String> present = model.members().stream()
                .filter(address -> cluster.running().contains(address) && !model.isLost(address))
                .toList();
        if (!present.isEmpty()) {
            lastNumber++;
            final String address = present.get(model.random().nextInt(present.size()));
            puts.add(new Put(cluster.putConfiguration(address, lastNumber, -1, PUT_TIMEOUT), lastNumber));
        }
    }

    private void recordAcknowledged() {
        puts.removeIf(put -> {
            if (put.call().isAcknowledged()) {
                acknowledgedNumber = Math.max(acknowledgedNumber, put.number());
                longestOutageMicros = Math.max(longestOutageMicros, model.now() - acknowledgedAtMicros);
                acknowledgedAtMicros = model.now();
            }
            return put.call().answer().isPresent();
        });
    }

    private View newestView() {
        return cluster.running().stream()
                .map(address -> cluster.replica(address).view())
                .max(Comparator.comparingLong(View::number))
                .orElse(View.NONE);
    }

    /** Fails with the events so far if the rule doesn't hold; the description is built only for a failure. */
    private void require(final String rule, final boolean holds) {
        if (!holds) {
            throw new AssertionError(rule + model.describe());
        }
    }

    private void check() {
        checkOneViewPerNumber();
        if (newestView().voters().size() >= model.maxVoters()) {
            voterLimitReachedAtMicros = model.now();
        }
        if (model.lossCount() > model.tolerance()) {
            acknowledgedAtMicros = model.now();
            return;
        }
        checkReplicasOfNewest();
        checkMajoritySurvivesFurtherLosses();
        require("writes are acknowledged", model.now() - acknowledgedAtMicros <= MAX_OUTAGE);
    }

    private void checkOneViewPerNumber() {
        cluster.running().forEach(address -> {
            final View view = cluster.replica(address).view();
            final View first =
                    Optional.ofNullable(views.putIfAbsent(view.number(), view)).orElse(view);
            require("one view per number", view.equals(first));
        });
    }

    /** Checks that the newest acknowledged write is synced on more present machines than may still be lost. */
    private void checkReplicasOfNewest() {
        final long replicas = model.members().stream()
                .filter(address -> model.isPresent(address) && cluster.isSynced(address, acknowledgedNumber))
                .count();
        require("replicas of " + acknowledgedNumber, replicas > model.tolerance() - model.lossCount());
    }

    /** Checks that a majority of the newest view's voters remains if as many more machines are lost as the tolerance allows. */
    private void checkMajoritySurvivesFurtherLosses() {
        final View view = newestView();
        final long voters = view.voters().stream()
                .filter(voter ->
                        model.isPresent(voter.address()) && cluster.running().contains(voter.address()))
                .count();
        require("a majority survives further losses", view.isMajority((int)
                (voters - (model.tolerance() - model.lossCount()))));
    }

    /** Checks that a machine whose loss is over has caught up in the chain, unless the maximum number of voters was reached. */
    private void checkRejoined(final MembershipLoss loss) {
        if (loss.hasReturned()
                && model.now() - voterLimitReachedAtMicros > DETECTION
                && cluster.running().contains(loss.address())
                && model.lossCount() <= model.tolerance()) {
            final ReplicaStatus status = cluster.replica(loss.address()).status(model.now());
            final String id = status.view().chain().isEmpty() ? "" : idOf(loss.address());
            require(
                    loss.address() + " has caught up in the chain",
                    status.isCaughtUp() && newestView().positionOf(id) >= 0);
        }
    }

    private String idOf(final String address) {
        return newestView().chain().stream()
                .filter(replica -> replica.address().equals(address))
                .map(Replica::id)
                .findFirst()
                .orElse("");
    }
}
