package silverlatch.dispatch;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HexFormat;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.permit.PermitSigner;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.membership.Member;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.state.TableRules;
import silverlatch.state.Value;
import silverlatch.util.Digests;
import silverlatch.util.Lists;

/** The dispatcher of one gateway, with scripted clients, workers and replicated state, and a simulated clock. */
abstract class DispatcherFixture {
    static final PermitSigner SIGNER = new PermitSigner("a-cluster-key-for-tests");
    static final Member SELF = new Member("p1", "gateway", "z1", "r1", "a", "d", 7, 0, "up", true);
    final Map<String, Entry> policy = new HashMap<>();
    final Map<String, Gossip.ObservedWorker> workers = new HashMap<>();
    final List<DispatchEffect> effects = new ArrayList<>();
    long now = 100_000_000;
    long revision = 1;
    long timestamp = 1_000;
    long lastCallId;
    Dispatcher dispatcher = newDispatcher(SELF);

    Dispatcher newDispatcher(final Member self) {
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

    ClusterSnapshot clusterSnapshot(final Member self) {
        return new ClusterSnapshot(
                self, revision, Optional.of(now), silverlatch.state.Policy.of(policy.values()), workers, List.of());
    }

    void tenant(final String name, final List<String> homeRegions, final double share) {
        policy.put(
                "t/" + name,
                new Entry(
                        "t/" + name,
                        revision,
                        List.of(new Value.Tenant(name, homeRegions, share, Digests.sha256Hex("key-" + name), "salt"))));
    }

    void row(final Value.Row row) {
        policy.put(
                StateMachine.rowKey(row.tenant(), row.kind()),
                new Entry(StateMachine.rowKey(row.tenant(), row.kind()), revision, List.of(row)));
    }

    void worker(final String id, final String zone, final String region, final int slots) {
        workers.put(
                id,
                new Gossip.ObservedWorker(
                        new Worker(id, id, zone, region, 1, now, 0, 0, slots, List.of(), false, 60_000_000),
                        Optional.of(now)));
    }

    void refreshReports() {
        workers.replaceAll((id, report) -> new Gossip.ObservedWorker(report.worker(), Optional.of(now)));
        dispatcher.update(clusterSnapshot(SELF), now);
        collectEffects();
    }

    void collectEffects() {
        effects.addAll(dispatcher.drainEffects());
    }

    <T extends DispatchEffect> List<T> effectsOf(final Class<T> type) {
        return effects.stream().filter(type::isInstance).map(type::cast).toList();
    }

    DispatchEffect.Placed place(final String tenant, final String kind, final String key) {
        dispatcher.requestPlacement(
                new PlacementRequest("key-" + tenant, tenant, kind, List.of(), 1, key, 0), ++lastCallId, now);
        collectEffects();
        return Lists.last(effectsOf(DispatchEffect.Placed.class));
    }

    long submit(final String tenant, final String permit) {
        dispatcher.submit(
                new SubmittedRequest("key-" + tenant, permit, List.of(), "3 hello", 20_000_000), ++lastCallId, now);
        collectEffects();
        return lastCallId;
    }

    DispatchEffect.Rejected rejectionOf(final long callId) {
        return effectsOf(DispatchEffect.Rejected.class).stream()
                .filter(rejection -> rejection.callId() == callId)
                .findFirst()
                .orElseThrow();
    }

    DispatchEffect.StartAttempt lastAttempt() {
        return Lists.last(effectsOf(DispatchEffect.StartAttempt.class));
    }

    StreamRecord.Trailer trailerOf(final DispatchEffect.StartAttempt attempt, final String... texts) {
        return new StreamRecord.Trailer(
                attempt.worker(),
                attempt.requestId(),
                attempt.attemptId(),
                texts.length,
                HexFormat.of()
                        .formatHex(Digests.newSha256()
                                .digest(String.join("", texts).getBytes(java.nio.charset.StandardCharsets.UTF_8))));
    }

    List<StreamRecord> recordsSentTo(final long callId) {
        return effectsOf(DispatchEffect.StreamWrite.class).stream()
                .filter(write -> write.callId() == callId)
                .flatMap(write -> write.records().stream())
                .toList();
    }
}
