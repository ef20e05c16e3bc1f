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
 * The replicated history of accepted routing configurations, by which a command that is sent again is known however many
 * have followed it. It holds one {@link Value.AcceptedConfiguration} a number, as entries of the state machine: so it is
 * in snapshots, in repairs by range and in every replica's log. It is no policy, and gateways don't have it.
 */
final class AcceptedConfigurations {
    /** How the keys begin; the number follows in decimal with leading zeros, so that keys sort as numbers do. */
    static final String KEY_PREFIX = "a/";

    /**
     * How many are remembered, the oldest being forgotten. A day holds hundreds of changes and a command is sent again
     * within the day, so 4,096 are several days'; at about 100 bytes each they take 0.4 MB of a disk of 64.
     */
    static final int MAX_RETAINED = 4_096;

    private static final String REJECTION_PREFIX = EntryKeys.OUTCOMES + "refused/";

    private AcceptedConfigurations() {}

    /** The key of a number's entry. */
    static String key(final long number) {
        return KEY_PREFIX + String.format("%019d", number);
    }

    /** The key under which the refusal of a command is kept, whatever id it comes with. */
    static String rejectionKey(final Command.PutConfiguration command) {
        return REJECTION_PREFIX + command.expectedRevision() + "-"
                + command.configuration().number() + "-" + digest(command.document());
    }

    /**
     * Whether a command is the one that was accepted: the same document, on top of the same number. The same document on
     * top of another number is another command. One that asks for no comparison is known by its document.
     */
    static boolean isSameCommand(final Value.AcceptedConfiguration accepted, final Command.PutConfiguration command) {
        return (command.expectedRevision() < 0 || command.expectedRevision() == accepted.expectedRevision())
                && accepted.digest().equals(digest(command.document()));
    }

    /**
     * The highest number that may have been accepted and forgotten since; 0 where none was.
     *
     * @param retained    the entries under {@link #KEY_PREFIX}
     * @param currentNumber the number in force
     */
    static long highestEvictedNumber(final SortedMap<String, Entry> retained, final long currentNumber) {
        return retained.isEmpty()
                ? Math.max(0, currentNumber - 1)
                : value(retained.get(retained.firstKey())).previousNumber();
    }

    /** What accepting a command writes: its own entry, and the deletion of those beyond the bound. */
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
            throw new IllegalStateException("every Java platform has SHA-256", missing);
        }
    }
}
