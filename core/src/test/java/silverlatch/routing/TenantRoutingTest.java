package silverlatch.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.state.Entry;
import silverlatch.state.Value;

/** Routing of tenants' requests: which workers may run them, at which priority, and that a retry keeps the tenant. */
final class TenantRoutingTest extends RouterFixture {
    private static final int PRIORITY = 4;

    TenantRoutingTest() {
        entries.add(new Entry("p/access", 1, List.of(new Value.AccessControl(true))));
    }

    private void tenant(final String name, final String keyDigest, final int priority, final List<String> regions) {
        entries.removeIf(entry -> entry.key().equals("n/" + name));
        entries.add(new Entry(
                "n/" + name, 1, List.of(new Value.TenantAccess(name, List.of(keyDigest), priority, regions))));
        refreshReports();
    }

    private List<RoutingEffect> arriveWithKey(final String path, final String keyDigest) {
        router.requestArrived(
                new RoutedRequest(
                        ++lastCallId,
                        "a",
                        path,
                        "t" + lastCallId,
                        15 * SECOND,
                        List.of(),
                        100,
                        100,
                        new Credential.Key(keyDigest)),
                now);
        return router.drainEffects();
    }

    @Test
    void theTenantsPriorityOverridesTheRoutes() {
        worker("w", "west", 0, false, 1);
        tenant("urgent", "d1", PRIORITY, List.of());
        tenant("plain", "d2", Value.TenantAccess.ROUTE_PRIORITY, List.of());
        assertThat(attemptIn(arriveWithKey("/once/x", "d1")).priority(), is(PRIORITY));
        assertThat(attemptIn(arriveWithKey("/once/x", "d2")).priority(), is(0));
    }

    @Test
    void aTenantsRequestsRunOnlyInItsHomeRegions() {
        worker("w", "west", 0, false, 1);
        tenant("eastern", "d1", PRIORITY, List.of("east"));
        assertThat(rejectionIn(arriveWithKey("/once/x", "d1")).statusCode(), is(503));
        worker("e", "east", 0, false, 1);
        final List<String> used = new ArrayList<>();
        for (int i = 0; i < 20; i++) {
            used.add(attemptIn(arriveWithKey("/once/x", "d1")).worker());
        }
        assertThat(used.stream().distinct().toList(), is(List.of("e")));
    }

    @Test
    void theHomeRegionsOfTenantAndRouteBothApply() {
        worker("w", "west", 0, false, 1);
        worker("e", "east", 0, false, 1);
        tenant("eastern", "d1", PRIORITY, List.of("east"));
        tenant("both", "d2", PRIORITY, List.of("west", "east"));
        assertThat(rejectionIn(arriveWithKey("/again/x", "d1")).statusCode(), is(503));
        assertThat(attemptIn(arriveWithKey("/again/x", "d2")).worker(), is("w"));
    }

    @Test
    void aRequestWithALargePrefixStaysInTheTenantsHomeRegions() {
        tenant("eastern", "d1", PRIORITY, List.of("east"));
        for (int i = 0; i < 3; i++) {
            worker("w" + i, "west", 0, false, 1);
            worker("e" + i, "east", 0, false, 1);
        }
        for (int i = 0; i < 20; i++) {
            router.requestArrived(
                    new RoutedRequest(
                            ++lastCallId,
                            "a",
                            "/once/x",
                            "t" + lastCallId,
                            15 * SECOND,
                            List.of(new RoutedRequest.PromptPart(5, 6_300), new RoutedRequest.PromptPart(100 + i, 800)),
                            7_100,
                            50,
                            new Credential.Key("d1")),
                    now);
            assertThat(attemptIn(router.drainEffects()).worker().startsWith("e"), is(true));
        }
    }

    @Test
    void aRetryKeepsTheTenantToWhichTheKeyBelongedWhenTheRequestArrived() {
        worker("one", "west", 0, false, 1);
        worker("two", "west", 0, false, 1);
        worker("far", "east", 0, false, 1);
        tenant("acme", "d1", PRIORITY, List.of("west"));
        final RoutingEffect.StartAttempt first = attemptIn(arriveWithKey("/once/x", "d1"));
        tenant("acme", "d9", 9, List.of("west"));
        tenant("other", "d1", 9, List.of("east"));
        router.attemptFailed(first.attemptId(), FailurePoint.NOT_RUN, now);
        final RoutingEffect.StartAttempt second = attemptIn(router.drainEffects());
        assertThat(first.tenant(), is(Optional.of("acme")));
        assertThat(second.tenant(), is(Optional.of("acme")));
        assertThat(second.priority(), is(PRIORITY));
        assertThat(second.worker().equals("far"), is(false));
    }

    @Test
    void theTraceOfARequestContainsItsTenant() {
        worker("w", "west", 0, false, 1);
        tenant("acme", "d1", PRIORITY, List.of());
        arriveWithKey("/once/x", "d1");
        assertThat(router.traces().get("t" + lastCallId).orElseThrow().tenant(), is("acme"));
    }
}
