package silverlatch.scaling;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;
import silverlatch.gossip.Worker;
import silverlatch.state.Value;
import silverlatch.traffic.GatewayDemand;
import silverlatch.util.Numbers;
import silverlatch.wire.TrafficMessage;

/**
 * Runs the policy in a loop with a simulated provider. Guards against worker counts that are too low under waves of
 * demand combined with faults, that change too often, or that stay too high. The faults occur at random times: a shift
 * of clients, a crash of a fifth of the workers, an evacuation; alternatively the demand triples. Workers take eight
 * seconds to start. Requests of a zone without workers are sent to the other zones of its region; they take the longer,
 * the larger the fraction of slots in use is.
 */
final class ScalingLoopTest {
    private static final long SECOND = 1_000_000L;
    private static final int SLOTS = 10;
    private static final int BOOT_SECONDS = 8;
    private static final int DURATION_SECONDS = 180;
    private static final int INITIAL_WORKERS = 30;
    private static final double MAX_USUAL_UTILIZATION = 0.35;
    private static final double MAX_GROWTH_UTILIZATION = 0.5;
    private static final int MAX_USUAL_CHANGES_PER_MINUTE = 8;
    private static final int MAX_GROWTH_CHANGES_PER_MINUTE = 12;
    private static final int GROWTH_START = 60;
    private static final double GROWTH_SECONDS = 20;
    private static final double SERVICE_SECONDS = 1.1;
    private static final List<String> ZONES = List.of("a1", "b1", "c1", "a2", "b2", "c2");
    private static final double SMOOTHING = 1 - Math.exp(-0.5);

    private final Map<String, List<Integer>> startTimes = new TreeMap<>();
    private final Map<String, Double> averageArrivals = new HashMap<>();
    private final Map<String, Double> averageOpen = new HashMap<>();
    private final Map<String, List<Integer>> changes = new HashMap<>();
    private final Map<String, Integer> appliedCounts = new HashMap<>();
    private ScalingState state = ScalingState.NONE;
    private double worstUtilization;
    private long workerSeconds;

    /** The demand and the faults of a run, with the seconds at which they begin. */
    private record Plan(double perZone, double growth, int shiftAt, int crashAt, int evacuateAt, String zone) {
        static Plan of(final double growth, final SplittableRandom random) {
            return new Plan(
                    8 + random.nextDouble() * 22 / growth,
                    growth,
                    random.nextInt(DURATION_SECONDS),
                    random.nextInt(20, DURATION_SECONDS),
                    random.nextInt(20, DURATION_SECONDS),
                    ZONES.get(random.nextInt(ZONES.size())));
        }

        double arrivals(final String zone, final int second) {
            final double phase = (zone.charAt(0) - 'a') / 3.0;
            final double grown = 1 + (growth - 1) * Numbers.clamp((second - GROWTH_START) / GROWTH_SECONDS, 0.0, 1.0);
            final double wave = perZone * grown * (1 + 0.4 * Math.sin(2 * Math.PI * (second / 26.0 + phase)));
            final boolean isShifted = second >= shiftAt && second < shiftAt + 6;
            final String to = ZONES.get((ZONES.indexOf(this.zone) + 1) % ZONES.size());
            if (isShifted && zone.equals(this.zone)) {
                return wave / 2;
            }
            return isShifted && zone.equals(to) ? wave * 1.5 : wave;
        }

        boolean isEvacuated(final String zone, final int second) {
            return zone.equals(this.zone) && second >= evacuateAt && second < evacuateAt + 8;
        }

        /** Returns how many workers of a zone are missing: a fifth while the crash lasts. */
        int crashed(final int workers, final int second) {
            return second >= crashAt && second < crashAt + 5 ? workers / 5 : 0;
        }
    }

    private static String regionOf(final String zone) {
        return zone.substring(0, 1);
    }

    private int serving(final Plan plan, final String zone, final int second) {
        final int started = (int)
                startTimes.get(zone).stream().filter(from -> from <= second).count();
        return plan.isEvacuated(zone, second) ? 0 : started - plan.crashed(started, second);
    }

