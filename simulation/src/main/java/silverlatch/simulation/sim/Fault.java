package silverlatch.simulation.sim;

/** Everything of the brief's "what fails", each as something that can be done to a world and is healed after a time. */
public enum Fault {
    /** A gateway is killed and comes back. */
    GATEWAY_KILLED(ProcessFaults::gatewayKilled),
    /** Half of the gateways are killed at once. */
    GATEWAYS_KILLED(ProcessFaults::gatewaysKilled),
    /** A gateway freezes and wakes. */
    GATEWAY_FROZEN(ProcessFaults::gatewayFrozen),
    /** A gateway is asked to stop, and comes back. */
    GATEWAY_STOPPED(ProcessFaults::gatewayStopped),
    /** A worker crashes and comes back cold. */
    WORKER_CRASHED(WorkloadFaults::workerCrashed),
    /** A worker goes dark: it takes connections and says nothing; its announcements don't come through. */
    WORKER_UNRESPONSIVE(WorkloadFaults::workerUnresponsive),
    /** A worker says that it leaves, and is gone a little later; a new one comes. */
    WORKER_DRAINS(WorkloadFaults::workerDrains),
    /** All workers of a region are replaced one by one at short notice. */
    WORKERS_REPLACED(WorkloadFaults::workersReplaced),
    /** Workers break the rules of the stream, or limp, or deny, each in its own way. */
    WORKERS_MISBEHAVE(WorkloadFaults::workersMisbehave),
    /** Consumers move between zones and come back to their streams. */
    CLIENTS_MOVE(WorkloadFaults::clientsMove),
    /** A crowd arrives, and the mix swings. */
    LOAD_SPIKE(WorkloadFaults::loadSpike),
    /** A controller loses its power, perhaps just after it said yes. */
    CONTROLLER_KILLED(ProcessFaults::controllerKilled),
    /** A controller is asked to stop, and comes back. */
    CONTROLLER_STOPPED(ProcessFaults::controllerStopped),
    /** Everything is asked to stop, one after another, and comes back. */
    ALL_STOPPED(ProcessFaults::allRestartedInTurn),
    /** A controller loses its power and its disk, and starts with an empty one. */
    CONTROLLER_WIPED(ProcessFaults::controllerWiped),
    /** A controller freezes and wakes. */
    CONTROLLER_FROZEN(ProcessFaults::controllerFrozen),
    /** A controller's disk stalls. */
    DISK_STALLED(ProcessFaults::diskStalled),
    /** A controller's disk is full; the machine is restarted when there is space again. */
    DISK_FULL(ProcessFaults::diskFull),
    /** A controller's disk limps. */
    DISK_SLOW(ProcessFaults::diskSlow),
    /** A controller is replaced by an empty machine at a new address. */
    CONTROLLER_REPLACED(ProcessFaults::controllerReplaced),
    /** All controllers are swapped for others, one after another, each when the chain is whole again. */
    CONTROLLERS_REPLACED(ProcessFaults::controllersReplaced),
    /** One controller is cut off from the others. */
    CONTROLLER_PARTITIONED(NetworkFaults::controllerPartitioned),
    /** All controllers are cut off from the gateways. */
    CONTROLLERS_PARTITIONED(NetworkFaults::controllersPartitioned),
    /** A region is cut off. */
    REGION_PARTITIONED(NetworkFaults::regionPartitioned),
    /** The region of the chain's last controller is cut off for long, while operators on both sides read and write. */
    TAIL_REGION_PARTITIONED(NetworkFaults::tailRegionPartitioned),
    /** A region is lost and comes back cold. */
    REGION_LOST(ProcessFaults::regionLost),
    /** All workers of a region are lost and come back cold, while its gateways stay. */
    REGION_WORKERS_LOST(WorkloadFaults::regionWorkersLost),
    /** Everything is killed at once and started again. */
    ALL_KILLED(ProcessFaults::allKilled),
    /**
     * Right after an acknowledgement a controller loses its disk, and at the same moment all other machines lose their
     * power, also those that don't count: the gateways, and a controller without a vote.
     */
    DISK_LOST_ALL_KILLED(ProcessFaults::diskLostAllKilled),
    /** The wall clock of a machine jumps while it runs. */
    CLOCK_JUMPS(NetworkFaults::clockJumps),
    /** A machine starts with its clock far off. */
    CLOCK_SKEWED(NetworkFaults::clockSkewed),
    /** Frames are lost and overtake each other. */
    NETWORK_LOSSY(NetworkFaults::lossyNetwork),
    /** A zone is emptied and given back. */
    ZONE_EVACUATED(OperatorFaults::zoneDrained),
    /** One gateway is cut off from all other daemons while workers and consumers still reach it; a worker leaves meanwhile. */
    GATEWAY_PARTITIONED(NetworkFaults::gatewayPartitionedFromNodes),
    /** Most workers deny for a while, and each ticket would be tried again. */
    WORKERS_REJECT(WorkloadFaults::workersReject),
    /** Most machines start with their clocks off, some by the same, some each by its own. */
    CLOCKS_SKEWED(NetworkFaults::clocksSkewed),
    /** A daemon is flooded with copies of frames of one whose clock runs ahead within the skew. */
    OVERFLOW_STORM(NetworkFaults::overflowStorm),
    /** A region hears the others and is not heard, or the other way round. */
    ONE_WAY_PARTITION(NetworkFaults::oneWayPartition),
    /** The links between regions take several times the skew that clocks are allowed. */
    LINKS_SLOW(NetworkFaults::slowLinks),
    /** A worker limps while a crowd is here. */
    WORKER_SLOW_UNDER_LOAD(WorkloadFaults::workerSlowUnderLoad),
    /** At full load the mix swings from long prompts to long replies and back. */
    MIX_SWINGS(WorkloadFaults::mixSwings),
    /** Two operators race on a zone, again and again. */
    OPERATORS_RACE(OperatorFaults::operatorsRace),
    /** Operators race on configurations, eight orders under way at once, answers lost, orders sent again late. */
    CONFIGURATIONS_RACE(OperatorFaults::configurationsRace),
    /** Tenants' homes change, and a tenant is taken away, while tickets queue, run and are kept; then it is as before. */
    TENANTS_MOVE(OperatorFaults::tenantHomesChange),
    /** The table grows by thousands of rows. */
    TABLE_GROWS(OperatorFaults::tableGrows),
    /** A gateway freezes between a pick and the hand-over of its ticket. */
    FROZEN_AT_PLACEMENT(TargetedFaults::frozenAtPlacement),
    /** A gateway freezes as it claims a key. */
    FROZEN_AT_CLAIM(TargetedFaults::frozenAtClaim),
    /** A gateway freezes between its last look and the first byte to the worker; the zone is drained and the worker leaves meanwhile. */
    FROZEN_AT_SEND(TargetedFaults::frozenAtSend),
    /** A gateway freezes in the middle of a stream. */
    FROZEN_AT_CHUNK(TargetedFaults::frozenAtChunk),
    /** The head freezes between its sync and passing on. */
    FROZEN_AT_HEAD(TargetedFaults::frozenAtHead),
    /** The tail freezes between its sync and the acknowledgement. */
    FROZEN_AT_TAIL(TargetedFaults::frozenAtTail),
    /** Gateways are killed at each step of a ticket. */
    KILLED_AT_STEPS(TargetedFaults::killedAtSteps),
    /** The head and then the tail lose their power just after a sync. */
    KILLED_AT_SYNC(TargetedFaults::killedAtSync),
    /** Two of the three controllers lose their disks while the third is cut off, and try to found anew. */
    REBOOTSTRAP(ProcessFaults::rebootstrap);

    private final Injection injection;

    Fault(final Injection hit) {
        this.injection = hit;
    }

    void injection(final World world, final long duration) {
        injection.inject(world, duration);
    }

    /** Whether it takes a disk away for good; the core bears one such loss at a time. */
    boolean losesDisk() {
        return switch (this) {
            case CONTROLLER_WIPED, CONTROLLER_REPLACED, CONTROLLERS_REPLACED, DISK_LOST_ALL_KILLED, REBOOTSTRAP -> true;
            default -> false;
        };
    }

    /** What is done to a world, for so many microseconds. */
    private interface Injection {
        void inject(World world, long duration);
    }
}
