package silverlatch.state;

import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.clock.Stamp;

/**
 * Read-only view of the state that one command is evaluated against: the committed entries, the entries that were
 * accepted after them and are not committed yet, and the sequence and stamp that the command's own writes would have.
 */
final class EvaluationContext {
    private final EntryTable committed;
    private final Map<String, Entry> overlay;
    private final long writeSequence;
    private final Stamp stamp;

    /**
     * Creates a context.
     *
     * @param committed     the committed entries
     * @param overlay       the uncommitted entries by key, which take precedence over the committed ones
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

    /** Returns the sequence that the command's own writes would have. */
    long writeSequence() {
        return writeSequence;
    }

    /** Returns the stamp that the command's own writes would have. */
    Stamp stamp() {
        return stamp;
    }

    /** Returns the newest committed sequence. */
    long committedSequence() {
        return committed.sequence();
    }

    /** Returns a write of a value to a key by the command. */
    Entry write(final String key, final Value value) {
        return new Entry(key, writeSequence, List.of(value));
    }

    /** Returns a deletion of a key by the command. */
    Entry delete(final String key) {
        return new Entry(key, writeSequence, List.of());
    }

    /** Returns the entry of a key, if it exists and is not deleted. */
    Optional<Entry> find(final String key) {
        return findAny(key).filter(entry -> !entry.isDeleted());
    }

    /** Returns the value of a key, if its entry exists and is not deleted. */
    <T extends Value> Optional<T> value(final String key, final Class<T> type) {
        return find(key).map(entry -> type.cast(entry.value().get(0)));
    }

    /** Returns the sequence that last wrote or deleted a key, 0 if there is neither an entry nor a tombstone. */
    long revisionOf(final String key) {
        return findAny(key).map(Entry::sequence).orElse(0L);
    }

    private Optional<Entry> findAny(final String key) {
        return Optional.ofNullable(overlay.get(key)).or(() -> committed.find(key));
    }

    /** Returns the newest sequence that wrote a row of the table. */
    long tableRevision() {
        return overlay.values().stream()
                .filter(entry -> entry.key().startsWith(EntryKeys.ROWS))
                .mapToLong(Entry::sequence)
                .reduce(committed.tableRevision(), Math::max);
    }

    /** Returns the number of claims. A claim that has an uncommitted change and is committed already counts twice. */
    long claimCount() {
        return committed.claimCount()
                + overlay.keySet().stream()
                        .filter(key -> key.startsWith(EntryKeys.CLAIMS))
                        .count();
    }

    /** Returns the epoch. */
    long epoch() {
        return value(EntryKeys.EPOCH, Value.Epoch.class)
                .map(Value.Epoch::number)
                .orElse(0L);
    }

    /** Returns the entries whose keys start with a prefix, without deleted ones. The caller may modify the map. */
    Map<String, Entry> withPrefix(final String prefix) {
        final Map<String, Entry> live = new HashMap<>(committed.withPrefix(prefix));
        overlay.values().stream()
                .filter(entry -> entry.key().startsWith(prefix))
                .forEach(entry -> live.put(entry.key(), entry));
        live.values().removeIf(Entry::isDeleted);
        return live;
    }

    /** Returns the committed entries whose keys start with a prefix, including tombstones, sorted by key. */
    Collection<Entry> committedWithPrefix(final String prefix) {
        return committed.withPrefix(prefix).values();
    }
}
