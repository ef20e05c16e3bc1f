package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import silverlatch.state.CommandResult;
import silverlatch.state.Entry;
import silverlatch.state.Value;

/** Fleets of which more, or fewer, than three machines vote. */
final class VotersTest {
    private static final List<String> SEEDS = List.of("a", "b", "c");
    private static final List<String> SIX = List.of("a", "b", "c", "d", "e", "f");
    private static final long LINK_DELAY_MICROS = 35_000;
    private static final long SECOND = 1_000_000;

    private static ReplicaCluster six(final int copies) {
        final ReplicaCluster cluster = new ReplicaCluster(SEEDS, LINK_DELAY_MICROS, s -> s.withCounts(copies, 6));
        SIX.forEach(s -> cluster.start(s, true));
        assertThat(
                "all six vote",
                cluster.advanceUntil(30 * SECOND, () -> voters(cluster).equals(Set.copyOf(SIX))) >= 0,
                is(true));
        cluster.advance(2 * SECOND);
        return cluster;
    }

    private static View view(final ReplicaCluster cluster) {
        return cluster.running().stream()
                .map(s -> cluster.replica(s).view())
                .max(java.util.Comparator.comparingLong(View::number))
                .orElseThrow();
    }

    private static Set<String> voters(final ReplicaCluster cluster) {
        return view(cluster).voters().stream().map(Replica::address).collect(Collectors.toSet());
    }

    private static Set<String> chain(final ReplicaCluster cluster) {
        return view(cluster).chain().stream().map(Replica::address).collect(Collectors.toSet());
    }

    private static void put(final ReplicaCluster cluster, final String at, final long number, final long match) {
        final PendingCall call = cluster.putConfiguration(at, number, match, 6 * SECOND);
        cluster.advanceUntil(7 * SECOND, () -> call.latency() > 0);
        assertThat(number + " by " + at + ": " + call.reply(), call.isAcknowledged(), is(true));
    }

    private static void assertNewest(final ReplicaCluster cluster, final long number) {
        cluster.running().forEach(s -> {
            final PendingCall call = cluster.read(s, 3 * SECOND);
            cluster.advanceUntil(4 * SECOND, () -> call.latency() > 0);
            final ChainClient.ReadResult result = (ChainClient.ReadResult) call.reply();
            assertThat(s + " tells it" + cluster, result.answered(), is(true));
            assertThat(
                    s,
                    result.entries().stream()
                            .filter(e -> !e.isDeleted())
                            .map(VotersTest::documentText)
                            .toList(),
                    is(List.of("paper " + number)));
        });
    }

    private static String documentText(final Entry entry) {
        return ((Value.ConfigurationDocument) entry.value().get(0)).text();
    }

    @Test
    void sixReplicasWithThreeSeedsAllBecomeVotersAndSurviveTwoCrashesAtOnce() {
        final ReplicaCluster cluster = six(2);
        put(cluster, "f", 1, 0);
        assertThat("an ack is on every disk of the chain", cluster.synced(1), is(6L));
        cluster.kill("a");
        cluster.kill("f");
        final long at = cluster.now();
        put(cluster, "d", 2, 1);
        assertThat("after the head and the tail died", cluster.now() - at, lessThan(2_500_000L));
        assertNewest(cluster, 2);
    }

    @Test
    void everyTwoOfSixMayDieAtOnce() {
        for (int i = 0; i < 6; i++) {
            for (int j = i + 1; j < 6; j++) {
                final ReplicaCluster cluster = six(3);
                cluster.advance(i * 17_300L + j * 5_700L);
                cluster.kill(SIX.get(i));
                cluster.kill(SIX.get(j));
                final long at = cluster.now();
                put(cluster, cluster.running().stream().sorted().findFirst().orElseThrow(), 1, 0);
                assertThat(SIX.get(i) + SIX.get(j), cluster.now() - at, lessThan(2_500_000L));
                assertThat(cluster.synced(1), greaterThanOrEqualTo(4L));
            }
        }
    }

    @Test
    void aSilentVoterOfAnEvenNumberLosesItsVoteAndHasItAgainWhenItIsBack() {
        final ReplicaCluster cluster = six(2);
        cluster.kill("e");
        cluster.advance(20 * SECOND);
        assertThat(voters(cluster), is(Set.of("a", "b", "c", "d", "f")));
        cluster.kill("f");
        cluster.kill("d");
        put(cluster, "a", 1, 0);
        cluster.start("e", false);
        cluster.start("f", false);
        cluster.start("d", false);
        cluster.advance(20 * SECOND);
        assertThat(voters(cluster), is(Set.copyOf(SIX)));
        assertThat(chain(cluster), is(Set.copyOf(SIX)));
        assertNewest(cluster, 1);
    }

