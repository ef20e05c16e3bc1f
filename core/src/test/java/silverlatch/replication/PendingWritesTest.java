package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.node.Event;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Entry;
import silverlatch.wire.ChainClientMessage;

/** Guards against replies to clients that depend on entries which may still be dropped. */
final class PendingWritesTest {
    private static final CommandResult REJECTION = new CommandResult.Rejected(409, List.of("changed"), 3);
    private final ReplicaFixture fixture = new ReplicaFixture();
    private final Map<String, Entry> committed = new HashMap<>();
    private final PendingWrites writes =
            new PendingWrites(key -> Optional.ofNullable(committed.get(key)), fixture.effects);

    private static ChainClientMessage.WriteRequest request(final long requestId) {
        return new ChainClientMessage.WriteRequest(
                requestId, "client", new Command.SetEvacuation("command-" + requestId, "zone", true, -1));
    }

    private List<CommandResult> results() {
        return fixture.sent().stream()
                .map(message -> ((ChainClientMessage.WriteReply) message).result())
                .toList();
    }

    @Test
    void eachWriteIsAnsweredOnceWhenItsEntryIsCommitted() {
        writes.replyWhenCommitted(4, request(1));
        writes.replyWhenCommitted(4, request(2));
        writes.replyWhenCommitted(5, request(3));
        writes.onCommitted(4);
        assertThat(results(), is(List.of(new CommandResult.Applied(4), new CommandResult.Applied(4))));
        writes.onCommitted(4);
        assertThat(results(), is(List.of()));
        writes.onCommitted(5);
        assertThat(results(), is(List.of(new CommandResult.Applied(5))));
    }

    @Test
    void aRejectionIsSentAndLoggedOnceTheEntryItDependsOnIsCommitted() {
        writes.rejectWhenCommitted(4, request(1), REJECTION);
        assertThat(results(), is(List.of()));
        writes.onCommitted(4);
        assertThat(results(), is(List.of(REJECTION)));
        assertThat(fixture.logged(), is(List.of(Event.CHANGE_REJECTED)));
    }

    @Test
    void writesPendingOnADroppedEntryHaveAnUnknownOutcome() {
        writes.replyWhenCommitted(4, request(1));
        writes.rejectWhenCommitted(4, request(2), REJECTION);
        writes.abandon();
        assertThat(
                results(), is(List.of(new CommandResult.Unknown("command-1"), new CommandResult.Unknown("command-2"))));
        writes.onCommitted(4);
        assertThat(results(), is(List.of()));
    }
}
