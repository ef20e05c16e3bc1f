package silverlatch.dispatch;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.permit.Permit;
import silverlatch.dispatch.permit.PermitSigner;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.membership.Member;
import silverlatch.state.CommandResult;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.state.TableRules;
import silverlatch.state.Value;
import silverlatch.util.Lists;

/** One gateway with scripted consumers, workers and chain, on a fake clock. */
final class DispatcherTest {
    private static final PermitSigner SIGNER = new PermitSigner("a-cluster-key-for-tests");
    private static final Member SELF = new Member("p1", "gateway", "z1", "r1", "a", "d", 7, 0, "up", true);
    private final Map<String, Entry> policy = new HashMap<>();
    private final Map<String, Gossip.ObservedWorker> workers = new HashMap<>();
    private final List<DispatchEffect> effects = new ArrayList<>();
    private long now = 100_000_000;
    private long revision = 1;
    private long timestamp = 1_000;
    private long lastCallId;
    private Dispatcher dispatcher = newDispatcher(SELF);

    private Dispatcher newDispatcher(final Member self) {
        tenant("one", List.of(), 1);
        tenant("two", List.of(), 1);
        row(TableRules.defaultRow("*", "ask"));
        worker("w1", "z1", "r1", 4);
        return new Dispatcher(
                DispatcherSettings.DEFAULT,
                SIGNER,
                clusterSnapshot(self),
                () -> new Stamp(++timestamp),
                new SplittableRandom(3));
    }

    private ClusterSnapshot clusterSnapshot(final Member self) {
        return new ClusterSnapshot(
                self, revision, Optional.of(now), silverlatch.state.Policy.of(policy.values()), workers, List.of());
    }

    private void tenant(final String name, final List<String> homes, final double share) {
        policy.put(
                "t/" + name,
                new Entry(
                        "t/" + name,
                        revision,
                        List.of(new Value.Tenant(name, homes, share, PermitSigner.sha256Hex("key-" + name), "salt"))));
    }

    private void row(final Value.Row row) {
        policy.put(
                StateMachine.rowKey(row.tenant(), row.kind()),
                new Entry(StateMachine.rowKey(row.tenant(), row.kind()), revision, List.of(row)));
    }

    private void worker(final String id, final String zone, final String region, final int slots) {
        workers.put(
                id,
                new Gossip.ObservedWorker(
                        new Worker(id, id, zone, region, 1, now, 0, 0, slots, List.of(), false, 60_000_000),
                        Optional.of(now)));
    }

    private void refreshReports() {
        workers.replaceAll((k, h) -> new Gossip.ObservedWorker(h.worker(), Optional.of(now)));
        dispatcher.update(clusterSnapshot(SELF), now);
        collectEffects();
    }

    private void collectEffects() {
        effects.addAll(dispatcher.drainEffects());
    }