    @Test
    void aReplicaThatLostItsDiskReplacesItsOldIdentityAtItsAddress() {
        final ReplicaCluster cluster = new ReplicaCluster(SEEDS, LINK_DELAY_MICROS, s -> s);
        SEEDS.forEach(s -> cluster.start(s, true));
        cluster.advance(3 * SECOND);
        put(cluster, "a", 1, 0);
        final String old = view(cluster).voters().get(1).id();
        cluster.kill("b");
        cluster.loseDisk("b");
        cluster.start("b", false);
        assertThat(
                cluster.advanceUntil(
                                5 * SECOND,
                                () -> cluster.replica("b").status(cluster.now()).isCaughtUp())
                        >= 0,
                is(true));
        assertThat(view(cluster).isVoter(old), is(false));
        assertThat(voters(cluster), is(Set.copyOf(SEEDS)));
        assertThat(cluster.committedNumber("b"), is(1L));
        cluster.kill("a");
        put(cluster, "b", 2, 1);
    }

    @Test
    void anEmptyReplicaAtANewAddressReplacesALostVoter() {
        final ReplicaCluster cluster = six(2);
        put(cluster, "a", 1, 0);
        cluster.kill("c");
        cluster.start("g", false);
        cluster.advance(10 * SECOND);
        assertThat(voters(cluster), is(Set.of("a", "b", "d", "e", "f", "g")));
        assertThat(cluster.committedNumber("g"), is(1L));
        cluster.start("c", false);
        cluster.advance(10 * SECOND);
        assertThat("the one that was replaced waits", voters(cluster).contains("c"), is(false));
        cluster.kill("d");
        cluster.advance(12 * SECOND);
        assertThat("and takes the next lost one's place", voters(cluster), is(Set.of("a", "b", "c", "e", "f", "g")));
        put(cluster, "c", 2, 1);
        assertNewest(cluster, 2);
    }

    @Test
    void anEmptyReplicaThatMayNotBootstrapWaitsForItsCluster() {
        final ReplicaCluster cluster = new ReplicaCluster(SEEDS, LINK_DELAY_MICROS, s -> s);
        cluster.start("a", true);
        cluster.start("b", true);
        cluster.start("c", false);
        cluster.advance(10 * SECOND);
        assertThat(view(cluster).number(), is(0L));
        cluster.kill("c");
        cluster.loseDisk("c");
        cluster.start("c", true);
        cluster.advance(5 * SECOND);
        assertThat(chain(cluster), is(Set.copyOf(SEEDS)));
        SEEDS.forEach(cluster::kill);
        SEEDS.forEach(cluster::loseDisk);
        SEEDS.forEach(s -> cluster.start(s, false));
        cluster.advance(10 * SECOND);
        assertThat("empty disks found no second fleet", view(cluster).number(), is(0L));
    }

    @ParameterizedTest
    @CsvSource({"1,1", "2,1", "2,2", "3,3"})
    void oneTwoOrThreeSeedsBootstrapACluster(final int seeds, final int copies) {
        final ReplicaCluster cluster = new ReplicaCluster(
                SEEDS.subList(0, seeds), LINK_DELAY_MICROS, address -> address.withCounts(copies, 3));
        SEEDS.subList(0, seeds).forEach(address -> cluster.start(address, true));
        cluster.advance(5 * SECOND);
        put(cluster, "a", 1, 0);
        for (final String address : SEEDS.subList(seeds, 3)) {
            cluster.start(address, false);
        }
        cluster.advance(10 * SECOND);
        assertThat(chain(cluster), is(Set.copyOf(SEEDS)));
        assertNewest(cluster, 1);
    }

