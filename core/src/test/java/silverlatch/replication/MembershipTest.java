package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasItem;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/**
 * Guards against the loss of acknowledged writes or of the majority of voters when machines are lost and replaced one after the
 * other. Each loss follows as soon as the previous one no longer counts: {@code catchUpS} after the start of a replacement or
 * the return of a machine.
 */
final class MembershipTest {
    private static final List<String> SEEDS = List.of("a", "b", "c");
    private static final List<String> ADDRESSES = List.of("a", "b", "c", "d", "e", "f");
    private static final long LINK_DELAY_MICROS = 35_000;
    private static final long SECOND = 1_000_000;
    private static final long CATCH_UP_MICROS = 4 * SECOND;
    private static final long GRACE_MICROS = 8 * SECOND;
    private static final long PUT_TIMEOUT_MICROS = 5 * SECOND;

    private static ReplicaCluster startThree() {
        final ReplicaCluster cluster = new ReplicaCluster(SEEDS, LINK_DELAY_MICROS, s -> s.withCounts(2, 5));
        SEEDS.forEach(s -> cluster.start(s, true));
        cluster.advance(3 * SECOND);
        assertThat(voters(cluster), is(Set.copyOf(SEEDS)));
        return cluster;
    }

    private static ReplicaCluster startSix() {
        final ReplicaCluster cluster = new ReplicaCluster(SEEDS, LINK_DELAY_MICROS, s -> s.withCounts(3, 7));
        ADDRESSES.forEach(s -> cluster.start(s, true));
        assertThat(
                cluster.advanceUntil(30 * SECOND, () -> voters(cluster).equals(Set.copyOf(ADDRESSES))) >= 0, is(true));
        cluster.advance(2 * SECOND);
        return cluster;
    }

    private static View view(final ReplicaCluster cluster) {
        return cluster.running().stream()
                .map(s -> cluster.replica(s).view())
                .max(Comparator.comparingLong(View::number))
                .orElseThrow();
    }

    private static Set<String> voters(final ReplicaCluster cluster) {
        return view(cluster).voters().stream().map(Replica::address).collect(Collectors.toSet());
    }

    private static Set<String> chain(final ReplicaCluster cluster) {
        return view(cluster).chain().stream().map(Replica::address).collect(Collectors.toSet());
    }

    private static void put(final ReplicaCluster cluster, final long number) {
        final String at = cluster.running().stream().sorted().findFirst().orElseThrow();
        final PendingCall call = cluster.putConfiguration(at, number, number - 1, PUT_TIMEOUT_MICROS);
        cluster.advanceUntil(PUT_TIMEOUT_MICROS + SECOND, () -> call.latency() > 0);
        assertThat("put " + number + cluster, call.isAcknowledged(), is(true));
    }

    private static void lose(final ReplicaCluster cluster, final String address) {
        cluster.kill(address);
        cluster.loseDisk(address);
    }

    /** Stops a machine gracefully, or kills it at the end of the grace period, and deletes its disk. */
    private static void stopAndRemove(final ReplicaCluster cluster, final String address) {
        cluster.replica(address).leave();
        cluster.advanceUntil(GRACE_MICROS, () -> cluster.replica(address).hasLeft());
        lose(cluster, address);
    }

    @ParameterizedTest
    @ValueSource(longs = {300_000, 1_100_000, 2_500_000, 6_000_000})
    void theReplacementOfALostVoterMayBeLostAfterTheCatchUpTime(final long delay) {
        final ReplicaCluster cluster = startThree();
        put(cluster, 1);
        lose(cluster, "c");
        cluster.advance(delay);
        cluster.start("g", false);
        cluster.advance(CATCH_UP_MICROS);
        final Set<String> votersBefore = voters(cluster);
        lose(cluster, "g");
        put(cluster, 2);
        assertThat("the dead voter was replaced", votersBefore, is(Set.of("a", "b", "g")));
    }

