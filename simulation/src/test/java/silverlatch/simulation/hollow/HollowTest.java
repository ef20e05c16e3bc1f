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
        assertThat(Main.Ask.of("401", "10").fault().orElseThrow(), containsString("daemons: 401"));
        assertThat(Main.Ask.of("10", "1201").fault().orElseThrow(), containsString("workers: 1201"));
        assertThat(Main.Ask.of("6", "10").fault().orElseThrow(), containsString("daemons: 6"));
        assertThat(Main.Ask.of("ten", "10").fault().orElseThrow(), containsString("usage"));
        assertThat(Main.Ask.of("400", "1200", "--seed", "7"), is(new Main.Ask(400, 1_200, 7, Optional.empty())));
    }

    @Test
    void aFleetSettlesAndItsChangesReachAllWithinASecond() {
        final Hollow fleet = new Hollow(30, 40, 3);
        fleet.pass(8 * Hollow.SECOND);
        assertThat(
                fleet.rule(
                        new Command.PutTable("table", List.of(TableRules.defaultRow("*", "chat")), -1),
                        5 * Hollow.SECOND),
                greaterThanOrEqualTo(0L));
        fleet.pass(12 * Hollow.SECOND);
        assertThat(fleet.settled(), is(true));
        for (int i = 0; i < 5; i++) {
            assertThat(fleet.change(Hollow.SECOND), greaterThanOrEqualTo(0L));
            assertThat(
                    fleet.rule(
                            new Command.PatchTable(
                                    "rule-" + i, List.of(new Command.Cell("*", "chat", "rate", "" + (500 + i))), -1),
                            Hollow.SECOND),
                    greaterThanOrEqualTo(0L));
        }
        assertThat(fleet.unsure(), is(0L));
    }
}
