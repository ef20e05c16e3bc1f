package silverlatch.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against lost updates of tenants, schedules and evacuations: a command that expects another sequence than the
 * one that last wrote its entry must be rejected, also if the entry was deleted in between.
 */
final class CompareAndSetTest {
    private static final String KEY_HASH = "0123456789abcdef".repeat(4);
    private final CommandExecutor commands = new CommandExecutor();

    private static Command.PutTenant tenant(final String id, final String name, final long expectedRevision) {
        return new Command.PutTenant(id, new Value.Tenant(name, List.of(), 1, KEY_HASH, ""), expectedRevision);
    }

    private static Command.PutSchedule schedule(final String id, final String name, final long expectedRevision) {
        return new Command.PutSchedule(
                id, new Value.Schedule(name, "0 0 * * *", List.of(), "", false), expectedRevision);
    }

    private void assertConflict(final Command command, final String fault, final long currentRevision) {
        assertThat(commands.reply(command), is(new CommandResult.Rejected(409, List.of(fault), currentRevision)));
    }

    @Test
    void commandTakesEffectOnlyOnTheRevisionThatItExpects() {
        commands.execute(tenant("t1", "acme", 0));
        commands.execute(tenant("t2", "acme", 1));
        assertConflict(tenant("t3", "acme", 1), "acme is at sequence 2", 2);
        commands.execute(schedule("s1", "night", 0));
        assertConflict(schedule("s2", "night", 2), "night is at sequence 3", 3);
        commands.execute(new Command.SetEvacuation("e1", "zone", true, 0));
        assertConflict(new Command.SetEvacuation("e2", "zone", false, 0), "zone is at sequence 4", 4);
        assertConflict(new Command.RemoveTenant("t4", "acme", 1), "acme is at sequence 2", 2);
        assertConflict(new Command.RemoveSchedule("s3", "night", 1), "night is at sequence 3", 3);
        assertThat(commands.state().sequence(), is(4L));
    }

    @Test
    void tombstoneKeepsTheRevisionOfADeletedTenant() {
        commands.execute(tenant("t1", "acme", -1));
        commands.execute(new Command.RemoveTenant("t2", "acme", 1));
        assertThat(commands.state().get("t/acme").isPresent(), is(false));
        assertConflict(tenant("t3", "acme", 0), "acme is at sequence 2", 2);
        assertThat(commands.execute(tenant("t4", "acme", 2)) instanceof Evaluation.Write, is(true));
    }

    @Test
    void removalOfAMissingEntryIsRejected() {
        assertThat(commands.rejected(new Command.RemoveTenant("t", "acme", -1)).code(), is(404));
        assertThat(
                commands.rejected(new Command.RemoveSchedule("s", "night", -1)).code(), is(404));
    }

    @Test
    void invalidValueIsRejectedAndNotStored() {
        assertThat(commands.rejected(tenant("t", "a b", -1)).code(), is(422));
        assertThat(commands.rejected(schedule("s", "", -1)).code(), is(422));
        assertThat(
                commands.rejected(new Command.SetEvacuation("e", "?", true, -1)).code(), is(422));
        assertThat(commands.state().policySince(0), is(List.of()));
    }
}