    @Test
    void manyReplacementsInARowKeepTheNumberOfVoters() {
        final ReplicaCluster cluster = startThree();
        put(cluster, 1);
        String lost = "c";
        for (int i = 0; i < 8; i++) {
            lose(cluster, lost);
            cluster.advance(SECOND / 2 * (i % 4));
            cluster.seeds(cluster.running().stream().sorted().toList());
            cluster.start("successor-" + i, false);
            cluster.advance(CATCH_UP_MICROS);
            assertThat("" + cluster, voters(cluster).size(), is(3));
            assertThat("" + cluster, chain(cluster), is(voters(cluster)));
            put(cluster, i + 2);
            lost = cluster.running().stream().sorted().toList().get(i % 3);
        }
    }

    @ParameterizedTest
    @ValueSource(booleans = {true, false})
    void aLossRightAfterAPlannedReplacementLeavesAMajority(final boolean isGraceful) {
        for (final String next : List.of("a", "b", "g")) {
            final ReplicaCluster cluster = startThree();
            put(cluster, 1);
            cluster.start("g", false);
            cluster.advance(CATCH_UP_MICROS);
            assertThat(chain(cluster), hasItem("g"));
            if (isGraceful) {
                stopAndRemove(cluster, "c");
            } else {
                lose(cluster, "c");
                cluster.advance(2 * SECOND);
            }
            lose(cluster, next);
            put(cluster, 2);
            assertThat(chain(cluster), not(hasItem("c")));
        }
    }

    /**
     * Returns on how many disks an acknowledged write remains after one of the last two members has left gracefully. If this
     * member hasn't left within a second, a replacement is started, and the member is removed at the end of its grace period at the
     * latest.
     */
    private static long copiesAfterALeavingReplicaStopped(final Safeguards safeguards) {
        final ReplicaCluster cluster = new ReplicaCluster(
                SEEDS, LINK_DELAY_MICROS, s -> s.withCounts(2, 5).withSafeguards(safeguards));
        SEEDS.forEach(s -> cluster.start(s, true));
        cluster.advance(3 * SECOND);
        lose(cluster, "c");
        cluster.advance(2 * SECOND);
        put(cluster, 1);
        cluster.replica("b").leave();
        final long leftAfter =
                cluster.advanceUntil(SECOND, () -> cluster.replica("b").hasLeft());
        if (leftAfter < 0) {
            cluster.start("g", false);
            cluster.advanceUntil(GRACE_MICROS, () -> cluster.replica("b").hasLeft());
        }
        lose(cluster, "b");
        return cluster.countSyncedDisks(1);
    }

    @Test
    void aLeavingReplicaStopsOnlyOnceEnoughOthersHoldItsEntries() {
        assertThat(copiesAfterALeavingReplicaStopped(Safeguards.ALL), is(2L));
        assertThat(
                "with the safeguard disabled",
                copiesAfterALeavingReplicaStopped(new Safeguards(Set.of(Safeguard.HANDOVER))),
                is(1L));
    }

    @Test
    void aReplicaKilledAtTheEndOfItsGracePeriodHeldNoOnlyCopy() {
        for (long delay = 0; delay < SECOND; delay += 90_000) {
            final ReplicaCluster cluster = startThree();
            lose(cluster, "c");
            cluster.advance(2 * SECOND);
            cluster.replica("b").leave();
            cluster.advance(GRACE_MICROS - SECOND + delay);
            put(cluster, 1);
            assertThat(cluster.replica("b").hasLeft(), is(false));
            lose(cluster, "b");
            assertThat(cluster.isSynced("a", 1), is(true));
        }
    }

    @Test
    void aReplacedVoterThatReturnsJoinsAsANewMember() {
        for (long away = SECOND; away < 9 * SECOND; away += 700_000) {
            final ReplicaCluster cluster = startThree();
            put(cluster, 1);
            cluster.kill("c");
            cluster.advance(away / 2);
            cluster.start("g", false);
            cluster.advance(away / 2);
            cluster.start("c", false);
            cluster.advance(2 * CATCH_UP_MICROS);
            assertThat("" + cluster, voters(cluster), is(Set.of("a", "b", "c", "g")));
            assertThat("" + cluster, chain(cluster), is(voters(cluster)));
            lose(cluster, "a");
            put(cluster, 2);
            cluster.advance(CATCH_UP_MICROS);
            assertThat("" + cluster, voters(cluster), is(Set.of("b", "c", "g")));
            lose(cluster, "g");
            put(cluster, 3);
        }
    }

