package silverlatch.state;

import java.util.List;

/**
 * Why a command is rejected. The code is stored with the command's outcome and is the HTTP status of the reply to its
 * client.
 */
enum RejectionCause {
    /** What the command names isn't there. */
    NOT_FOUND(404),
    /** The current revision is another than the command expects, or the claim is another request's. */
    CONFLICT(409),
    /** The command brings more than is taken at once. */
    TOO_LARGE(413),
    /** What the command brings is invalid. */
    INVALID(422),
    /** There is no space for more. */
    FULL(507);

    private final int code;

    RejectionCause(final int code) {
        this.code = code;
    }

    /** The code that is stored and sent. */
    int code() {
        return code;
    }

    /** A rejection without a write. */
    Evaluation reply(final String fault, final long currentRevision) {
        return reply(List.of(fault), currentRevision);
    }

    /** A rejection without a write, for several faults. */
    Evaluation reply(final List<String> faults, final long currentRevision) {
        return new Evaluation.Reply(new CommandResult.Rejected(code, faults, currentRevision));
    }
}
