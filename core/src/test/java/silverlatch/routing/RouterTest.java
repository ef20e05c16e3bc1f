package silverlatch.routing;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.dispatch.Facts;
import silverlatch.gossip.Gossip;
import silverlatch.gossip.Worker;
import silverlatch.membership.Member;
import silverlatch.state.Entry;
import silverlatch.state.Policy;
import silverlatch.state.Value;

final class RouterTest {
    private static final long MS = 1_000;
    private static final long S = 1_000_000;
    private final Map<String, Worker> workers = new HashMap<>();
    private final List<Member> crew = new ArrayList<>();
    private final List<Entry> entries = new ArrayList<>();
    private long page = 1;
    private long now = 100 * S;
    private long token;
    private final Router passage = new Router(Router.Setup.PLAIN, facts(), () -> new Stamp(1), new SplittableRandom(7));

    RouterTest() {
        entries.add(
                new Entry("p/charter", 1, List.of(new Value.RoutingConfiguration(1, 16_384, 1 << 20, 3 * S, 15 * S))));
        entries.add(new Entry(
                "b/pool", 1, List.of(new Value.BackendPool("pool", "/health", 100, 3 * S, 9, 128, 100_000, 5))));
        entries.add(new Entry("u/a|/once/", 1, List.of(rule("once", "/once/", true, false, 2, List.of()))));
        entries.add(new Entry("u/a|/again/", 1, List.of(rule("again", "/again/", true, true, 2, List.of("west")))));
        entries.add(new Entry("u/a|/", 1, List.of(rule("all", "/", true, false, 1, List.of()))));
    }

    private static Value.Route rule(
            final String name,
            final String path,
            final boolean once,
            final boolean resume,
            final int tries,
            final List<String> homes) {
        return new Value.Route(
                name,
                "a",
                path,
                once,
                true,
                resume,
                true,
                15 * S,
                600 * MS,
                400 * MS,
                0,
                tries,
                homes,
                List.of(new Value.WeightedBackend("pool", 1)));
    }

    private static Member gateway(final String id) {
        return new Member(id, "gateway", "w1", "west", "10.0.0.1:1", "10.0.0.1:2", 1, 0, "up", true);
    }

    private Facts facts() {
        final Map<String, Gossip.ObservedWorker> heard = new HashMap<>();
        workers.forEach((k, w) -> heard.put(k, new Gossip.ObservedWorker(w, Optional.of(now))));
        return new Facts(gateway("me"), page, Optional.of(now), Policy.of(entries), heard, crew);
    }

    private void worker(
            final String id, final String region, final long cold, final boolean leaving, final long sequence) {
        workers.put(
                id,
                new Worker(
                        id,
                        id + ":1",
                        region + "1",
                        region,
                        1,
                        sequence,
                        0,
                        0,
                        128,
                        List.of(),
                        leaving,
                        0,
                        "pool",
                        cold,
                        0));
        learn();
    }

    private void learn() {
        page++;
        passage.facts(facts(), now);
    }

    private List<RoutingEffect> arrive(final String path, final List<RoutedRequest.Part> parts) {
        passage.arrive(new RoutedRequest(++token, "A:80", path, "t" + token, 15 * S, parts, 100, 100), now);
        return passage.drain();
    }

    private RoutingEffect.Send sent(final List<RoutingEffect> moves) {
        return moves.stream()
                .filter(RoutingEffect.Send.class::isInstance)
                .map(RoutingEffect.Send.class::cast)
                .findFirst()
                .orElseThrow();
    }

    private static RoutingEffect.Reject rejected(final List<RoutingEffect> moves) {
        return moves.stream()
                .filter(RoutingEffect.Reject.class::isInstance)
                .map(RoutingEffect.Reject.class::cast)
                .findFirst()
                .orElseThrow();
    }

    @Test
    void theLongestPathRulesAndNoRuleIs404() {
        worker("w", "west", 0, false, 1);
        assertThat(sent(arrive("/once/x", List.of())).once(), is(true));
        assertThat(sent(arrive("/again/x", List.of())).once(), is(false));
        passage.arrive(new RoutedRequest(99, "b", "/once/x", "t", S, List.of(), 1, 1), now);
        assertThat(rejected(passage.drain()).code(), is(404));
    }