    @Test
    void anIsolatedVoterIsReplacedAndRejoins() {
        final ReplicaCluster cluster = startThree();
        cluster.setCut("c", "a", true);
        cluster.setCut("c", "b", true);
        cluster.setCut("c", "g", true);
        cluster.advance(SECOND);
        cluster.start("g", false);
        cluster.advance(CATCH_UP_MICROS);
        put(cluster, 1);
        cluster.heal();
        cluster.advance(CATCH_UP_MICROS);
        assertThat("" + cluster, chain(cluster), is(Set.of("a", "b", "c", "g")));
        lose(cluster, "b");
        put(cluster, 2);
    }

    @Test
    void twoOfSixLostAtOnceAreReplacedOneAfterTheOtherBeforeFurtherLosses() {
        final ReplicaCluster cluster = startSix();
        put(cluster, 1);
        lose(cluster, "e");
        lose(cluster, "f");
        cluster.advance(SECOND);
        cluster.start("g", false);
        cluster.advance(CATCH_UP_MICROS);
        lose(cluster, "a");
        put(cluster, 2);
        cluster.start("h", false);
        cluster.start("i", false);
        cluster.advance(2 * CATCH_UP_MICROS);
        assertThat("" + cluster, voters(cluster), is(Set.of("b", "c", "d", "g", "h", "i")));
        lose(cluster, "g");
        lose(cluster, "b");
        put(cluster, 3);
        assertThat(cluster.countSyncedDisks(3), greaterThanOrEqualTo(4L));
    }

    @Test
    void replacementsOfTwoLostVotersKeepTheNumberOfVoters() {
        final ReplicaCluster cluster = startSix();
        lose(cluster, "e");
        lose(cluster, "f");
        cluster.advance(SECOND + SECOND / 10);
        cluster.start("g", false);
        cluster.start("h", false);
        cluster.advance(CATCH_UP_MICROS);
        assertThat("" + cluster, voters(cluster), is(Set.of("a", "b", "c", "d", "g", "h")));
        lose(cluster, "g");
        lose(cluster, "h");
        put(cluster, 1);
    }

    @Test
    void aReplacementLostDuringItsRepairIsReplacedItself() {
        for (long span = 100_000; span < 3 * SECOND; span += 150_000) {
            final ReplicaCluster cluster = startThree();
            put(cluster, 1);
            lose(cluster, "c");
            cluster.advance(SECOND);
            cluster.start("g", false);
            cluster.advance(span);
            lose(cluster, "g");
            cluster.start("h", false);
            cluster.advance(CATCH_UP_MICROS);
            assertThat("after " + span + cluster, voters(cluster), is(Set.of("a", "b", "h")));
            lose(cluster, "a");
            put(cluster, 2);
        }
    }

    /** A region with two of six machines is lost, though the tolerance is one: five machines are voters, and one waits to become one. */
    @Test
    void aRegionOfTwoIsLostAndReturnsWithOrWithoutItsDisks() {
        for (int i = 0; i < 15; i++) {
            final ReplicaCluster cluster = new ReplicaCluster(SEEDS, LINK_DELAY_MICROS, s -> s.withCounts(2, 5));
            ADDRESSES.forEach(s -> cluster.start(s, true));
            cluster.advanceUntil(30 * SECOND, () -> voters(cluster).size() == 5);
            cluster.advance(2 * SECOND);
            put(cluster, 1);
            final List<String> region = List.of(ADDRESSES.get(i % 6), ADDRESSES.get((i + 1 + i / 6) % 6));
            region.forEach(cluster::kill);
            if (i % 2 == 0) {
                region.forEach(cluster::loseDisk);
            }
            put(cluster, 2);
            cluster.advance(i * 150_000L);
            region.forEach(s -> cluster.start(s, false));
            cluster.advance(CATCH_UP_MICROS);
            assertThat("" + cluster, voters(cluster).size(), is(5));
            assertThat("" + cluster, chain(cluster), is(voters(cluster)));
            final List<String> next = chain(cluster).stream().sorted().limit(2).toList();
            next.forEach(s -> lose(cluster, s));
            put(cluster, 3);
        }
    }
}
