package silverlatch.state;

import java.util.List;

/**
 * Reason for rejecting a command. The code is stored with the command's outcome and is the HTTP status of the reply to
 * the client.
 */
enum RejectionCause {
    /** The entry that the command refers to doesn't exist. */
    NOT_FOUND(404),
    /** The current revision is not the one that the command expects, or the claim belongs to another request. */
    CONFLICT(409),
    /** The command contains more than is accepted in one command. */
    TOO_LARGE(413),
    /** The content of the command is invalid. */
    INVALID(422),
    /** A limit on the number of stored entries is reached. */
    FULL(507);

    private final int code;

    RejectionCause(final int code) {
        this.code = code;
    }

    /** Returns the code that is stored and sent. */
    int code() {
        return code;
    }

    /** Returns a rejection without a write. */
    Evaluation reply(final String fault, final long currentRevision) {
        return reply(List.of(fault), currentRevision);
    }

    /** Returns a rejection without a write, for several faults. */
    Evaluation reply(final List<String> faults, final long currentRevision) {
        return new Evaluation.Reply(new CommandResult.Rejected(code, faults, currentRevision));
    }
}
