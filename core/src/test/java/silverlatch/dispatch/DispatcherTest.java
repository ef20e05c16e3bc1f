package silverlatch.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;

import java.util.List;
import java.util.Optional;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.permit.Permit;
import silverlatch.state.CommandResult;
import silverlatch.state.Entry;
import silverlatch.state.Value;
import silverlatch.util.Lists;

/**
 * Tests placement, admission, rate limits and order of requests at a dispatcher. Guards against running a request twice or
 * without its claim, against acting on an unconfirmed snapshot or an evacuated zone, and against showing a response outside of
 * the tenant's home regions.
 */
final class DispatcherTest extends DispatcherFixture {
    @Test
    void rejectsForgedPermitsAndNeverRunsAReusedOne() {
        final String permit = place("one", "ask", "").permit();
        assertThat(
                rejectionOf(submit("one", permit.substring(0, permit.length() - 2) + "AA"))
                        .statusCode(),
                is(403));
        assertThat(rejectionOf(submit("two", permit)).statusCode(), is(401));
        submit("one", permit);
        final int attempts = effectsOf(DispatchEffect.StartAttempt.class).size();
        assertThat(rejectionOf(submit("one", permit)).statusCode(), is(409));
        now += 3_000_000;
        refreshReports();
        assertThat(rejectionOf(submit("one", permit)).statusCode(), is(409));
        final String permitOfPreviousIncarnation =
                SIGNER.sign(new Permit("t", "one", "ask", "w1", "p1", 6, 1, new Stamp(5), now + 1_000_000, ""));
        assertThat(rejectionOf(submit("one", permitOfPreviousIncarnation)).statusCode(), is(410));
        assertThat(effectsOf(DispatchEffect.StartAttempt.class).size(), is(attempts));
    }

    @Test
    void repeatsOrRejectsAPlacementMadeBeforeAnEvacuation() {
        worker("w2", "z2", "r1", 4);
        refreshReports();
        final DispatchEffect.Placed placed = place("one", "ask", "");
        final String evacuatedZone = placed.worker().equals("w1") ? "z1" : "z2";
        final String otherWorker = placed.worker().equals("w1") ? "w2" : "w1";
        policy.put(
                "z/" + evacuatedZone,
                new Entry(
                        "z/" + evacuatedZone,
                        ++revision,
                        List.of(new Value.Evacuation(evacuatedZone, true, new Stamp(++timestamp)))));
        if (evacuatedZone.equals("z1")) {
            dispatcher.update(
                    new ClusterSnapshot(
                            SELF,
                            revision,
                            Optional.of(now),
                            silverlatch.state.Policy.of(policy.values()),
                            workers,
                            List.of()),
                    now);
            assertThat(rejectionOf(submit("one", placed.permit())).reason(), containsString("being emptied"));
        } else {
            refreshReports();
            submit("one", placed.permit());
            assertThat(lastAttempt().worker(), is(otherWorker));
        }
    }

    @Test
    void rejectsPlacementsWhileTheSnapshotIsUnconfirmed() {
        final String permit = place("one", "ask", "").permit();
        now += 1_900_000;
        submit("one", permit);
        assertThat(effectsOf(DispatchEffect.StartAttempt.class).size(), is(1));
        now += 200_000;
        dispatcher.requestPlacement(
                new PlacementRequest("key-one", "one", "ask", List.of(), 1, "", 0), ++lastCallId, now);
        collectEffects();
        assertThat(rejectionOf(lastCallId).statusCode(), is(503));
        assertThat(rejectionOf(lastCallId).retryAfter(), greaterThan(0L));
    }

    @Test
    void claimsAnIdempotencyKeyBeforeTheAttemptAndNeverRunsWithoutTheClaim() {
        row(new Value.Row("*", "rule", 1, 1, 1, 1, 50, 100, 32, 64, 2_000_000, true, 9));
        refreshReports();
        submit("one", place("one", "rule", "k").permit());
        assertThat(effectsOf(DispatchEffect.StartAttempt.class).isEmpty(), is(true));
        final long firstOperation =
                Lists.last(effectsOf(DispatchEffect.SubmitCommand.class)).operationId();
        dispatcher.onClaimResult(firstOperation, new CommandResult.Applied(5), now);
        collectEffects();
        assertThat(effectsOf(DispatchEffect.StartAttempt.class).size(), is(1));
        final long callId = submit("one", place("one", "rule", "k").permit());
        dispatcher.onClaimResult(
                Lists.last(effectsOf(DispatchEffect.SubmitCommand.class)).operationId(),
                new CommandResult.AlreadyClaimed(new Value.Claim("x", "p1", "running", 0, 0)),
                now);
        collectEffects();
        assertThat(rejectionOf(callId).statusCode(), is(409));
        assertThat(rejectionOf(callId).claimState(), containsString("running"));
        final long unconfirmedCallId = submit("one", place("one", "rule", "k2").permit());
        dispatcher.onClaimResult(
                Lists.last(effectsOf(DispatchEffect.SubmitCommand.class)).operationId(),
                new CommandResult.Unknown("id"),
                now);
        collectEffects();
        assertThat(rejectionOf(unconfirmedCallId).statusCode(), is(503));
        final long fullCallId = submit("one", place("one", "rule", "k3").permit());
        dispatcher.onClaimResult(
                Lists.last(effectsOf(DispatchEffect.SubmitCommand.class)).operationId(),
                new CommandResult.Rejected(507, List.of("full"), 5),
                now);
        collectEffects();
        assertThat(rejectionOf(fullCallId).statusCode(), is(507));
        assertThat(effectsOf(DispatchEffect.StartAttempt.class).size(), is(1));
    }