    @Test
    void replicasThatAllRestartAtOnceHaveTheNewestConfiguration() {
        final ReplicaCluster cluster = six(2);
        for (long i = 1; i <= 5; i++) {
            put(cluster, SIX.get((int) i), i, i - 1);
        }
        SIX.forEach(cluster::kill);
        cluster.advance(SECOND);
        SIX.forEach(s -> cluster.start(s, false));
        cluster.advance(3 * SECOND);
        assertNewest(cluster, 5);
        put(cluster, "b", 6, 5);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3})
    void anAcknowledgedConfigurationSurvivesFewerLostDisksThanCopiesAndAPowerCutOfTheRest(final int copies) {
        for (int turn = 0; turn < 12; turn++) {
            final ReplicaCluster cluster = six(copies);
            for (int i = 0; i < turn % 3; i++) {
                cluster.kill(SIX.get((turn + 2 * i) % 6));
            }
            final String at = cluster.running().stream().sorted().toList().get(turn % 2);
            put(cluster, at, 1, 0);
            final List<String> lost = chain(cluster).stream()
                    .sorted()
                    .skip(turn % 2)
                    .limit(copies - 1)
                    .toList();
            List.copyOf(cluster.running()).forEach(cluster::kill);
            lost.forEach(cluster::loseDisk);
            cluster.advance(turn * 50_000L);
            SIX.forEach(s -> cluster.start(s, false));
            cluster.advance(25 * SECOND);
            assertNewest(cluster, 1);
            assertThat(chain(cluster), is(Set.copyOf(SIX)));
        }
    }

    @Test
    void nothingIsAcknowledgedWhileTheChainIsShorterThanTheRequiredCopies() {
        final ReplicaCluster cluster = new ReplicaCluster(SEEDS, LINK_DELAY_MICROS, s -> s.withCounts(3, 3));
        SEEDS.forEach(s -> cluster.start(s, true));
        cluster.advance(3 * SECOND);
        put(cluster, "a", 1, 0);
        final PendingCall cut = cluster.putConfiguration("a", 2, 1, 2 * SECOND);
        cluster.advance(60_000);
        cluster.kill("c");
        cluster.advance(5 * SECOND);
        assertThat(cut.reply(), instanceOf(CommandResult.Unknown.class));
        assertThat(
                "nor told by a read",
                ((ChainClient.ReadResult) read(cluster, "a"))
                        .entries().stream().map(VotersTest::documentText).toList(),
                not(is(List.of("paper 2"))));
        cluster.start("c", false);
        cluster.advance(8 * SECOND);
        put(cluster, "b", 3, 2);
        assertNewest(cluster, 3);
    }

    private static Object read(final ReplicaCluster cluster, final String at) {
        final PendingCall call = cluster.read(at, SECOND);
        cluster.advanceUntil(2 * SECOND, () -> call.latency() > 0);
        return call.reply();
    }

    @Test
    void membersThatAreNotCaughtUpAreNotLeftAlone() {
        for (int i = 0; i < 40; i++) {
            final ReplicaCluster cluster = six(2);
            final List<String> rest = List.of("c", "d", "e", "f");
            for (final String address : rest) {
                cluster.replica(address).leave();
                cluster.advanceUntil(5 * SECOND, () -> !chain(cluster).contains(address));
            }
            assertThat(chain(cluster), is(Set.of("a", "b")));
            put(cluster, "a", 1, 0);
            rest.forEach(cluster::kill);
            rest.forEach(address -> cluster.start(address, false));
            cluster.advance(i * 20_000L);
            cluster.kill("a");
            cluster.kill("b");
            cluster.advance(4 * SECOND);
            cluster.start("a", false);
            cluster.start("b", false);
            cluster.advance(15 * SECOND);
            assertNewest(cluster, 1);
            put(cluster, "d", 2, 1);
        }
    }

    @Test
    void aTailThatOnlyOneVoterHearsStopsReadingBeforeTheOthersGoOnWithoutIt() {
        for (int i = 0; i < 20; i++) {
            final ReplicaCluster cluster = new ReplicaCluster(SEEDS, LINK_DELAY_MICROS, s -> s);
            SEEDS.forEach(s -> cluster.start(s, true));
            cluster.advance(3 * SECOND + i * 6_100L);
            cluster.cut("a", "c", true);
            final long old = view(cluster).number();
            final long took = cluster.advanceUntil(5 * SECOND, () -> {
                final boolean moved = view(cluster).number() > old;
                final ReplicaStatus tail = cluster.replica("c").status(cluster.now());
                assertThat("both answer", moved && tail.view().number() == old && tail.isLeased(), is(false));
                return moved && tail.view().number() > old;
            });
            assertThat("the chain went on", took >= 0, is(true));
        }
    }
}
