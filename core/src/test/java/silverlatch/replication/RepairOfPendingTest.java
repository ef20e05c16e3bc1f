package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Entry;
import silverlatch.state.Value;

/**
 * Guards against the loss of an acknowledged entry in a repair. After the acknowledgement all machines restarted, so that none of
 * them knows the entry to be committed. One of them is the only member of a chain that is too short to commit it, and repairs the
 * others, which must keep the entry on their disks.
 */
final class RepairOfPendingTest {
    private static final Replica SOURCE = new Replica("id-a", "a");
    private static final Replica REPAIRED = new Replica("id-b", "b");
    private static final Replica ABSENT = new Replica("id-c", "c");
    private static final long START = 1_000_000;
    private static final long TICK = 50_000;
    private static final int TICKS = 40;

    private final LogEntry acknowledged = new LogEntry(
            1,
            1,
            new Stamp(10),
            List.of(new Entry("z/hall", 1, List.of(new Value.Evacuation("hall", true, new Stamp(10))))));
    private final List<LogRecord> written = new ArrayList<>();

    @Test
    void aRepairedReplicaKeepsThePendingEntriesOfItsSource() {
        repair(Safeguards.ALL);
        assertThat("the repaired disk contains the entry", containsAcknowledgedEntry(), is(true));
    }

    @Test
    void withoutTheSafeguardThePendingEntryIsDropped() {
        repair(new Safeguards(Set.of(Safeguard.REPAIR_PENDING)));
        assertThat("a snapshot was written", written.isEmpty(), is(false));
        assertThat("the repaired disk contains the entry", containsAcknowledgedEntry(), is(false));
    }

    /** Returns whether the log, from its last snapshot on, contains the acknowledged entry. */
    private boolean containsAcknowledgedEntry() {
        boolean holds = false;
        for (final LogRecord entry : written) {
            if (entry instanceof LogRecord.Snapshot snapshot) {
                holds = snapshot.sequence() >= 1;
            } else if (entry instanceof LogRecord.Appended appended) {
                holds |= appended.entry().equals(acknowledged);
            }
        }
        return holds;
    }

    private static boolean containsSnapshot(final Effect.Persist persist) {
        return persist.records().stream().anyMatch(LogRecord.Snapshot.class::isInstance);
    }

    /** Runs both replicas until the repaired one has written a snapshot, and records that write. */
    private void repair(final Safeguards safeguards) {
        final View view = new View(2, 7, List.of(SOURCE, REPAIRED, ABSENT), List.of(SOURCE), SOURCE.id());
        final ChainReplica source = replica(SOURCE, view, true, safeguards);
        final ChainReplica repaired = replica(REPAIRED, view, false, safeguards);
        long now = START;
        for (int i = 0; i < TICKS && written.isEmpty(); i++) {
            now += TICK;
            source.tick(now);
            repaired.tick(now);
            exchange(source, repaired, now);
        }
    }

    private ChainReplica replica(
            final Replica self, final View view, final boolean isCaughtUp, final Safeguards safeguards) {
        final List<LogRecord> records =
                List.of(new LogRecord.ViewInstalled(view, isCaughtUp), new LogRecord.Appended(acknowledged));
        final ReplicaSettings settings =
                ReplicaSettings.of(self, List.of("a", "b", "c")).withSafeguards(safeguards);
        return new ChainReplica(settings, records, () -> new Stamp(START), START);
    }

    /** Delivers the messages between the two replicas and syncs their writes, until there are no more effects. */
    private void exchange(final ChainReplica source, final ChainReplica repaired, final long now) {
        boolean more = true;
        while (more) {
            more = perform(source, SOURCE, repaired, REPAIRED, now);
            more |= perform(repaired, REPAIRED, source, SOURCE, now);
        }
    }

    private boolean perform(
            final ChainReplica from,
            final Replica sender,
            final ChainReplica to,
            final Replica receiver,
            final long now) {
        final List<Effect> effects = from.drain();
        for (final Effect effect : effects) {
            if (effect instanceof Effect.Persist persist) {
                if (sender.equals(REPAIRED) && written.isEmpty() && containsSnapshot(persist)) {
                    written.addAll(persist.records());
                }
                from.onSynced(persist.token(), now);
            } else if (effect instanceof Effect.Send send && send.to().equals(receiver.address())) {
                to.onMessage(send.message(), sender.address(), now);
            } else if (effect instanceof Effect.Send send && send.to().equals(sender.address())) {
                from.onMessage(send.message(), sender.address(), now);
            }
        }
        return !effects.isEmpty();
    }
}
