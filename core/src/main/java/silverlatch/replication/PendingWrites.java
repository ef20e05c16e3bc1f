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
 * The writes whose reply waits until an entry is committed, and the replies themselves. {@link WriteAdmission} adds to it; {@link
 * ChainReplica} reports what is committed, or dropped with the log or the disk.
 *
 * <p>Invariant: a result is sent only when all that it rests on is committed; whoever waits for an entry that may be dropped is told that
 * the outcome is unknown.
 */
final class PendingWrites {
    private static final String OUTCOME_PREFIX = "o/";
    private final Function<String, Optional<Entry>> committedEntries;
    private final EffectQueue effects;
    private final Map<Long, List<PendingWrite>> writesBySequence = new HashMap<>();

    /** Replies from the committed state, which gives the entry of a key. */
    PendingWrites(final Function<String, Optional<Entry>> committedEntries, final EffectQueue effects) {
        this.committedEntries = committedEntries;
        this.effects = effects;
    }

    /** The key under which the outcome of a command is kept. */
    static String outcomeKey(final String commandId) {
        return OUTCOME_PREFIX + commandId;
    }

    /** Replies with the recorded outcome once the entry of this sequence is committed. */
    void replyWhenCommitted(final long sequence, final ChainClientMessage.WriteRequest request) {
        add(sequence, new PendingWrite(request, Optional.empty()));
    }

    /** Replies with this rejection once the entry of this sequence, on which it rests, is committed. */
    void rejectWhenCommitted(
            final long sequence, final ChainClientMessage.WriteRequest request, final CommandResult rejection) {
        add(sequence, new PendingWrite(request, Optional.of(rejection)));
    }

    private void add(final long sequence, final PendingWrite waiting) {
        writesBySequence.computeIfAbsent(sequence, key -> new ArrayList<>()).add(waiting);
    }

    /** The entry of this sequence was committed. */
    void onCommitted(final long sequence) {
        Optional.ofNullable(writesBySequence.remove(sequence))
                .ifPresent(ready -> ready.forEach(waiting -> replyCommitted(waiting, sequence)));
    }

    private void replyCommitted(final PendingWrite waiting, final long sequence) {
        final ChainClientMessage.WriteRequest request = waiting.request();
        reply(
                request,
                waiting.rejection().orElseGet(() -> outcomeOf(request.command().id(), sequence)));
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

    /** The entries that are waited for may be dropped: all that wait are told that the outcome is unknown. */
    void abandon() {
        writesBySequence
                .values()
                .forEach(abandoned -> abandoned.forEach(waiting -> reply(
                        waiting.request(),
                        new CommandResult.Unknown(waiting.request().command().id()))));
        writesBySequence.clear();
    }

    /** Replies to a write at once. */
    void reply(final ChainClientMessage.WriteRequest request, final CommandResult result) {
        if (result instanceof CommandResult.Rejected rejected) {
            effects.log(Event.CHANGE_REJECTED, request.command().id() + " " + rejected.code());
        }
        replyWithoutLogging(request, result);
    }

    /** Sends a result without logging it. */
    void replyWithoutLogging(final ChainClientMessage.WriteRequest request, final CommandResult result) {
        effects.send(request.replyTo(), new ChainClientMessage.WriteReply(request.requestId(), result));
    }

    private record PendingWrite(ChainClientMessage.WriteRequest request, Optional<CommandResult> rejection) {}
}
