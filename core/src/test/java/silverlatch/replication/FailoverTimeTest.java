package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.LongStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import silverlatch.state.CommandResult;

/** How soon a change is acknowledged when the core is in trouble, with 35 ms one way between all machines. */
final class FailoverTimeTest {
    private static final List<String> SEATS = List.of("a", "b", "c");
    private static final List<String> SIX = List.of("a", "b", "c", "d", "e", "f");
    private static final long HOP = 35_000;
    private static final long SOON = 1_500_000;
    private static final int MOMENTS = 24;

    private static ReplicaCluster found(final List<String> all) {
        final ReplicaCluster bay = new ReplicaCluster(SEATS, HOP, s -> s.counts(2, all.size()));
        all.forEach(s -> bay.start(s, true));
        final long took = bay.until(
                20_000_000,
                () -> all.stream()
                        .allMatch(s -> bay.quay(s).state(bay.now()).level()
                                && bay.quay(s).view().chain().size() == all.size()));
        assertThat("all stand in the chain", took >= 0, is(true));
        bay.pass(1_000_000);
        return bay;
    }

    /** The longest time from the trouble to a reply, over many moments, by each controller that is left. */
    private static long longest(final List<String> all, final List<String> dead, final boolean cut) {
        long most = 0;
        for (int i = 0; i < MOMENTS; i++) {
            final ReplicaCluster bay = found(all);
            bay.pass(i * 7_300L);
            for (final String d : dead) {
                if (cut) {
                    all.stream().filter(s -> !s.equals(d)).forEach(s -> bay.cut(s, d, true));
                } else {
                    bay.kill(d);
                }
            }
            final List<ReplicaCluster.Asked> asks = new ArrayList<>();
            all.stream()
                    .filter(s -> !dead.contains(s))
                    .forEach(s -> asks.add(bay.lay(s, asks.size() + 1, -1, 6_000_000)));
            bay.pass(6_500_000);
            assertThat("one at least is kept", asks.stream().anyMatch(ReplicaCluster.Asked::kept), is(true));
            asks.forEach(
                    a -> assertThat("" + a.reply(), a.kept() || a.reply() instanceof CommandResult.Rejected, is(true)));
            most = Math.max(
                    most,
                    asks.stream().mapToLong(ReplicaCluster.Asked::span).max().orElseThrow());
        }
        return most;
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void aChangeIsAcknowledgedSoonAfterAnyOfThreeDies(final String dead) {
        assertThat(longest(SEATS, List.of(dead), false), lessThan(SOON));
    }

    @ParameterizedTest
    @ValueSource(strings = {"a", "b", "c"})
    void aChangeIsAcknowledgedSoonAfterAnyOfThreeIsCutOff(final String lost) {
        assertThat(longest(SEATS, List.of(lost), true), lessThan(SOON));
    }

    @ParameterizedTest
    @ValueSource(strings = {"a,b", "a,f", "c,d", "e,f"})
    void aChangeIsAcknowledgedSoonAfterTwoOfSixDie(final String dead) {
        assertThat(longest(SIX, List.of(dead.split(",")), false), lessThan(SOON));
    }

    @Test
    void changesGoOnWhileTheVotersGrowFromThreeToSix() {
        final ReplicaCluster bay = new ReplicaCluster(SEATS, HOP, s -> s.counts(2, 6));
        SIX.forEach(s -> bay.start(s, true));
        bay.until(5_000_000, () -> bay.quay("a").view().number() == 1);
        final List<ReplicaCluster.Asked> asks = LongStream.rangeClosed(1, 60)
                .mapToObj(i -> {
                    final ReplicaCluster.Asked a = bay.lay("b", i, -1, 3_000_000);
                    bay.pass(50_000);
                    return a;
                })
                .toList();
        bay.pass(3_000_000);
        assertThat(bay.quay("a").view().voters().size(), is(6));
        assertThat(asks.stream().mapToLong(ReplicaCluster.Asked::span).max().orElseThrow(), lessThan(600_000L));
    }

    @Test
    void inQuietTimesAChangeTakesTheWayThroughTheChainAndBack() {
        final ReplicaCluster bay = found(SEATS);
        final ReplicaCluster.Asked a = bay.lay("b", 1, 0, 900_000);
        bay.pass(900_000);
        assertThat(a.kept(), is(true));
        assertThat(a.span(), lessThan(6 * HOP));
    }
}
