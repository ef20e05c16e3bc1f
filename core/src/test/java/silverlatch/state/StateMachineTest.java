package silverlatch.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against a command that takes effect twice or gets two different results when it is sent again, and against
 * replicas that differ without the difference being detected by their digests.
 */
final class StateMachineTest {
    private final CommandExecutor commands = new CommandExecutor();

    @Test
    void commandsWithTheSameIdTakeEffectOnce() {
        assertThat(
                commands.execute(new Command.SetEvacuation("drain", "z", true, -1)) instanceof Evaluation.Write,
                is(true));
        commands.execute(new Command.SetEvacuation("undrain", "z", false, -1));
        assertThat(
                ((Evaluation.Reply) commands.execute(new Command.SetEvacuation("drain", "z", true, -1))).result(),
                is(new CommandResult.Applied(1)));
        assertThat(
                ((Value.Evacuation) commands.state()
                                .get("z/z")
                                .orElseThrow()
                                .value()
                                .get(0))
                        .active(),
                is(false));
    }

    @Test
    void digestsDetectDifferencesAndRepairRemovesThem() {
        for (int i = 0; i < 50; i++) {
            commands.execute(new Command.SetEvacuation("d" + i, "z" + i, true, -1));
        }
        final StateMachine other = new StateMachine();
        other.reset(40, commands.state().allEntries().subList(0, 60));
        final long[] digests = commands.state().digests(16);
        final long[] otherDigests = other.digests(16);
        int differences = 0;
        for (int i = 0; i < 16; i++) {
            if (digests[i] != otherDigests[i]) {
                differences++;
                other.replaceRange(i, 16, commands.state().entriesInRange(i, 16));
            }
        }
        assertThat(differences > 0, is(true));
        assertThat(other.allEntries(), is(commands.state().allEntries()));
    }

    @Test
    void rejectionThatCouldBecomeAnAcceptanceIsStoredForDuplicates() {
        final Command remove = new Command.RemoveTenant("remove", "acme", -1);
        assertThat(commands.execute(remove) instanceof Evaluation.Write, is(true));
        commands.execute(new Command.PutTenant(
                "put", new Value.Tenant("acme", List.of(), 1, "0123456789abcdef".repeat(4), ""), -1));
        assertThat(commands.reply(remove), is(new CommandResult.Rejected(404, List.of("no tenant acme"), 0)));
        assertThat(commands.state().get("t/acme").isPresent(), is(true));
    }

    @Test
    void commandOfAScheduleIsEvaluatedLikeADirectOne() {
        final Command evacuate = new Command.SetEvacuation("inner", "zone", true, -1);
        commands.execute(new Command.Scheduled("outer", 1, evacuate));
        assertThat(commands.reply(evacuate), is(new CommandResult.Applied(1)));
    }
}
