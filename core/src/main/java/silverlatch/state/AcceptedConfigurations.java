package silverlatch.state;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.ArrayList;
import java.util.Base64;
import java.util.List;
import java.util.Map;
import java.util.SortedMap;
import java.util.TreeMap;

/**
 * Replicated history of accepted routing configurations. A configuration command that is sent again is recognized by
 * it, regardless of how many other configurations were accepted since.
 *
 * <p>The history holds one {@link Value.AcceptedConfiguration} for each configuration number, stored as entries of the
 * state machine. It is therefore part of snapshots, of the repair of digest ranges and of every replica's log. It is
 * not policy (see {@link Entry#isPolicy}), so gateways don't receive it.
 */
final class AcceptedConfigurations {
    /**
     * Prefix of the keys. The number follows in decimal, padded with leading zeros, so that keys sort as numbers do.
     */
    static final String KEY_PREFIX = "a/";

    /**
     * Maximum number of retained configurations; the oldest are evicted first. There are hundreds of changes a day and
     * a command is sent again within the day, so 4,096 cover several days. At about 100 bytes each they take 0.4 MB of
     * a disk of 64 MB.
     */
    static final int MAX_RETAINED = 4_096;

    private static final String REJECTION_PREFIX = EntryKeys.OUTCOMES + "refused/";

    private AcceptedConfigurations() {}

    /** Returns the key of the entry for a configuration number. */
    static String key(final long number) {
        return KEY_PREFIX + String.format("%019d", number);
    }

    /**
     * Returns the key under which the rejection of a command is stored. It does not depend on the command's id, so that
     * a copy sent under another id finds the rejection too.
     */
    static String rejectionKey(final Command.PutConfiguration command) {
        return REJECTION_PREFIX + command.expectedRevision() + "-"
                + command.configuration().number() + "-" + digest(command.document());
    }

    /**
     * Returns whether a command is the one that was accepted: it has the same document and expects the same revision.
     * The same document on top of another revision is a different command. A command without an expected revision
     * (negative) is compared by its document alone.
     */
    static boolean isSameCommand(final Value.AcceptedConfiguration accepted, final Command.PutConfiguration command) {
        return (command.expectedRevision() < 0 || command.expectedRevision() == accepted.expectedRevision())
                && accepted.digest().equals(digest(command.document()));
    }

    /**
     * Returns the highest number whose configuration may have been accepted and evicted since; 0 if there is none.
     *
     * @param retained      the entries under {@link #KEY_PREFIX}
     * @param currentNumber the number in force
     */
    static long highestEvictedNumber(final SortedMap<String, Entry> retained, final long currentNumber) {
        return retained.isEmpty()
                ? Math.max(0, currentNumber - 1)
                : value(retained.get(retained.firstKey())).previousNumber();
    }

    /**
     * Returns the entries that accepting a command writes: its own entry, and deletions of the oldest entries over the
     * limit.
     */
    static List<Entry> writes(
            final Command.PutConfiguration command,
            final Map<String, Entry> retained,
            final long currentNumber,
            final long sequence) {
        final SortedMap<String, Entry> byNumber = new TreeMap<>(retained);
        final List<Entry> writes = new ArrayList<>();
        byNumber.keySet().stream()
                .limit(Math.max(0, byNumber.size() + 1 - MAX_RETAINED))
                .forEach(key -> writes.add(new Entry(key, sequence, List.of())));
        final Value.AcceptedConfiguration accepted = new Value.AcceptedConfiguration(
                command.configuration().number(),
                command.expectedRevision(),
                currentNumber,
                digest(command.document()));
        writes.add(new Entry(key(accepted.number()), sequence, List.of(accepted)));
        return writes;
    }

    static Value.AcceptedConfiguration value(final Entry entry) {
        return (Value.AcceptedConfiguration) entry.value().get(0);
    }

    private static String digest(final String text) {
        try {
            final byte[] hash = MessageDigest.getInstance("SHA-256").digest(text.getBytes(StandardCharsets.UTF_8));
            return Base64.getUrlEncoder().withoutPadding().encodeToString(hash);
        } catch (final NoSuchAlgorithmException missing) {
            throw new IllegalStateException(
                    "SHA-256 is not available, although every Java platform must provide it", missing);
        }
    }
}
