package silverlatch.server.proxy;

import java.util.Set;

/**
 * A check that keeps responses and requests apart. The programs keep all of them up; a test lets one down to see that its
 * checker notices.
 */
enum ProxySafeguard {
    /** A response counts only if it echoes the attempt id that was sent. */
    ATTEMPT_ID_ECHO,
    /** A request that has begun to leave counts as one that may have run. */
    SENT_MAY_HAVE_RUN,
    /** A connection on which bytes followed a whole response is not used again. */
    LEFTOVER_BYTES,
    /** A success needs a body whose end can be told from a broken connection. */
    SELF_DELIMITED_BODY,
    /** A status that promises something is passed on only with the worker's word that it did not execute the request. */
    NOT_EXECUTED_WORD,
    /** A head that was not written yet gives way as a whole to the next one. */
    WHOLE_HEAD,
    /** A success bears the worker's seal. */
    SEAL;

    /** The safeguards that are let down in the programs: none. */
    static final Set<ProxySafeguard> NONE_DISABLED = Set.of();
}
