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

/** Checks the properties of a {@link World} as it changes and keeps the first violation. */
final class PropertyMonitor {
    private final WorldOptions options;
    private final List<Machine> machines;
    private final History history;
    private final Map<Long, View> viewByNumber = new HashMap<>();
    private final Map<Long, Integer> stateHashBySequence = new HashMap<>();
    private final Map<Long, List<Entry>> acknowledgedEntries = new TreeMap<>();
    private final Map<Integer, String> acknowledgedTexts = new HashMap<>();
    private final Set<String> rejectedTexts = new HashSet<>();
    private final Set<String> effectiveTexts = new HashSet<>();
    private final Map<Integer, Observation> lastObservations = new HashMap<>();
    /** The highest sequence number that any replica applied under each view, including replicas that have ended since. */
    private final TreeMap<Long, Long> appliedByView = new TreeMap<>();

    private final List<Acknowledgement> acknowledgements = new ArrayList<>();
    private long newestAcknowledgingView;
    private Optional<Violation> violation = Optional.empty();

    /** The state of a machine at the last check, so that an unchanged state isn't checked again. */
    private record Observation(ChainReplica replica, View view, long sequence, boolean isCaughtUpMember) {}

    /** A configuration number and the step at which its put was acknowledged. */
    private record Acknowledgement(long step, int number) {}

    PropertyMonitor(final WorldOptions options, final List<Machine> machines, final History history) {
        this.options = options;
        this.machines = machines;
        this.history = history;
    }

    Optional<Violation> violation() {
        return violation;
    }

    /** Records a violation, unless there was one before. */
    void reportViolation(final Property property, final String detail) {
        violation = violation.or(() -> Optional.of(new Violation(property, detail)));
    }

    /** Checks a replica that may have installed another view, applied changes or caught up. */
    void onReplicaChanged(final Machine machine, final long now) {
        final ChainReplica replica = machine.process().orElseThrow().replica();
        checkOneOwner(machine, now);
        final ReplicaStatus state = replica.status(machine.clock(now));
        final boolean isCaughtUpMember =
                state.isCaughtUp() && state.view().positionOf(machine.identity().id()) >= 0;
        final Observation next = new Observation(replica, state.view(), state.sequence(), isCaughtUpMember);
        final Observation last = lastObservations.put(machine.index(), next);
        if (next.equals(last)) {
            return;
        }
        appliedByView.merge(state.view().number(), state.sequence(), Math::max);
        checkOneView(machine, state.view());
        if (isCaughtUpMember) {
            checkOneHistory(machine, replica.stateMachine());
        }
        if (isCaughtUpMember && machine.awaitsRepair()) {
            machine.markRepaired();
            checkDurable();
        }
    }

    private void checkOneOwner(final Machine machine, final long now) {
        final Optional<Long> token = fencingToken(machine, now);
        if (token.isPresent()) {
            machines.stream()
                    .filter(other -> other != machine)
                    .filter(other -> fencingToken(other, now).isPresent())
                    .forEach(other -> reportViolation(
                            Property.ONE_OWNER,
                            machine.address() + " under " + token.get() + " beside " + other.address()));
        }
    }

    private static Optional<Long> fencingToken(final Machine machine, final long now) {
        return machine.process().flatMap(process -> process.replica().fencingToken(machine.clock(now)));
    }

    private void checkOneView(final Machine machine, final View view) {
        final View other = viewByNumber.putIfAbsent(view.number(), view);
        if (view.number() > 0 && other != null && !other.equals(view)) {
            reportViolation(Property.ONE_VIEW, machine.address() + " holds " + view + ", another held " + other);
        }
    }

    private void checkOneHistory(final Machine machine, final StateMachine state) {
        final List<Entry> held = new ArrayList<>(
                state.entriesWithPrefix(Documents.EVACUATION_PREFIX).values());
        state.get(ConfigurationValidator.DOCUMENT_KEY).ifPresent(held::add);
        final Integer other = stateHashBySequence.putIfAbsent(state.sequence(), held.hashCode());
        if (other != null && other != held.hashCode()) {
            reportViolation(
                    Property.ONE_HISTORY,
                    machine.address() + " holds " + held + " at sequence " + state.sequence()
                            + ", another held something else");
        }
        held.stream()
                .filter(entry -> entry.key().equals(ConfigurationValidator.DOCUMENT_KEY))
                .map(Documents::entryValue)
                .forEach(this::recordTookEffect);
    }

    private void recordTookEffect(final String text) {
        if (effectiveTexts.add(text) && rejectedTexts.contains(text)) {
            reportViolation(Property.REFUSED_ORDER, "the put " + text + " took effect after it was rejected");
        }
    }

    /** Checks a message that a replica sends, if it is a reply with a known outcome. */
    void onMessageSent(final Machine machine, final Message message) {
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
        if (view < newestAcknowledgingView && (read || !appliedInNewestViewToo(machine))) {
            reportViolation(
                    Property.VIEW_FENCED,
                    machine.address() + " answers under view " + view + " after an acknowledgement under "
                            + newestAcknowledgingView);
        }
        applied.ifPresent(sequence -> {
            newestAcknowledgingView =
                    appliedInThisStep(machine) ? Math.max(newestAcknowledgingView, view) : newestAcknowledgingView;
            recordAcknowledgement(machine, sequence);
        });
    }

