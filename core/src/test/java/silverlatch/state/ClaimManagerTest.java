package silverlatch.state;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/**
 * Guards against two requests running under one idempotency key: because a claim expires too early, or because a
 * duplicate or late claim or completion takes the key from the request that it is bound to.
 */
final class ClaimManagerTest {
    private final CommandExecutor commands = new CommandExecutor();

    @Test
    void claimsDoNotExpireEarlyAndNewClaimsAreRejectedWhenTheSpaceIsFull() {
        final List<Entry> entries = new ArrayList<>();
        for (int i = 0; i < StateMachine.MAX_CLAIMS; i++) {
            entries.add(new Entry("c/" + i, 1, List.of(new Value.Claim("t" + i, "p", "running", 5, 0))));
        }
        commands.apply(entries);
        final Evaluation full = commands.execute(new Command.Claim("id", "new", "t", "p", 9));
        assertThat(((CommandResult.Rejected) ((Evaluation.Reply) full).result()).code(), is(507));
        final Evaluation taken = commands.execute(new Command.Claim("id", "7", "t", "p", 9));
        assertThat(((Evaluation.Reply) taken).result(), instanceOf(CommandResult.AlreadyClaimed.class));
        commands.execute(new Command.AdvanceEpoch("s1", 1, 1));
        commands.apply(List.of(new Entry(
                "h/glass",
                commands.nextSequence(),
                List.of(new Value.Epoch(StateMachine.CLAIM_RETENTION_EPOCHS - 1)))));
        commands.execute(new Command.AdvanceEpoch("s", StateMachine.CLAIM_RETENTION_EPOCHS, 1));
        assertThat(commands.state().entriesWithPrefix("c/").size(), is(StateMachine.MAX_CLAIMS));
        assertThat(
                commands.execute(new Command.AdvanceEpoch("far", StateMachine.CLAIM_RETENTION_EPOCHS + 100, 1))
                        instanceof Evaluation.Reply,
                is(true));
        assertThat(commands.execute(new Command.AdvanceEpoch("old", 5, 1)) instanceof Evaluation.Reply, is(true));
        assertThat(commands.state().epoch(), is((long) StateMachine.CLAIM_RETENTION_EPOCHS));
        commands.execute(new Command.AdvanceEpoch("next", StateMachine.CLAIM_RETENTION_EPOCHS + 1, 1));
        assertThat(commands.state().entriesWithPrefix("c/").size() < StateMachine.MAX_CLAIMS, is(true));
        assertThat(commands.execute(new Command.Claim("id", "new", "t", "p", 9)) instanceof Evaluation.Write, is(true));
    }

    @Test
    void keyOfARejectedRequestCanBeClaimedByOneLaterRequestOnly() {
        commands.execute(new Command.Claim("h1", "key", "one", "p", 10));
        assertThat(
                commands.reply(new Command.Claim("h2", "key", "two", "q", 20)),
                instanceOf(CommandResult.AlreadyClaimed.class));
        commands.execute(new Command.CompleteClaim("e1", "key", "one", "p", "rejected", 10));
        assertThat(
                "a late copy of the first claim",
                commands.reply(new Command.Claim("h1", "key", "one", "p", 10)),
                instanceOf(CommandResult.AlreadyClaimed.class));
        assertThat(
                commands.execute(new Command.Claim("h3", "key", "two", "q", 20)), instanceOf(Evaluation.Write.class));
        assertThat(
                commands.reply(new Command.Claim("h4", "key", "three", "q", 30)),
                instanceOf(CommandResult.AlreadyClaimed.class));
        assertThat(
                "a late completion of the first claim",
                ((CommandResult.Rejected)
                                commands.reply(new Command.CompleteClaim("e1", "key", "one", "p", "rejected", 10)))
                        .code(),
                is(409));
        commands.execute(new Command.CompleteClaim("e2", "key", "two", "q", "rejected", 20));
        assertThat(
                "a late copy of the first claim",
                commands.reply(new Command.Claim("h1", "key", "one", "p", 10)),
                instanceOf(CommandResult.AlreadyClaimed.class));
        assertThat(
                commands.execute(new Command.Claim("h5", "key", "four", "q", 40)), instanceOf(Evaluation.Write.class));
        commands.execute(new Command.CompleteClaim("e3", "key", "four", "q", "lost", 40));
        assertThat(
                commands.reply(new Command.Claim("h6", "key", "five", "q", 50)),
                instanceOf(CommandResult.AlreadyClaimed.class));
    }

    @Test
    void rejectionThatArrivesBeforeItsClaimBlocksTheClaim() {
        assertThat(
                commands.execute(new Command.CompleteClaim("e1", "key", "one", "p", "rejected", 10)),
                instanceOf(Evaluation.Write.class));
        assertThat(
                "the claim arrives after its rejection",
                commands.reply(new Command.Claim("h1", "key", "one", "p", 10)),
                instanceOf(CommandResult.AlreadyClaimed.class));
        assertThat(
                commands.execute(new Command.Claim("h2", "key", "two", "q", 20)), instanceOf(Evaluation.Write.class));
        assertThat(
                commands.reply(new Command.Claim("h1", "key", "one", "p", 10)),
                instanceOf(CommandResult.AlreadyClaimed.class));
    }
}
