package silverlatch.simulation.sim;

/** The faults that can be injected into a simulated world. Each one heals after a time. */
public enum Fault {
    /** A gateway is killed and restarted. */
    GATEWAY_KILLED(ProcessFaults::gatewayKilled),
    /** Half of the gateways are killed at once. */
    GATEWAYS_KILLED(ProcessFaults::gatewaysKilled),
    /** A gateway's process is frozen and resumed. */
    GATEWAY_FROZEN(ProcessFaults::gatewayFrozen),
    /** A gateway is shut down gracefully and restarted. */
    GATEWAY_STOPPED(ProcessFaults::gatewayStopped),
    /** A worker crashes and restarts with an empty prefix cache. */
    WORKER_CRASHED(WorkloadFaults::workerCrashed),
    /** A worker accepts connections but never responds, and its announcements are lost. */
    WORKER_UNRESPONSIVE(WorkloadFaults::workerUnresponsive),
    /** A worker announces that it drains and ends some seconds later; a new process then takes its place. */
    WORKER_DRAINS(WorkloadFaults::workerDrains),
    /** All workers of a region are replaced one by one, each 1.5 s after it begins to drain. */
    WORKERS_REPLACED(WorkloadFaults::workersReplaced),
    /** Workers violate the stream protocol, respond slowly or reject requests, each in a different way. */
    WORKERS_MISBEHAVE(WorkloadFaults::workersMisbehave),
    /** Clients reconnect in the middle of a response and resume its stream. */
    CLIENTS_MOVE(WorkloadFaults::clientsMove),
    /** The request rate rises to four times the usual, and prompts or responses may become longer. */
    LOAD_SPIKE(WorkloadFaults::loadSpike),
    /** A controller loses power, possibly just after it acknowledged a command. */
    CONTROLLER_KILLED(ProcessFaults::controllerKilled),
    /** A controller is shut down gracefully and restarted. */
    CONTROLLER_STOPPED(ProcessFaults::controllerStopped),
    /** All nodes are shut down gracefully, one after another, and restarted. */
    ALL_STOPPED(ProcessFaults::allRestartedInTurn),
    /** A controller loses power and its disk, and starts with an empty disk. */
    CONTROLLER_WIPED(ProcessFaults::controllerWiped),
    /** A controller's process is frozen and resumed. */
    CONTROLLER_FROZEN(ProcessFaults::controllerFrozen),
    /** A controller's disk stalls. */
    DISK_STALLED(ProcessFaults::diskStalled),
    /** A controller's disk is full for a while; the controller reopens its log when there is space again. */
    DISK_FULL(ProcessFaults::diskFull),
    /** A controller's disk takes 60 times as long for each sync. */
    DISK_SLOW(ProcessFaults::diskSlow),
    /** A controller is replaced by one with an empty disk at a new address. */
    CONTROLLER_REPLACED(ProcessFaults::controllerReplaced),
    /** All controllers are replaced one after another, each once the chain is complete again. */
    CONTROLLERS_REPLACED(ProcessFaults::controllersReplaced),
    /** One controller is partitioned from the other controllers, in one direction or in both. */
    CONTROLLER_PARTITIONED(NetworkFaults::controllerPartitioned),
    /** All controllers are partitioned from the gateways. */
    CONTROLLERS_PARTITIONED(NetworkFaults::controllersPartitioned),
    /** A region is partitioned from all others. */
    REGION_PARTITIONED(NetworkFaults::regionPartitioned),
    /** The region of the last controller is partitioned for 9 s, while operators on both sides read and write. */
    TAIL_REGION_PARTITIONED(NetworkFaults::tailRegionPartitioned),
    /** All processes of a region are killed and restarted; its workers' prefix caches are then empty. */
    REGION_LOST(ProcessFaults::regionLost),
    /** All workers of a region are killed and restart with empty prefix caches, while its gateways keep running. */
    REGION_WORKERS_LOST(WorkloadFaults::regionWorkersLost),
    /** All nodes are killed at once and restarted. */
    ALL_KILLED(ProcessFaults::allKilled),
    /**
     * Right after an acknowledgement a controller loses its disk, and at the same moment all other nodes lose power, also those
     * that have no vote: the gateways, and a controller without a data directory.
     */
    DISK_LOST_ALL_KILLED(ProcessFaults::diskLostAllKilled),
    /** The wall clock of a node jumps while it runs. */
    CLOCK_JUMPS(NetworkFaults::clockJumps),
    /** A node restarts with its wall clock set off by up to ten minutes. */
    CLOCK_SKEWED(NetworkFaults::clockSkewed),
    /** Frames between nodes are lost and reordered. */
    NETWORK_LOSSY(NetworkFaults::lossyNetwork),
    /** A zone is drained and then returned to service. */
    ZONE_EVACUATED(OperatorFaults::zoneDrained),
    /**
     * One gateway is partitioned from all other nodes while clients and most workers still reach it; meanwhile a worker
     * drains.
     */
    GATEWAY_PARTITIONED(NetworkFaults::gatewayPartitionedFromNodes),
    /** Most workers reject requests for a while, so that each request would be retried. */
    WORKERS_REJECT(WorkloadFaults::workersReject),
    /** Most nodes restart with their wall clocks ahead, either all by the same offset or each by its own. */
    CLOCKS_SKEWED(NetworkFaults::clocksSkewed),
    /**
     * A gateway is flooded with copies of the frame with the highest stamp that it received, as from a node whose clock runs
     * ahead within the allowed skew.
     */
    OVERFLOW_STORM(NetworkFaults::overflowStorm),
    /** A region is partitioned from the others in one direction only. */
    ONE_WAY_PARTITION(NetworkFaults::oneWayPartition),
    /** The links between regions take several times as long as the clock skew that is allowed. */
    LINKS_SLOW(NetworkFaults::slowLinks),
    /** A worker responds slowly while the request rate is four times the usual. */
    WORKER_SLOW_UNDER_LOAD(WorkloadFaults::workerSlowUnderLoad),
    /** At four times the usual request rate, the mix alternates between long prompts and long responses. */
    MIX_SWINGS(WorkloadFaults::mixSwings),
    /** Two operators concurrently drain a zone and return it to service, four times. */
    OPERATORS_RACE(OperatorFaults::operatorsRace),
    /** Operators write configurations concurrently, up to eight at once, with lost replies and late duplicates. */
    CONFIGURATIONS_RACE(OperatorFaults::configurationsRace),
    /**
     * A tenant's home regions change and another tenant is removed, while requests are queued, running and retained; both are
     * then restored.
     */
    TENANTS_MOVE(OperatorFaults::tenantHomesChange),
    /** The table grows by 3,000 rows. */
    TABLE_GROWS(OperatorFaults::tableGrows),
    /** A gateway freezes between the placement of a request and the client's submission of it. */
    FROZEN_AT_PLACEMENT(TargetedFaults::frozenAtPlacement),
    /** A gateway freezes as it claims an idempotency key. */
    FROZEN_AT_CLAIM(TargetedFaults::frozenAtClaim),
    /**
     * A gateway freezes between its last check and the first byte to the worker; meanwhile a zone is drained and a worker
     * begins to drain.
     */
    FROZEN_AT_SEND(TargetedFaults::frozenAtSend),
    /** A gateway freezes as it forwards a chunk. */
    FROZEN_AT_CHUNK(TargetedFaults::frozenAtChunk),
    /** The head of the chain freezes after it synced an entry and before it replicates the entry. */
    FROZEN_AT_HEAD(TargetedFaults::frozenAtHead),
    /** The tail of the chain freezes after it synced an entry and before it acknowledges the entry. */
    FROZEN_AT_TAIL(TargetedFaults::frozenAtTail),
    /** Gateways are killed at each step of a request. */
    KILLED_AT_STEPS(TargetedFaults::killedAtSteps),
    /** The head or the tail of the chain loses power just after a sync. */
    KILLED_AT_SYNC(TargetedFaults::killedAtSync),
    /**
     * A zone is drained, returned to service and drained again; then an earlier command to return it arrives, which the network held, and
     * shortly after it the close of its connection.
     */
    COMMAND_HELD(OperatorFaults::commandHeld),
    /** All controllers but the first lose their disks while the first is partitioned, and try to bootstrap a new chain. */
    REBOOTSTRAP(ProcessFaults::rebootstrap);

    private final Injection injection;

    Fault(final Injection injection) {
        this.injection = injection;
    }

    void inject(final World world, final long duration) {
        injection.inject(world, duration);
    }

    /** Returns whether the fault destroys a disk for good; the controllers tolerate one such loss at a time. */
    boolean losesDisk() {
        return switch (this) {
            case CONTROLLER_WIPED, CONTROLLER_REPLACED, CONTROLLERS_REPLACED, DISK_LOST_ALL_KILLED, REBOOTSTRAP -> true;
            default -> false;
        };
    }

    /** Injects a fault into a world and schedules its repair; the duration in microseconds determines when. */
    private interface Injection {
        void inject(World world, long duration);
    }
}
