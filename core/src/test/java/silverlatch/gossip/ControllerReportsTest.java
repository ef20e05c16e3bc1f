package silverlatch.gossip;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.PriorityQueue;
import java.util.Set;
import java.util.SplittableRandom;
import org.junit.jupiter.api.Test;
import silverlatch.membership.Member;
import silverlatch.membership.Membership;
import silverlatch.node.Effect;
import silverlatch.replication.View;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Entry;
import silverlatch.state.StateMachine;
import silverlatch.state.TableRules;
import silverlatch.wire.Message;

/** Rumors on a fake clock whose workers announce to controllers h0, h1, h2, each in a zone and region of its own. */
final class ControllerReportsTest {
    private static final long SECOND = 1_000_000;
    private final Map<String, Gossip> rumors = new LinkedHashMap<>();
    private final Set<String> cut = new HashSet<>();
    private final Set<String> dead = new HashSet<>();
    private final PriorityQueue<Letter> letters = new PriorityQueue<>(
            (a, b) -> a.at() != b.at() ? Long.compare(a.at(), b.at()) : Long.compare(a.turn(), b.turn()));
    private final List<Message> sent = new ArrayList<>();
    private final SplittableRandom luck = new SplittableRandom(5);
    private long now = 100 * SECOND;
    private long turn;

    private record Letter(long at, long turn, String from, String to, Message body) {}

    private void fleet(final int size) {
        final List<Member> all = new ArrayList<>();
        for (int i = 0; i < size; i++) {
            final String id = (i < 3 ? "h" : "p") + i;
            all.add(new Member(
                    id, i < 3 ? "controller" : "gateway", "z" + i % 3, "r" + i % 3, id, id, 1, 0, "up", true));
        }
        all.forEach(m -> {
            final Membership crew = new Membership(m, List.of("h0", "h1", "h2"), Membership.Times.PLAIN);
            all.forEach(x -> crew.learn(x, now));
            crew.news();
            crew.drain();
            rumors.put(m.id(), new Gossip(crew, luck.split(), Gossip.Times.QUIET, Safeguards.ALL));
        });
        pass(6 * SECOND);
    }

    private void pass(final long span) {
        for (final long end = now + span; now < end; now += 10_000) {
            if (now % 50_000 == 0) {
                rumors.forEach((id, r) -> {
                    if (!dead.contains(id)) {
                        r.tick(now);
                        ship(id);
                    }
                });
            }
            while (!letters.isEmpty() && letters.peek().at() <= now) {
                final Letter l = letters.poll();
                if (!dead.contains(l.to()) && cut.contains(l.from()) == cut.contains(l.to())) {
                    rumors.get(l.to()).on(l.body(), l.from(), now);
                    ship(l.to());
                }
            }
        }
    }

    private void ship(final String id) {
        for (final Effect e : rumors.get(id).drain()) {
            if (e instanceof Effect.Send s) {
                sent.add(s.body());
                letters.add(new Letter(
                        now + 1_000 + (id.charAt(1) % 3 == s.to().charAt(1) % 3 ? 0 : 34_000),
                        turn++,
                        id,
                        s.to(),
                        s.body()));
            }
        }
    }

    private static Worker worker(final long life, final long sequence, final boolean leaving, final long cold) {
        return new Worker(
                "w", "10.0.0.9:1", "z0", "r0", life, sequence, 3, 1, 8, List.of(4L), leaving, 0, "pool", cold, 0);
    }

    private void say(final String at, final long sequence) {
        say(at, worker(1, sequence, false, 0));
    }

    private void say(final String at, final Worker word) {
        rumors.get(at).announced(word, 0, now);
        ship(at);
    }

    private void beat(final String at, final long from, final int count) {
        for (int i = 0; i < count; i++) {
            say(at, from + i);
            pass(1_200_000);
        }
    }

    private Optional<Gossip.Heard> at(final String id) {
        return Optional.ofNullable(rumors.get(id).workers().get("w"));
    }

    private long bodies() {
        return sent.stream()
                .filter(m -> m instanceof Message.GossipPush
                        || m instanceof Message.ReportVersions
                        || m instanceof Message.MissingReports)
                .count();
    }

    @Test
    void whatAWorkerRepeatsTravelsNowhereAndKeepsItsAgeYoung() {
        fleet(12);
        say("h0", 1);
        pass(3 * SECOND);
        sent.clear();
        beat("h0", 2, 20);
        assertThat(
                sent.stream()
                        .filter(m -> !(m instanceof Message.GossipPull || m instanceof Message.GossipPullReply))
                        .toList(),
                empty());
        assertThat(at("h0").orElseThrow().age(now), lessThanOrEqualTo(1_300_000L));
        rumors.keySet().forEach(id -> {
            assertThat(at(id).orElseThrow().worker().sequence(), is(1L));
            assertThat(at(id).orElseThrow().silent(), is(false));
        });
    }

