package silverlatch.replication;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.LongConsumer;
import java.util.stream.IntStream;
import silverlatch.clock.Stamp;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.state.Value;
import silverlatch.wire.Message;

/**
 * A fixture for tests of single components of a replica: the settings and role of replica 0 of three, and the effects that
 * the components under test produced.
 */
final class ReplicaFixture {
    static final long START = 10_000_000;
    static final List<Replica> REPLICAS =
            IntStream.range(0, 4).mapToObj(ReplicaFixture::replica).toList();
    static final Replica SELF = REPLICAS.get(0);
    static final Replica SECOND = REPLICAS.get(1);
    static final Replica THIRD = REPLICAS.get(2);
    static final Replica NON_VOTER = REPLICAS.get(3);

    final ReplicaSettings settings;
    final ReplicaRole role;
    final EffectQueue effects;
    private final List<Message> sent = new ArrayList<>();
    private final List<String> receivers = new ArrayList<>();
    private final List<LogRecord> written = new ArrayList<>();
    private final List<Event> logged = new ArrayList<>();
    private final List<Long> unsyncedTokens = new ArrayList<>();

    ReplicaFixture(final Safeguard... disabled) {
        settings = ReplicaSettings.of(SELF, List.of("address-0", "address-1", "address-2"))
                .withSafeguards(new Safeguards(Set.of(disabled)));
        role = new ReplicaRole(settings);
        effects = new EffectQueue(settings.safeguards(), 0);
    }

    static Replica replica(final int index) {
        return new Replica("id-" + index, "address-" + index);
    }

    /** Returns a view with this chain, whose head owns the singleton role and whose voters are the first three replicas. */
    static View view(final long number, final Replica... chain) {
        return new View(number, 7, REPLICAS.subList(0, 3), List.of(chain), chain[0].id());
    }

    static LogEntry entry(final long sequence) {
        final Value value = new Value.Evacuation("zone", true, new Stamp(sequence));
        return new LogEntry(
                sequence, 1, new Stamp(sequence), List.of(new Entry("z/" + sequence, sequence, List.of(value))));
    }

    /** Creates the log of the fixture's replica. */
    static ReplicaLog log(final ReplicaFixture fixture, final LongConsumer onAppended, final LongConsumer onCommitted) {
        final GrantedLeases leases = new GrantedLeases(fixture.settings, fixture.role, fixture.effects, START);
        final ViewAcceptor acceptor = new ViewAcceptor(fixture.settings, fixture.role, leases, fixture.effects);
        final SnapshotWriter snapshots = new SnapshotWriter(fixture.role, acceptor, fixture.effects);
        final StateMachine stateMachine = new StateMachine(fixture.settings.safeguards());
        return new ReplicaLog(snapshots, fixture.effects, stateMachine, onAppended, onCommitted);
    }

    /** Installs this view as synced to disk; a member of its chain counts as caught up. Returns this fixture. */
    ReplicaFixture withView(final View view) {
        role.install(view, true);
        role.markViewSynced(view.number());
        return this;
    }

    /** Returns the messages sent since the last call of this method or {@link #receivers}. */
    List<Message> sent() {
        collect();
        final List<Message> messages = List.copyOf(sent);
        sent.clear();
        receivers.clear();
        return messages;
    }

    /** Returns the addresses of the receivers of the messages sent since the last call of this method or {@link #sent}. */
    List<String> receivers() {
        collect();
        final List<String> addresses = List.copyOf(receivers);
        sent.clear();
        receivers.clear();
        return addresses;
    }

    /** Returns the records written since the last call. */
    List<LogRecord> written() {
        collect();
        final List<LogRecord> records = List.copyOf(written);
        written.clear();
        return records;
    }

    /** Returns the events logged since the last call. */
    List<Event> logged() {
        collect();
        final List<Event> events = List.copyOf(logged);
        logged.clear();
        return events;
    }

    /** Completes the sync of all written records at this time. */
    void syncAll(final long now) {
        collect();
        final List<Long> tokens = List.copyOf(unsyncedTokens);
        unsyncedTokens.clear();
        tokens.forEach(token -> effects.completeWrite(token, now));
    }

    private void collect() {
        for (final Effect effect : effects.drain()) {
            if (effect instanceof Effect.Send send) {
                sent.add(send.message());
                receivers.add(send.to());
            } else if (effect instanceof Effect.Persist persist) {
                written.addAll(persist.records());
                unsyncedTokens.add(persist.token());
            } else if (effect instanceof Effect.Log log) {
                logged.add(log.event());
            }
        }
    }
}
