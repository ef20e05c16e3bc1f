package silverlatch.replication;

import java.util.Optional;
import silverlatch.state.CommandResult;

/** A command or read submitted to a client of a {@link ReplicaCluster}, and its answer once it arrived. Times are microseconds. */
final class PendingCall {
    private final long calledAt;
    private Optional<Object> answer = Optional.empty();
    private long answeredAt;

    PendingCall(final long calledAt) {
        this.calledAt = calledAt;
    }

    /** Records the answer, a result of a command or of a read, which arrived at this time. */
    void complete(final Object result, final long atMicros) {
        answer = Optional.of(result);
        answeredAt = atMicros;
    }

    /** Returns whether the answer says that the command was applied. */
    boolean isAcknowledged() {
        return answer.filter(CommandResult.Applied.class::isInstance).isPresent();
    }

    long calledAt() {
        return calledAt;
    }

    /** Returns the time from call to answer; zero or less before the answer. */
    long latency() {
        return answeredAt - calledAt;
    }

    /** Returns the answer, if it arrived. */
    Optional<Object> answer() {
        return answer;
    }

    /** Returns the answer; throws NoSuchElementException if none arrived. */
    Object answerOrThrow() {
        return answer.orElseThrow();
    }
}
