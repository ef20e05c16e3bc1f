package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.clock.PauseDetector;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.wire.ChainClientMessage;

/**
 * Guards against client calls that get a wrong response, two responses or none: replies can be late, lost or inconclusive, the
 * head and tail can change, and the process can be frozen beyond a deadline.
 */
final class ChainClientTest {
    private static final long PRESENCE_MICROS = 300_000;
    private View view = new View(1, 1, List.of(), List.of(new Replica("a", "a"), new Replica("b", "b")), "a");
    private final PauseDetector pauses = new PauseDetector(Safeguards.ALL);
    private final ChainClient client = new ChainClient("me", () -> view, 10, pauses, Safeguards.ALL);

    private List<String> sent() {
        return client.drain().stream()
                .filter(e -> e instanceof Effect.Send)
                .map(e -> ((Effect.Send) e).to())
                .toList();
    }

    @Test
    void aCommandGoesToTheHeadOfTheNewestViewAndEndsUnknownAtItsDeadline() {
        client.submit(new Command.SetEvacuation("order-1", "z", true, -1), 5, 0, 1_000_000);
        assertThat(sent(), is(List.of("a")));
        view = new View(2, 1, List.of(), List.of(new Replica("b", "b")), "b");
        client.tick(300_000);
        assertThat(sent(), is(List.of("b")));
        client.onMessage(new ChainClientMessage.WriteReply(11, new CommandResult.Unknown("order-1")), 1_000);
        assertThat(client.drain(), is(List.of()));
        client.tick(1_000_000);
        assertThat(client.drain(), is(List.of((Effect) new Effect.Respond(5, new CommandResult.Unknown("order-1")))));
    }

    @Test
    void anEvacuationOnTheLatestRevisionRetriesAConflictWithTheRevisionOfTheRejection() {
        client.submit(new Command.SetEvacuation("order-1", "z", true, Command.SetEvacuation.LATEST), 5, 0, 1_000_000);
        assertThat(expectedRevisions(), is(List.of(0L)));
        client.onMessage(
                new ChainClientMessage.WriteReply(11, new CommandResult.Rejected(409, List.of("changed"), 7)), 1_000);
        client.tick(PRESENCE_MICROS);
        assertThat(expectedRevisions(), is(List.of(7L)));
        client.onMessage(
                new ChainClientMessage.WriteReply(11, new CommandResult.Rejected(409, List.of("a late reply"), 6)),
                1_000);
        assertThat(client.drain(), is(List.of()));
        client.onMessage(new ChainClientMessage.WriteReply(12, new CommandResult.Applied(9)), 1_000);
        assertThat(client.drain(), is(List.of((Effect) new Effect.Respond(5, new CommandResult.Applied(9)))));
    }

    @Test
    void nothingIsSentForACallPastItsDeadline() {
        client.submit(new Command.SetEvacuation("order-1", "z", true, Command.SetEvacuation.LATEST), 5, 0, 1_000_000);
        client.drain();
        client.onMessage(
                new ChainClientMessage.WriteReply(11, new CommandResult.Rejected(409, List.of("changed"), 7)),
                20_000_000);
        final Effect unknown = new Effect.Respond(5, new CommandResult.Unknown("order-1"));
        assertThat("a reply handled after the process was frozen", client.drain(), is(List.of(unknown)));
        client.submit(new Command.SetEvacuation("order-2", "z", true, -1), 6, 30_000_000, 25_000_000);
        final Effect late = new Effect.Respond(6, new CommandResult.Unknown("order-2"));
        assertThat("a call submitted after its deadline", client.drain(), is(List.of(late)));
    }

    /** A caller that had moved on got its old command put on top of those that it sent since. */
    @Test
    void aCommandWhoseCallerHasLeftIsNotPutOnANewerRevision() {
        client.submit(new Command.SetEvacuation("order-1", "z", true, Command.Revisioned.LATEST), 5, 0, 1_000_000);
        client.submit(new Command.SetEvacuation("order-2", "y", true, Command.Revisioned.LATEST), 6, 0, 1_000_000);
        client.drain();
        client.cancel(5);
        assertThat(
                client.drain(),
                is(List.of(
                        new Effect.Log(Event.COMMAND_DROPPED, "order-1: its caller has left"),
                        new Effect.Respond(5, new CommandResult.Unknown("order-1")))));
        client.onMessage(
                new ChainClientMessage.WriteReply(11, new CommandResult.Rejected(409, List.of("changed"), 7)), 1_000);
        assertThat("the reply to the first attempt", client.drain(), is(List.of()));
        client.tick(300_000);
        assertThat("only the other command is sent again", expectedRevisions(), is(List.of(0L)));
    }

