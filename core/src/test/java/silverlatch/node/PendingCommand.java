package silverlatch.node;

import java.util.Optional;
import silverlatch.state.CommandResult;

/** A command that an operator submitted, and what the operator learnt of it. */
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

    /** Returns when the answer came, or 0 while there is none. */
    long endedAt() {
        return endedAt;
    }

    long sentAt() {
        return sentAt;
    }
}
