package silverlatch.server.provider;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import silverlatch.gossip.Worker;
import silverlatch.scaling.ScalingObservation;
import silverlatch.state.Value;
import silverlatch.traffic.GatewayDemand;
import silverlatch.wire.TrafficMessage;

/**
 * Checks which calls are made for the worker counts that the scaling policy decides on: one pool in two zones of one region, one
 * gateway. Guards against counts that are never set after a call failed or its outcome was unknown, and against repeated calls.
 */
final class ScalingCallSourceTest {
    private static final long SECOND = 1_000_000L;
    private static final int SLOTS = 10;
    private final ScalingCallSource source = new ScalingCallSource(now -> Optional.of(observation()));
    private int workersPerZone = 16;
    private double openRequests = 7;
    private long now = 500 * SECOND;

    private ScalingObservation observation() {
        final List<Worker> workers = new ArrayList<>();
        for (final String zone : List.of("east1", "east2")) {
            for (int i = 0; i < workersPerZone; i++) {
                workers.add(new Worker(
                        zone + i, "a:1", zone, "east", 1, 1, 0, 0, SLOTS, List.of(), false, 0, "pool", 0, 0));
            }
        }
        return new ScalingObservation(
                List.of(new Value.PoolScaling("pool", 2, 40, 8 * SECOND)),
                Map.of("pool", new Value.BackendPool("pool", "/health", 100, 0, 0, SLOTS, 0, 1)),
                workers,
                Set.of(),
                1,
                List.of(new GatewayDemand(
                        "elsewhere", "east", List.of(new TrafficMessage.PoolDemand("pool", 5, openRequests, 0)))));
    }

    /** Requests the next call four times per second and completes it immediately; returns the calls. */
    private List<String> runFor(final int seconds, final CloudProvider.Outcome outcome) {
        final List<String> calls = new ArrayList<>();
        for (int i = 0; i < 4 * seconds; i++) {
            now += SECOND / 4;
            source.next(now).ifPresent(call -> {
                calls.add(summary(call));
                source.onOutcome(call, outcome, now);
            });
        }
        return calls;
    }

    private static String summary(final ProviderCall call) {
        return call instanceof ProviderCall.SetWorkerCount order
                ? order.target().zone() + "=" + order.target().count()
                : call.summary();
    }

    @Test
    void eachCountIsSetOnce() {
        assertThat(runFor(4, CloudProvider.Outcome.ACCEPTED), is(empty()));
        assertThat(
                runFor(20, CloudProvider.Outcome.ACCEPTED),
                contains("east1=8", "east2=8", "east1=4", "east2=4", "east1=2", "east2=2"));
    }

    @Test
    void aCallWithoutAnOutcomeIsReturnedAgain() {
        runFor(4, CloudProvider.Outcome.ACCEPTED);
        now += SECOND;
        final Optional<String> first = source.next(now).map(ScalingCallSourceTest::summary);
        assertThat(first, is(Optional.of("east1=8")));
        assertThat(source.next(now + 1).map(ScalingCallSourceTest::summary), is(first));
    }

    @Test
    void callsThatWereNotAcceptedAreRepeatedInTurn() {
        runFor(4, CloudProvider.Outcome.ACCEPTED);
        assertThat(runFor(1, CloudProvider.Outcome.THROTTLED), contains("east1=8", "east2=8", "east1=8", "east2=8"));
        assertThat(runFor(1, CloudProvider.Outcome.UNKNOWN), contains("east1=8", "east2=8", "east1=8", "east2=8"));
        assertThat(runFor(1, CloudProvider.Outcome.ACCEPTED), contains("east1=8", "east2=8"));
    }

    @Test
    void aRefusedCountIsNotSetAgainButAnotherCountIs() {
        runFor(4, CloudProvider.Outcome.ACCEPTED);
        assertThat(runFor(3, CloudProvider.Outcome.REFUSED), contains("east1=8", "east2=8"));
        assertThat(runFor(4, CloudProvider.Outcome.ACCEPTED), contains("east1=4", "east2=4"));
    }

    /** A raise with unknown outcome may have taken effect, so the previously accepted lower count has to be set again. */
    @Test
    void anAcceptedCountIsSetAgainAfterACallWithAnUnknownOutcome() {
        runFor(30, CloudProvider.Outcome.ACCEPTED);
        openRequests = 28;
        assertThat(runFor(1, CloudProvider.Outcome.UNKNOWN).get(0), is("east1=8"));
        openRequests = 7;
        assertThat(runFor(120, CloudProvider.Outcome.UNKNOWN).contains("east1=2"), is(true));
    }

    @Test
    void aNewOwnerSetsNoCountIfTheWorkersAreSufficient() {
        runFor(30, CloudProvider.Outcome.ACCEPTED);
        workersPerZone = 2;
        source.reset();
        assertThat(runFor(30, CloudProvider.Outcome.ACCEPTED), is(empty()));
    }
}
