package silverlatch.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import silverlatch.clock.PhysicalClock;
import silverlatch.state.Entry;
import silverlatch.state.Value;
import silverlatch.traffic.TrafficReporter;
import silverlatch.traffic.UsageCounter;
import silverlatch.traffic.UsageSchedule;
import silverlatch.wire.TrafficMessage;

/** Which requests a router counts as usage, and when. */
final class RouterUsageTest extends RouterFixture {
    private final UsageCounter counter =
            new UsageCounter(new UsageSchedule(5 * SECOND, 10 * SECOND), () -> new PhysicalClock(0, 0, 0));

    @BeforeEach
    void configureATenantAndTwoWorkers() {
        entries.add(new Entry("p/access", 1, List.of(new Value.AccessControl(true))));
        entries.add(new Entry("v/a|/", 1, List.of(new Value.PublicRoute("a", "/"))));
        entries.add(new Entry(
                "n/acme",
                1,
                List.of(new Value.TenantAccess(
                        "acme", List.of("digest"), Value.TenantAccess.ROUTE_PRIORITY, List.of()))));
        router.countUsage(counter);
        worker("one", "west", 0, false, 1);
        worker("two", "west", 0, false, 1);
    }

    private RoutingEffect.StartAttempt arriveWith(final String path, final Credential credential) {
        router.requestArrived(
                new RoutedRequest(
                        ++lastCallId, "a", path, "t" + lastCallId, 15 * SECOND, List.of(), 100, 100, credential),
                now);
        return attemptIn(router.drainEffects());
    }

    private List<Value.TenantCount> counts() {
        return new TrafficReporter("gateway", 1, Optional.of(counter), List::of)
                .tick("owner", true, now)
                .map(TrafficMessage.TrafficReport::windows)
                .map(windows -> windows.get(windows.size() - 1).counts())
                .orElseThrow();
    }

    @Test
    void aTenantsRequestIsCountedOnceAtItsFirstEvent() {
        final RoutingEffect.StartAttempt attempt = arriveWith("/once/x", new Credential.Key("digest"));
        router.responseStarted(attempt.attemptId(), Optional.empty(), now);
        assertThat("no event yet", counts(), is(List.of()));
        router.eventForwarded(attempt.attemptId(), now);
        router.eventForwarded(attempt.attemptId(), now);
        router.responseCompleted(attempt.attemptId(), true, now);
        assertThat(counts(), contains(new Value.TenantCount("acme", 1)));
    }

    @Test
    void aResumedStreamIsCountedForEachWorkerThatBeganToRunIt() {
        final RoutingEffect.StartAttempt first = arriveWith("/again/x", new Credential.Key("digest"));
        router.eventForwarded(first.attemptId(), now);
        router.attemptFailed(first.attemptId(), FailurePoint.BEGUN, now);
        final RoutingEffect.StartAttempt second = attemptIn(router.drainEffects());
        router.eventForwarded(second.attemptId(), now);
        assertThat(counts(), contains(new Value.TenantCount("acme", 2)));
    }

    @Test
    void attemptsWithoutAnEventAndRequestsWithoutATenantAreNotCounted() {
        final RoutingEffect.StartAttempt broken = arriveWith("/once/x", new Credential.Key("digest"));
        router.attemptFailed(broken.attemptId(), FailurePoint.SENT, now);
        router.drainEffects();
        final RoutingEffect.StartAttempt open = arriveWith("/open", new Credential.None());
        router.eventForwarded(open.attemptId(), now);
        assertThat(counts(), is(List.of()));
    }
}
