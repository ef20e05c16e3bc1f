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
 * What a replica wants done in the world, in order, and what it does once a write to the log is synced. All parts of a replica add to
 * it; the event loop drains it after each event.
 *
 * <p>Invariant: each token is used once, and its continuation runs at most once, when {@link #completeWrite} reports it.
 */
final class EffectQueue {
    private final Safeguards safeguards;
    private final List<Effect> effects = new ArrayList<>();
    private final Map<Long, UnsyncedWrite> unsyncedWrites = new LinkedHashMap<>();
    private long lastToken;

    /** A queue whose tokens go on from the last one of an earlier queue of this process. */
    EffectQueue(final Safeguards safeguards, final long lastToken) {
        this.safeguards = safeguards;
        this.lastToken = lastToken;
    }

    /** Sends a message to the process that listens at the address. */
    void send(final String address, final Message message) {
        effects.add(new Effect.Send(address, message));
    }

    /** Logs a numbered event. */
    void log(final Event event, final String text) {
        effects.add(new Effect.Log(event, text));
    }

    /** Writes records to the log; the continuation runs with the time at which they were synced. */
    void persist(final List<LogRecord> records, final long now, final LongConsumer onSynced) {
        lastToken++;
        final boolean completesBeforeSync = !safeguards.isEnabled(Safeguard.PROMISE) && isVote(records.get(0));
        if (completesBeforeSync) {
            onSynced.accept(now);
        }
        unsyncedWrites.put(lastToken, new UnsyncedWrite(now, completesBeforeSync ? syncedAt -> {} : onSynced));
        effects.add(new Effect.Persist(lastToken, records));
    }

    /** Writes records to the log, where nothing waits for the sync. */
    void persist(final List<LogRecord> records, final long now) {
        persist(records, now, syncedAt -> {});
    }

    private static boolean isVote(final LogRecord record) {
        return record instanceof LogRecord.Promised || record instanceof LogRecord.Accepted;
    }

    /** The write of this token was synced. */
    void completeWrite(final long token, final long now) {
        Optional.ofNullable(unsyncedWrites.remove(token))
                .ifPresent(write -> write.onSynced().accept(now));
    }

    /** Whether all that was written is synced. */
    boolean isAllSynced() {
        return unsyncedWrites.isEmpty();
    }

    /** Whether the oldest unsynced write has waited for longer than this, in microseconds. */
    boolean isStalled(final long limitMicros, final long now) {
        return unsyncedWrites.values().stream()
                .findFirst()
                .map(write -> now - write.startedAt() > limitMicros)
                .orElse(false);
    }

    /** Forgets the continuations of all unsynced writes, as the disk failed. */
    void abandonWrites() {
        unsyncedWrites.clear();
    }

    /** The token of the last write. */
    long lastToken() {
        return lastToken;
    }

    /** Hands over what is to be done, once. */
    List<Effect> drain() {
        final List<Effect> drained = List.copyOf(effects);
        effects.clear();
        return drained;
    }

    private record UnsyncedWrite(long startedAt, LongConsumer onSynced) {}
}
