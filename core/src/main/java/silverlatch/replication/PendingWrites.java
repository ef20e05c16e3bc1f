package silverlatch.replication;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import silverlatch.node.Event;
import silverlatch.state.CommandResult;
import silverlatch.state.Entry;
import silverlatch.state.Value;
import silverlatch.wire.ChainClientMessage;

/**
 * The client writes whose reply is pending until an entry is committed; it also sends the replies. {@link WriteAdmission} adds to it;
 * {@link ChainReplica} reports entries that were committed, or that may be dropped because of a new view or a disk failure.
 *
 * <p>Invariant: a result is sent only after all entries that it depends on are committed. If such an entry may be dropped, the reply is
 * that the outcome is unknown.
 */
final class PendingWrites {
    private static final String OUTCOME_PREFIX = "o/";
    private final Function<String, Optional<Entry>> committedEntries;
    private final EffectQueue effects;
    private final Map<Long, List<PendingWrite>> writesBySequence = new HashMap<>();

    /** Creates an empty instance; {@code committedEntries} returns the committed state entry of a key. */
    PendingWrites(final Function<String, Optional<Entry>> committedEntries, final EffectQueue effects) {
        this.committedEntries = committedEntries;
        this.effects = effects;
    }

    /** Returns the key of the state entry that stores the outcome of a command. */
    static String outcomeKey(final String commandId) {
        return OUTCOME_PREFIX + commandId;
    }

    /** Replies with the recorded outcome of the command once the entry with this sequence number is committed. */
    void replyWhenCommitted(final long sequence, final ChainClientMessage.WriteRequest request) {
        add(sequence, new PendingWrite(request, Optional.empty()));
    }

    /** Replies with this rejection once the entry with this sequence number, on which it depends, is committed. */
    void rejectWhenCommitted(
            final long sequence, final ChainClientMessage.WriteRequest request, final CommandResult rejection) {
        add(sequence, new PendingWrite(request, Optional.of(rejection)));
    }

    private void add(final long sequence, final PendingWrite write) {
        writesBySequence.computeIfAbsent(sequence, key -> new ArrayList<>()).add(write);
    }

    /** Sends the replies that were waiting for the entry with this sequence number, which was committed. */
    void onCommitted(final long sequence) {
        Optional.ofNullable(writesBySequence.remove(sequence))
                .ifPresent(ready -> ready.forEach(write -> replyCommitted(write, sequence)));
    }

    private void replyCommitted(final PendingWrite write, final long sequence) {
        final ChainClientMessage.WriteRequest request = write.request();
        reply(
                request,
                write.rejection().orElseGet(() -> outcomeOf(request.command().id(), sequence)));
    }

    private CommandResult outcomeOf(final String commandId, final long sequence) {
        return committedEntries
                .apply(outcomeKey(commandId))
                .map(entry -> (Value.CommandOutcome) entry.value().get(0))
                .filter(outcome -> outcome.code() != 0)
                .map(outcome -> (CommandResult)
                        new CommandResult.Rejected(outcome.code(), outcome.faults(), outcome.sequence()))
                .orElse(new CommandResult.Applied(sequence));
    }

    /** Replies to all pending writes that their outcome is unknown, as the entries they wait for may be dropped. */
    void abandon() {
        writesBySequence
                .values()
                .forEach(abandoned -> abandoned.forEach(write -> reply(
                        write.request(),
                        new CommandResult.Unknown(write.request().command().id()))));
        writesBySequence.clear();
    }

    /** Replies to a write at once, and logs a rejection. */
    void reply(final ChainClientMessage.WriteRequest request, final CommandResult result) {
        if (result instanceof CommandResult.Rejected rejected) {
            effects.log(Event.CHANGE_REJECTED, request.command().id() + " " + rejected.code());
        }
        replyWithoutLogging(request, result);
    }

    /** Replies to a write at once, without logging a rejection. */
    void replyWithoutLogging(final ChainClientMessage.WriteRequest request, final CommandResult result) {
        effects.send(request.replyTo(), new ChainClientMessage.WriteReply(request.requestId(), result));
    }

    private record PendingWrite(ChainClientMessage.WriteRequest request, Optional<CommandResult> rejection) {}
}
