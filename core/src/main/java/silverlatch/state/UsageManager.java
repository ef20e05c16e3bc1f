package silverlatch.state;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Evaluates commands that close usage windows or record which window was reported. The counts of the first committed
 * close of a window are final: every process that reports the window reports these, so two reports of one window never
 * differ.
 */
final class UsageManager {
    /**
     * Maximum number of retained closed windows; the oldest are evicted first. A window older than all retained ones
     * can't be closed any more.
     */
    static final int MAX_RETAINED = 256;

    /** Returns the key of a window's entry. */
    static String key(final long number) {
        return EntryKeys.USAGE_WINDOWS + String.format("%019d", number);
    }

    /** Closes a window. A window that is closed already keeps its counts, and the command is acknowledged. */
    Evaluation close(final Command.CloseUsageWindow command, final EvaluationContext context) {
        final String key = key(command.window().number());
        if (context.find(key).isPresent()) {
            return new Evaluation.Reply(new CommandResult.Applied(context.revisionOf(key)));
        }
        final TreeMap<String, Entry> retained = new TreeMap<>(context.withPrefix(EntryKeys.USAGE_WINDOWS));
        if (retained.size() >= MAX_RETAINED && key.compareTo(retained.firstKey()) < 0) {
            return RejectionCause.CONFLICT.reply("the window is older than all that are remembered", 0);
        }
        return new Evaluation.Write(writes(key, command.window(), retained, context));
    }

    /** Records that a window was reported, unless it or a later one is recorded already. */
    Evaluation markReported(final Command.MarkUsageReported command, final EvaluationContext context) {
        final boolean isAlreadyMarked = context.value(EntryKeys.USAGE_REPORTED, Value.UsageReported.class)
                .filter(reported -> reported.window() >= command.window())
                .isPresent();
        return isAlreadyMarked
                ? new Evaluation.Reply(new CommandResult.Applied(context.revisionOf(EntryKeys.USAGE_REPORTED)))
                : new Evaluation.Write(
                        List.of(context.write(EntryKeys.USAGE_REPORTED, new Value.UsageReported(command.window()))));
    }

    private static List<Entry> writes(
            final String key,
            final Value.UsageWindow window,
            final Map<String, Entry> retained,
            final EvaluationContext context) {
        final List<Entry> writes = new ArrayList<>();
        retained.keySet().stream()
                .limit(Math.max(0, retained.size() + 1 - MAX_RETAINED))
                .forEach(oldest -> writes.add(context.delete(oldest)));
        writes.add(context.write(key, window));
        return writes;
    }
}
