package silverlatch.scaling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.TreeSet;
import java.util.stream.Collectors;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import silverlatch.gossip.Worker;
import silverlatch.state.Value;
import silverlatch.traffic.GatewayDemand;
import silverlatch.wire.TrafficMessage;

/**
 * Decisions in single situations. There are two regions of two zones each, one gateway per zone, and ten slots per
 * worker.
 */
final class ScalingPolicyTest {
    private static final long SECOND = 1_000_000L;
    private static final int SLOTS = 10;

    /**
     * The open requests per zone for which ten workers per zone are sufficient, including the load added by the loss of
     * the neighbouring zone.
     */
    private static final double USUAL_REQUESTS = 17.5;

    private static final int MIN = 2;
    private static final int MAX = 40;
    private static final List<String> ZONES = List.of("east1", "east2", "west1", "west2");
    private final Map<String, Integer> workers = new TreeMap<>();
    private final Map<String, Double> openRequests = new TreeMap<>();
    private final Set<String> evacuated = new TreeSet<>();
    private final Set<String> silentGateways = new TreeSet<>();
    private int cacheTokens;
    private double tokensPerRequest = 100;
    private ScalingState state = ScalingState.NONE;
    private long now = 50 * SECOND;

    @BeforeEach
    void startWithUsualLoad() {
        ZONES.forEach(zone -> {
            workers.put(zone, 20);
            openRequests.put(zone, USUAL_REQUESTS);
        });
    }

    private static String regionOf(final String zone) {
        return zone.substring(0, 4);
    }

    private static Worker worker(final String zone, final int number, final boolean draining) {
        return new Worker(
                zone + "-" + number, "a:1", zone, regionOf(zone), 1, 1, 0, 0, SLOTS, List.of(), draining, 0, "p", 0, 0);
    }

    private ScalingObservation observation() {
        final List<Worker> live = new ArrayList<>();
        workers.forEach((zone, count) -> {
            for (int i = 0; i < count; i++) {
                live.add(worker(zone, i, false));
            }
        });
        final List<GatewayDemand> demand = openRequests.entrySet().stream()
                .filter(zone -> !silentGateways.contains(zone.getKey()))
                .map(zone -> new GatewayDemand(
                        zone.getKey(),
                        regionOf(zone.getKey()),
                        List.of(new TrafficMessage.PoolDemand(
                                "p", zone.getValue(), zone.getValue(), zone.getValue() * tokensPerRequest))))
                .toList();
        return new ScalingObservation(
                List.of(new Value.PoolScaling("p", MIN, MAX, 8 * SECOND)),
                Map.of("p", new Value.BackendPool("p", "/health", 100, 0, 0, SLOTS, cacheTokens, 1)),
                live,
                evacuated,
                openRequests.size(),
                demand);
    }

    /** Decides once a second; the provider applies each target immediately. */
    private void runFor(final int seconds) {
        for (int i = 0; i < seconds; i++) {
            now += SECOND;
            state = ScalingPolicy.decide(state, observation(), now);
            state.targets()
                    .forEach(target -> workers.computeIfPresent(
                            target.zone(), (zone, count) -> count == 0 ? count : Integer.valueOf(target.count())));
        }
    }

    private Map<String, Integer> targets() {
        return state.targets().stream()
                .collect(Collectors.toMap(WorkerTarget::zone, WorkerTarget::count, Math::max, TreeMap::new));
    }

    private int target(final String zone) {
        return targets().getOrDefault(zone, 0);
    }

    @Test
    void thereIsNoDecisionBeforeTheDemandHasBeenKnownForSomeSeconds() {
        runFor(4);
        assertThat(state.targets(), is(empty()));
        runFor(1);
        assertThat(state.targets().size(), is(4));
        assertThat(state.targets().get(0).reason(), containsString("17.5 requests"));
    }

    @Test
    void thereIsNoDecisionBeforeTrafficBegins() {
        openRequests.replaceAll((zone, open) -> 0.0);
        runFor(60);
        assertThat(state.targets(), is(empty()));
    }

    @Test
    void excessWorkersAreRemovedInStepsOfAtMostHalf() {
        runFor(5);
        assertThat(target("east1"), is(10));
        runFor(60);
        assertThat(targets(), is(Map.of("east1", 10, "east2", 10, "west1", 10, "west2", 10)));
        openRequests.replaceAll((zone, open) -> 0.1);
        runFor(60);
        assertThat(targets(), is(Map.of("east1", 2, "east2", 2, "west1", 2, "west2", 2)));
    }

    /**
     * Each zone needs capacity for its own load, and for what the loss of the other zone of its region or of the other
     * region would add.
     */
    @ParameterizedTest
    @CsvSource({"17.5,10", "8.6,5", "8.9,6", "0.1,2", "1000,40"})
    void theWorkerCountFollowsTheOpenRequestsWithinTheBounds(final double open, final int count) {
        openRequests.replaceAll((zone, before) -> open);
        runFor(60);
        assertThat(targets(), is(Map.of("east1", count, "east2", count, "west1", count, "west2", count)));
    }

    @Test
    void largeRequestsCountByTheirTokens() {
        cacheTokens = 1_000;
        tokensPerRequest = 150;
        runFor(60);
        assertThat(target("east1"), is(15));
    }

    @Test
    void higherDemandRaisesTheCountImmediatelyAndItIsLoweredOnlyAfterADelay() {
        runFor(60);
        openRequests.replaceAll((zone, open) -> 2 * USUAL_REQUESTS);
        runFor(1);
        final int raised = target("west2");
        assertThat(raised, is(both(greaterThanOrEqualTo(20)).and(lessThanOrEqualTo(30))));
        openRequests.replaceAll((zone, open) -> USUAL_REQUESTS);
        runFor(29);
        assertThat(target("west2"), is(raised));
        runFor(70);
        assertThat(target("west2"), is(10));
    }