    /** A paused process carried out the commands that it read after the pause. */
    @Test
    void aCommandThatMayHaveWaitedDuringAPauseHasThatMuchLessTime() {
        pauses.observe(0);
        pauses.observe(400_000);
        client.submit(new Command.SetEvacuation("order-1", "z", true, -1), 5, 400_000, 1_280_000);
        assertThat(sent(), is(List.of("a")));
        client.tick(870_000);
        assertThat(sent(), is(List.of("a")));
        client.tick(880_000);
        final Effect unknown = new Effect.Respond(5, new CommandResult.Unknown("order-1"));
        assertThat(client.drain(), is(List.of(unknown)));
        pauses.observe(900_000);
        pauses.observe(4_900_000);
        client.submit(new Command.SetEvacuation("order-2", "z", true, -1), 6, 4_900_000, 5_780_000);
        assertThat(sent(), is(List.of()));
        pauses.observe(5_000_000);
        pauses.observe(5_900_000);
        client.submit(new Command.SetEvacuation("order-3", "z", true, -1), 7, 5_900_000, 6_780_000);
        assertThat("a second pause before everything was read", sent(), is(List.of()));
    }

    /** Every kind of command that expects no revision of its caller's was put on whatever was newest. */
    @Test
    void anyRevisionedCommandOnTheLatestRevisionExpectsTheRevisionOfTheRejection() {
        final Command removal = new Command.RemoveTenant("order-1", "ferry", Command.Revisioned.LATEST);
        client.submit(removal, 5, 0, 1_000_000);
        client.drain();
        client.onMessage(
                new ChainClientMessage.WriteReply(11, new CommandResult.Rejected(409, List.of("changed"), 7)), 1_000);
        client.tick(PRESENCE_MICROS);
        assertThat(client.drain(), is(List.of((Effect) new Effect.Send(
                "a", new ChainClientMessage.WriteRequest(12, "me", new Command.RemoveTenant("order-1", "ferry", 7))))));
    }

    /** A command that the network held back until its caller had sent others was put on top of those before its close was read. */
    @Test
    void aCommandIsPutOnANewerRevisionOnlyOnceItsCallerHasStayedForAWhile() {
        client.submit(new Command.SetEvacuation("order-1", "z", true, Command.Revisioned.LATEST), 5, 0, 1_000_000);
        client.submit(new Command.SetEvacuation("order-2", "y", true, Command.Revisioned.LATEST), 6, 0, 1_000_000);
        client.drain();
        for (final long requestId : List.of(11L, 12L)) {
            client.onMessage(
                    new ChainClientMessage.WriteReply(
                            requestId, new CommandResult.Rejected(409, List.of("changed"), 7)),
                    1_000);
        }
        client.tick(PRESENCE_MICROS - 1);
        assertThat("no caller has stayed for long enough", client.drain(), is(List.of()));
        client.cancel(5);
        client.drain();
        client.tick(PRESENCE_MICROS);
        assertThat("only the command whose caller stayed", expectedRevisions(), is(List.of(7L)));
    }

    private List<Long> expectedRevisions() {
        return client.drain().stream()
                .map(e -> ((Command.SetEvacuation)
                                ((ChainClientMessage.WriteRequest) ((Effect.Send) e).message()).command())
                        .expectedRevision())
                .toList();
    }

    @Test
    void aReadGoesToTheTailAndAnInconclusiveReplyIsIgnored() {
        client.read("r/", 6, 0, 1_000_000);
        assertThat(sent(), is(List.of("b")));
        client.onMessage(new ChainClientMessage.ReadReply(11, false, 0, List.of()), 1_000);
        assertThat(client.drain(), is(List.of()));
        client.onMessage(new ChainClientMessage.ReadReply(11, true, 9, List.of()), 1_000);
        assertThat(client.drain(), is(List.of((Effect)
                new Effect.Respond(6, new ChainClient.ReadResult(true, 9, List.of())))));
    }
}
