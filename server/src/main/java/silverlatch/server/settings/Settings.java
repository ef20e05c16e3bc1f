package silverlatch.server.settings;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import silverlatch.dispatch.DispatcherSettings;
import silverlatch.membership.Member;
import silverlatch.node.Node;

/**
 * The settings of a process: its name and location, addresses, keys and limits. They come from one JSON file and the flags that
 * override its values; {@link SettingsReader} validates them all together. Times are in microseconds, sizes in bytes.
 *
 * @param name              the process's name, unique in its cluster
 * @param zone              the zone that the process runs in
 * @param region            the region that the process runs in
 * @param peerAddress       IP:PORT at which it listens for frames of other processes
 * @param httpAddress       IP:PORT at which it serves its HTTP API
 * @param seeds             one to three addresses of controllers
 * @param dataDirectory     where a controller keeps its log, and a gateway the state that it restores at start; a controller without
 *                          a data directory runs no replica
 * @param recordDirectory   where a gateway records its placements
 * @param clusterKey        the key that signs permits and salts the hashes of tenants' keys
 * @param operatorKey       the bearer token of operators
 * @param workerKey         the bearer token of workers
 * @param stampLowBits      how many low bits of a stamp (a timestamp) count the events within one physical time
 * @param maxClockSkew      the largest assumed difference between the clocks of two processes
 * @param shutdownGrace     the longest time that a graceful shutdown may take
 * @param dispatch          the limits of a gateway's dispatcher
 * @param maxBodyBytes      the maximum length of a request body at the HTTP API
 * @param maxLineBytes      the maximum length of a line in a worker's response stream
 * @param mayBootstrap      whether a process that creates its data directory at this start may take part in bootstrapping a
 *                          cluster
 * @param minInSyncReplicas how many replicas must have synced a log entry to disk before it is acknowledged
 * @param voterCount        the number of voters, which are controllers with a data directory; fewer vote while fewer exist
 * @param intervals         the intervals and timeouts of the messages between processes
 * @param proxyAddress      IP:PORT at which a gateway accepts client requests that it routes by host and path
 * @param startupGrace      how long after its start a gateway may route by a saved configuration that no other node has confirmed
 *                          yet; 0 if it may not
 * @param prefixLifetime    how long after its last use a gateway considers a part of a prompt cached at a worker
 * @param revocationDeadline how long after a configuration that revokes a key was acknowledged requests with that key may still run;
 *                          after that no gateway runs one, even if it is isolated; 0 if only gateways connected to the other
 *                          processes have to reject the key
 * @param singleton         what the holder of the singleton role does outside the cluster
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

    /** Copies the list of seeds. */
    public Settings {
        seeds = List.copyOf(seeds);
    }

    /** The result of reading settings. */
    public sealed interface ReadResult {
        /** Settings without any fault. */
        record Valid(Settings settings) implements ReadResult {}

        /** All faults that were found, each with the key that it concerns. */
        record Invalid(List<String> faults) implements ReadResult {
            /** Copies the list of faults. */
            public Invalid {
                faults = List.copyOf(faults);
            }
        }
    }

    /**
     * Reads and validates settings.
     *
     * @param file         the path of the settings file; if empty, all values come from the flags and the defaults
     * @param flags        values by settings key, which override those of the file
     * @param isController true for a controller, false for a gateway
     */
    public static ReadResult read(
            final Optional<String> file, final Map<String, Object> flags, final boolean isController) {
        return SettingsReader.read(file, flags, isController);
    }

    /**
     * Returns the settings of the process's node.
     *
     * @param role      {@code controller} or {@code gateway}
     * @param wallNanos the wall-clock time at which the process starts, in nanoseconds
     */
    public Node.Settings nodeSettings(final String role, final long wallNanos) {
        final Member self =
                Member.starting(name, role, zone, region, peerAddress, httpAddress, wallNanos / NANOS_PER_MICRO);
        return new Node.Settings(self, seeds, stampLowBits, maxClockSkew, intervals.membership(), intervals.gossip())
                .withStartupGrace(startupGrace);
    }
}
