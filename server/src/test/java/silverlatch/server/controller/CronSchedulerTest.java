package silverlatch.server.controller;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

import java.time.Instant;
import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.state.Command;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.state.Value;

final class CronSchedulerTest {
    private static long at(final String time) {
        return Instant.parse(time).getEpochSecond() * 1_000_000_000L;
    }

    private static Value.Schedule night(final String cron) {
        return new Value.Schedule("night", cron, List.of(), "syros", true);
    }

    @Test
    void aCommandIsDueOnceAtItsMinuteWhoeverHoldsTheRole() {
        final StateMachine state = new StateMachine();
        state.apply(1, List.of(new Entry("k/night", 1, List.of(night("30 2 * * *")))));
        final CronScheduler one = new CronScheduler();
        final CronScheduler two = new CronScheduler();
        assertThat(one.dueCommands(state, at("2026-12-02T02:29:59Z"), 4), is(List.of()));
        final List<Command> first = one.dueCommands(state, at("2026-12-02T02:30:00Z"), 4);
        assertThat(first.size(), is(1));
        assertThat(one.dueCommands(state, at("2026-12-02T02:30:01Z"), 4), is(List.of()));
        assertThat(
                two.dueCommands(state, at("2026-12-02T02:30:20Z"), 5).get(0).id(),
                is(first.get(0).id()));
        assertThat(two.dueCommands(state, at("2026-12-02T02:45:00Z"), 5), is(List.of()));
        one.forget(first.get(0).id());
        assertThat(one.dueCommands(state, at("2026-12-02T02:30:30Z"), 4).size(), is(1));
    }

    @Test
    void anImpossibleScheduleIsRejectedWithThePathOfEachFault() {
        final CronScheduler all = new CronScheduler();
        assertThat(all.faults(night("30 2 * * *")), is(List.of()));
        assertThat(all.faults(night("0 0 31 2 *")).get(0), containsString("never comes"));
        assertThat(all.faults(night("61 2 * * *")).get(0), containsString("$.cron"));
        final List<String> two = all.faults(new Value.Schedule(
                "x", "nonsense", List.of(new Command.Cell("*", "fare", "colour", "1")), "syros", true));
        assertThat(two.size(), is(3));
    }
}