    @Test
    void rejectsRequestsOverTheRateLimitUntilTokensAreRefilled() {
        row(new Value.Row("one", "ask", 1, 1, 1, 1, 2, 3, 32, 64, 2_000_000, false, 1));
        refreshReports();
        for (int i = 0; i < 4; i++) {
            dispatcher.requestPlacement(
                    new PlacementRequest("key-one", "one", "ask", List.of(), 1, "", 0), ++lastCallId, now);
            collectEffects();
        }
        assertThat(effectsOf(DispatchEffect.Placed.class).size(), is(3));
        assertThat(rejectionOf(lastCallId).statusCode(), is(429));
        assertThat(rejectionOf(lastCallId).retryAfter(), greaterThan(0L));
        now += 600_000;
        refreshReports();
        dispatcher.requestPlacement(
                new PlacementRequest("key-one", "one", "ask", List.of(), 1, "", 0), ++lastCallId, now);
        collectEffects();
        assertThat(effectsOf(DispatchEffect.Placed.class).size(), is(4));
    }

    @Test
    void doesNotLetATenantWithManyRequestsStarveAnother() {
        row(new Value.Row("*", "ask", 1, 1, 1, 1, 10_000, 10_000, 1_000, 1_000, 60_000_000, false, 1));
        refreshReports();
        for (int i = 0; i < 100; i++) {
            submit("one", place("one", "ask", "").permit());
        }
        for (int i = 0; i < 10; i++) {
            submit("two", place("two", "ask", "").permit());
        }
        for (int i = 0; i < 24; i++) {
            final DispatchEffect.StartAttempt attempt =
                    effectsOf(DispatchEffect.StartAttempt.class).get(i);
            dispatcher.onRecord(attempt.operationId(), trailerOf(attempt), now);
            now += 1_000;
            refreshReports();
        }
        final long attemptsOfSecondTenant = effectsOf(DispatchEffect.StartAttempt.class).stream()
                .limit(28)
                .filter(attempt -> attempt.tenant().equals("two"))
                .count();
        assertThat(attemptsOfSecondTenant, is(10L));
    }

    @Test
    void rejectsPlacementsWithRetryAfterWhenThereIsNoWorker() {
        workers.clear();
        dispatcher.update(clusterSnapshot(SELF), now);
        dispatcher.requestPlacement(
                new PlacementRequest("key-one", "one", "ask", List.of(), 1, "", 0), ++lastCallId, now);
        collectEffects();
        assertThat(rejectionOf(lastCallId).statusCode(), is(503));
        assertThat(rejectionOf(lastCallId).retryAfter(), greaterThan(0L));
    }

    @Test
    void servesResponsesOnlyInHomeRegionsAndUnderAConfirmedSnapshot() {
        submit("one", place("one", "ask", "").permit());
        final DispatchEffect.StartAttempt attempt = lastAttempt();
        dispatcher.onAttemptStarted(attempt.operationId());
        dispatcher.onRecord(
                attempt.operationId(), new StreamRecord.Chunk(attempt.requestId(), attempt.attemptId(), 0, "a"), now);
        now += 2_500_000;
        dispatcher.attach(attempt.requestId(), "key-one", 0, ++lastCallId, now);
        collectEffects();
        assertThat(
                "the snapshot is unconfirmed",
                Lists.last(effectsOf(DispatchEffect.Rejected.class)).statusCode(),
                is(425));
        refreshReports();
        dispatcher.attach(attempt.requestId(), "key-one", 0, ++lastCallId, now);
        collectEffects();
        assertThat(recordsSentTo(lastCallId).size(), is(1));
        revision++;
        tenant("one", List.of("elsewhere"), 1);
        refreshReports();
        assertThat(
                "the attempt is cancelled",
                Lists.last(effectsOf(DispatchEffect.CancelAttempt.class)).operationId(),
                is(attempt.operationId()));
        dispatcher.attach(attempt.requestId(), "key-one", 0, ++lastCallId, now);
        collectEffects();
        assertThat(
                "this region is no longer a home region",
                Lists.last(effectsOf(DispatchEffect.Rejected.class)).statusCode(),
                is(404));
    }
}
