package silverlatch.state;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.clock.Stamp;

/**
 * What one command is evaluated against: the committed entries, those that were accepted after them and are not
 * committed yet, and the sequence and stamp that the command's own writes would have. It changes nothing.
 */
final class EvaluationContext {
    private final EntryTable committed;
    private final Map<String, Entry> overlay;
    private final long writeSequence;
    private final Stamp stamp;

    /**
     * A context.
     *
     * @param committed     the committed entries
     * @param overlay       the uncommitted entries by key, which hide the committed ones
     * @param writeSequence the sequence of the command's own writes
     * @param stamp         the stamp of the command's own writes
     */
    EvaluationContext(
            final EntryTable committed, final Map<String, Entry> overlay, final long writeSequence, final Stamp stamp) {
        this.committed = committed;
        this.overlay = overlay;
        this.writeSequence = writeSequence;
        this.stamp = stamp;
    }

    /** The sequence that the command's own writes would have. */
    long writeSequence() {
        return writeSequence;
    }

    /** The stamp that the command's own writes would have. */
    Stamp stamp() {
        return stamp;
    }

    /** The newest committed sequence. */
    long committedSequence() {
        return committed.sequence();
    }

    /** An entry that the command writes. */
    Entry write(final String key, final Value value) {
        return new Entry(key, writeSequence, List.of(value));
    }

    /** The deletion of an entry by the command. */
    Entry delete(final String key) {
        return new Entry(key, writeSequence, List.of());
    }

    /** The entry of a key, if it is there and not deleted. */
    Optional<Entry> find(final String key) {
        return findAny(key).filter(entry -> !entry.isDeleted());
    }

    /** What a key holds, if it is there and not deleted. */
    <T extends Value> Optional<T> value(final String key, final Class<T> type) {
        return find(key).map(entry -> type.cast(entry.value().get(0)));
    }

    /** The sequence that last wrote a key or deleted it; 0 where nothing is known of it. */
    long revisionOf(final String key) {
        return findAny(key).map(Entry::sequence).orElse(0L);
    }

    private Optional<Entry> findAny(final String key) {
        return Optional.ofNullable(overlay.get(key)).or(() -> committed.find(key));
    }

    /** The newest sequence that wrote a row of the table. */
    long tableRevision() {
        return overlay.values().stream()
                .filter(entry -> entry.key().startsWith(EntryKeys.ROWS))
                .mapToLong(Entry::sequence)
                .reduce(committed.tableRevision(), Math::max);
    }

    /** How many claims there are; one that is rewritten and not committed yet counts twice. */
    long claimCount() {
        return committed.claimCount()
                + overlay.keySet().stream()
                        .filter(key -> key.startsWith(EntryKeys.CLAIMS))
                        .count();
    }

    /** The epoch. */
    long epoch() {
        return value(EntryKeys.EPOCH, Value.Epoch.class)
                .map(Value.Epoch::number)
                .orElse(0L);
    }

    /** The entries whose keys start so, without deleted ones; the caller may change the map. */
    Map<String, Entry> withPrefix(final String prefix) {
        final Map<String, Entry> live = new HashMap<>(committed.withPrefix(prefix));
        overlay.values().stream()
                .filter(entry -> entry.key().startsWith(prefix))
                .forEach(entry -> live.put(entry.key(), entry));
        live.values().removeIf(Entry::isDeleted);
        return live;
    }

    /** The committed entries whose keys start so, tombstones too, in the order of their keys. */
    Collection<Entry> committedWithPrefix(final String prefix) {
        return committed.withPrefix(prefix).values();
    }
}
