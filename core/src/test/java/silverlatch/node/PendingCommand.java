package silverlatch.node;

import java.util.Optional;
import silverlatch.state.CommandResult;

/** A command submitted by an operator, and its result once that is known to the operator. */
final class PendingCommand {
    private final long sentAt;
    private Optional<CommandResult> result = Optional.empty();
    private long endedAt;

    PendingCommand(final long sentAt) {
        this.sentAt = sentAt;
    }

    void complete(final CommandResult answer, final long now) {
        result = Optional.of(answer);
        endedAt = now;
    }

    boolean isAcknowledged() {
        return result.filter(r -> r instanceof CommandResult.Applied).isPresent();
    }

    boolean isRejected() {
        return result.filter(r -> r instanceof CommandResult.Rejected).isPresent();
    }

    /** Returns the time at which the result arrived, or 0 if there is none yet. */
    long endedAt() {
        return endedAt;
    }

    long sentAt() {
        return sentAt;
    }
}
