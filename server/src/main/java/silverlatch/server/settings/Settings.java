package silverlatch.server.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.dispatch.DispatcherSettings;
import silverlatch.membership.Member;
import silverlatch.node.Node;

/**
 * The settings of a process: its place, addresses, keys and limits, from one JSON file and the flags that override it. Checked as
 * a whole by {@link SettingsReader}. Times are in microseconds, sizes in bytes.
 *
 * @param name              the process's name, unique in its cluster
 * @param peerAddress       IP:PORT for frames of other processes
 * @param httpAddress       IP:PORT for the HTTP API
 * @param seeds             one to three addresses of controllers
 * @param dataDirectory        where a controller keeps its log, and a gateway what it starts with; a controller without one has no
 *                          replica
 * @param recordDirectory      where a gateway records its placements
 * @param clusterKey        signs permits, salts tenants' keys
 * @param operatorKey       the bearer token of operators
 * @param workerKey         the bearer token of workers
 * @param stampLowBits      how many low bits of a stamp count events
 * @param maxClockSkew      the bound on the difference of two clocks
 * @param shutdownGrace     how long a graceful shutdown may take
 * @param dispatch          the limits of a gateway's dispatcher
 * @param maxBodyBytes      how long the body of a request to the HTTP API may be
 * @param maxLineBytes      how long a line of a worker's stream may be
 * @param mayBootstrap      whether a data folder made at this start may take part in founding a cluster
 * @param minInSyncReplicas how many replicas have synced an entry before it is acknowledged
 * @param voterCount        how many controllers with a data folder vote, where so many are there
 * @param intervals         how often processes speak to each other
 * @param proxyAddress      IP:PORT at which a gateway takes requests by host and path
 * @param startupGrace      for how long after its start a gateway may route by a configuration that nobody has confirmed; 0 where it
 *                          may not
 * @param prefixLifetime    for how long after its last use a gateway takes a part of a prompt for cached at a worker
 * @param revocationDeadline how long after the acknowledgement of a configuration no request runs any more by a key that it took
 *                          away, at whatever gateway; 0 where only gateways in touch with the others are bound
 * @param singleton         what the owner of the singleton role does outside the cluster
 */
public record Settings(
        String name,
        String zone,
        String region,
        String peerAddress,
        String httpAddress,
        List<String> seeds,
        Optional<String> dataDirectory,
        Optional<String> recordDirectory,
        String clusterKey,
        String operatorKey,
        String workerKey,
        int stampLowBits,
        long maxClockSkew,
        long shutdownGrace,
        DispatcherSettings dispatch,
        int maxBodyBytes,
        int maxLineBytes,
        boolean mayBootstrap,
        int minInSyncReplicas,
        int voterCount,
        Intervals intervals,
        Optional<String> proxyAddress,
        long startupGrace,
        long prefixLifetime,
        long revocationDeadline,
        SingletonSettings singleton) {
    private static final long NANOS_PER_MICRO = 1_000;

    /** Copies the seeds. */
    public Settings {
        seeds = List.copyOf(seeds);
    }

    /** What reading settings came to. */
    public sealed interface ReadResult {
        /** Settings without a fault. */
        record Valid(Settings settings) implements ReadResult {}

        /** Every fault that was found, with the key that has it. */
        record Invalid(List<String> faults) implements ReadResult {
            /** Copies the faults. */
            public Invalid {
                faults = List.copyOf(faults);
            }
        }
    }

    /**
     * Reads a settings file and checks the whole.
     *
     * @param file         a path; without one the flags are all there is
     * @param flags        values by key that override those of the file
     * @param isController whether the process is a controller, else a gateway
     */
    public static ReadResult read(
            final Optional<String> file, final Map<String, Object> flags, final boolean isController) {
        return SettingsReader.read(file, flags, isController);
    }

    /** The settings of the node of a process in this role, {@code controller} or {@code gateway}, that starts at a wall time. */
    public Node.Settings nodeSettings(final String role, final long wallNanos) {
        final Member self =
                Member.starting(name, role, zone, region, peerAddress, httpAddress, wallNanos / NANOS_PER_MICRO);
        return new Node.Settings(self, seeds, stampLowBits, maxClockSkew, intervals.membership(), intervals.gossip())
                .withStartupGrace(startupGrace);
    }
}
