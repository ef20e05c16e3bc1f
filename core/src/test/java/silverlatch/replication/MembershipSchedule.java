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
 * One random schedule of losses and replacements, with a write in each step of a tenth of a second. After every step:
 * one view per number; the newest acknowledged change is on more disks of present machines than may still be lost; a
 * majority of the voters bears the next losses; writes go on; and who no longer counts as lost is a full member.
 */
final class MembershipSchedule {
    /** How long after a change of the cluster the replicas may need to notice it, in microseconds. */
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

    /** How many losses and replacements came. */
    int eventCount() {
        return faults.eventCount();
    }

    /** How many machines that were told to end did not end in time. */
    int gracePeriodKills() {
        return faults.gracePeriodKills();
    }

    /** The longest time between two acknowledgements, in microseconds. */
    long longestOutageMicros() {
        return longestOutageMicros;
    }

    /** Runs the schedule and the recovery after it; throws AssertionError where a rule is broken. */
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

    /** No further event: all come back, and all have the newest change. */
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
        model.losses().stream().filter(loss -> loss.isOver(model.now())).forEach(this::checkFullMember);
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

    /** Fails with the schedule so far; the description is made for a failure only. */
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
        require("writes go on", model.now() - acknowledgedAtMicros <= MAX_OUTAGE);
    }

    private void checkOneViewPerNumber() {
        cluster.running().forEach(address -> {
            final View view = cluster.replica(address).view();
            final View first =
                    Optional.ofNullable(views.putIfAbsent(view.number(), view)).orElse(view);
            require("one view per number", view.equals(first));
        });
    }

    /** The newest acknowledged change is on more disks of present machines than may still be lost. */
    private void checkReplicasOfNewest() {
        final long replicas = model.members().stream()
                .filter(address -> model.isPresent(address) && cluster.synced(address, acknowledgedNumber))
                .count();
        require("copies of " + acknowledgedNumber, replicas > model.tolerance() - model.lossCount());
    }

    /** With as many more lost as may be, a majority of the newest view's voters is left. */
    private void checkMajoritySurvivesFurtherLosses() {
        final View view = newestView();
        final long voters = view.voters().stream()
                .filter(voter ->
                        model.isPresent(voter.address()) && cluster.running().contains(voter.address()))
                .count();
        require("a majority bears the next losses", view.isMajority((int)
                (voters - (model.tolerance() - model.lossCount()))));
    }

    /** A machine that no longer counts as lost is a full member, unless there were as many voters as may be. */
    private void checkFullMember(final MembershipLoss loss) {
        if (loss.hasReturned()
                && model.now() - voterLimitReachedAtMicros > DETECTION
                && cluster.running().contains(loss.address())
                && model.lossCount() <= model.tolerance()) {
            final ReplicaStatus status = cluster.replica(loss.address()).status(model.now());
            final String id = status.view().chain().isEmpty() ? "" : idOf(loss.address());
            require(
                    loss.address() + " is a full member",
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
