package silverlatch.state;

import java.util.List;
import java.util.function.Supplier;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;

/**
 * Writes single entries under optimistic concurrency control: a command that expects a revision takes effect only while
 * that is the current one. A negative expected revision disables the check.
 */
final class CompareAndSet {
    private static final int PREFIX_LENGTH = 2;
    private final Safeguards safeguards;

    CompareAndSet(final Safeguards safeguards) {
        this.safeguards = safeguards;
    }

    /** Returns whether a command expects another revision than the current one. */
    boolean isConflict(final long expectedRevision, final long currentRevision) {
        return expectedRevision >= 0
                && expectedRevision != currentRevision
                && safeguards.isEnabled(Safeguard.COMPARE_AND_SET);
    }

    /** Writes a value to one key. Rejects the command on a conflict, or if the validation finds faults. */
    Evaluation put(
            final EvaluationContext context,
            final String id,
            final String key,
            final long expectedRevision,
            final Value value,
            final Supplier<List<String>> faults) {
        return set(context, id, context.write(key, value), expectedRevision, faults);
    }

    /** Deletes one key. Rejects the command on a conflict. */
    Evaluation delete(final EvaluationContext context, final String id, final String key, final long expectedRevision) {
        return set(context, id, context.delete(key), expectedRevision, List::of);
    }

    private Evaluation set(
            final EvaluationContext context,
            final String id,
            final Entry write,
            final long expectedRevision,
            final Supplier<List<String>> validation) {
        final long currentRevision = context.revisionOf(write.key());
        if (isConflict(expectedRevision, currentRevision)) {
            return RejectionCause.CONFLICT.reply(
                    write.key().substring(PREFIX_LENGTH) + " is at sequence " + currentRevision, currentRevision);
        }
        final List<String> faults = validation.get();
        return faults.isEmpty()
                ? CommandOutcomes.writeAcceptance(context, List.of(write), id)
                : RejectionCause.INVALID.reply(faults, currentRevision);
    }
}