    @Test
    void aLeavingWorkerIsKnownToAllWithinASecondThoughTheHarborThatTookItDies() {
        fleet(12);
        say("h0", 1);
        pass(2 * SECOND);
        say("h0", worker(1, 2, true, 0));
        dead.add("h0");
        pass(SECOND);
        rumors.keySet().stream()
                .filter(id -> !id.equals("h0"))
                .forEach(id -> assertThat(id, at(id).orElseThrow().worker().leaving(), is(true)));
    }

    @Test
    void aLateCallCanNotUndoLeaving() {
        fleet(5);
        say("h0", 1);
        say("h0", worker(1, 9, true, 0));
        pass(SECOND);
        say("h0", 8);
        say("h1", 7);
        pass(2 * SECOND);
        rumors.keySet().forEach(id -> assertThat(at(id).orElseThrow().worker().leaving(), is(true)));
        say("h1", 10);
        pass(SECOND);
        rumors.keySet().forEach(id -> assertThat(at(id).orElseThrow().worker().leaving(), is(false)));
    }

    @Test
    void aGoneWorkerStaysGoneButANewLifeComesBackAndItIsForgottenAfterAMinute() {
        fleet(5);
        say("h0", 1);
        pass(SECOND);
        assertThat(rumors.get("h1").gone("nobody", now), is(false));
        assertThat(rumors.get("h1").gone("w", now), is(true));
        ship("h1");
        assertThat(rumors.get("h1").gone("w", now), is(true));
        pass(SECOND);
        say("h2", 50);
        pass(SECOND);
        rumors.keySet().forEach(id -> assertThat(id, at(id).isPresent(), is(false)));
        say("h2", worker(2, 1, false, 0));
        pass(SECOND);
        rumors.keySet()
                .forEach(id -> assertThat(id, at(id).orElseThrow().worker().life(), is(2L)));
        rumors.get("h0").gone("w", now);
        ship("h0");
        pass(62 * SECOND);
        sent.clear();
        pass(3 * SECOND);
        assertThat(bodies(), is(0L));
        say("h2", worker(2, 2, false, 0));
        pass(SECOND);
        rumors.keySet().forEach(id -> assertThat(id, at(id).isPresent(), is(true)));
    }

    @Test
    void aSilentWorkerIsToldAndKeptAndALaterWordUndoesIt() {
        fleet(6);
        beat("h0", 1, 3);
        pass(3_500_000);
        rumors.keySet().forEach(id -> assertThat(id, at(id).orElseThrow().silent(), is(false)));
        pass(3_500_000);
        rumors.keySet().forEach(id -> assertThat(id, at(id).orElseThrow().silent(), is(true)));
        say("h1", 9);
        pass(SECOND);
        rumors.keySet().forEach(id -> assertThat(id, at(id).orElseThrow().silent(), is(false)));
        pass(8 * SECOND);
        rumors.keySet().forEach(id -> assertThat(id, at(id).orElseThrow().silent(), is(true)));
        pass(60 * SECOND);
        rumors.keySet().forEach(id -> assertThat(id, at(id).isPresent(), is(false)));
    }

    @Test
    void aCutMakesNoOneSilentWhoMayBeatOnTheOtherSide() {
        fleet(9);
        beat("h0", 1, 3);
        cut.addAll(List.of("h0", "p3", "p6"));
        beat("h0", 4, 60);
        rumors.keySet().forEach(id -> assertThat(id, at(id).orElseThrow().silent(), is(false)));
        cut.clear();
        beat("h0", 64, 5);
        rumors.keySet().forEach(id -> assertThat(id, at(id).orElseThrow().silent(), is(false)));
    }

    @Test
    void aWrongWordOfSilenceIsRefutedByTheHarborThatHearsTheWorker() {
        fleet(5);
        beat("h0", 1, 3);
        final WorkerReport lie =
                new WorkerReport(WorkerReport.of(worker(1, 1, false, 0)).worker(), true, false, 5 * SECOND);
        rumors.get("p4").on(new Message.GossipPush(List.of(), List.of(), List.of(lie), 0), "h1", now);
        pass(SECOND);
        rumors.keySet().forEach(id -> assertThat(id, at(id).orElseThrow().silent(), is(false)));
    }

    @Test
    void coldRunsOutOverAllHopsAndItsNaturalEndTravelsNowhere() {
        fleet(12);
        say("h0", worker(1, 1, false, 9 * SECOND));
        final long start = now;
        for (int i = 2; i < 6; i++) {
            pass(SECOND);
            say("h0", worker(1, i, false, 9 * SECOND - (now - start)));
        }
        rumors.keySet().forEach(id -> {
            final long left = at(id).orElseThrow().cold(now);
            assertThat(id, left, greaterThan(9 * SECOND - (now - start) - 1));
            assertThat(id, left, lessThanOrEqualTo(9 * SECOND - (now - start) + 300_000));
        });
        sent.clear();
        pass(3 * SECOND);
        say("h0", worker(1, 6, false, 9 * SECOND - (now - start)));
        pass(2_500_000);
        say("h0", worker(1, 7, false, 0));
        pass(SECOND);
        assertThat(bodies(), is(0L));
        rumors.keySet().forEach(id -> assertThat(id, at(id).orElseThrow().cold(now), is(0L)));
    }