    @Test
    void aRisingArrivalRateRaisesTheCountInAdvance() {
        runFor(60);
        for (int i = 0; i < 5; i++) {
            openRequests.replaceAll((zone, open) -> open * 1.08);
            runFor(1);
        }
        final int sufficientForCurrentArrivals = 15;
        assertThat(target("east1"), is(greaterThan(sufficientForCurrentArrivals)));
    }

    @Test
    void missingReportsNeverLowerACount() {
        runFor(5);
        silentGateways.addAll(List.of("east1", "west1"));
        openRequests.replaceAll((zone, open) -> 0.1);
        runFor(120);
        assertThat(target("east2"), is(10));
        silentGateways.clear();
        runFor(4);
        assertThat(target("east2"), is(10));
        runFor(2);
        assertThat(target("east2"), is(5));
    }

    @Test
    void theCountOfAZoneWithoutReportsIsNotLowered() {
        runFor(60);
        openRequests.replaceAll((zone, open) -> 0.2 * USUAL_REQUESTS);
        silentGateways.add("east1");
        runFor(60);
        assertThat(target("east1"), is(10));
        assertThat(target("east2"), is(2));
    }

    @Test
    void noCountIsLoweredWhenAllDemandVanishes() {
        runFor(60);
        openRequests.replaceAll((zone, open) -> 0.0);
        runFor(60);
        assertThat(target("east1"), is(10));
    }

    @Test
    void anEvacuationDoesNotChangeCountsThatAlreadyAllowForTheLossOfTheZone() {
        openRequests.put("east2", 1.6 * USUAL_REQUESTS);
        runFor(60);
        final Map<String, Integer> beforeEvacuation = Map.of("east1", 13, "east2", 13, "west1", 12, "west2", 12);
        assertThat(targets(), is(beforeEvacuation));
        evacuated.add("east2");
        runFor(8);
        assertThat(targets(), is(beforeEvacuation));
        evacuated.clear();
        runFor(8);
        assertThat(targets(), is(beforeEvacuation));
    }

    @Test
    void theEvacuationOfFurtherZonesRaisesTheRemainingZoneImmediately() {
        runFor(60);
        evacuated.addAll(List.of("east1", "east2", "west1"));
        runFor(1);
        assertThat(targets(), is(Map.of("east1", 10, "east2", 10, "west1", 10, "west2", 20)));
    }

    @Test
    void aSilentRegionKeepsItsCountsAndItsLoadIsMovedToTheOtherRegion() {
        runFor(60);
        workers.put("east1", 0);
        workers.put("east2", 0);
        runFor(20);
        assertThat(targets(), is(Map.of("east1", 10, "east2", 10, "west1", 10, "west2", 10)));
        openRequests.replaceAll((zone, open) -> 1.5 * USUAL_REQUESTS);
        runFor(1);
        assertThat(target("east1"), is(10));
        assertThat(target("west1"), is(greaterThanOrEqualTo(15)));
    }

    @Test
    void aPermanentLossDoesNotPreventLoweringTheOtherZonesForever() {
        runFor(60);
        workers.put("east1", 0);
        openRequests.replaceAll((zone, open) -> 0.1 * USUAL_REQUESTS);
        runFor(58);
        assertThat(target("west1"), is(10));
        runFor(20);
        assertThat(target("west1"), is(lessThan(10)));
        assertThat(target("east1"), is(10));
    }

    @Test
    void crashedWorkersDoNotChangeTheCountAsTheProviderRestoresThem() {
        runFor(60);
        workers.put("east1", 8);
        final ScalingState before = state;
        now += SECOND;
        state = ScalingPolicy.decide(state, observation(), now);
        assertThat(state.targets(), is(before.targets()));
    }

    @Test
    void aNewOwnerStartsFromTheKnownWorkerCounts() {
        workers.replaceAll((zone, count) -> 10);
        workers.put("west1", 5);
        runFor(8);
        assertThat(targets(), is(Map.of("west1", 10)));
    }

    @Test
    void theLoadOfAZoneWithoutWorkersIsMovedToItsRegionOrElseToAllZones() {
        workers.replaceAll((zone, count) -> 30);
        workers.remove("east2");
        openRequests.put("north", 0.4 * USUAL_REQUESTS);
        runFor(60);
        assertThat(targets().keySet(), is(Set.of("east1", "west1", "west2")));
        assertThat(target("east1"), is(22));
        assertThat(target("west1"), is(12));
    }

    @Test
    void aPoolThatMayNoLongerBeScaledIsRemovedFromTheState() {
        runFor(10);
        final ScalingObservation seen = observation();
        state = ScalingPolicy.decide(
                state,
                new ScalingObservation(
                        List.of(), seen.pools(), seen.workers(), Set.of(), seen.liveGateways(), seen.demand()),
                now);
        assertThat(state, is(ScalingState.NONE));
    }

    @Test
    void noTargetExceedsAMaximumThatWasLowered() {
        ZONES.forEach(zone -> workers.put(zone, 3 * MAX));
        for (int second = 0; second < 10; second++) {
            runFor(1);
            targets().forEach((zone, count) -> assertThat(zone, count, lessThanOrEqualTo(MAX)));
        }
        assertThat(targets().keySet(), is(Set.copyOf(ZONES)));
    }
}
