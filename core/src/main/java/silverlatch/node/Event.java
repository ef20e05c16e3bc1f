package silverlatch.node;

/**
 * The numbered events of the event log, documented in docs/log-events.md. Operators search and alert by number and
 * name, so neither may change, and a number must never be reused.
 */
public enum Event {
    /** The process has started. */
    STARTED(100, false),
    /** The process accepts requests. */
    READY(101, false),
    /** The process accepts no requests. */
    UNREADY(102, true),
    /** The process is terminating. */
    STOPPED(103, false),
    /** The settings are invalid. */
    SETTINGS(104, true),
    /** An unexpected error occurred; the work in progress was abandoned. */
    FAULT(105, true),
    /** The process handled no event for a second or longer. */
    PAUSED(106, true),
    /** A member became known or is up again. */
    MEMBER_UP(200, false),
    /** A member is suspected to have failed. */
    MEMBER_SUSPECT(201, true),
    /** A member was declared dead. */
    MEMBER_DEAD(202, true),
    /** A member left the fleet. */
    MEMBER_LEFT(203, false),
    /** Most of the watched members are silent, so this node suspects itself of being cut off or paused. */
    SELF_DOUBT(204, true),
    /** The replicated state here was not confirmed to be the newest for a while. */
    STATE_UNCONFIRMED(206, true),
    /** The replicated state here is confirmed to be the newest again. */
    STATE_CONFIRMED(207, false),
    /** A frame could not be decoded. */
    BAD_FRAME(300, true),
    /** A frame was rejected since its stamp is too far ahead of this node's clock. */
    FAR_STAMP(301, true),
    /** A message was dropped since an overflow of the process clock delayed it for longer than the maximum wait. */
    OVERFLOW(302, true),
    /** The node rejoined with its process clock reset. */
    REJOIN(303, true),
    /** The wall clock jumped; the physical clock did not follow it. */
    WALL_JUMP(304, true),
    /** The physical clock was shifted to the median of the peers. */
    ANCHORED(305, true),
    /** A peer rejected a stamp of this node as too far ahead. */
    ASTRAY(306, true),
    /** A frame of another fleet was rejected. */
    OTHER_FLEET(307, true),
    /** The fleet was bootstrapped. */
    FOUNDED(400, false),
    /** A view was decided. */
    VIEW(401, false),
    /** A view was proposed. */
    PROPOSED(402, false),
    /** A replica of the chain is suspected to have failed. */
    CHAIN_SUSPECT(403, true),
    /** This replica was repaired and requests to join the chain. */
    MENDED(404, false),
    /** The disk failed; the replica left the chain. */
    DISK_BROKEN(405, true),
    /** The log was read. */
    RECOVERED(406, false),
    /** The log is corrupt before its end. */
    DAMAGED(407, true),
    /** A snapshot was written. */
    PICTURE(408, false),
    /** The list of workers next to the log can't be written. */
    ROSTER(409, true),
    /** The disk can't be read or written; the replica waits until it can. */
    BARRED(410, true),
    /**
     * The log lacks acknowledged entries that this replica must have synced, so its data directory was replaced or
     * reverted; the replica is fenced until it is repaired.
     */
    LOG_OUTDATED(411, true),
    /** The data directory was written in another format; the process terminates. */
    LOG_FORMAT(412, true),
    /** A command took effect. */
    CHANGED(500, false),
    /** A command was rejected. */
    CHANGE_REJECTED(501, false),
    /** An operator's call to evacuate a zone, or to restore it, was received. */
    COMMAND_RECEIVED(504, false),
    /** A command was dropped, as its caller has left or may have left. */
    COMMAND_DROPPED(503, false),
    /** A schedule fired. */
    CALENDAR(502, false),
    /** A request was rejected. */
    TICKET_REJECTED(600, false),
    /** A request was lost. */
    TICKET_LOST(601, true),
    /** A worker became known. */
    WORKER_KNOWN(602, false),
    /** A worker is draining. */
    WORKER_LEAVING(603, false),
    /** A worker violated the stream protocol. */
    WORKER_BROKE(604, true),
    /** No controller received an announcement from a worker for the silence time-out. */
    WORKER_SILENT(605, true),
    /** A worker's incarnation has ended. */
    WORKER_GONE(606, false),
    /** An attempt failed, or was moved away from a silent worker. */
    RUN_BROKE(607, false),
    /** The machine provider was called and accepted the call. */
    PROVIDER_CALLED(800, false),
    /** A call to the machine provider was not accepted. */
    PROVIDER_FAILED(801, true),
    /** The desired number of workers in a zone changed. */
    WORKER_COUNT(802, false),
    /** The recording can't be written and stops here. */
    RECORD_BROKEN(700, true);

    private final int number;
    private final boolean isWarning;

    Event(final int number, final boolean isWarning) {
        this.number = number;
        this.isWarning = isWarning;
    }

    /** Returns the number, which the log prints after the prefix {@code SL}. */
    public int number() {
        return number;
    }

    /** Returns whether an operator should look into the event. */
    public boolean isWarning() {
        return isWarning;
    }
}
