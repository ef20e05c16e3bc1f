package silverlatch.simulation.hollow;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.state.Command;
import silverlatch.state.TableRules;

final class HollowTest {
    @Test
    void aPlanOutsideTheBoundsIsRejectedWithTheReason() {
        assertThat(Main.Arguments.of("401", "10").error().orElseThrow(), containsString("daemons: 401"));
        assertThat(Main.Arguments.of("10", "1201").error().orElseThrow(), containsString("workers: 1201"));
        assertThat(Main.Arguments.of("6", "10").error().orElseThrow(), containsString("daemons: 6"));
        assertThat(Main.Arguments.of("ten", "10").error().orElseThrow(), containsString("usage"));
        assertThat(
                Main.Arguments.of("400", "1200", "--seed", "7"),
                is(new Main.Arguments(400, 1_200, 7, Optional.empty())));
    }

    @Test
    void aFleetSettlesAndItsChangesReachAllWithinASecond() {
        final HollowCluster fleet = new HollowCluster(30, 40, 3);
        fleet.advance(8 * HollowCluster.SECOND);
        assertThat(
                fleet.propagateTableChange(
                        new Command.PutTable("table", List.of(TableRules.defaultRow("*", "chat")), -1),
                        5 * HollowCluster.SECOND),
                greaterThanOrEqualTo(0L));
        fleet.advance(12 * HollowCluster.SECOND);
        assertThat(fleet.isConverged(), is(true));
        for (int i = 0; i < 5; i++) {
            assertThat(fleet.propagateWorkerChange(HollowCluster.SECOND), greaterThanOrEqualTo(0L));
            assertThat(
                    fleet.propagateTableChange(
                            new Command.PatchTable(
                                    "rule-" + i, List.of(new Command.Cell("*", "chat", "rate", "" + (500 + i))), -1),
                            HollowCluster.SECOND),
                    greaterThanOrEqualTo(0L));
        }
        assertThat(fleet.staleNodes(), is(0L));
    }
}
