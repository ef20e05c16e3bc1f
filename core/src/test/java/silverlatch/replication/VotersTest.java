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
    private static final List<String> SEATS = List.of("a", "b", "c");
    private static final List<String> SIX = List.of("a", "b", "c", "d", "e", "f");
    private static final long HOP = 35_000;
    private static final long SECOND = 1_000_000;

    private static ReplicaCluster six(final int copies) {
        final ReplicaCluster bay = new ReplicaCluster(SEATS, HOP, s -> s.counts(copies, 6));
        SIX.forEach(s -> bay.start(s, true));
        assertThat("all six vote", bay.until(30 * SECOND, () -> voters(bay).equals(Set.copyOf(SIX))) >= 0, is(true));
        bay.pass(2 * SECOND);
        return bay;
    }

    private static View view(final ReplicaCluster bay) {
        return bay.up().stream()
                .map(s -> bay.quay(s).view())
                .max(java.util.Comparator.comparingLong(View::number))
                .orElseThrow();
    }

    private static Set<String> voters(final ReplicaCluster bay) {
        return view(bay).voters().stream().map(Replica::address).collect(Collectors.toSet());
    }

    private static Set<String> chain(final ReplicaCluster bay) {
        return view(bay).chain().stream().map(Replica::address).collect(Collectors.toSet());
    }

    private static void keep(final ReplicaCluster bay, final String at, final long number, final long match) {
        final ReplicaCluster.Asked a = bay.lay(at, number, match, 6 * SECOND);
        bay.until(7 * SECOND, () -> a.span() > 0);
        assertThat(number + " by " + at + ": " + a.reply(), a.kept(), is(true));
    }

    private static void newest(final ReplicaCluster bay, final long number) {
        bay.up().forEach(s -> {
            final ReplicaCluster.Asked a = bay.read(s, 3 * SECOND);
            bay.until(4 * SECOND, () -> a.span() > 0);
            final ChainClient.Page p = (ChainClient.Page) a.reply();
            assertThat(s + " tells it" + bay, p.ok(), is(true));
            assertThat(
                    s,
                    p.entries().stream()
                            .filter(e -> !e.isDeleted())
                            .map(VotersTest::paper)
                            .toList(),
                    is(List.of("paper " + number)));
        });
    }

    private static String paper(final Entry e) {
        return ((Value.ConfigurationDocument) e.value().get(0)).text();
    }

    @Test
    void sixMachinesWithThreeSeatsComeToVoteAndBearTwoDeathsAtOnce() {
        final ReplicaCluster bay = six(2);
        keep(bay, "f", 1, 0);
        assertThat("an ack is on every disk of the chain", bay.synced(1), is(6L));
        bay.kill("a");
        bay.kill("f");
        final long at = bay.now();
        keep(bay, "d", 2, 1);
        assertThat("after the head and the tail died", bay.now() - at, lessThan(2_500_000L));
        newest(bay, 2);
    }

    @Test
    void everyTwoOfSixMayDieAtOnce() {
        for (int i = 0; i < 6; i++) {
            for (int j = i + 1; j < 6; j++) {
                final ReplicaCluster bay = six(3);
                bay.pass(i * 17_300L + j * 5_700L);
                bay.kill(SIX.get(i));
                bay.kill(SIX.get(j));
                final long at = bay.now();
                keep(bay, bay.up().stream().sorted().findFirst().orElseThrow(), 1, 0);
                assertThat(SIX.get(i) + SIX.get(j), bay.now() - at, lessThan(2_500_000L));
                assertThat(bay.synced(1), greaterThanOrEqualTo(4L));
            }
        }
    }

    @Test
    void aSilentVoterOfAnEvenNumberLosesItsVoteAndHasItAgainWhenItIsBack() {
        final ReplicaCluster bay = six(2);
        bay.kill("e");
        bay.pass(20 * SECOND);
        assertThat(voters(bay), is(Set.of("a", "b", "c", "d", "f")));
        bay.kill("f");
        bay.kill("d");
        keep(bay, "a", 1, 0);
        bay.start("e", false);
        bay.start("f", false);
        bay.start("d", false);
        bay.pass(20 * SECOND);
        assertThat(voters(bay), is(Set.copyOf(SIX)));
        assertThat(chain(bay), is(Set.copyOf(SIX)));
        newest(bay, 1);
    }

    @Test
    void aWipedMachineAtItsOldAddressTakesItsOldPlaceUnderANewIdentity() {
        final ReplicaCluster bay = new ReplicaCluster(SEATS, HOP, s -> s);
        SEATS.forEach(s -> bay.start(s, true));
        bay.pass(3 * SECOND);
        keep(bay, "a", 1, 0);
        final String old = view(bay).voters().get(1).id();
        bay.kill("b");
        bay.wipe("b");
        bay.start("b", false);
        assertThat(bay.until(5 * SECOND, () -> bay.quay("b").state(bay.now()).level()) >= 0, is(true));
        assertThat(view(bay).votes(old), is(false));
        assertThat(voters(bay), is(Set.copyOf(SEATS)));
        assertThat(bay.held("b"), is(1L));
        bay.kill("a");
        keep(bay, "b", 2, 1);
    }

    @Test
    void anEmptyMachineAtANewAddressTakesALostOnesPlace() {
        final ReplicaCluster bay = six(2);
        keep(bay, "a", 1, 0);
        bay.kill("c");
        bay.start("g", false);
        bay.pass(10 * SECOND);
        assertThat(voters(bay), is(Set.of("a", "b", "d", "e", "f", "g")));
        assertThat(bay.held("g"), is(1L));
        bay.start("c", false);
        bay.pass(10 * SECOND);
        assertThat("the one that was replaced waits", voters(bay).contains("c"), is(false));
        bay.kill("d");
        bay.pass(12 * SECOND);
        assertThat("and takes the next lost one's place", voters(bay), is(Set.of("a", "b", "c", "e", "f", "g")));
        keep(bay, "c", 2, 1);
        newest(bay, 2);
    }

    @Test
    void anEmptyMachineThatMayNotFoundWaitsForItsFleet() {
        final ReplicaCluster bay = new ReplicaCluster(SEATS, HOP, s -> s);
        bay.start("a", true);
        bay.start("b", true);
        bay.start("c", false);
        bay.pass(10 * SECOND);
        assertThat(view(bay).number(), is(0L));
        bay.kill("c");
        bay.wipe("c");
        bay.start("c", true);
        bay.pass(5 * SECOND);
        assertThat(chain(bay), is(Set.copyOf(SEATS)));
        SEATS.forEach(bay::kill);
        SEATS.forEach(bay::wipe);
        SEATS.forEach(s -> bay.start(s, false));
        bay.pass(10 * SECOND);
        assertThat("empty disks found no second fleet", view(bay).number(), is(0L));
    }

    @ParameterizedTest
    @CsvSource({"1,1", "2,1", "2,2", "3,3"})
    void oneTwoOrThreeSeatsFoundAFleet(final int seats, final int copies) {
        final ReplicaCluster bay = new ReplicaCluster(SEATS.subList(0, seats), HOP, s -> s.counts(copies, 3));
        SEATS.subList(0, seats).forEach(s -> bay.start(s, true));
        bay.pass(5 * SECOND);
        keep(bay, "a", 1, 0);
        for (final String s : SEATS.subList(seats, 3)) {
            bay.start(s, false);
        }
        bay.pass(10 * SECOND);
        assertThat(chain(bay), is(Set.copyOf(SEATS)));
        newest(bay, 1);
    }

    @Test
    void machinesThatAllRestartAtOnceHaveTheNewestCharter() {
        final ReplicaCluster bay = six(2);
        for (long i = 1; i <= 5; i++) {
            keep(bay, SIX.get((int) i), i, i - 1);
        }
        SIX.forEach(bay::kill);
        bay.pass(SECOND);
        SIX.forEach(s -> bay.start(s, false));
        bay.pass(3 * SECOND);
        newest(bay, 5);
        keep(bay, "b", 6, 5);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3})
    void anAckedCharterOutlivesDisksFewerThanItsCopiesAndAPowerCutOfTheRest(final int copies) {
        for (int turn = 0; turn < 12; turn++) {
            final ReplicaCluster bay = six(copies);
            for (int i = 0; i < turn % 3; i++) {
                bay.kill(SIX.get((turn + 2 * i) % 6));
            }
            final String at = bay.up().stream().sorted().toList().get(turn % 2);
            keep(bay, at, 1, 0);
            final List<String> lost = chain(bay).stream()
                    .sorted()
                    .skip(turn % 2)
                    .limit(copies - 1)
                    .toList();
            List.copyOf(bay.up()).forEach(bay::kill);
            lost.forEach(bay::wipe);
            bay.pass(turn * 50_000L);
            SIX.forEach(s -> bay.start(s, false));
            bay.pass(25 * SECOND);
            newest(bay, 1);
            assertThat(chain(bay), is(Set.copyOf(SIX)));
        }
    }

    @Test
    void nothingIsAckedWhileTheChainIsShorterThanTheCopies() {
        final ReplicaCluster bay = new ReplicaCluster(SEATS, HOP, s -> s.counts(3, 3));
        SEATS.forEach(s -> bay.start(s, true));
        bay.pass(3 * SECOND);
        keep(bay, "a", 1, 0);
        final ReplicaCluster.Asked cut = bay.lay("a", 2, 1, 2 * SECOND);
        bay.pass(60_000);
        bay.kill("c");
        bay.pass(5 * SECOND);
        assertThat(cut.reply(), instanceOf(CommandResult.Unknown.class));
        assertThat(
                "nor told by a read",
                ((ChainClient.Page) read(bay, "a"))
                        .entries().stream().map(VotersTest::paper).toList(),
                not(is(List.of("paper 2"))));
        bay.start("c", false);
        bay.pass(8 * SECOND);
        keep(bay, "b", 3, 2);
        newest(bay, 3);
    }

    private static Object read(final ReplicaCluster bay, final String at) {
        final ReplicaCluster.Asked a = bay.read(at, SECOND);
        bay.until(2 * SECOND, () -> a.span() > 0);
        return a.reply();
    }

    @Test
    void membersThatHoldNotAllYetAreNotLeftAlone() {
        for (int i = 0; i < 40; i++) {
            final ReplicaCluster bay = six(2);
            final List<String> rest = List.of("c", "d", "e", "f");
            for (final String s : rest) {
                bay.quay(s).leave();
                bay.until(5 * SECOND, () -> !chain(bay).contains(s));
            }
            assertThat(chain(bay), is(Set.of("a", "b")));
            keep(bay, "a", 1, 0);
            rest.forEach(bay::kill);
            rest.forEach(s -> bay.start(s, false));
            bay.pass(i * 20_000L);
            bay.kill("a");
            bay.kill("b");
            bay.pass(4 * SECOND);
            bay.start("a", false);
            bay.start("b", false);
            bay.pass(15 * SECOND);
            newest(bay, 1);
            keep(bay, "d", 2, 1);
        }
    }

    @Test
    void aTailThatOnlyOneVoterHearsStopsReadingBeforeTheOthersGoOnWithoutIt() {
        for (int i = 0; i < 20; i++) {
            final ReplicaCluster bay = new ReplicaCluster(SEATS, HOP, s -> s);
            SEATS.forEach(s -> bay.start(s, true));
            bay.pass(3 * SECOND + i * 6_100L);
            bay.cut("a", "c", true);
            final long old = view(bay).number();
            final long took = bay.until(5 * SECOND, () -> {
                final boolean moved = view(bay).number() > old;
                final ChainReplica.State tail = bay.quay("c").state(bay.now());
                assertThat("both answer", moved && tail.view().number() == old && tail.leased(), is(false));
                return moved && tail.view().number() > old;
            });
            assertThat("the chain went on", took >= 0, is(true));
        }
    }
}
