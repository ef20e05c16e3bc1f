package silverlatch.simulation;

import java.util.Map;

/**
 * Maps the deprecated names of faults and safeguards to the current ones. The command lines of the simulator and of the
 * explorer accept the deprecated names for one more version.
 */
public final class FormerNames {
    private static final Map<String, String> FAULTS = Map.ofEntries(
            Map.entry("PURSER_KILLED", "GATEWAY_KILLED"),
            Map.entry("PURSERS_KILLED", "GATEWAYS_KILLED"),
            Map.entry("PURSER_FROZEN", "GATEWAY_FROZEN"),
            Map.entry("PURSER_STOPPED", "GATEWAY_STOPPED"),
            Map.entry("WORKER_DARK", "WORKER_UNRESPONSIVE"),
            Map.entry("WORKER_LEAVES", "WORKER_DRAINS"),
            Map.entry("WORKER_BREAKS", "WORKERS_MISBEHAVE"),
            Map.entry("CONSUMERS_MOVE", "CLIENTS_MOVE"),
            Map.entry("CROWD", "LOAD_SPIKE"),
            Map.entry("HARBOR_KILLED", "CONTROLLER_KILLED"),
            Map.entry("HARBOR_STOPPED", "CONTROLLER_STOPPED"),
            Map.entry("HARBOR_WIPED", "CONTROLLER_WIPED"),
            Map.entry("HARBOR_FROZEN", "CONTROLLER_FROZEN"),
            Map.entry("HARBOR_SWAPPED", "CONTROLLER_REPLACED"),
            Map.entry("HARBORS_SWAPPED", "CONTROLLERS_REPLACED"),
            Map.entry("DISK_LIMPS", "DISK_SLOW"),
            Map.entry("CORE_SPLIT", "CONTROLLER_PARTITIONED"),
            Map.entry("CORE_CUT", "CONTROLLERS_PARTITIONED"),
            Map.entry("REGION_CUT", "REGION_PARTITIONED"),
            Map.entry("TAIL_CUT", "TAIL_REGION_PARTITIONED"),
            Map.entry("REGION_COLD", "REGION_WORKERS_LOST"),
            Map.entry("CLOCK_OFF", "CLOCK_SKEWED"),
            Map.entry("CLOCKS_OFF", "CLOCKS_SKEWED"),
            Map.entry("NET_ROUGH", "NETWORK_LOSSY"),
            Map.entry("ZONE_DRAINED", "ZONE_EVACUATED"),
            Map.entry("NEWS_CUT", "GATEWAY_PARTITIONED"),
            Map.entry("WORKERS_DENY", "WORKERS_REJECT"),
            Map.entry("ONE_WAY_CUT", "ONE_WAY_PARTITION"),
            Map.entry("WORKER_LIMPS", "WORKER_SLOW_UNDER_LOAD"),
            Map.entry("FROZEN_AT_PICK", "FROZEN_AT_PLACEMENT"),
            Map.entry("FROZEN_AT_ASK", "FROZEN_AT_SEND"),
            Map.entry("FROZEN_AT_PIECE", "FROZEN_AT_CHUNK"),
            Map.entry("REFOUNDING", "REBOOTSTRAP"));

    private static final Map<String, String> SAFEGUARDS = Map.ofEntries(
            Map.entry("WORD", "REPORT_AGE"),
            Map.entry("SURE", "CONFIRMED_REVISION"),
            Map.entry("ZONE", "EVACUATION"),
            Map.entry("SERVED", "WORKER_HOME_REGION"),
            Map.entry("SENT", "GATEWAY_HOME_REGION"),
            Map.entry("KEPT", "RETENTION_HOME_REGION"),
            Map.entry("SPENT", "PERMIT_ONCE"),
            Map.entry("LIFE", "PERMIT_INCARNATION"),
            Map.entry("LINE", "STREAM_IDENTITY"),
            Map.entry("PIECE", "STREAM_ORDER"),
            Map.entry("SEAL", "TRAILER_DIGEST"),
            Map.entry("BEGUN", "NO_RETRY_AFTER_START"),
            Map.entry("RAMP", "SLOW_START"),
            Map.entry("WARM", "SLOW_START_END"),
            Map.entry("TRIES", "RETRY_BUDGET"),
            Map.entry("PAGE", "MONOTONIC_REVISION"),
            Map.entry("MATCH", "COMPARE_AND_SET"),
            Map.entry("TAKEN", "ACCEPTED_REMEMBERED"),
            Map.entry("SETTLED", "COMMITTED_REFUSAL"),
            Map.entry("NEWEST", "LATEST_EVACUATION"),
            Map.entry("ABOVE", "STAMP_ABOVE"),
            Map.entry("FAR", "STAMP_BOUND"),
            Map.entry("MEND", "CHAIN_REPAIR"),
            Map.entry("DIGEST", "REPAIR_DIGEST"));

    private FormerNames() {}

    /** Returns the current name of a fault; a name that isn't deprecated is returned unchanged. */
    public static String currentFault(final String name) {
        return FAULTS.getOrDefault(name, name);
    }

    /**
     * Returns the current name of a safeguard, or of the explorer's mutant of the same name; a name that isn't deprecated is
     * returned unchanged.
     */
    public static String currentSafeguard(final String name) {
        return SAFEGUARDS.getOrDefault(name, name);
    }
}