    private void step(final Plan plan, final int second, final SplittableRandom random) {
        final Map<String, Double> utilization = new HashMap<>();
        for (final String region : Set.of("a", "b", "c")) {
            final List<String> zones =
                    ZONES.stream().filter(zone -> regionOf(zone).equals(region)).toList();
            final int workers =
                    zones.stream().mapToInt(zone -> serving(plan, zone, second)).sum();
            final double open = SERVICE_SECONDS
                    * zones.stream()
                            .mapToDouble(zone -> plan.arrivals(zone, second))
                            .sum();
            utilization.put(region, open / Math.max(1, workers) / SLOTS);
        }
        worstUtilization = utilization.values().stream().reduce(worstUtilization, Math::max);
        workerSeconds += startTimes.values().stream().mapToInt(List::size).sum();
        for (final String zone : ZONES) {
            final double arrivals = plan.arrivals(zone, second);
            final double noisy = Math.max(0, arrivals + Math.sqrt(arrivals) * random.nextGaussian());
            final double slowdown = 1 / Math.max(0.2, 1 - utilization.get(regionOf(zone)));
            averageArrivals.merge(zone, noisy * SMOOTHING, (before, part) -> before * (1 - SMOOTHING) + part);
            averageOpen.merge(
                    zone,
                    noisy * SERVICE_SECONDS * slowdown * SMOOTHING,
                    (before, part) -> before * (1 - SMOOTHING) + part);
        }
        state = ScalingPolicy.decide(state, observation(plan, second), (1_000 + second) * SECOND);
        state.targets().forEach(target -> applyTarget(target, second));
    }

    private void applyTarget(final WorkerTarget target, final int second) {
        if (Integer.valueOf(target.count()).equals(appliedCounts.put(target.zone(), target.count()))) {
            return;
        }
        changes.computeIfAbsent(target.zone(), zone -> new ArrayList<>()).add(second);
        final List<Integer> workers = startTimes.get(target.zone());
        while (workers.size() > target.count()) {
            workers.remove(workers.size() - 1);
        }
        while (workers.size() < target.count()) {
            workers.add(second + 1 + BOOT_SECONDS);
        }
    }

    private ScalingObservation observation(final Plan plan, final int second) {
        final List<Worker> live = new ArrayList<>();
        final List<GatewayDemand> demand = new ArrayList<>();
        for (final String zone : ZONES) {
            final int started = (int)
                    startTimes.get(zone).stream().filter(from -> from <= second).count();
            for (int i = plan.crashed(started, second); i < started; i++) {
                live.add(new Worker(
                        zone + "-" + i,
                        "a:1",
                        zone,
                        regionOf(zone),
                        1,
                        1,
                        0,
                        0,
                        SLOTS,
                        List.of(),
                        false,
                        0,
                        "p",
                        0,
                        0));
            }
            demand.add(new GatewayDemand(
                    zone,
                    regionOf(zone),
                    List.of(new TrafficMessage.PoolDemand("p", averageArrivals.get(zone), averageOpen.get(zone), 0))));
        }
        return new ScalingObservation(
                List.of(new Value.PoolScaling("p", 2, 64, BOOT_SECONDS * SECOND)),
                Map.of("p", new Value.BackendPool("p", "/health", 100, 0, 0, SLOTS, 0, 1)),
                live,
                plan.isEvacuated(plan.zone(), second) ? Set.of(plan.zone()) : Set.of(),
                ZONES.size(),
                demand);
    }

    private static int maxWithinAMinute(final List<Integer> seconds) {
        return seconds.stream()
                .mapToInt(from -> (int) seconds.stream()
                        .filter(at -> at >= from && at < from + 60)
                        .count())
                .max()
                .orElse(0);
    }

    private Plan run(final int seed, final double growth) {
        final SplittableRandom random = new SplittableRandom(seed);
        final Plan plan = Plan.of(growth, random);
        ZONES.forEach(zone -> startTimes.put(zone, new ArrayList<>(Collections.nCopies(INITIAL_WORKERS, 0))));
        for (int second = 0; second < DURATION_SECONDS; second++) {
            step(plan, second, random);
        }
        return plan;
    }

    private void assertNoFlapping(final Plan plan, final int maxChanges) {
        changes.values()
                .forEach(seconds ->
                        assertThat(plan + " " + seconds, maxWithinAMinute(seconds), is(lessThanOrEqualTo(maxChanges))));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void thereAreEnoughWorkersDuringWavesAndFaults(final int seed) {
        final Plan plan = run(seed, 1);
        assertThat(plan.toString(), worstUtilization, is(lessThanOrEqualTo(MAX_USUAL_UTILIZATION)));
        assertNoFlapping(plan, MAX_USUAL_CHANGES_PER_MINUTE);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void utilizationStaysBoundedWhileTheDemandTriples(final int seed) {
        final Plan plan = run(seed, 3);
        assertThat(plan.toString(), worstUtilization, is(lessThanOrEqualTo(MAX_GROWTH_UTILIZATION)));
        assertNoFlapping(plan, MAX_GROWTH_CHANGES_PER_MINUTE);
    }

    @Test
    void excessInitialWorkersAreRemovedSoon() {
        run(3, 1);
        final double unchanged = (double) INITIAL_WORKERS * ZONES.size() * DURATION_SECONDS;
        assertThat(workerSeconds / unchanged, is(lessThan(0.6)));
    }
}
