package silverlatch.node;

/**
 * The numbered events of the log, catalogued in docs/log-events.md. Operators search and alert by number and name: neither
 * changes, and a number that was used once stays taken.
 */
public enum Event {
    /** The process is up. */
    STARTED(100, false),
    /** The process takes requests. */
    READY(101, false),
    /** The process takes no requests. */
    UNREADY(102, true),
    /** The process ends. */
    STOPPED(103, false),
    /** The settings have faults. */
    SETTINGS(104, true),
    /** An unexpected error; the work at hand was given up. */
    FAULT(105, true),
    /** A member became known or came back. */
    MEMBER_UP(200, false),
    /** A member is suspected. */
    MEMBER_SUSPECT(201, true),
    /** A member is declared dead. */
    MEMBER_DEAD(202, true),
    /** A member left. */
    MEMBER_LEFT(203, false),
    /** Most of the watched members are silent; this node suspects itself. */
    SELF_DOUBT(204, true),
    /** A frame could not be decoded. */
    BAD_FRAME(300, true),
    /** A frame was rejected since its stamp is too far ahead. */
    FAR_STAMP(301, true),
    /** A message was given up after the longest wait for an overflow of the clock. */
    OVERFLOW(302, true),
    /** The node rejoined with its clock set anew. */
    REJOIN(303, true),
    /** The wall clock jumped; the physical clock did not follow it. */
    WALL_JUMP(304, true),
    /** The physical clock was moved to the median of the peers. */
    ANCHORED(305, true),
    /** A peer rejected a stamp of this node as too far ahead. */
    ASTRAY(306, true),
    /** A frame of another fleet was rejected. */
    OTHER_FLEET(307, true),
    /** The fleet was bootstrapped. */
    FOUNDED(400, false),
    /** A view was decided. */
    VIEW(401, false),
    /** A view is proposed. */
    PROPOSED(402, false),
    /** A replica of the chain is suspected. */
    CHAIN_SUSPECT(403, true),
    /** This replica was repaired and asks to join the chain. */
    MENDED(404, false),
    /** The disk failed; the replica left the chain. */
    DISK_BROKEN(405, true),
    /** The log was read. */
    RECOVERED(406, false),
    /** The log is corrupt before its end. */
    DAMAGED(407, true),
    /** A snapshot was written. */
    PICTURE(408, false),
    /** The list of workers beside the log can't be written. */
    ROSTER(409, true),
    /** The disk can't be read or written; the replica waits for it. */
    BARRED(410, true),
    /** The log lacks what was acknowledged with it; the replica is fenced until it is repaired. */
    LOG_OUTDATED(411, true),
    /** The data folder was written in another format; the process ends. */
    LOG_FORMAT(412, true),
    /** A command took effect. */
    CHANGED(500, false),
    /** A command was rejected. */
    CHANGE_REJECTED(501, false),
    /** A schedule fired. */
    CALENDAR(502, false),
    /** A request was rejected. */
    TICKET_REJECTED(600, false),
    /** A request was lost. */
    TICKET_LOST(601, true),
    /** A worker became known. */
    WORKER_KNOWN(602, false),
    /** A worker is leaving. */
    WORKER_LEAVING(603, false),
    /** A worker violated the protocol of the stream. */
    WORKER_BROKE(604, true),
    /** No controller has heard from a worker for the silence time-out. */
    WORKER_SILENT(605, true),
    /** A worker's incarnation is over. */
    WORKER_GONE(606, false),
    /** An attempt failed, or was moved from a silent worker. */
    RUN_BROKE(607, false),
    /** The provider of the machines was called, and accepted it. */
    PROVIDER_CALLED(800, false),
    /** A call of the provider had another outcome. */
    PROVIDER_FAILED(801, true),
    /** Another number of workers is wanted in a zone. */
    WORKER_COUNT(802, false),
    /** The recording can't be written; it ends here. */
    RECORD_BROKEN(700, true);

    private final int number;
    private final boolean isWarning;

    Event(final int number, final boolean isWarning) {
        this.number = number;
        this.isWarning = isWarning;
    }

    /** Returns the number, which the log prints after {@code SL}. */
    public int number() {
        return number;
    }

    /** Returns whether an operator should look. */
    public boolean isWarning() {
        return isWarning;
    }
}
