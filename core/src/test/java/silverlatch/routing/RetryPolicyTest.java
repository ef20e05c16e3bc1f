package silverlatch.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

import java.util.EnumSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.state.Value;

/**
 * Guards against executing a request twice whose route forbids it, and against retries after the deadline or the last
 * attempt.
 */
final class RetryPolicyTest {
    private static final long SECOND = 1_000_000;
    private static final long NOW = 100 * SECOND;
    private static final Set<FailurePoint> KNOWN_NOT_RUN =
            EnumSet.of(FailurePoint.UNSENT, FailurePoint.NOT_RUN, FailurePoint.STRANGER);

    private static OpenRequest open(final boolean atMostOnce, final boolean streaming, final boolean resumable) {
        final Value.Route route = new Value.Route(
                "route",
                "a",
                "/",
                atMostOnce,
                streaming,
                resumable,
                true,
                15 * SECOND,
                SECOND,
                SECOND,
                0,
                2,
                List.of(),
                List.of());
        final RoutedRequest request = new RoutedRequest(1, "a", "/", "t", 15 * SECOND, List.of(), 1, 1);
        final OpenRequest open = new OpenRequest(request, route, Optional.empty(), "pool", NOW, new Stamp(1));
        open.startAttempt(1, "w");
        return open;
    }

    private static Set<FailurePoint> retried(final OpenRequest open, final long now) {
        final Set<FailurePoint> points = EnumSet.noneOf(FailurePoint.class);
        for (final FailurePoint point : FailurePoint.values()) {
            if (RetryPolicy.allowsAfterFailure(open, point, now)) {
                points.add(point);
            }
        }
        return points;
    }

    @Test
    void aNonRetryableRequestIsRetriedOnlyIfItIsKnownNotToHaveRun() {
        final OpenRequest atMostOnce = open(true, true, false);
        assertThat(atMostOnce.route().isRetryable(), is(false));
        assertThat(retried(atMostOnce, NOW), is(KNOWN_NOT_RUN));
        assertThat(RetryPolicy.allowsAfterResponse(atMostOnce, 500, NOW), is(false));
        assertThat(
                "a resumable route is retryable",
                retried(open(true, true, true), NOW),
                is(EnumSet.allOf(FailurePoint.class)));
    }

    @Test
    void aResponseThatHasBegunIsRetriedOnlyIfItsStreamCanBeResumed() {
        assertThat(retried(open(false, true, true), NOW), is(EnumSet.allOf(FailurePoint.class)));
        assertThat(retried(open(false, true, false), NOW).contains(FailurePoint.BEGUN), is(false));
        assertThat(retried(open(false, false, true), NOW).contains(FailurePoint.BEGUN), is(false));
    }

    @Test
    void nothingIsRetriedAfterTheDeadlineOrTheLastAttempt() {
        assertThat(retried(open(false, true, true), NOW + 15 * SECOND), is(Set.of()));
        final OpenRequest open = open(false, true, true);
        open.startAttempt(2, "v");
        assertThat("only unsent attempts don't count", retried(open, NOW), is(Set.of(FailurePoint.UNSENT)));
        open.startAttempt(3, "u");
        assertThat(retried(open, NOW), is(Set.of(FailurePoint.UNSENT)));
        open.startAttempt(4, "t");
        assertThat(retried(open, NOW), is(Set.of()));
    }

    @Test
    void onlyServerErrorsAreRetried() {
        assertThat(RetryPolicy.allowsAfterResponse(open(false, true, true), 500, NOW), is(true));
        assertThat(RetryPolicy.allowsAfterResponse(open(false, true, true), 499, NOW), is(false));
        assertThat(RetryPolicy.allowsAfterResponse(open(false, true, true), 503, NOW + 15 * SECOND), is(false));
    }
}
