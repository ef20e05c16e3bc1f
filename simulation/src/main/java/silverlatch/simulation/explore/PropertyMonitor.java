package silverlatch.simulation.explore;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.TreeMap;
import silverlatch.log.LogRecord;
import silverlatch.replication.ChainReplica;
import silverlatch.replication.ReplicaStatus;
import silverlatch.replication.View;
import silverlatch.state.CommandResult;
import silverlatch.state.ConfigurationValidator;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.wire.ChainClientMessage;
import silverlatch.wire.Message;

/** Watches a {@link World} and notes the first property that is broken. */
final class PropertyMonitor {
    private final WorldOptions options;
    private final List<Machine> machines;
    private final History history;
    private final Map<Long, View> views = new HashMap<>();
    private final Map<Long, Integer> committed = new HashMap<>();
    private final Map<Long, List<Entry>> acknowledged = new TreeMap<>();
    private final Map<Integer, String> documents = new HashMap<>();
    private final Set<String> refused = new HashSet<>();
    private final Set<String> effective = new HashSet<>();
    private final Map<Integer, Seen> lastSeen = new HashMap<>();
    /** The highest sequence that a replica was seen to have applied under each view; it stays applied when that replica ends. */
    private final TreeMap<Long, Long> appliedByView = new TreeMap<>();

    private final List<Acknowledgement> newest = new ArrayList<>();
    private long newestView;
    private Optional<Violation> violation = Optional.empty();

    /** What was looked at last on a machine, so that nothing is looked at twice. */
    private record Seen(ChainReplica replica, View view, long sequence, boolean level) {}

    /** The highest number that was acknowledged by a step. */
    private record Acknowledgement(long step, int number) {}

    PropertyMonitor(final WorldOptions options, final List<Machine> machines, final History history) {
        this.options = options;
        this.machines = machines;
        this.history = history;
    }

    Optional<Violation> violation() {
        return violation;
    }

    /** Notes a violation, unless one was noted before. */
    void broken(final Property property, final String detail) {
        violation = violation.or(() -> Optional.of(new Violation(property, detail)));
    }

    /** A replica may have taken another view, applied something, or caught up. */
    void replicaChanged(final Machine machine, final long now) {
        final ChainReplica replica = machine.process().orElseThrow().replica();
        oneOwner(machine, now);
        final ReplicaStatus state = replica.status(machine.clock(now));
        final boolean level =
                state.isCaughtUp() && state.view().positionOf(machine.identity().id()) >= 0;
        final Seen next = new Seen(replica, state.view(), state.sequence(), level);
        final Seen last = lastSeen.put(machine.index(), next);
        if (next.equals(last)) {
            return;
        }
        appliedByView.merge(state.view().number(), state.sequence(), Math::max);
        oneView(machine, state.view());
        if (level) {
            oneHistory(machine, replica.stateMachine());
        }
        if (level && machine.replaced()) {
            machine.caughtUp();
            checkDurable();
        }
    }

    private void oneOwner(final Machine machine, final long now) {
        final Optional<Long> token = fencingToken(machine, now);
        if (token.isPresent()) {
            machines.stream()
                    .filter(other -> other != machine)
                    .filter(other -> fencingToken(other, now).isPresent())
                    .forEach(other -> broken(
                            Property.ONE_OWNER,
                            machine.address() + " under " + token.get() + " beside " + other.address()));
        }
    }

    private static Optional<Long> fencingToken(final Machine machine, final long now) {
        return machine.process().flatMap(process -> process.replica().fencingToken(machine.clock(now)));
    }

    private void oneView(final Machine machine, final View view) {
        final View other = views.putIfAbsent(view.number(), view);
        if (view.number() > 0 && other != null && !other.equals(view)) {
            broken(Property.ONE_VIEW, machine.address() + " holds " + view + ", another held " + other);
        }
    }

    private void oneHistory(final Machine machine, final StateMachine state) {
        final List<Entry> held =
                new ArrayList<>(state.entriesWithPrefix(Documents.ZONES).values());
        state.get(ConfigurationValidator.DOCUMENT_KEY).ifPresent(held::add);
        final Integer other = committed.putIfAbsent(state.sequence(), held.hashCode());
        if (other != null && other != held.hashCode()) {
            broken(
                    Property.ONE_HISTORY,
                    machine.address() + " holds " + held + " at sequence " + state.sequence()
                            + ", another held something else");
        }
        held.stream()
                .filter(entry -> entry.key().equals(ConfigurationValidator.DOCUMENT_KEY))
                .map(Documents::text)
                .forEach(this::tookEffect);
    }

    private void tookEffect(final String text) {
        if (effective.add(text) && refused.contains(text)) {
            broken(Property.REFUSED_ORDER, "the order " + text + " took effect after it was refused");
        }
    }

