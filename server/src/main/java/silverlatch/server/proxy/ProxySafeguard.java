package silverlatch.server.proxy;

import java.util.Set;

/**
 * A check that keeps responses and requests apart. The programs have all of them enabled; a test disables one to see that its checker
 * notices.
 */
enum ProxySafeguard {
    /** A response counts only if it echoes the request id that was sent. */
    REQUEST_ID_ECHO,
    /** A request that has begun to leave counts as one that may be executed. */
    SENT_MAY_BE_EXECUTED,
    /** A connection on which bytes followed a complete response is not used again. */
    LEFTOVER_BYTES,
    /** A success needs a body whose end can be told from a broken connection. */
    SELF_DELIMITED_BODY,
    /** A status that promises something is forwarded only with the worker's statement that it did not execute the request. */
    NOT_EXECUTED_STATEMENT,
    /** A head that is not committed is replaced as a whole by that of the next attempt. */
    HEAD_RESET,
    /** A success bears the worker's seal. */
    SEAL;

    /** The safeguards that are disabled in the programs: none. */
    static final Set<ProxySafeguard> NONE_DISABLED = Set.of();
}