    @Test
    void homesLeavingAndEmptyZonesAreNeverServed() {
        worker("e", "east", 0, false, 1);
        assertThat(rejected(arrive("/again/x", List.of())).code(), is(503));
        worker("w", "west", 0, false, 1);
        assertThat(sent(arrive("/again/x", List.of())).worker(), is("w"));
        worker("w", "west", 0, true, 2);
        assertThat(rejected(arrive("/again/x", List.of())).code(), is(503));
        assertThat(sent(arrive("/once/x", List.of())).worker(), is("e"));
        entries.add(new Entry("z/east1", 2, List.of(new Value.Evacuation("east1", true, new Stamp(1)))));
        learn();
        assertThat(rejected(arrive("/once/x", List.of())).code(), is(503));
    }

    @Test
    void whatMayHaveRunIsNeverSentTwiceNorPromised() {
        worker("w", "west", 0, false, 1);
        worker("v", "west", 0, false, 1);
        final RoutingEffect.Send one = sent(arrive("/once/x", List.of()));
        passage.failed(one.job(), FailurePoint.SENT, now);
        final List<RoutingEffect> moves = passage.drain();
        assertThat(moves.stream().filter(RoutingEffect.Send.class::isInstance).toList(), is(empty()));
        assertThat(
                moves.stream()
                        .filter(RoutingEffect.Fail.class::isInstance)
                        .map(m -> ((RoutingEffect.Fail) m).code())
                        .toList(),
                is(List.of(502)));
        passage.failed(one.job(), FailurePoint.NOT_RUN, now);
        assertThat(passage.drain(), is(empty()));
    }

    @Test
    void aRequestThatMayHaveRunEarlierIsNeverPromisedAfterALaterRefusal() {
        worker("w", "west", 0, false, 1);
        worker("v", "west", 0, false, 1);
        final RoutingEffect.Send first = sent(arrive("/again/x", List.of()));
        passage.failed(first.job(), FailurePoint.SENT, now);
        final RoutingEffect.Send second = sent(passage.drain());
        passage.failed(second.job(), FailurePoint.NOT_RUN, now);
        final List<RoutingEffect> effects = passage.drain();
        assertThat(
                effects.stream().filter(RoutingEffect.Reject.class::isInstance).toList(), is(empty()));
        assertThat(
                effects.stream()
                        .filter(RoutingEffect.Fail.class::isInstance)
                        .map(e -> ((RoutingEffect.Fail) e).code())
                        .toList(),
                is(List.of(502)));
    }

    @Test
    void aWorkerThatFailedARequestIsNotSentItAgain() {
        worker("w", "west", 0, false, 1);
        final RoutingEffect.Send only = sent(arrive("/again/x", List.of()));
        passage.ill(only.job(), 500, Optional.empty(), now);
        assertThat(passage.drain(), is(List.of(new RoutingEffect.Pass(only.token(), only.job()))));
        worker("v", "west", 0, false, 1);
        for (int i = 0; i < 20; i++) {
            final RoutingEffect.Send first = sent(arrive("/again/x", List.of()));
            passage.ill(first.job(), 500, Optional.empty(), now);
            passage.drain().stream()
                    .filter(RoutingEffect.Send.class::isInstance)
                    .forEach(e -> assertThat(((RoutingEffect.Send) e).worker(), not(first.worker())));
        }
    }

    @Test
    void theLimitsOfTheConfigurationInForceAreTold() {
        assertThat(passage.limits().isPresent(), is(false));
        worker("w", "west", 0, false, 1);
        assertThat(
                passage.limits()
                        .map(Value.RoutingConfiguration::idleTimeoutMicros)
                        .orElse(0L),
                is(15 * S));
    }

    @Test
    void whatSurelyDidNotRunGoesToAnotherWorkerOrIsPromised() {
        worker("w", "west", 0, false, 1);
        worker("v", "west", 0, false, 1);
        final RoutingEffect.Send one = sent(arrive("/once/x", List.of()));
        passage.failed(one.job(), FailurePoint.NOT_RUN, now);
        final RoutingEffect.Send two = sent(passage.drain());
        assertThat(two.worker().equals(one.worker()), is(false));
        passage.failed(two.job(), FailurePoint.STRANGER, now);
        final RoutingEffect.Reject no = rejected(passage.drain());
        assertThat(no.code(), is(503));
        assertThat(no.after(), greaterThan(0L));
    }

