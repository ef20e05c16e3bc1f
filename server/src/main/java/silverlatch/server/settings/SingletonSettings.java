package silverlatch.server.settings;

import silverlatch.traffic.UsageSchedule;

/**
 * What the holder of the singleton role does outside the cluster: it may report usage and set the numbers of workers. Times are in
 * microseconds.
 *
 * @param holderName        the name that identifies this process in its calls
 * @param reportsUsage      whether the holder reports usage
 * @param scales            whether the holder sets the numbers of workers
 * @param maxCallsPerSecond the limit on calls per second of all processes together
 * @param tenureMicros      how long a process must have held the role without interruption before it acts, so that the actions of
 *                          two successive holders never come close to each other in time
 * @param windowMicros      the length of a usage window
 * @param delayMicros       how long after the end of a window its usage is due to be reported
 */
public record SingletonSettings(
        String holderName,
        boolean reportsUsage,
        boolean scales,
        double maxCallsPerSecond,
        long tenureMicros,
        long windowMicros,
        long delayMicros) {
    /** Settings with which the holder does nothing outside the cluster. */
    public static final SingletonSettings NONE = new SingletonSettings("", false, false, 0, 0, 5_000_000L, 10_000_000L);

    /** Returns how usage is divided into windows. */
    public UsageSchedule usageSchedule() {
        return new UsageSchedule(windowMicros, delayMicros);
    }

    /** Returns whether the holder does anything outside the cluster. */
    public boolean isActive() {
        return reportsUsage || scales;
    }
}
