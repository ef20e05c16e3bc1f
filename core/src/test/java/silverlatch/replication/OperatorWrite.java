package silverlatch.replication;

import silverlatch.state.Command;

/** One configuration write of an operator and the outcomes of its attempts, which are identical except for the command id. */
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

    /** Returns the number of the configuration that is written. */
    long number() {
        return command.configuration().number();
    }

    /** Returns the text of the configuration document, which is unique to this write. */
    String document() {
        return command.document();
    }

    /** Returns whether the validator must reject this write. */
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

    /** Records that the operator knows the outcome, so that the write is no longer due for a retry. */
    void markAnswered() {
        isAnswered = true;
    }

    /** Returns whether the operator retries the write at this time, in microseconds. */
    boolean isDue(final long nowMicros) {
        return !isAnswered && nextAttemptMicros <= nowMicros;
    }

    void retryAt(final long micros) {
        nextAttemptMicros = micros;
    }

    @Override
    public String toString() {
        return command.document() + " on " + command.expectedRevision() + (isInvalid ? " (invalid)" : "") + ": "
                + acknowledgements + " acknowledged, " + rejections + " rejected";
    }
}
