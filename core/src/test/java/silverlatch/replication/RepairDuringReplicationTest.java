package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;
import silverlatch.state.Entry;
import silverlatch.state.Value;
import silverlatch.wire.Message;
import silverlatch.wire.ReplicationMessage;

/**
 * Guards against needless repairs: a member that hasn't caught up requests a repair only if it receives no new entries by
 * replication.
 */
final class RepairDuringReplicationTest {
    private static final Replica PREDECESSOR = new Replica("id-a", "a");
    private static final Replica FOLLOWER = new Replica("id-b", "b");
    private static final Replica VOTER = new Replica("id-c", "c");
    private static final View VIEW =
            new View(2, 7, List.of(PREDECESSOR, FOLLOWER, VOTER), List.of(PREDECESSOR, FOLLOWER), PREDECESSOR.id());
    private static final long START = 1_000_000;
    private static final long SECOND = 1_000_000;
    private static final long TICK = 50_000;

    private final ChainReplica follower = new ChainReplica(
            ReplicaSettings.of(FOLLOWER, List.of("a", "b", "c")),
            List.of(new LogRecord.ViewInstalled(VIEW, false)),
            () -> new Stamp(START),
            START);
    private final List<Message> sent = new ArrayList<>();
    private long now = START;

    @Test
    void noRepairIsRequestedWhileNewEntriesAreReplicated() {
        for (int sequence = 1; sequence <= 5; sequence++) {
            receive(sequence);
            advance(SECOND);
        }
        assertThat("repair requests while a new entry arrived each second", repairRequests(), is(0L));
    }

    @Test
    void aRepairIsRequestedWhenNoNewEntryIsReplicated() {
        receive(1);
        for (int i = 0; i < 3; i++) {
            advance(SECOND);
            receive(1);
        }
        assertThat("repair requests in three seconds without a new entry", repairRequests(), greaterThan(0L));
    }

    private long repairRequests() {
        return sent.stream()
                .filter(ReplicationMessage.CompareDigests.class::isInstance)
                .count();
    }

    private void receive(final long sequence) {
        final Entry entry = new Entry(
                "z/hall-" + sequence,
                sequence,
                List.of(new Value.Evacuation("hall-" + sequence, true, new Stamp(sequence))));
        final LogEntry logEntry = new LogEntry(sequence, VIEW.number(), new Stamp(sequence), List.of(entry));
        follower.onMessage(
                new ReplicationMessage.Replicate(VIEW.number(), List.of(logEntry)), PREDECESSOR.address(), now);
        perform();
    }

    private void advance(final long span) {
        for (final long end = now + span; now < end; now += TICK) {
            follower.tick(now);
            perform();
        }
    }

    /** Records the messages sent, and completes the sync of each write at once. */
    private void perform() {
        for (List<Effect> effects = follower.drain(); !effects.isEmpty(); effects = follower.drain()) {
            for (final Effect effect : effects) {
                if (effect instanceof Effect.Send send) {
                    sent.add(send.message());
                } else if (effect instanceof Effect.Persist persist) {
                    follower.onSynced(persist.token(), now);
                }
            }
        }
    }
}
