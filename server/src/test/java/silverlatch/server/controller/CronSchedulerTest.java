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

/**
 * Guards against a scheduled command that takes effect twice, because the owner of the singleton role or its successor submits it again
 * under another id, and against invalid schedules that are accepted.
 */
final class CronSchedulerTest {
    private static long wallNanosAt(final String time) {
        return Instant.parse(time).getEpochSecond() * 1_000_000_000L;
    }

    private static Value.Schedule nightlyEvacuation(final String cron) {
        return new Value.Schedule("night", cron, List.of(), "syros", true);
    }

    @Test
    void aCommandIsDueOncePerSchedulerWithTheSameIdForEachRoleOwner() {
        final StateMachine state = new StateMachine();
        state.apply(1, List.of(new Entry("k/night", 1, List.of(nightlyEvacuation("30 2 * * *")))));
        final CronScheduler scheduler = new CronScheduler();
        final CronScheduler nextOwnersScheduler = new CronScheduler();
        assertThat(scheduler.dueCommands(state, wallNanosAt("2026-12-02T02:29:59Z"), 4), is(List.of()));
        final List<Command> commands = scheduler.dueCommands(state, wallNanosAt("2026-12-02T02:30:00Z"), 4);
        assertThat(commands.size(), is(1));
        assertThat(scheduler.dueCommands(state, wallNanosAt("2026-12-02T02:30:01Z"), 4), is(List.of()));
        assertThat(
                nextOwnersScheduler
                        .dueCommands(state, wallNanosAt("2026-12-02T02:30:20Z"), 5)
                        .get(0)
                        .id(),
                is(commands.get(0).id()));
        assertThat(nextOwnersScheduler.dueCommands(state, wallNanosAt("2026-12-02T02:45:00Z"), 5), is(List.of()));
        scheduler.allowResubmission(commands.get(0).id());
        assertThat(
                scheduler
                        .dueCommands(state, wallNanosAt("2026-12-02T02:30:30Z"), 4)
                        .size(),
                is(1));
    }

    @Test
    void anInvalidScheduleIsRejectedWithThePathOfEachFault() {
        final CronScheduler scheduler = new CronScheduler();
        assertThat(scheduler.faults(nightlyEvacuation("30 2 * * *")), is(List.of()));
        assertThat(scheduler.faults(nightlyEvacuation("0 0 31 2 *")).get(0), containsString("never comes"));
        assertThat(scheduler.faults(nightlyEvacuation("61 2 * * *")).get(0), containsString("$.cron"));
        final List<String> faults = scheduler.faults(new Value.Schedule(
                "x", "nonsense", List.of(new Command.Cell("*", "fare", "colour", "1")), "syros", true));
        assertThat(faults.size(), is(3));
    }
}
