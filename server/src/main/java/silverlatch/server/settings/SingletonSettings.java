package silverlatch.server.settings;

import silverlatch.traffic.UsageSchedule;

/**
 * What the owner of the singleton role does outside the cluster, and how carefully. Times are in microseconds.
 *
 * @param holderName     the name under which this process acts
 * @param reportsUsage   whether usage is reported
 * @param scales         whether the numbers of workers are set
 * @param maxCallsPerSecond how many calls may be made in a second, by all processes together
 * @param tenureMicros   for how long a process has to own the role without a gap before it acts, so that two owners in turn
 *                       never act close to each other
 * @param windowMicros   how long a window of usage is
 * @param delayMicros    how long after the end of its window the usage is due
 */
public record SingletonSettings(
        String holderName,
        boolean reportsUsage,
        boolean scales,
        double maxCallsPerSecond,
        long tenureMicros,
        long windowMicros,
        long delayMicros) {
    /** The owner does nothing outside the cluster. */
    public static final SingletonSettings NONE = new SingletonSettings("", false, false, 0, 0, 5_000_000L, 10_000_000L);

    /** How usage is cut into windows. */
    public UsageSchedule usageSchedule() {
        return new UsageSchedule(windowMicros, delayMicros);
    }

    /** Whether the owner does anything outside the cluster. */
    public boolean isActive() {
        return reportsUsage || scales;
    }
}