    @Test
    void aBrokenStreamGoesOnElsewhereWhereTheRuleSaysSo() {
        worker("w", "west", 0, false, 1);
        worker("v", "west", 0, false, 1);
        final RoutingEffect.Send one = sent(arrive("/again/x", List.of()));
        passage.headed(one.job(), Optional.empty(), now);
        passage.heard(one.job(), now);
        passage.failed(one.job(), FailurePoint.BEGUN, now);
        final RoutingEffect.Send two = sent(passage.drain());
        assertThat(two.worker().equals(one.worker()), is(false));
        passage.failed(two.job(), FailurePoint.SENT, now);
        assertThat(passage.drain().stream().anyMatch(RoutingEffect.Fail.class::isInstance), is(true));
    }

    @Test
    void aSilentWorkerIsLeftWhereTheTicketMayRunAgain() {
        worker("w", "west", 0, false, 1);
        worker("v", "west", 0, false, 1);
        final RoutingEffect.Send one = sent(arrive("/again/x", List.of()));
        final RoutingEffect.Send still = sent(arrive("/once/x", List.of()));
        now += S;
        passage.tick(now);
        final List<RoutingEffect> moves = passage.drain();
        assertThat(moves.contains(new RoutingEffect.Cut(one.job())), is(true));
        assertThat(sent(moves).worker().equals(one.worker()), is(false));
        assertThat(moves.contains(new RoutingEffect.Cut(still.job())), is(false));
    }

    @Test
    void moreTriesStayWithinATenthOfTheTickets() {
        for (int i = 0; i < 6; i++) {
            worker("w" + i, "west", 0, false, 1);
        }
        int again = 0;
        final int all = 300;
        for (int i = 0; i < all; i++) {
            now += 20 * MS;
            final RoutingEffect.Send one = sent(arrive("/once/x", List.of()));
            passage.failed(one.job(), FailurePoint.NOT_RUN, now);
            final List<RoutingEffect> next = passage.drain();
            final Optional<RoutingEffect.Send> two = next.stream()
                    .filter(RoutingEffect.Send.class::isInstance)
                    .map(RoutingEffect.Send.class::cast)
                    .findFirst();
            if (two.isPresent()) {
                again++;
                passage.heard(two.get().job(), now);
                passage.ended(two.get().job(), true, now);
                passage.drain();
            }
        }
        assertThat(again, lessThanOrEqualTo(all / 10 + 3));
        assertThat(again, greaterThan(all / 20));
    }

