package silverlatch.node;

/** The numbered events of the log; docs/log-events.md is their catalogue. */
public enum Event {
    /** The process is up. */
    STARTED(100, false),
    /** The process takes tickets. */
    READY(101, false),
    /** The process takes no tickets. */
    UNREADY(102, true),
    /** The process ends. */
    STOPPED(103, false),
    /** The settings have faults. */
    SETTINGS(104, true),
    /** Something failed that should not; the work at hand was given up. */
    FAULT(105, true),
    /** A daemon became known or came back. */
    MEMBER_UP(200, false),
    /** A daemon is suspected. */
    MEMBER_SUSPECT(201, true),
    /** A daemon is taken for dead. */
    MEMBER_DEAD(202, true),
    /** A daemon left. */
    MEMBER_LEFT(203, false),
    /** Most of the watched are gone; the watcher suspects itself. */
    SELF_DOUBT(204, true),
    /** A frame could not be read. */
    BAD_FRAME(300, true),
    /** A stamp from too far ahead was rejected. */
    FAR_STAMP(301, true),
    /** A message was given up after the longest overflow wait. */
    OVERFLOW(302, true),
    /** The clock was reset by a rejoin. */
    REJOIN(303, true),
    /** The wall clock jumped and was not followed. */
    WALL_JUMP(304, true),
    /** The median of the seeds was taken as the anchor. */
    ANCHORED(305, true),
    /** A peer says that this clock is too far ahead. */
    ASTRAY(306, true),
    /** A frame of another fleet was rejected. */
    OTHER_FLEET(307, true),
    /** The fleet was founded. */
    FOUNDED(400, false),
    /** A view was decided. */
    VIEW(401, false),
    /** A view is proposed. */
    PROPOSED(402, false),
    /** A member of the chain is suspected. */
    CHAIN_SUSPECT(403, true),
    /** This machine was mended and asks to join the chain. */
    MENDED(404, false),
    /** The disk failed; the machine left the chain. */
    DISK_BROKEN(405, true),
    /** The ledger was read. */
    RECOVERED(406, false),
    /** The ledger has damage in its middle. */
    DAMAGED(407, true),
    /** A picture was written. */
    PICTURE(408, false),
    /** The list of workers beside the ledger can't be written. */
    ROSTER(409, true),
    /** The disk can't be read or written; the machine waits for it. */
    BARRED(410, true),
    /** The log lacks what was acknowledged with it; the machine is fenced until it is repaired. */
    LOG_OUTDATED(411, true),
    /** The data folder was written in another format; the process ends. */
    LOG_FORMAT(412, true),
    /** A change took effect. */
    CHANGED(500, false),
    /** A change was rejected. */
    CHANGE_REJECTED(501, false),
    /** A calendar's time came. */
    CALENDAR(502, false),
    /** A ticket was rejected. */
    TICKET_REJECTED(600, false),
    /** A ticket was lost. */
    TICKET_LOST(601, true),
    /** A worker became known. */
    WORKER_KNOWN(602, false),
    /** A worker is leaving. */
    WORKER_LEAVING(603, false),
    /** A worker broke the rules of the stream. */
    WORKER_BROKE(604, true),
    /** No controller has heard from a worker for long. */
    WORKER_SILENT(605, true),
    /** A worker's life is over. */
    WORKER_GONE(606, false),
    /** A run broke, or was moved from a silent worker. */
    RUN_BROKE(607, false),
    /** The recording of the day can't be written; it ends here. */
    RECORD_BROKEN(700, true);

    private final int number;
    private final boolean isWarning;

    Event(final int number, final boolean isWarning) {
        this.number = number;
        this.isWarning = isWarning;
    }

    /** The event's number. */
    public int number() {
        return number;
    }

    /** Whether someone should look. */
    public boolean isWarning() {
        return isWarning;
    }
}
