package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.node.Effect;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.wire.ChainClientMessage;

/**
 * Guards against client calls that get a wrong response, two responses or none: replies can be late, lost or inconclusive, the
 * head and tail can change, and the process can be frozen beyond a deadline.
 */
final class ChainClientTest {
    private View view = new View(1, 1, List.of(), List.of(new Replica("a", "a"), new Replica("b", "b")), "a");
    private final ChainClient client = new ChainClient("me", () -> view, 10);

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
