package silverlatch.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;

/**
 * What a router does when attempts fail, are silent or exceed their deadline. Guards against a second execution of a
 * request, against reporting one that may have run as rejected, and against too many retries.
 */
final class RouterRetryTest extends RouterFixture {
    @Test
    void aNonRetryableRequestThatMayHaveRunIsNeitherRetriedNorRejected() {
        worker("w", "west", 0, false, 1);
        worker("v", "west", 0, false, 1);
        final RoutingEffect.StartAttempt first = attemptIn(arrive("/once/x", List.of()));
        router.attemptFailed(first.attemptId(), FailurePoint.SENT, now);
        final List<RoutingEffect> effects = router.drainEffects();
        assertThat(
                effects.stream()
                        .filter(RoutingEffect.StartAttempt.class::isInstance)
                        .toList(),
                is(empty()));
        assertThat(
                effects.stream()
                        .filter(RoutingEffect.Fail.class::isInstance)
                        .map(m -> ((RoutingEffect.Fail) m).statusCode())
                        .toList(),
                is(List.of(502)));
        router.attemptFailed(first.attemptId(), FailurePoint.NOT_RUN, now);
        assertThat(router.drainEffects(), is(empty()));
    }

    @Test
    void aRequestIsNotSentAgainToAWorkerThatFailedIt() {
        worker("w", "west", 0, false, 1);
        final RoutingEffect.StartAttempt only = attemptIn(arrive("/again/x", List.of()));
        router.errorResponse(only.attemptId(), 500, Optional.empty(), now);
        assertThat(
                router.drainEffects(), is(List.of(new RoutingEffect.ForwardResponse(only.callId(), only.attemptId()))));
        worker("v", "west", 0, false, 1);
        for (int i = 0; i < 20; i++) {
            final RoutingEffect.StartAttempt first = attemptIn(arrive("/again/x", List.of()));
            router.errorResponse(first.attemptId(), 500, Optional.empty(), now);
            router.drainEffects().stream()
                    .filter(RoutingEffect.StartAttempt.class::isInstance)
                    .forEach(e -> assertThat(((RoutingEffect.StartAttempt) e).worker(), not(first.worker())));
        }
    }

    @Test
    void aRequestKnownNotToHaveRunIsRetriedElsewhereOrRejected() {
        worker("w", "west", 0, false, 1);
        worker("v", "west", 0, false, 1);
        final RoutingEffect.StartAttempt first = attemptIn(arrive("/once/x", List.of()));
        router.attemptFailed(first.attemptId(), FailurePoint.NOT_RUN, now);
        final RoutingEffect.StartAttempt second = attemptIn(router.drainEffects());
        assertThat(second.worker().equals(first.worker()), is(false));
        router.attemptFailed(second.attemptId(), FailurePoint.STRANGER, now);
        final RoutingEffect.Reject rejection = rejectionIn(router.drainEffects());
        assertThat(rejection.statusCode(), is(503));
        assertThat(rejection.retryAfter(), greaterThan(0L));
    }

    @Test
    void aBrokenStreamResumesAtAnotherWorkerIfTheRouteIsResumable() {
        worker("w", "west", 0, false, 1);
        worker("v", "west", 0, false, 1);
        final RoutingEffect.StartAttempt first = attemptIn(arrive("/again/x", List.of()));
        router.responseStarted(first.attemptId(), Optional.empty(), now);
        router.eventForwarded(first.attemptId(), now);
        router.attemptFailed(first.attemptId(), FailurePoint.BEGUN, now);
        final RoutingEffect.StartAttempt second = attemptIn(router.drainEffects());
        assertThat(second.worker().equals(first.worker()), is(false));
        router.attemptFailed(second.attemptId(), FailurePoint.SENT, now);
        assertThat(router.drainEffects().stream().anyMatch(RoutingEffect.Fail.class::isInstance), is(true));
    }

    @Test
    void aRetryableRequestIsMovedAwayFromASilentWorker() {
        worker("w", "west", 0, false, 1);
        worker("v", "west", 0, false, 1);
        final RoutingEffect.StartAttempt first = attemptIn(arrive("/again/x", List.of()));
        final RoutingEffect.StartAttempt notRetryable = attemptIn(arrive("/once/x", List.of()));
        now += SECOND;
        router.tick(now);
        final List<RoutingEffect> effects = router.drainEffects();
        assertThat(effects.contains(new RoutingEffect.CancelAttempt(first.attemptId())), is(true));
        assertThat(attemptIn(effects).worker().equals(first.worker()), is(false));
        assertThat(effects.contains(new RoutingEffect.CancelAttempt(notRetryable.attemptId())), is(false));
    }

    @Test
    void retriesAreLimitedToATenthOfTheRequests() {
        for (int i = 0; i < 6; i++) {
            worker("w" + i, "west", 0, false, 1);
        }
        int retries = 0;
        final int all = 300;
        for (int i = 0; i < all; i++) {
            now += 20 * MILLISECOND;
            final RoutingEffect.StartAttempt first = attemptIn(arrive("/once/x", List.of()));
            router.attemptFailed(first.attemptId(), FailurePoint.NOT_RUN, now);
            final List<RoutingEffect> next = router.drainEffects();
            final Optional<RoutingEffect.StartAttempt> second = next.stream()
                    .filter(RoutingEffect.StartAttempt.class::isInstance)
                    .map(RoutingEffect.StartAttempt.class::cast)
                    .findFirst();
            if (second.isPresent()) {
                retries++;
                router.eventForwarded(second.get().attemptId(), now);
                router.responseCompleted(second.get().attemptId(), true, now);
                router.drainEffects();
            }
        }
        assertThat(retries, lessThanOrEqualTo(all / 10 + 3));
        assertThat(retries, greaterThan(all / 20));
    }

    @Test
    void aRequestFailsAtItsDeadline() {
        worker("w", "west", 0, false, 1);
        final RoutingEffect.StartAttempt first = attemptIn(arrive("/once/x", List.of()));
        now += 16 * SECOND;
        router.tick(now);
        final List<RoutingEffect> effects = router.drainEffects();
        assertThat(effects.contains(new RoutingEffect.CancelAttempt(first.attemptId())), is(true));
        assertThat(
                effects.stream()
                        .filter(RoutingEffect.Fail.class::isInstance)
                        .map(m -> ((RoutingEffect.Fail) m).statusCode())
                        .toList(),
                is(List.of(504)));
        assertThat(router.openRequests(), is(0));
    }

    @Test
    void aRequestThatMayHaveRunIsNotRejectedWhenALaterAttemptIsRefused() {
        worker("w", "west", 0, false, 1);
        worker("v", "west", 0, false, 1);
        final RoutingEffect.StartAttempt first = attemptIn(arrive("/again/x", List.of()));
        router.attemptFailed(first.attemptId(), FailurePoint.SENT, now);
        final RoutingEffect.StartAttempt second = attemptIn(router.drainEffects());
        router.attemptFailed(second.attemptId(), FailurePoint.NOT_RUN, now);
        final List<RoutingEffect> effects = router.drainEffects();
        assertThat(
                effects.stream().filter(RoutingEffect.Reject.class::isInstance).toList(), is(empty()));
        assertThat(
                effects.stream()
                        .filter(RoutingEffect.Fail.class::isInstance)
                        .map(e -> ((RoutingEffect.Fail) e).statusCode())
                        .toList(),
                is(List.of(502)));
    }
}