    /**
     * Returns whether a replica has applied a change in this step that was also applied under the newest acknowledging view or
     * a later one, so that its reply reports a write decided before that view.
     */
    private boolean appliedInNewestViewToo(final Machine machine) {
        final long sequence =
                machine.process().orElseThrow().replica().stateMachine().sequence();
        final boolean elsewhere = appliedByView.tailMap(newestAcknowledgingView).values().stream()
                .anyMatch(applied -> applied >= sequence);
        return elsewhere && appliedInThisStep(machine);
    }

    private boolean appliedInThisStep(final Machine machine) {
        return Optional.ofNullable(lastObservations.get(machine.index()))
                .map(last -> last.sequence()
                        < machine.process()
                                .orElseThrow()
                                .replica()
                                .stateMachine()
                                .sequence())
                .orElse(false);
    }

    private void recordAcknowledgement(final Machine machine, final long sequence) {
        final List<Entry> entries = machine.disk().stream()
                .filter(entry -> entry instanceof LogRecord.Appended appended
                        && appended.entry().sequence() == sequence)
                .map(entry -> ((LogRecord.Appended) entry).entry().puts())
                .findFirst()
                .orElse(List.of());
        acknowledgedEntries.putIfAbsent(
                sequence, entries.stream().filter(Documents::isMonitored).toList());
        checkDurable();
    }

    /** Checks durability after the synced records of a disk have changed. */
    void onDiskChanged() {
        checkDurable();
    }

    private void checkDurable() {
        if (acknowledgedEntries.isEmpty()) {
            return;
        }
        final long lost = machines.stream().filter(Machine::awaitsRepair).count();
        final List<DiskContent> contents = machines.stream()
                .filter(machine -> !machine.disk().isEmpty())
                .map(machine -> DiskContent.of(machine.disk()))
                .toList();
        acknowledgedEntries.forEach((sequence, entries) -> {
            final long holders = contents.stream()
                    .filter(content -> content.contains(sequence, entries))
                    .count();
            if (holders < options.copies() - lost) {
                reportViolation(
                        Property.DURABLE,
                        "sequence " + sequence + " " + entries + " is acknowledged and on " + holders + " disks, "
                                + lost + " lost");
            }
        });
    }

    /** Checks an operation after a response to it, if its outcome is now known. */
    void onOperationEnded(final long token) {
        final Operation operation = history.operation(token);
        operation.outcome().ifPresent(outcome -> {
            switch (outcome) {
                case Operation.Outcome.Acknowledged done -> onPutAcknowledged(operation);
                case Operation.Outcome.Refused done -> onPutRejected(operation);
                case Operation.Outcome.Value value -> checkFreshRead(operation, value);
            }
        });
    }

    private void onPutAcknowledged(final Operation operation) {
        if (operation.kind() != Action.Kind.PUT) {
            return;
        }
        final String other = acknowledgedTexts.putIfAbsent(operation.number(), operation.text());
        if (other != null && !other.equals(operation.text())) {
            reportViolation(Property.ONE_DOCUMENT, operation.text() + " and " + other + " are both acknowledged");
        }
        if (rejectedTexts.contains(operation.text())) {
            reportViolation(Property.REFUSED_ORDER, "the put " + operation.text() + " was rejected, then acknowledged");
        }
        effectiveTexts.add(operation.text());
        acknowledgements.add(new Acknowledgement(operation.end(), operation.number()));
    }

    private void onPutRejected(final Operation operation) {
        if (operation.kind() != Action.Kind.PUT) {
            return;
        }
        rejectedTexts.add(operation.text());
        if (effectiveTexts.contains(operation.text())) {
            reportViolation(
                    Property.REFUSED_ORDER,
                    "the put " + operation.text() + " took effect and was rejected: " + operation);
        }
    }

    private void checkFreshRead(final Operation operation, final Operation.Outcome.Value value) {
        if (operation.kind() != Action.Kind.READ) {
            return;
        }
        final int least = acknowledgements.stream()
                .filter(acknowledgement -> acknowledgement.step() < operation.start())
                .mapToInt(Acknowledgement::number)
                .max()
                .orElse(0);
        if (Documents.number(value.value()) < least) {
            reportViolation(Property.FRESH_READ, operation + " is older than the acknowledged number " + least);
        }
    }

    /** Checks that the histories of the configuration and of the zone are linearizable, if there is no violation yet. */
    void checkHistory() {
        if (violation.isEmpty()) {
            checkLinearizable("configuration", SequentialRegister.CONFIGURATION, history.configurationOperations());
            checkLinearizable("zone", SequentialRegister.ZONE, history.zoneOperations());
        }
    }

    private void checkLinearizable(
            final String what, final SequentialRegister register, final List<Operation> operations) {
        if (!LinearizabilityChecker.isLinearizable(register, operations)) {
            reportViolation(
                    Property.LINEARIZABLE, "the history of the " + what + " is not linearizable: " + operations);
        }
    }
}
