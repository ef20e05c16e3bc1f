package silverlatch.node;

import java.util.Optional;

/** A question whether a majority of the controllers holds a report, and the answer to it. */
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

    /** Returns when the answer came, or 0 while there is none. */
    long endedAt() {
        return endedAt;
    }
}
