package silverlatch.simulation.sim;

/** Everything of the brief's "what fails", each as something that can be done to a world and is healed after a time. */
public enum Fault {
    /** A gateway is killed and comes back. */
    PURSER_KILLED(Blows::gatewayKilled),
    /** Half of the gateways are killed at once. */
    PURSERS_KILLED(Blows::gatewaysKilled),
    /** A gateway freezes and wakes. */
    PURSER_FROZEN(Blows::gatewayFrozen),
    /** A gateway is asked to stop, and comes back. */
    PURSER_STOPPED(Blows::gatewayStopped),
    /** A worker crashes and comes back cold. */
    WORKER_CRASHED(Loads::workerCrashed),
    /** A worker goes dark: it takes connections and says nothing; its announcements don't come through. */
    WORKER_DARK(Loads::workerDark),
    /** A worker says that it leaves, and is gone a little later; a new one comes. */
    WORKER_LEAVES(Loads::workerLeaves),
    /** All workers of a region are replaced one by one at short notice. */
    WORKERS_REPLACED(Loads::workersReplaced),
    /** Workers break the rules of the stream, or limp, or deny, each in its own way. */
    WORKER_BREAKS(Loads::workerBreaks),
    /** Consumers move between zones and come back to their streams. */
    CONSUMERS_MOVE(Loads::consumersMove),
    /** A crowd arrives, and the mix swings. */
    CROWD(Loads::crowd),
    /** A controller loses its power, perhaps just after it said yes. */
    HARBOR_KILLED(Blows::controllerKilled),
    /** A controller is asked to stop, and comes back. */
    HARBOR_STOPPED(Blows::controllerStopped),
    /** Everything is asked to stop, one after another, and comes back. */
    ALL_STOPPED(Blows::allStopped),
    /** A controller loses its power and its disk, and starts with an empty one. */
    HARBOR_WIPED(Blows::controllerWiped),
    /** A controller freezes and wakes. */
    HARBOR_FROZEN(Blows::controllerFrozen),
    /** A controller's disk stalls. */
    DISK_STALLED(Blows::diskStalled),
    /** A controller's disk is full; the machine is restarted when there is space again. */
    DISK_FULL(Blows::diskFull),
    /** A controller's disk limps. */
    DISK_LIMPS(Blows::diskLimps),
    /** A controller is replaced by an empty machine at a new address. */
    HARBOR_SWAPPED(Blows::controllerSwapped),
    /** All controllers are swapped for others, one after another, each when the chain is whole again. */
    HARBORS_SWAPPED(Blows::controllersSwapped),
    /** One controller is cut off from the others. */
    CORE_SPLIT(Ways::coreSplit),
    /** All controllers are cut off from the gateways. */
    CORE_CUT(Ways::coreCut),
    /** A region is cut off. */
    REGION_CUT(Ways::regionCut),
    /** The region of the chain's last controller is cut off for long, while operators on both sides read and write. */
    TAIL_CUT(Ways::tailCut),
    /** A region is lost and comes back cold. */
    REGION_LOST(Blows::regionLost),
    /** All workers of a region are lost and come back cold, while its gateways stay. */
    REGION_COLD(Loads::regionCold),
    /** Everything is killed at once and started again. */
    ALL_KILLED(Blows::allKilled),
    /** The wall clock of a machine jumps while it runs. */
    CLOCK_JUMPS(Ways::clockJumps),
    /** A machine starts with its clock far off. */
    CLOCK_OFF(Ways::clockOff),
    /** Frames are lost and overtake each other. */
    NET_ROUGH(Ways::netRough),
    /** A zone is emptied and given back. */
    ZONE_DRAINED(Orders::zoneDrained),
    /** One gateway is cut off from all other daemons while workers and consumers still reach it; a worker leaves meanwhile. */
    NEWS_CUT(Ways::newsCut),
    /** Most workers deny for a while, and each ticket would be tried again. */
    WORKERS_DENY(Loads::workersDeny),
    /** Most machines start with their clocks off, some by the same, some each by its own. */
    CLOCKS_OFF(Ways::clocksOff),
    /** A daemon is flooded with copies of frames of one whose clock runs ahead within the skew. */
    OVERFLOW_STORM(Ways::overflowStorm),
    /** A region hears the others and is not heard, or the other way round. */
    ONE_WAY_CUT(Ways::oneWayCut),
    /** The links between regions take several times the skew that clocks are allowed. */
    LINKS_SLOW(Ways::linksSlow),
    /** A worker limps while a crowd is here. */
    WORKER_LIMPS(Loads::workerLimps),
    /** At full load the mix swings from long prompts to long replies and back. */
    MIX_SWINGS(Loads::mixSwings),
    /** Two operators race on a zone, again and again. */
    OPERATORS_RACE(Orders::operatorsRace),
    /** Operators race on configurations, eight orders under way at once, answers lost, orders sent again late. */
    CONFIGURATIONS_RACE(Orders::configurationsRace),
    /** Tenants' homes change, and a tenant is taken away, while tickets queue, run and are kept; then it is as before. */
    TENANTS_MOVE(Orders::tenantsMove),
    /** The table grows by thousands of rows. */
    TABLE_GROWS(Orders::tableGrows),
    /** A gateway freezes between a pick and the hand-over of its ticket. */
    FROZEN_AT_PICK(Aims::frozenAtPick),
    /** A gateway freezes as it claims a key. */
    FROZEN_AT_CLAIM(Aims::frozenAtClaim),
    /** A gateway freezes between its last look and the first byte to the worker; the zone is drained and the worker leaves meanwhile. */
    FROZEN_AT_ASK(Aims::frozenAtAsk),
    /** A gateway freezes in the middle of a stream. */
    FROZEN_AT_PIECE(Aims::frozenAtPiece),
    /** The head freezes between its sync and passing on. */
    FROZEN_AT_HEAD(Aims::frozenAtHead),
    /** The tail freezes between its sync and the acknowledgement. */
    FROZEN_AT_TAIL(Aims::frozenAtTail),
    /** Gateways are killed at each step of a ticket. */
    KILLED_AT_STEPS(Aims::killedAtSteps),
    /** The head and then the tail lose their power just after a sync. */
    KILLED_AT_SYNC(Aims::killedAtSync),
    /** Two of the three controllers lose their disks while the third is cut off, and try to found anew. */
    REFOUNDING(Blows::refounding);

    private final Hit hit;

    Fault(final Hit hit) {
        this.hit = hit;
    }

    void hit(final World w, final long span) {
        hit.at(w, span);
    }

    /** Whether it takes a disk away for good; the core bears one such loss at a time. */
    boolean loss() {
        return this == HARBOR_WIPED || this == HARBOR_SWAPPED || this == HARBORS_SWAPPED || this == REFOUNDING;
    }

    /** What is done to a world, for so many microseconds. */
    private interface Hit {
        void at(World w, long span);
    }
}
