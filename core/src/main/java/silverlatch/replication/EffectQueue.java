package silverlatch.replication;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.LongConsumer;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;
import silverlatch.node.Event;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;
import silverlatch.wire.Message;

/**
 * The queue of effects (messages, log writes, log events) that a replica requests, in order, and the callbacks of unsynced writes to the
 * log. All components of a replica add to it; the event loop drains it after each event.
 *
 * <p>Invariant: each token is used for one write, and the callback of a write is called at most once, by {@link #completeWrite}.
 */
final class EffectQueue {
    private final Safeguards safeguards;
    private final List<Effect> effects = new ArrayList<>();
    private final Map<Long, UnsyncedWrite> unsyncedWrites = new LinkedHashMap<>();
    private long lastToken;

    /** Creates a queue whose tokens continue after the last one of an earlier queue of this process, or start at 1 after 0. */
    EffectQueue(final Safeguards safeguards, final long lastToken) {
        this.safeguards = safeguards;
        this.lastToken = lastToken;
    }

    /** Requests to send a message to the process that listens at the address. */
    void send(final String address, final Message message) {
        effects.add(new Effect.Send(address, message));
    }

    /** Requests to log a numbered event. */
    void log(final Event event, final String text) {
        effects.add(new Effect.Log(event, text));
    }

    /** Requests to write records to the log and to sync them; calls {@code onSynced} with the time at which they were synced. */
    void persist(final List<LogRecord> records, final long now, final LongConsumer onSynced) {
        lastToken++;
        // Without this safeguard, promises and acceptances count as synced at once, and a crash may lose them.
        final boolean completesBeforeSync = !safeguards.isEnabled(Safeguard.PROMISE) && isVote(records.get(0));
        if (completesBeforeSync) {
            onSynced.accept(now);
        }
        unsyncedWrites.put(lastToken, new UnsyncedWrite(now, completesBeforeSync ? syncedAt -> {} : onSynced));
        effects.add(new Effect.Persist(lastToken, records));
    }

    /** Requests to write records to the log, without a callback. */
    void persist(final List<LogRecord> records, final long now) {
        persist(records, now, syncedAt -> {});
    }

    private static boolean isVote(final LogRecord record) {
        return record instanceof LogRecord.Promised || record instanceof LogRecord.Accepted;
    }

    /** Completes the write of this token, which was synced, and calls its callback. */
    void completeWrite(final long token, final long now) {
        Optional.ofNullable(unsyncedWrites.remove(token))
                .ifPresent(write -> write.onSynced().accept(now));
    }

    /** Returns whether all writes are synced. */
    boolean isAllSynced() {
        return unsyncedWrites.isEmpty();
    }

    /** Returns whether the oldest unsynced write has been unsynced for longer than the limit, in microseconds. */
    boolean isStalled(final long limitMicros, final long now) {
        return unsyncedWrites.values().stream()
                .findFirst()
                .map(write -> now - write.startedAt() > limitMicros)
                .orElse(false);
    }

    /** Drops all unsynced writes and their callbacks, as the disk failed. */
    void abandonWrites() {
        unsyncedWrites.clear();
    }

    /** Returns the token of the last write. */
    long lastToken() {
        return lastToken;
    }

    /** Returns the queued effects and clears the queue. */
    List<Effect> drain() {
        final List<Effect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    private record UnsyncedWrite(long startedAt, LongConsumer onSynced) {}
}
