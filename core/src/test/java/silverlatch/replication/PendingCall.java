package silverlatch.replication;

import java.util.Optional;
import silverlatch.state.CommandResult;

/** A command or read that was given to a client of a {@link ReplicaCluster}: what came of it, and when, in microseconds. */
final class PendingCall {
    private final long calledAt;
    private Optional<Object> answer = Optional.empty();
    private long answeredAt;

    PendingCall(final long calledAt) {
        this.calledAt = calledAt;
    }

    /** The answer came at this time; a result of a command or of a read. */
    void complete(final Object result, final long atMicros) {
        answer = Optional.of(result);
        answeredAt = atMicros;
    }

    /** Whether a command was applied. */
    boolean isAcknowledged() {
        return answer.filter(CommandResult.Applied.class::isInstance).isPresent();
    }

    long calledAt() {
        return calledAt;
    }

    /** The time from call to answer; not above zero before the answer. */
    long latency() {
        return answeredAt - calledAt;
    }

    /** The answer, if it came. */
    Optional<Object> answer() {
        return answer;
    }

    /** The answer; throws NoSuchElementException if none came. */
    Object answerOrThrow() {
        return answer.orElseThrow();
    }
}