    private <T extends DispatchEffect> List<T> effectsOf(final Class<T> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private DispatchEffect.Placed place(final String tenant, final String kind, final String key) {
        dispatcher.requestPlacement(
                new PlacementRequest("key-" + tenant, tenant, kind, List.of(), 1, key, 0), ++lastCallId, now);
        collectEffects();
        return Lists.last(effectsOf(DispatchEffect.Placed.class));
    }

    private long submit(final String tenant, final String permit) {
        dispatcher.submit(
                new SubmittedRequest("key-" + tenant, permit, List.of(), "3 hello", 20_000_000), ++lastCallId, now);
        collectEffects();
        return lastCallId;
    }

    private DispatchEffect.Rejected rejectionOf(final long callId) {
        return effectsOf(DispatchEffect.Rejected.class).stream()
                .filter(rejection -> rejection.callId() == callId)
                .findFirst()
                .orElseThrow();
    }

    private DispatchEffect.StartAttempt lastAttempt() {
        return Lists.last(effectsOf(DispatchEffect.StartAttempt.class));
    }

    private StreamRecord.Trailer trailerOf(final DispatchEffect.StartAttempt attempt, final String... texts) {
        return new StreamRecord.Trailer(
                attempt.worker(),
                attempt.requestId(),
                attempt.attemptId(),
                texts.length,
                HexFormat.of()
                        .formatHex(PermitSigner.newSha256()
                                .digest(String.join("", texts).getBytes(java.nio.charset.StandardCharsets.UTF_8))));
    }

    private List<StreamRecord> recordsSentTo(final long callId) {
        return effectsOf(DispatchEffect.StreamWrite.class).stream()
                .filter(f -> f.callId() == callId)
                .flatMap(f -> f.records().stream())
                .toList();
    }

    @Test
    void aRequestRunsStreamsAndEndsWithATrailer() {
        final long callId = submit("one", place("one", "ask", "").permit());
        final DispatchEffect.StartAttempt attempt = lastAttempt();
        dispatcher.attemptStarted(attempt.operationId());
        dispatcher.recordReceived(
                attempt.operationId(), new StreamRecord.Chunk(attempt.requestId(), attempt.attemptId(), 0, "hi"), now);
        collectEffects();
        dispatcher.readerReady(callId);
        dispatcher.recordReceived(attempt.operationId(), trailerOf(attempt, "hi"), now);
        collectEffects();
        assertThat(
                recordsSentTo(callId),
                is(List.of(
                        new StreamRecord.Chunk(attempt.requestId(), attempt.attemptId(), 0, "hi"),
                        trailerOf(attempt, "hi"))));
    }

    @Test
    void aStreamThatBreaksTheProtocolEndsAsLostAndNeverWithATrailer() {
        final List<java.util.function.Function<DispatchEffect.StartAttempt, StreamRecord>> violations = List.of(
                attempt -> new StreamRecord.Chunk(attempt.requestId(), attempt.attemptId(), 1, "b"),
                attempt -> new StreamRecord.Chunk(attempt.requestId() + "x", attempt.attemptId(), 0, "b"),
                attempt -> new StreamRecord.Chunk(attempt.requestId(), attempt.attemptId() + "x", 0, "b"),
                attempt -> trailerOf(attempt, "more"),
                attempt ->
                        new StreamRecord.Trailer(attempt.worker(), attempt.requestId(), attempt.attemptId(), 0, "00"));
        for (final java.util.function.Function<DispatchEffect.StartAttempt, StreamRecord> violation : violations) {
            final long callId = submit("one", place("one", "ask", "").permit());
            dispatcher.recordReceived(lastAttempt().operationId(), violation.apply(lastAttempt()), now);
            collectEffects();
            assertThat(Lists.last(recordsSentTo(callId)) instanceof StreamRecord.Lost, is(true));
            assertThat(recordsSentTo(callId).stream().anyMatch(l -> l instanceof StreamRecord.Trailer), is(false));
        }
    }

    @Test
    void aForgedPermitIsRejectedAndAReusedOneNeverRuns() {
        final String permit = place("one", "ask", "").permit();
        assertThat(
                rejectionOf(submit("one", permit.substring(0, permit.length() - 2) + "AA"))
                        .statusCode(),
                is(403));
        assertThat(rejectionOf(submit("two", permit)).statusCode(), is(401));
        submit("one", permit);
        final int runs = effectsOf(DispatchEffect.StartAttempt.class).size();
        assertThat(rejectionOf(submit("one", permit)).statusCode(), is(409));
        now += 3_000_000;
        refreshReports();
        assertThat(rejectionOf(submit("one", permit)).statusCode(), is(409));
        final String old =
                SIGNER.sign(new Permit("t", "one", "ask", "w1", "p1", 6, 1, new Stamp(5), now + 1_000_000, ""));
        assertThat(rejectionOf(submit("one", old)).statusCode(), is(410));
        assertThat(effectsOf(DispatchEffect.StartAttempt.class).size(), is(runs));
    }

    @Test
    void aPlacementMadeBeforeAnEvacuationIsMadeAgainOrRejected() {
        worker("w2", "z2", "r1", 4);
        refreshReports();
        final DispatchEffect.Placed placed = place("one", "ask", "");
        final String zone = placed.worker().equals("w1") ? "z1" : "z2";
        final String other = placed.worker().equals("w1") ? "w2" : "w1";
        policy.put(
                "z/" + zone,
                new Entry("z/" + zone, ++revision, List.of(new Value.Evacuation(zone, true, new Stamp(++timestamp)))));
        if (zone.equals("z1")) {
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
            assertThat(lastAttempt().worker(), is(other));
        }
    }

    @Test
    void anUnconfirmedTableIsNotActedOn() {
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
    void aKeyIsClaimedBeforeTheWorkerIsAskedAndATakenOneNeverRuns() {
        row(new Value.Row("*", "rule", 1, 1, 1, 1, 50, 100, 32, 64, 2_000_000, true, 9));
        refreshReports();
        submit("one", place("one", "rule", "k").permit());
        assertThat(effectsOf(DispatchEffect.StartAttempt.class).isEmpty(), is(true));
        final long firstOperation =
                Lists.last(effectsOf(DispatchEffect.SubmitCommand.class)).operationId();
        dispatcher.claimDecided(firstOperation, new CommandResult.Applied(5), now);
        collectEffects();
        assertThat(effectsOf(DispatchEffect.StartAttempt.class).size(), is(1));
        final long callId = submit("one", place("one", "rule", "k").permit());
        dispatcher.claimDecided(
                Lists.last(effectsOf(DispatchEffect.SubmitCommand.class)).operationId(),
                new CommandResult.AlreadyClaimed(new Value.Claim("x", "p1", "running", 0, 0)),
                now);
        collectEffects();
        assertThat(rejectionOf(callId).statusCode(), is(409));
        assertThat(rejectionOf(callId).claimState(), containsString("running"));
        final long unconfirmedCallId = submit("one", place("one", "rule", "k2").permit());
        dispatcher.claimDecided(
                Lists.last(effectsOf(DispatchEffect.SubmitCommand.class)).operationId(),
                new CommandResult.Unknown("id"),
                now);
        collectEffects();
        assertThat(rejectionOf(unconfirmedCallId).statusCode(), is(503));
        final long fullCallId = submit("one", place("one", "rule", "k3").permit());
        dispatcher.claimDecided(
                Lists.last(effectsOf(DispatchEffect.SubmitCommand.class)).operationId(),
                new CommandResult.Rejected(507, List.of("full"), 5),
                now);
        collectEffects();
        assertThat(rejectionOf(fullCallId).statusCode(), is(507));
        assertThat(effectsOf(DispatchEffect.StartAttempt.class).size(), is(1));
    }

    @Test
    void aRetryOnlyWhereTheFirstAttemptDidNotStartAndWithinTheBudget() {
        int retries = 0;
        for (int i = 0; i < 60; i++) {
            now += 1_100_000;
            refreshReports();
            final long callId = submit("one", place("one", "ask", "").permit());
            final int before = effectsOf(DispatchEffect.StartAttempt.class).size();
            dispatcher.attemptFailed(lastAttempt().operationId(), false, "denied", now);
            now += 1_100_000;
            refreshReports();
            dispatcher.tick(now);
            collectEffects();
            if (effectsOf(DispatchEffect.StartAttempt.class).size() > before) {
                retries++;
                dispatcher.attemptFailed(lastAttempt().operationId(), true, "broke", now);
                collectEffects();
                assertThat(Lists.last(recordsSentTo(callId)) instanceof StreamRecord.Lost, is(true));
            }
        }
        assertThat(retries, greaterThan(2));
        assertThat(retries, lessThan(13));
    }

    @Test
    void aRequestOverTheRateLimitIsRejectedAtOnceAndTheRateRecovers() {
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
    void aGreedyTenantDoesNotStarveAnother() {
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
            dispatcher.recordReceived(attempt.operationId(), trailerOf(attempt), now);
            now += 1_000;
            refreshReports();
        }
        final long two = effectsOf(DispatchEffect.StartAttempt.class).stream()
                .limit(28)
                .filter(attempt -> attempt.tenant().equals("two"))
                .count();
        assertThat(two, is(10L));
    }

    @Test
    void aClientThatReconnectsReadsOnFromItsChunk() {
        final long callId = submit("one", place("one", "ask", "").permit());
        final DispatchEffect.StartAttempt attempt = lastAttempt();
        dispatcher.recordReceived(
                attempt.operationId(), new StreamRecord.Chunk(attempt.requestId(), attempt.attemptId(), 0, "a"), now);
        dispatcher.readerDisconnected(callId, now);
        dispatcher.recordReceived(
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
    void aRequestWithoutAWorkerIsRejectedAtOnceWithRetryAfter() {
        workers.clear();
        dispatcher.update(clusterSnapshot(SELF), now);
        dispatcher.requestPlacement(
                new PlacementRequest("key-one", "one", "ask", List.of(), 1, "", 0), ++lastCallId, now);
        collectEffects();
        assertThat(rejectionOf(lastCallId).statusCode(), is(503));
        assertThat(rejectionOf(lastCallId).retryAfter(), greaterThan(0L));
    }

    @Test
    void anAttemptThatDoesNotStartInTimeIsCancelled() {
        final long callId = submit("one", place("one", "ask", "").permit());
        now += 1_100_000;
        dispatcher.tick(now);
        collectEffects();
        assertThat(
                Lists.last(effectsOf(DispatchEffect.CancelAttempt.class)).operationId(),
                is(lastAttempt().operationId()));
        assertThat(Lists.last(recordsSentTo(callId)) instanceof StreamRecord.Lost, is(true));
    }

    @Test
    void requestsFollowTheirTenantsHomesAndAreNotShownUnderAnUnconfirmedTable() {
        submit("one", place("one", "ask", "").permit());
        final DispatchEffect.StartAttempt attempt = lastAttempt();
        dispatcher.attemptStarted(attempt.operationId());
        dispatcher.recordReceived(
                attempt.operationId(), new StreamRecord.Chunk(attempt.requestId(), attempt.attemptId(), 0, "a"), now);
        now += 2_500_000;
        dispatcher.attach(attempt.requestId(), "key-one", 0, ++lastCallId, now);
        collectEffects();
        assertThat(
                "unconfirmed",
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
                "the run is dropped",
                Lists.last(effectsOf(DispatchEffect.CancelAttempt.class)).operationId(),
                is(attempt.operationId()));
        dispatcher.attach(attempt.requestId(), "key-one", 0, ++lastCallId, now);
        collectEffects();
        assertThat(
                "no home any more",
                Lists.last(effectsOf(DispatchEffect.Rejected.class)).statusCode(),
                is(404));
    }
}
