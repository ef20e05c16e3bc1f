package silverlatch.routing;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import silverlatch.dispatch.ClusterSnapshot;

/**
 * Selects the worker that should cache the shared prefix of a prompt. All gateways select the same worker by rendezvous
 * hashing, so that a prefix is prefilled only once: one worker of this gateway's region if shared prefixes are reused
 * often there, else one of all regions.
 */
final class PrefixOwners {
    private final TrafficStatistics traffic;

    PrefixOwners(final TrafficStatistics traffic) {
        this.traffic = traffic;
    }

    /**
     * Returns the owner of each shared part of a request's prompt, by the part's digest. Empty if the shared parts are
     * too small to be cached together.
     *
     * @param eligible      the workers that may run the request
     * @param decodeWorkers the ids of the workers that should not get long prompts; they own no prefixes
     */
    Map<Long, String> of(
            final RoutedRequest request,
            final List<WorkerState> eligible,
            final Set<String> decodeWorkers,
            final ClusterSnapshot cluster) {
        if (!LatencyPredictor.hasLargeSharedPrefix(request.promptParts())) {
            return Map.of();
        }
        final String ownRegion = cluster.self().region();
        final List<WorkerState> prefillWorkers = eligible.stream()
                .filter(worker -> !decodeWorkers.contains(worker.id()))
                .toList();
        final boolean keepInRegion = prefillWorkers.stream()
                        .anyMatch(worker -> worker.worker().region().equals(ownRegion))
                && traffic.arePrefixesReused(gatewaysIn(ownRegion, cluster));
        final long key = LatencyPredictor.sharedPrefixKey(request);
        final Map<Long, String> owners = new HashMap<>();
        prefillWorkers.stream()
                .filter(worker -> !keepInRegion || worker.worker().region().equals(ownRegion))
                .max(Comparator.comparingLong(worker -> LatencyPredictor.rendezvousHash(key, worker.id())))
                .ifPresent(owner -> request.promptParts()
                        .subList(0, request.promptParts().size() - 1)
                        .forEach(part -> owners.put(part.digest(), owner.id())));
        return owners;
    }

    private static int gatewaysIn(final String region, final ClusterSnapshot cluster) {
        return 1
                + (int) cluster.peers().stream()
                        .filter(peer -> peer.region().equals(region))
                        .count();
    }
}
