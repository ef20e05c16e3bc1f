package silverlatch.server.proxy;

import java.util.Set;

/**
 * A check that prevents responses from being matched to the wrong request, and requests from being executed twice. All of them
 * are enabled in production; a test disables one to verify that its checker detects the resulting violations.
 */
enum ProxySafeguard {
    /** A response is accepted only if it echoes the request id that was sent. */
    REQUEST_ID_ECHO,
    /** A request whose sending has begun is treated as possibly executed. */
    SENT_MAY_BE_EXECUTED,
    /** A connection to a worker on which bytes followed a complete response is not reused. */
    LEFTOVER_BYTES,
    /** A success is accepted only if the end of its body can be distinguished from a broken connection. */
    SELF_DELIMITED_BODY,
    /** A status that invites a retry (408, 429, 503) is accepted only with the worker's statement that it did not execute the request. */
    NOT_EXECUTED_STATEMENT,
    /** Status and headers of an uncommitted response are replaced as a whole by those of the next attempt. */
    HEAD_RESET,
    /** A success is accepted only if it has exactly one worker's seal. */
    SEAL;

    /** The disabled safeguards in production: none. */
    static final Set<ProxySafeguard> NONE_DISABLED = Set.of();
}
