package silverlatch.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.List;
import org.junit.jupiter.api.Test;
import silverlatch.util.Lists;

/**
 * Tests attempts at a dispatcher, their response streams and their readers. Guards against retrying a request that may have run,
 * against completing a stream that violates the protocol, and against retries beyond the budget.
 */
final class DispatcherAttemptTest extends DispatcherFixture {
    @Test
    void runsARequestAndStreamsItsResponseUpToTheTrailer() {
        final long callId = submit("one", place("one", "ask", "").permit());
        final DispatchEffect.StartAttempt attempt = lastAttempt();
        dispatcher.onAttemptStarted(attempt.operationId());
        dispatcher.onRecord(
                attempt.operationId(), new StreamRecord.Chunk(attempt.requestId(), attempt.attemptId(), 0, "hi"), now);
        collectEffects();
        dispatcher.onReaderReady(callId);
        dispatcher.onRecord(attempt.operationId(), trailerOf(attempt, "hi"), now);
        collectEffects();
        assertThat(
                recordsSentTo(callId),
                is(List.of(
                        new StreamRecord.Chunk(attempt.requestId(), attempt.attemptId(), 0, "hi"),
                        trailerOf(attempt, "hi"))));
    }

    @Test
    void endsAStreamThatViolatesTheProtocolAsLostAndNeverWithATrailer() {
        final List<java.util.function.Function<DispatchEffect.StartAttempt, StreamRecord>> violations = List.of(
                attempt -> new StreamRecord.Chunk(attempt.requestId(), attempt.attemptId(), 1, "b"),
                attempt -> new StreamRecord.Chunk(attempt.requestId() + "x", attempt.attemptId(), 0, "b"),
                attempt -> new StreamRecord.Chunk(attempt.requestId(), attempt.attemptId() + "x", 0, "b"),
                attempt -> trailerOf(attempt, "more"),
                attempt ->
                        new StreamRecord.Trailer(attempt.worker(), attempt.requestId(), attempt.attemptId(), 0, "00"));
        for (final java.util.function.Function<DispatchEffect.StartAttempt, StreamRecord> violation : violations) {
            final long callId = submit("one", place("one", "ask", "").permit());
            dispatcher.onRecord(lastAttempt().operationId(), violation.apply(lastAttempt()), now);
            collectEffects();
            assertThat(Lists.last(recordsSentTo(callId)) instanceof StreamRecord.Lost, is(true));
            assertThat(
                    recordsSentTo(callId).stream().anyMatch(streamed -> streamed instanceof StreamRecord.Trailer),
                    is(false));
        }
    }

    @Test
    void retriesOnlyAttemptsThatDidNotStartAndWithinTheBudget() {
        int retries = 0;
        for (int i = 0; i < 60; i++) {
            now += 1_100_000;
            refreshReports();
            final long callId = submit("one", place("one", "ask", "").permit());
            final int attemptsBefore =
                    effectsOf(DispatchEffect.StartAttempt.class).size();
            dispatcher.onAttemptFailed(lastAttempt().operationId(), false, "denied", now);
            now += 1_100_000;
            refreshReports();
            dispatcher.tick(now);
            collectEffects();
            if (effectsOf(DispatchEffect.StartAttempt.class).size() > attemptsBefore) {
                retries++;
                dispatcher.onAttemptFailed(lastAttempt().operationId(), true, "broke", now);
                collectEffects();
                assertThat(Lists.last(recordsSentTo(callId)) instanceof StreamRecord.Lost, is(true));
            }
        }
        assertThat(retries, greaterThan(2));
        assertThat(retries, lessThan(13));
    }

    @Test
    void ignoresLateEventsOfAnAttemptThatFailedBeforeItStarted() {
        submit("one", place("one", "ask", "").permit());
        final DispatchEffect.StartAttempt failed = lastAttempt();
        dispatcher.onAttemptFailed(failed.operationId(), false, "denied", now);
        dispatcher.onRecord(
                failed.operationId(), new StreamRecord.Chunk(failed.requestId(), failed.attemptId(), 0, "late"), now);
        dispatcher.onAttemptStarted(failed.operationId());
        dispatcher.onAttemptFailed(failed.operationId(), true, "again", now);
        now += 1_100_000;
        refreshReports();
        dispatcher.tick(now);
        collectEffects();
        final DispatchEffect.StartAttempt retry = lastAttempt();
        assertThat("the request was queued and is retried once", retry.operationId() > failed.operationId(), is(true));
    }

    @Test
    void letsAReconnectingClientContinueFromItsChunk() {
        final long callId = submit("one", place("one", "ask", "").permit());
        final DispatchEffect.StartAttempt attempt = lastAttempt();
        dispatcher.onRecord(
                attempt.operationId(), new StreamRecord.Chunk(attempt.requestId(), attempt.attemptId(), 0, "a"), now);
        dispatcher.onReaderDisconnected(callId, now);
        dispatcher.onRecord(
                attempt.operationId(), new StreamRecord.Chunk(attempt.requestId(), attempt.attemptId(), 1, "b"), now);
        dispatcher.attach(attempt.requestId(), "key-two", 1, ++lastCallId, now);
        collectEffects();
        assertThat(rejectionOf(lastCallId).statusCode(), is(404));
        dispatcher.attach(attempt.requestId(), "key-one", 1, ++lastCallId, now);
        collectEffects();
        assertThat(recordsSentTo(lastCallId), is(List.of((StreamRecord)
                new StreamRecord.Chunk(attempt.requestId(), attempt.attemptId(), 1, "b"))));
    }

    @Test
    void cancelsAnAttemptThatDoesNotStartInTime() {
        final long callId = submit("one", place("one", "ask", "").permit());
        now += 1_100_000;
        dispatcher.tick(now);
        collectEffects();
        assertThat(
                Lists.last(effectsOf(DispatchEffect.CancelAttempt.class)).operationId(),
                is(lastAttempt().operationId()));
        assertThat(Lists.last(recordsSentTo(callId)) instanceof StreamRecord.Lost, is(true));
    }
}
