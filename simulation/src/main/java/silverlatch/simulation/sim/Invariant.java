package silverlatch.simulation.sim;

/** What the observer holds a day against: one mark for each harm, so that one check can't stand in for another. */
public enum Invariant {
    /** A ticket or a key runs twice. */
    TWICE,
    /** A ticket that was told to be rejected ran or runs. */
    REJECTED,
    /** A consumer gets a piece or a seal of another ticket. */
    FOREIGN,
    /** A reply looks whole and is cut short, or its seal does not fit. */
    CUT,
    /** A stream skips a piece or repeats one. */
    PIECE,
    /** A stream joins two runs. */
    JOIN,
    /** A worker outside the tenant's homes serves. */
    SERVED,
    /** A gateway outside the tenant's homes picks or carries. */
    SENT,
    /** A gateway outside the tenant's homes keeps a reply and tells it. */
    KEPT,
    /** A worker gets a run more than 3 s after it said that it leaves. */
    LEAVE,
    /** An acknowledged table is ignored for more than 3 s. */
    TABLE,
    /** A gateway goes by an older table again after a quarter of a second. */
    BACK,
    /** A refused or losing change takes effect. */
    LOSER,
    /** The table read back is older than the last one acknowledged. */
    READ,
    /** A zone gets work more than 5 s after it was asked to be emptied. */
    DRAIN,
    /** More than a fifth of the traffic of any ten seconds is extra tries. */
    TRIES,
    /** A cold worker is flooded. */
    COLD,
    /** Service is below a quarter of normal more than 12 s after something came back. */
    RETURN,
    /** After all is healed the fleet does not serve, or the table can't be read or changed. */
    DEAD,
    /** The day put nothing to the test. */
    IDLE,
    /** A daemon's stamp is not above those of what it heard and said before. */
    STAMP,
    /** A daemon whose own clock is right is dragged ahead by another's. */
    DRAG
}
