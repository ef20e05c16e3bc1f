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
 * The policy in a loop with a provider: waves of the demand, and by chance a shift of clients, a crash of a fifth of the workers, and
 * an evacuation, or a demand that grows threefold. Workers take eight seconds to start. Requests of a zone without workers go to the others of
 * its region; they take the longer, the larger the part of its slots that is in use.
 */
final class ScalingLoopTest {
    private static final long SECOND = 1_000_000L;
    private static final int SLOTS = 10;
    private static final int BOOT_S = 8;
    private static final int DURATION_S = 180;
    private static final int INITIAL = 30;
    private static final double USUAL_USE = 0.35;
    private static final double BEARABLE_USE = 0.5;
    private static final int USUAL_ORDERS_PER_MINUTE = 8;
    private static final int MAX_ORDERS_PER_MINUTE = 12;
    private static final int GROWTH_FROM = 60;
    private static final double GROWTH_S = 20;
    private static final double SERVICE_S = 1.1;
    private static final List<String> ZONES = List.of("a1", "b1", "c1", "a2", "b2", "c2");
    private static final double SMOOTHING = 1 - Math.exp(-0.5);

    private final Map<String, List<Integer>> servingFrom = new TreeMap<>();
    private final Map<String, Double> averageArrivals = new HashMap<>();
    private final Map<String, Double> averageOpen = new HashMap<>();
    private final Map<String, List<Integer>> orders = new HashMap<>();
    private final Map<String, Integer> ordered = new HashMap<>();
    private ScalingState state = ScalingState.NONE;
    private double worstUse;
    private long workerSeconds;

    /** What happens when. */
    private record Plan(double perZone, double growth, int shiftAt, int crashAt, int evacuateAt, String zone) {
        static Plan of(final double growth, final SplittableRandom random) {
            return new Plan(
                    8 + random.nextDouble() * 22 / growth,
                    growth,
                    random.nextInt(DURATION_S),
                    random.nextInt(20, DURATION_S),
                    random.nextInt(20, DURATION_S),
                    ZONES.get(random.nextInt(ZONES.size())));
        }

        double arrivals(final String zone, final int second) {
            final double phase = (zone.charAt(0) - 'a') / 3.0;
            final double grown = 1 + (growth - 1) * Numbers.clamp((second - GROWTH_FROM) / GROWTH_S, 0.0, 1.0);
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

        /** A fifth of the workers of each zone is missing. */
        int crashed(final int workers, final int second) {
            return second >= crashAt && second < crashAt + 5 ? workers / 5 : 0;
        }
    }

    private static String regionOf(final String zone) {
        return zone.substring(0, 1);
    }

    private int serving(final Plan plan, final String zone, final int second) {
        final int started = (int)
                servingFrom.get(zone).stream().filter(from -> from <= second).count();
        return plan.isEvacuated(zone, second) ? 0 : started - plan.crashed(started, second);
    }

    private void step(final Plan plan, final int second, final SplittableRandom random) {
        final Map<String, Double> use = new HashMap<>();
        for (final String region : Set.of("a", "b", "c")) {
            final List<String> zones =
                    ZONES.stream().filter(zone -> regionOf(zone).equals(region)).toList();
            final int workers =
                    zones.stream().mapToInt(zone -> serving(plan, zone, second)).sum();
            final double open = SERVICE_S
                    * zones.stream()
                            .mapToDouble(zone -> plan.arrivals(zone, second))
                            .sum();
            use.put(region, open / Math.max(1, workers) / SLOTS);
        }
        worstUse = use.values().stream().reduce(worstUse, Math::max);
        workerSeconds += servingFrom.values().stream().mapToInt(List::size).sum();
        for (final String zone : ZONES) {
            final double arrivals = plan.arrivals(zone, second);
            final double noisy = Math.max(0, arrivals + Math.sqrt(arrivals) * random.nextGaussian());
            final double slowdown = 1 / Math.max(0.2, 1 - use.get(regionOf(zone)));
            averageArrivals.merge(zone, noisy * SMOOTHING, (before, part) -> before * (1 - SMOOTHING) + part);
            averageOpen.merge(
                    zone, noisy * SERVICE_S * slowdown * SMOOTHING, (before, part) -> before * (1 - SMOOTHING) + part);
        }
        state = ScalingPolicy.decide(state, observation(plan, second), (1_000 + second) * SECOND);
        state.targets().forEach(target -> order(target, second));
    }

    private void order(final WorkerTarget target, final int second) {
        if (Integer.valueOf(target.count()).equals(ordered.put(target.zone(), target.count()))) {
            return;
        }
        orders.computeIfAbsent(target.zone(), zone -> new ArrayList<>()).add(second);
        final List<Integer> workers = servingFrom.get(target.zone());
        while (workers.size() > target.count()) {
            workers.remove(workers.size() - 1);
        }
        while (workers.size() < target.count()) {
            workers.add(second + 1 + BOOT_S);
        }
    }

    private ScalingObservation observation(final Plan plan, final int second) {
        final List<Worker> live = new ArrayList<>();
        final List<GatewayDemand> demand = new ArrayList<>();
        for (final String zone : ZONES) {
            final int started = (int) servingFrom.get(zone).stream()
                    .filter(from -> from <= second)
                    .count();
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
                List.of(new Value.PoolScaling("p", 2, 64, BOOT_S * SECOND)),
                Map.of("p", new Value.BackendPool("p", "/health", 100, 0, 0, SLOTS, 0, 1)),
                live,
                plan.isEvacuated(plan.zone(), second) ? Set.of(plan.zone()) : Set.of(),
                ZONES.size(),
                demand);
    }

    private static int mostWithinAMinute(final List<Integer> seconds) {
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
        ZONES.forEach(zone -> servingFrom.put(zone, new ArrayList<>(Collections.nCopies(INITIAL, 0))));
        for (int second = 0; second < DURATION_S; second++) {
            step(plan, second, random);
        }
        return plan;
    }

    private void assertNoFlapping(final Plan plan, final int maxOrders) {
        orders.values()
                .forEach(seconds ->
                        assertThat(plan + " " + seconds, mostWithinAMinute(seconds), is(lessThanOrEqualTo(maxOrders))));
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void wavesAndFaultsFindEnoughWorkers(final int seed) {
        final Plan plan = run(seed, 1);
        assertThat(plan.toString(), worstUse, is(lessThanOrEqualTo(USUAL_USE)));
        assertNoFlapping(plan, USUAL_ORDERS_PER_MINUTE);
    }

    @ParameterizedTest
    @ValueSource(ints = {1, 2, 3, 4, 5, 6, 7, 8, 9, 10, 11, 12, 13, 14, 15, 16, 17, 18, 19, 20})
    void aDemandThatGrowsThreefoldWhileWorkersStartStaysBearable(final int seed) {
        final Plan plan = run(seed, 3);
        assertThat(plan.toString(), worstUse, is(lessThanOrEqualTo(BEARABLE_USE)));
        assertNoFlapping(plan, MAX_ORDERS_PER_MINUTE);
    }

    @Test
    void workersThatWereTooManyFromTheStartAreNotPaidForLong() {
        run(3, 1);
        final double unchanged = (double) INITIAL * ZONES.size() * DURATION_S;
        assertThat(workerSeconds / unchanged, is(lessThan(0.6)));
    }
}