    /** A replica sends a message; the definite replies among them are looked at. */
    void replied(final Machine machine, final Message message) {
        final boolean read = message instanceof ChainClientMessage.ReadReply reply && reply.answered();
        final boolean refusal = message instanceof ChainClientMessage.WriteReply reply
                && reply.result() instanceof CommandResult.Rejected;
        final Optional<Long> applied = message instanceof ChainClientMessage.WriteReply reply
                        && reply.result() instanceof CommandResult.Applied result
                ? Optional.of(result.sequence())
                : Optional.empty();
        if (!read && !refusal && applied.isEmpty()) {
            return;
        }
        final long view = machine.process().orElseThrow().replica().view().number();
        if (view < newestView && (read || !appliedJustNow(machine))) {
            broken(
                    Property.VIEW_FENCED,
                    machine.address() + " answers under view " + view + " after an acknowledgement under "
                            + newestView);
        }
        applied.ifPresent(sequence -> {
            newestView = appliedNow(machine) ? Math.max(newestView, view) : newestView;
            acknowledged(machine, sequence);
        });
    }

    /** Whether a replica has applied something in this step that is applied in the newest view too, and tells of that. */
    private boolean appliedJustNow(final Machine machine) {
        final long sequence =
                machine.process().orElseThrow().replica().stateMachine().sequence();
        final boolean elsewhere =
                appliedByView.tailMap(newestView).values().stream().anyMatch(applied -> applied >= sequence);
        return elsewhere && appliedNow(machine);
    }

    private boolean appliedNow(final Machine machine) {
        return Optional.ofNullable(lastSeen.get(machine.index()))
                .map(last -> last.sequence()
                        < machine.process()
                                .orElseThrow()
                                .replica()
                                .stateMachine()
                                .sequence())
                .orElse(false);
    }

    private void acknowledged(final Machine machine, final long sequence) {
        final List<Entry> entries = machine.disk().stream()
                .filter(entry -> entry instanceof LogRecord.Appended appended
                        && appended.entry().sequence() == sequence)
                .map(entry -> ((LogRecord.Appended) entry).entry().puts())
                .findFirst()
                .orElse(List.of());
        acknowledged.putIfAbsent(
                sequence, entries.stream().filter(Documents::watched).toList());
        checkDurable();
    }

    /** A disk has other synced records than before. */
    void diskChanged() {
        checkDurable();
    }

    private void checkDurable() {
        if (acknowledged.isEmpty()) {
            return;
        }
        final long lost = machines.stream().filter(Machine::replaced).count();
        final List<DiskContent> contents = machines.stream()
                .filter(machine -> !machine.disk().isEmpty())
                .map(machine -> DiskContent.of(machine.disk()))
                .toList();
        acknowledged.forEach((sequence, entries) -> {
            final long holders = contents.stream()
                    .filter(content -> content.holds(sequence, entries))
                    .count();
            if (holders < options.copies() - lost) {
                broken(
                        Property.DURABLE,
                        "sequence " + sequence + " " + entries + " is acknowledged and on " + holders + " disks, "
                                + lost + " lost");
            }
        });
    }

    /** An operation may have ended. */
    void answered(final long token) {
        final Operation operation = history.operation(token);
        operation.outcome().ifPresent(outcome -> {
            switch (outcome) {
                case Operation.Outcome.Acknowledged done -> acknowledgedPut(operation);
                case Operation.Outcome.Refused done -> refusedPut(operation);
                case Operation.Outcome.Value value -> freshRead(operation, value);
            }
        });
    }

    private void acknowledgedPut(final Operation operation) {
        if (operation.kind() != Action.Kind.PUT) {
            return;
        }
        final String other = documents.putIfAbsent(operation.number(), operation.text());
        if (other != null && !other.equals(operation.text())) {
            broken(Property.ONE_DOCUMENT, operation.text() + " and " + other + " are both acknowledged");
        }
        if (refused.contains(operation.text())) {
            broken(Property.REFUSED_ORDER, "the order " + operation.text() + " was refused, then acknowledged");
        }
        effective.add(operation.text());
        newest.add(new Acknowledgement(operation.end(), operation.number()));
    }

    private void refusedPut(final Operation operation) {
        if (operation.kind() != Action.Kind.PUT) {
            return;
        }
        refused.add(operation.text());
        if (effective.contains(operation.text())) {
            broken(
                    Property.REFUSED_ORDER,
                    "the order " + operation.text() + " took effect and was refused: " + operation);
        }
    }

    private void freshRead(final Operation operation, final Operation.Outcome.Value value) {
        if (operation.kind() != Action.Kind.READ) {
            return;
        }
        final int least = newest.stream()
                .filter(acknowledgement -> acknowledgement.step() < operation.start())
                .mapToInt(Acknowledgement::number)
                .max()
                .orElse(0);
        if (Documents.number(value.value()) < least) {
            broken(Property.FRESH_READ, operation + " is older than the acknowledged number " + least);
        }
    }

    /** Checks the histories of the configuration and of the zone. */
    void checkHistory() {
        if (violation.isEmpty()) {
            linearizable("configuration", SequentialRegister.CONFIGURATION, history.configuration());
            linearizable("zone", SequentialRegister.ZONE, history.zone());
        }
    }

    private void linearizable(final String what, final SequentialRegister register, final List<Operation> operations) {
        if (!LinearizabilityChecker.linearizable(register, operations)) {
            broken(Property.LINEARIZABLE, "the history of the " + what + " is not linearizable: " + operations);
        }
    }
}
