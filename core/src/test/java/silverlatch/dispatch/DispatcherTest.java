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
import silverlatch.dispatch.permit.Seals;
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
    private static final Seals SEALS = new Seals("a-cluster-key-for-tests");
    private static final Member ME = new Member("p1", "gateway", "z1", "r1", "a", "d", 7, 0, "up", true);
    private final Map<String, Entry> policy = new HashMap<>();
    private final Map<String, Gossip.ObservedWorker> workers = new HashMap<>();
    private final List<Act> acts = new ArrayList<>();
    private long now = 100_000_000;
    private long page = 1;
    private long stamp = 1_000;
    private long token;
    private Dispatcher carry = made(ME);

    private Dispatcher made(final Member me) {
        tenant("one", List.of(), 1);
        tenant("two", List.of(), 1);
        row(TableRules.defaultRow("*", "ask"));
        worker("w1", "z1", "r1", 4);
        return new Dispatcher(
                Dispatcher.Setup.PLAIN, SEALS, facts(me), () -> new Stamp(++stamp), new SplittableRandom(3));
    }

    private Facts facts(final Member me) {
        return new Facts(me, page, Optional.of(now), silverlatch.state.Policy.of(policy.values()), workers, List.of());
    }

    private void tenant(final String name, final List<String> homes, final double share) {
        policy.put(
                "t/" + name,
                new Entry(
                        "t/" + name,
                        page,
                        List.of(new Value.Tenant(name, homes, share, Seals.hash("key-" + name), "salt"))));
    }

    private void row(final Value.Row r) {
        policy.put(
                StateMachine.rowKey(r.tenant(), r.kind()),
                new Entry(StateMachine.rowKey(r.tenant(), r.kind()), page, List.of(r)));
    }

    private void worker(final String id, final String zone, final String region, final int slots) {
        workers.put(
                id,
                new Gossip.ObservedWorker(
                        new Worker(id, id, zone, region, 1, now, 0, 0, slots, List.of(), false, 60_000_000),
                        Optional.of(now)));
    }

    private void learn() {
        workers.replaceAll((k, h) -> new Gossip.ObservedWorker(h.worker(), Optional.of(now)));
        carry.facts(facts(ME), now);
        gather();
    }

    private void gather() {
        acts.addAll(carry.drain());
    }

    private <T extends Act> List<T> all(final Class<T> type) {
        return acts.stream().filter(type::isInstance).map(type::cast).toList();
    }

    private Act.Picked pick(final String tenant, final String kind, final String key) {
        carry.pick(new Order("key-" + tenant, tenant, kind, List.of(), 1, key, 0), ++token, now);
        gather();
        return Lists.last(all(Act.Picked.class));
    }

    private long hand(final String tenant, final String permit) {
        carry.ticket(new Load("key-" + tenant, permit, List.of(), "3 hello", 20_000_000), ++token, now);
        gather();
        return token;
    }

    private Act.Rejected rejected(final long of) {
        return all(Act.Rejected.class).stream()
                .filter(r -> r.token() == of)
                .findFirst()
                .orElseThrow();
    }

    private Act.Run run() {
        return Lists.last(all(Act.Run.class));
    }

    private Line.Seal seal(final Act.Run r, final String... texts) {
        return new Line.Seal(
                r.worker(),
                r.ticket(),
                r.run(),
                texts.length,
                HexFormat.of()
                        .formatHex(Seals.digest()
                                .digest(String.join("", texts).getBytes(java.nio.charset.StandardCharsets.UTF_8))));
    }

    private List<Line> flowed(final long of) {
        return all(Act.Flow.class).stream()
                .filter(f -> f.token() == of)
                .flatMap(f -> f.lines().stream())
                .toList();
    }

    @Test
    void aTicketRunsStreamsAndIsSealed() {
        final long t = hand("one", pick("one", "ask", "").permit());
        final Act.Run r = run();
        carry.begun(r.job());
        carry.line(r.job(), new Line.Piece(r.ticket(), r.run(), 0, "hi"), now);
        gather();
        carry.hungry(t);
        carry.line(r.job(), seal(r, "hi"), now);
        gather();
        assertThat(flowed(t), is(List.of(new Line.Piece(r.ticket(), r.run(), 0, "hi"), seal(r, "hi"))));
    }

    @Test
    void whatDoesNotFitEndsAsLostAndNeverWithASeal() {
        final List<java.util.function.Function<Act.Run, Line>> wrongs = List.of(
                r -> new Line.Piece(r.ticket(), r.run(), 1, "b"),
                r -> new Line.Piece(r.ticket() + "x", r.run(), 0, "b"),
                r -> new Line.Piece(r.ticket(), r.run() + "x", 0, "b"),
                r -> seal(r, "more"),
                r -> new Line.Seal(r.worker(), r.ticket(), r.run(), 0, "00"));
        for (final java.util.function.Function<Act.Run, Line> wrong : wrongs) {
            final long t = hand("one", pick("one", "ask", "").permit());
            carry.line(run().job(), wrong.apply(run()), now);
            gather();
            assertThat(Lists.last(flowed(t)) instanceof Line.Lost, is(true));
            assertThat(flowed(t).stream().anyMatch(l -> l instanceof Line.Seal), is(false));
        }
    }

    @Test
    void aForgedPermitIsRejectedAndALateCopyNeverRuns() {
        final String permit = pick("one", "ask", "").permit();
        assertThat(
                rejected(hand("one", permit.substring(0, permit.length() - 2) + "AA"))
                        .code(),
                is(403));
        assertThat(rejected(hand("two", permit)).code(), is(401));
        hand("one", permit);
        final int runs = all(Act.Run.class).size();
        assertThat(rejected(hand("one", permit)).code(), is(409));
        now += 3_000_000;
        learn();
        assertThat(rejected(hand("one", permit)).code(), is(409));
        final String old =
                SEALS.write(new Permit("t", "one", "ask", "w1", "p1", 6, 1, new Stamp(5), now + 1_000_000, ""));
        assertThat(rejected(hand("one", old)).code(), is(410));
        assertThat(all(Act.Run.class).size(), is(runs));
    }

    @Test
    void aPickMadeBeforeADrainIsMadeAgainOrRejected() {
        worker("w2", "z2", "r1", 4);
        learn();
        final Act.Picked p = pick("one", "ask", "");
        final String zone = p.worker().equals("w1") ? "z1" : "z2";
        final String other = p.worker().equals("w1") ? "w2" : "w1";
        policy.put(
                "z/" + zone,
                new Entry("z/" + zone, ++page, List.of(new Value.Evacuation(zone, true, new Stamp(++stamp)))));
        if (zone.equals("z1")) {
            carry.facts(
                    new Facts(
                            ME,
                            page,
                            Optional.of(now),
                            silverlatch.state.Policy.of(policy.values()),
                            workers,
                            List.of()),
                    now);
            assertThat(rejected(hand("one", p.permit())).why(), containsString("being emptied"));
        } else {
            learn();
            hand("one", p.permit());
            assertThat(run().worker(), is(other));
        }
    }

    @Test
    void anUnconfirmedTableIsNotActedOn() {
        final String permit = pick("one", "ask", "").permit();
        now += 1_900_000;
        hand("one", permit);
        assertThat(all(Act.Run.class).size(), is(1));
        now += 200_000;
        carry.pick(new Order("key-one", "one", "ask", List.of(), 1, "", 0), ++token, now);
        gather();
        assertThat(rejected(token).code(), is(503));
        assertThat(rejected(token).after(), greaterThan(0L));
    }

    @Test
    void aKeyIsClaimedBeforeTheWorkerIsAskedAndATakenOneNeverRuns() {
        row(new Value.Row("*", "rule", 1, 1, 1, 1, 50, 100, 32, 64, 2_000_000, true, 9));
        learn();
        hand("one", pick("one", "rule", "k").permit());
        assertThat(all(Act.Run.class).isEmpty(), is(true));
        final long first = Lists.last(all(Act.Claim.class)).job();
        carry.verdict(first, new CommandResult.Applied(5), now);
        gather();
        assertThat(all(Act.Run.class).size(), is(1));
        final long t = hand("one", pick("one", "rule", "k").permit());
        carry.verdict(
                Lists.last(all(Act.Claim.class)).job(),
                new CommandResult.AlreadyClaimed(new Value.Claim("x", "p1", "running", 0, 0)),
                now);
        gather();
        assertThat(rejected(t).code(), is(409));
        assertThat(rejected(t).stands(), containsString("running"));
        final long u = hand("one", pick("one", "rule", "k2").permit());
        carry.verdict(Lists.last(all(Act.Claim.class)).job(), new CommandResult.Unknown("id"), now);
        gather();
        assertThat(rejected(u).code(), is(503));
        final long f = hand("one", pick("one", "rule", "k3").permit());
        carry.verdict(Lists.last(all(Act.Claim.class)).job(), new CommandResult.Rejected(507, List.of("full"), 5), now);
        gather();
        assertThat(rejected(f).code(), is(507));
        assertThat(all(Act.Run.class).size(), is(1));
    }

    @Test
    void aSecondTryOnlyWhereTheFirstDidNotStartAndWithinTheBudget() {
        int again = 0;
        for (int i = 0; i < 60; i++) {
            now += 1_100_000;
            learn();
            final long t = hand("one", pick("one", "ask", "").permit());
            final int before = all(Act.Run.class).size();
            carry.failed(run().job(), false, "denied", now);
            now += 1_100_000;
            learn();
            carry.tick(now);
            gather();
            if (all(Act.Run.class).size() > before) {
                again++;
                carry.failed(run().job(), true, "broke", now);
                gather();
                assertThat(Lists.last(flowed(t)) instanceof Line.Lost, is(true));
            }
        }
        assertThat(again, greaterThan(2));
        assertThat(again, lessThan(13));
    }

    @Test
    void overTheRateIsToldAtOnceAndTheRateComesBack() {
        row(new Value.Row("one", "ask", 1, 1, 1, 1, 2, 3, 32, 64, 2_000_000, false, 1));
        learn();
        for (int i = 0; i < 4; i++) {
            carry.pick(new Order("key-one", "one", "ask", List.of(), 1, "", 0), ++token, now);
            gather();
        }
        assertThat(all(Act.Picked.class).size(), is(3));
        assertThat(rejected(token).code(), is(429));
        assertThat(rejected(token).after(), greaterThan(0L));
        now += 600_000;
        learn();
        carry.pick(new Order("key-one", "one", "ask", List.of(), 1, "", 0), ++token, now);
        gather();
        assertThat(all(Act.Picked.class).size(), is(4));
    }

    @Test
    void aGreedyTenantDoesNotStarveAnother() {
        row(new Value.Row("*", "ask", 1, 1, 1, 1, 10_000, 10_000, 1_000, 1_000, 60_000_000, false, 1));
        learn();
        for (int i = 0; i < 100; i++) {
            hand("one", pick("one", "ask", "").permit());
        }
        for (int i = 0; i < 10; i++) {
            hand("two", pick("two", "ask", "").permit());
        }
        for (int i = 0; i < 24; i++) {
            final Act.Run r = all(Act.Run.class).get(i);
            carry.line(r.job(), seal(r), now);
            now += 1_000;
            learn();
        }
        final long two = all(Act.Run.class).stream()
                .limit(28)
                .filter(r -> r.tenant().equals("two"))
                .count();
        assertThat(two, is(10L));
    }

    @Test
    void aConsumerThatMovedReadsOnFromItsPiece() {
        final long t = hand("one", pick("one", "ask", "").permit());
        final Act.Run r = run();
        carry.line(r.job(), new Line.Piece(r.ticket(), r.run(), 0, "a"), now);
        carry.left(t, now);
        carry.line(r.job(), new Line.Piece(r.ticket(), r.run(), 1, "b"), now);
        carry.attach(r.ticket(), "key-two", 1, ++token, now);
        gather();
        assertThat(rejected(token).code(), is(404));
        carry.attach(r.ticket(), "key-one", 1, ++token, now);
        gather();
        assertThat(flowed(token), is(List.of((Line) new Line.Piece(r.ticket(), r.run(), 1, "b"))));
    }

    @Test
    void aTicketGivenUpOnIsToldAtOnceWithATimeToComeBack() {
        workers.clear();
        carry.facts(facts(ME), now);
        carry.pick(new Order("key-one", "one", "ask", List.of(), 1, "", 0), ++token, now);
        gather();
        assertThat(rejected(token).code(), is(503));
        assertThat(rejected(token).after(), greaterThan(0L));
    }

    @Test
    void aRunWithoutASignOfItsStartIsGivenUpAndCut() {
        final long t = hand("one", pick("one", "ask", "").permit());
        now += 1_100_000;
        carry.tick(now);
        gather();
        assertThat(Lists.last(all(Act.Cut.class)).job(), is(run().job()));
        assertThat(Lists.last(flowed(t)) instanceof Line.Lost, is(true));
    }

    @Test
    void whatIsKeptOfATenantFollowsItsHomesAndIsNotToldUnderAnUnconfirmedTable() {
        hand("one", pick("one", "ask", "").permit());
        final Act.Run r = run();
        carry.begun(r.job());
        carry.line(r.job(), new Line.Piece(r.ticket(), r.run(), 0, "a"), now);
        now += 2_500_000;
        carry.attach(r.ticket(), "key-one", 0, ++token, now);
        gather();
        assertThat("unconfirmed", Lists.last(all(Act.Rejected.class)).code(), is(425));
        learn();
        carry.attach(r.ticket(), "key-one", 0, ++token, now);
        gather();
        assertThat(flowed(token).size(), is(1));
        page++;
        tenant("one", List.of("elsewhere"), 1);
        learn();
        assertThat("the run is dropped", Lists.last(all(Act.Cut.class)).job(), is(r.job()));
        carry.attach(r.ticket(), "key-one", 0, ++token, now);
        gather();
        assertThat("no home any more", Lists.last(all(Act.Rejected.class)).code(), is(404));
    }
}