    @Test
    void aColdEndThatComesEarlyIsToldToAll() {
        fleet(12);
        say("h0", worker(1, 1, false, 60 * SECOND));
        pass(2 * SECOND);
        say("h0", 2);
        pass(SECOND);
        rumors.keySet().forEach(id -> assertThat(id, at(id).orElseThrow().cold(now), is(0L)));
    }

    @Test
    void equalDigestsBringNoBodiesAndOneThatDiffersBringsOne() {
        fleet(5);
        for (int i = 0; i < 40; i++) {
            rumors.get("h0")
                    .announced(new Worker("w" + i, "a:" + i, "z0", "r0", 1, 1, 0, 0, 8, List.of(), false, 0), 0, now);
        }
        pass(3 * SECOND);
        sent.clear();
        pass(2 * SECOND);
        assertThat(bodies(), is(0L));
        assertThat(
                sent.stream()
                        .filter(m -> m instanceof Message.GossipPullReply t
                                && t.content() instanceof Message.PullContent.DigestContent b
                                && !b.ranges().isEmpty())
                        .toList(),
                empty());
        rumors.get("h0").announced(new Worker("w7", "a:7", "z0", "r0", 1, 2, 0, 0, 8, List.of(), true, 0), 0, now);
        rumors.get("h0").drain();
        pass(2 * SECOND);
        sent.forEach(m -> {
            if (m instanceof Message.MissingReports b) {
                assertThat(b.reports().size(), lessThanOrEqualTo(1));
            }
        });
        rumors.keySet()
                .forEach(id -> assertThat(
                        id, rumors.get(id).workers().get("w7").worker().leaving(), is(true)));
    }

    @Test
    void wordsAreSureAtPursersInTouchAndGrowUnsureBehindACut() {
        fleet(9);
        say("h0", 1);
        pass(2 * SECOND);
        rumors.keySet().forEach(id -> assertThat(id, rumors.get(id).sure(now), lessThanOrEqualTo(2 * SECOND)));
        cut.addAll(List.of("h0", "p3", "p6"));
        pass(5 * SECOND);
        List.of("h0", "p3", "p6").forEach(id -> assertThat(id, rumors.get(id).sure(now), greaterThan(4 * SECOND)));
        List.of("h1", "h2", "p4", "p8")
                .forEach(id -> assertThat(id, rumors.get(id).sure(now), lessThanOrEqualTo(2 * SECOND)));
    }

    @Test
    void aDeadHarborKeepsSilenceUntoldOfItsOwnZoneOnly() {
        fleet(9);
        say("h1", 1);
        rumors.get("h1")
                .announced(new Worker("v", "10.0.0.8:1", "z1", "r1", 1, 1, 0, 0, 8, List.of(), false, 0), 0, now);
        ship("h1");
        pass(SECOND);
        dead.add("h0");
        pass(9 * SECOND);
        rumors.keySet().stream().filter(id -> !id.equals("h0")).forEach(id -> {
            assertThat(id, rumors.get(id).workers().get("v").silent(), is(true));
            assertThat(id, at(id).orElseThrow().silent(), is(false));
        });
    }

    @Test
    void aHarborThatFrozeAndWakesCallsNoOneSilent() {
        fleet(6);
        beat("h1", 1, 3);
        dead.add("h0");
        beat("h1", 4, 10);
        dead.clear();
        for (int i = 0; i < 8; i++) {
            beat("h1", 20 + i, 1);
            rumors.keySet().forEach(id -> assertThat(id, at(id).orElseThrow().silent(), is(false)));
        }
    }

    @Test
    void aNewPageReachesNinetySixDaemonsInASecondAndPullsConfirmIt() {
        fleet(96);
        final StateMachine books = new StateMachine();
        books.apply(1, List.of(new Entry("r/*/chat", 1, List.of(TableRules.defaultRow("*", "chat")))));
        rumors.get("h0").own(books, View.NONE, true, now);
        ship("h0");
        final long start = now;
        while (rumors.values().stream().anyMatch(r -> r.books().policyRevision() < 1) && now - start < 2 * SECOND) {
            pass(50_000);
        }
        assertThat(now - start, lessThanOrEqualTo(700_000L));
        for (int i = 0; i < 40; i++) {
            rumors.get("h0").own(books, View.NONE, true, now);
            pass(50_000);
        }
        rumors.forEach((id, r) -> assertThat(id, r.age(now), lessThanOrEqualTo(2 * SECOND)));
    }
}
