package silverlatch.replication;

import silverlatch.state.Command;

/** One put of a configuration as an operator wrote it, and what came of its calls; every call of it is the same to the letter. */
final class OperatorWrite {
    private final Command.PutConfiguration command;
    private final boolean isInvalid;
    private int acknowledgements;
    private int rejections;
    private boolean isAnswered;
    private long nextAttemptMicros;

    OperatorWrite(final Command.PutConfiguration command, final boolean isInvalid) {
        this.command = command;
        this.isInvalid = isInvalid;
    }

    Command.PutConfiguration command() {
        return command;
    }

    /** The number of the configuration that the order puts. */
    long number() {
        return command.configuration().number();
    }

    /** The text of the configuration document, unlike any other order's. */
    String document() {
        return command.document();
    }

    /** Whether the validator must refuse the order. */
    boolean isInvalid() {
        return isInvalid;
    }

    int acknowledgements() {
        return acknowledgements;
    }

    int rejections() {
        return rejections;
    }

    boolean isAcknowledged() {
        return acknowledgements > 0;
    }

    void recordAcknowledgement() {
        acknowledgements++;
    }

    void recordRejection() {
        rejections++;
    }

    /** The operator has heard a clear answer and sends the order no more by itself. */
    void markAnswered() {
        isAnswered = true;
    }

    /** Whether the operator is to send the order again at this time, in microseconds. */
    boolean isDue(final long nowMicros) {
        return !isAnswered && nextAttemptMicros <= nowMicros;
    }

    void retryAt(final long micros) {
        nextAttemptMicros = micros;
    }

    @Override
    public String toString() {
        return command.document() + " on " + command.expectedRevision() + (isInvalid ? " (invalid)" : "") + ": "
                + acknowledgements + " acknowledged, " + rejections + " refused";
    }
}
