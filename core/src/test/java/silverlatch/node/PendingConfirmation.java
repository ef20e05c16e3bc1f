package silverlatch.node;

import java.util.Optional;

/** A query whether a majority of the controllers holds a report, and its reply once that has arrived. */
final class PendingConfirmation {
    private final long sentAt;
    private Optional<Boolean> answer = Optional.empty();
    private long endedAt;

    PendingConfirmation(final long sentAt) {
        this.sentAt = sentAt;
    }

    void complete(final boolean isHeld, final long now) {
        answer = Optional.of(isHeld);
        endedAt = now;
    }

    boolean isAnswered() {
        return answer.isPresent();
    }

    boolean isHeld() {
        return answer.orElse(false);
    }

    long sentAt() {
        return sentAt;
    }

    /** Returns the time at which the reply arrived, or 0 if there is none yet. */
    long endedAt() {
        return endedAt;
    }
}