    @Test
    void allPursersTogetherKeepToWhatAColdWorkerBears() {
        for (int i = 0; i < 19; i++) {
            crew.add(gateway("p" + i));
        }
        final Map<Long, Integer> seconds = new HashMap<>();
        final List<Router> all = new ArrayList<>();
        final Set<String> names = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            final Router p = new Router(Router.Setup.PLAIN, facts(), () -> new Stamp(1), new SplittableRandom(i));
            all.add(p);
            names.add(i == 19 ? "me" : "p" + i);
        }
        worker("w", "west", 60 * S, false, 1);
        for (int ms = 0; ms < 20_000; ms += 10) {
            now += 10 * MS;
            for (int i = 0; i < all.size(); i++) {
                final String id = i == 19 ? "me" : "p" + i;
                final Facts f = facts();
                final List<Member> others = new ArrayList<>(names.stream()
                        .filter(n -> !n.equals(id))
                        .map(RouterTest::gateway)
                        .toList());
                if (ms == 0) {
                    all.get(i).facts(new Facts(gateway(id), f.page(), f.sure(), f.policy(), f.workers(), others), now);
                }
                if ((ms / 10 + i) % 5 == 0) {
                    all.get(i).arrive(new RoutedRequest(ms * 100L + i, "a", "/once/x", "t", S, List.of(), 1, 1), now);
                    final int sends = (int) all.get(i).drain().stream()
                            .filter(RoutingEffect.Send.class::isInstance)
                            .count();
                    seconds.merge(now / S, sends, Integer::sum);
                }
            }
        }
        assertThat(seconds.values().stream().max(Integer::compare).orElseThrow(), lessThanOrEqualTo(18));
        assertThat(seconds.values().stream().mapToInt(Integer::intValue).sum(), greaterThan(40));
    }

    @Test
    void gatewaysComeToTheSameWorkerForALargePrefix() {
        for (int i = 0; i < 6; i++) {
            worker("w" + i, "west", 0, false, 1);
        }
        final Set<String> used = new HashSet<>();
        for (int i = 0; i < 20; i++) {
            now += S;
            final RoutingEffect.Send s = sent(arrive(
                    "/once/x",
                    List.of(
                            new RoutedRequest.Part(5, 2_500),
                            new RoutedRequest.Part(6, 3_700),
                            new RoutedRequest.Part(100 + i, 800))));
            used.add(s.worker());
            passage.heard(s.job(), now);
            passage.ended(s.job(), true, now);
            passage.drain();
        }
        assertThat(used, hasSize(1));
    }

    @Test
    void whatIsPastItsTimeIsToldAtOnce() {
        worker("w", "west", 0, false, 1);
        final RoutingEffect.Send one = sent(arrive("/once/x", List.of()));
        now += 16 * S;
        passage.tick(now);
        final List<RoutingEffect> moves = passage.drain();
        assertThat(moves.contains(new RoutingEffect.Cut(one.job())), is(true));
        assertThat(
                moves.stream()
                        .filter(RoutingEffect.Fail.class::isInstance)
                        .map(m -> ((RoutingEffect.Fail) m).code())
                        .toList(),
                is(List.of(504)));
        assertThat(passage.open(), is(0));
    }

    @Test
    void aLongPromptKeepsAwayFromAWorkerThatWritesManyStreams() {
        for (int i = 0; i < 4; i++) {
            worker("w" + i, "west", 0, false, 1);
        }
        final Set<String> writers = new HashSet<>();
        for (int i = 0; i < 40; i++) {
            final RoutingEffect.Send s = sent(arrive("/once/x", List.of()));
            writers.add(s.worker());
            passage.headed(s.job(), Optional.of(new Router.Load(10, 0, 128)), now);
            passage.heard(s.job(), now);
            passage.arrive(
                    new RoutedRequest(
                            ++token,
                            "a",
                            "/once/x",
                            "t" + token,
                            15 * S,
                            List.of(new RoutedRequest.Part(i, 5_000), new RoutedRequest.Part(1_000 + i, 20_000)),
                            25_000,
                            50),
                    now);
            final RoutingEffect.Send l = sent(passage.drain());
            assertThat(i < 4 || !writers.contains(l.worker()), is(true));
            passage.headed(l.job(), Optional.empty(), now);
            passage.heard(l.job(), now);
            passage.ended(l.job(), true, now);
            passage.drain();
            now += 100 * MS;
        }
        assertThat(writers.size(), lessThanOrEqualTo(3));
    }

    @Test
    void aRegionThatIsMuteGetsNothingMoreUntilOneThereSpeaks() {
        for (int i = 0; i < 3; i++) {
            worker("e" + i, "east", 0, false, 1);
        }
        final RoutingEffect.Send one = sent(arrive("/once/x", List.of()));
        assertThat(one.worker().startsWith("e"), is(true));
        worker("w", "west", 0, false, 1);
        worker("v", "west", 0, false, 1);
        now += 600 * MS;
        for (int i = 0; i < 20; i++) {
            final RoutingEffect.Send s = sent(arrive("/once/x", List.of()));
            assertThat(s.worker().startsWith("e"), is(false));
            passage.headed(s.job(), Optional.empty(), now);
            passage.heard(s.job(), now);
        }
        passage.headed(one.job(), Optional.empty(), now);
        worker("w", "west", 0, true, 2);
        worker("v", "west", 0, true, 2);
        assertThat(sent(arrive("/once/x", List.of())).worker().startsWith("e"), is(true));
    }

    @Test
    void withoutACharterNothingIsTaken() {
        final Router bare = new Router(
                Router.Setup.PLAIN,
                new Facts(gateway("me"), 0, Optional.empty(), Policy.NONE, Map.of(), List.of()),
                () -> new Stamp(1),
                new SplittableRandom(1));
        bare.arrive(new RoutedRequest(1, "a", "/once/x", "t", S, List.of(), 1, 1), now);
        assertThat(rejected(bare.drain()).code(), is(503));
        assertThat(bare.unready().isPresent(), is(true));
    }
}
