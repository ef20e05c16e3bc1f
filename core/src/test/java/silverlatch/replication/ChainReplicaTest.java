package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import org.junit.jupiter.api.Test;
import silverlatch.clock.Stamp;
import silverlatch.log.LogRecord;
import silverlatch.node.Effect;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Value;
import silverlatch.util.Lists;
import silverlatch.wire.Message;

/** Three machines, a scripted operator, and a fake clock; messages go only where the script lets them. */
final class ChainReplicaTest {
    private static final List<String> SEATS = List.of("a", "b", "c");
    private final Map<String, ChainReplica> quays = new LinkedHashMap<>();
    private final Map<String, List<LogRecord>> disks = new LinkedHashMap<>();
    private final Map<String, List<Effect.Persist>> unsynced = new LinkedHashMap<>();
    private final Set<String> down = new TreeSet<>();
    private final Set<String> stuck = new TreeSet<>();
    private final List<Message> told = new ArrayList<>();
    private final Deque<Runnable> mail = new ArrayDeque<>();
    private long now = 1_000_000;
    private long stamp = 1_000;

    private void start(final String seat, final String id) {
        disks.putIfAbsent(seat, new ArrayList<>());
        unsynced.put(seat, new ArrayList<>());
        quays.put(
                seat,
                new ChainReplica(
                        ChainReplica.Setup.of(new Replica(id, seat), SEATS),
                        List.copyOf(disks.get(seat)),
                        () -> new Stamp(++stamp),
                        now));
        down.remove(seat);
    }

    private void found() {
        SEATS.forEach(s -> start(s, "id-" + s));
        pass(3_000_000);
    }

    private void pass(final long span) {
        final long end = now + span;
        while (now < end) {
            now += 50_000;
            quays.forEach((s, q) -> {
                if (!down.contains(s)) {
                    q.tick(now);
                }
            });
            pump();
        }
    }

    private void pump() {
        boolean more = true;
        while (more) {
            final int before = told.size();
            quays.forEach((s, q) -> {
                if (!down.contains(s)) {
                    q.drain().forEach(e -> effect(s, q, e));
                }
            });
            more = !mail.isEmpty() || told.size() > before;
            for (int i = mail.size(); i > 0; i--) {
                mail.poll().run();
            }
        }
    }

    private void effect(final String seat, final ChainReplica q, final Effect e) {
        switch (e) {
            case Effect.Send s -> {
                if (s.to().equals("operator")) {
                    told.add(s.message());
                    return;
                }
                mail.add(() -> {
                    if (!down.contains(s.to()) && !down.contains(seat) && quays.containsKey(s.to())) {
                        quays.get(s.to()).on(s.message(), seat, now);
                    }
                });
            }
            case Effect.Persist k -> {
                if (stuck.contains(seat)) {
                    unsynced.get(seat).add(k);
                } else {
                    mail.add(() -> sync(seat, q, k));
                }
            }
            default -> {}
        }
    }

    private void sync(final String seat, final ChainReplica q, final Effect.Persist k) {
        if (quays.get(seat) == q && !down.contains(seat)) {
            k.records().forEach(n -> {
                if (n instanceof LogRecord.Snapshot) {
                    disks.get(seat).clear();
                }
                disks.get(seat).add(n);
            });
            q.kept(k.token(), now);
        }
    }

    private void put(final String at, final String id, final long match) {
        quays.get(at)
                .on(
                        new Message.WriteRequest(
                                1,
                                "operator",
                                new Command.PutTable(
                                        id, List.of(silverlatch.state.TableRules.defaultRow("*", id)), match)),
                        "operator",
                        now);
        pump();
    }

    private Message last() {
        return Lists.last(told);
    }

    private Set<String> kinds(final String at) {
        final Set<String> set = new TreeSet<>();
        quays.get(at).books().entriesWithPrefix("r/").values().stream()
                .filter(e -> !e.isDeleted())
                .forEach(e -> set.add(((Value.Row) e.value().get(0)).kind()));
        return set;
    }

    @Test
    void threeEmptyMachinesFoundOneChainAndAWriteIsOnAllOfThemBeforeItsAck() {
        found();
        assertThat(quays.get("a").view().chain().stream().map(Replica::address).toList(), is(SEATS));
        put("a", "one", -1);
        assertThat(((Message.WriteReply) last()).result(), instanceOf(CommandResult.Applied.class));
        SEATS.forEach(s -> assertThat(disks.get(s).stream().anyMatch(n -> n instanceof LogRecord.Appended), is(true)));
    }

    @Test
    void twoMachinesAloneFoundNothing() {
        start("a", "id-a");
        start("b", "id-b");
        pass(5_000_000);
        assertThat(quays.get("a").view().number(), is(0L));
        assertThat(quays.get("b").view().number(), is(0L));
    }

    @Test
    void aWriteThatDidNotReachTheTailIsNotAckedAndAHeadThatLosesItsDiskTakesItAlong() {
        found();
        stuck.add("a");
        put("a", "gone", -1);
        assertThat(told.isEmpty(), is(true));
        down.add("a");
        disks.get("a").clear();
        pass(4_000_000);
        stuck.clear();
        put("b", "next", -1);
        assertThat(((Message.WriteReply) last()).result(), instanceOf(CommandResult.Applied.class));
        start("a", "id-a2");
        pass(12_000_000);
        assertThat(quays.get("a").view().chain().size(), is(3));
        assertThat(kinds("a"), is(Set.of("next")));
        assertThat(quays.get("a").view().votes("id-a"), is(false));
    }

    @Test
    void aHeadThatDiesBetweenSyncAndReplyLeavesItsChangeToTheNextHead() {
        found();
        put("a", "one", -1);
        quays.get("a")
                .on(
                        new Message.WriteRequest(
                                2,
                                "operator",
                                new Command.PutTable(
                                        "two", List.of(silverlatch.state.TableRules.defaultRow("*", "two")), -1)),
                        "operator",
                        now);
        quays.get("a").drain().forEach(e -> effect("a", quays.get("a"), e));
        for (int i = mail.size(); i > 0; i--) {
            mail.poll().run();
        }
        quays.get("a").drain().forEach(e -> effect("a", quays.get("a"), e));
        mail.poll().run();
        down.add("a");
        pass(5_000_000);
        assertThat(kinds("b"), is(Set.of("two")));
        assertThat(kinds("c"), is(Set.of("two")));
    }

    @Test
    void ofTwoRacingChangesTheLoserIsToldTheWinnersSequence() {
        found();
        put("a", "base", -1);
        final long match = ((CommandResult.Applied) ((Message.WriteReply) last()).result()).sequence();
        put("a", "win", match);
        final long won = ((CommandResult.Applied) ((Message.WriteReply) last()).result()).sequence();
        put("a", "lose", match);
        final CommandResult.Rejected lost = (CommandResult.Rejected) ((Message.WriteReply) last()).result();
        assertThat(lost.code(), is(409));
        assertThat(lost.sequence(), is(won));
        assertThat(kinds("c"), is(Set.of("win")));
    }

    @Test
    void aTailThatIsCutOffStopsReadingBeforeTheOthersGoOnWithoutIt() {
        found();
        put("a", "old", -1);
        down.add("c");
        boolean overlap = false;
        for (int i = 0; i < 80; i++) {
            now += 50_000;
            quays.get("a").tick(now);
            quays.get("b").tick(now);
            pump();
            final boolean reads = quays.get("c").state(now).leased();
            final boolean moved =
                    quays.get("a").view().number() > 1 || quays.get("b").view().number() > 1;
            overlap |= reads && moved;
        }
        assertThat("the chain went on", quays.get("b").view().number() > 1, is(true));
        assertThat("and the old tail read on", overlap, is(false));
    }

    @Test
    void aRestartedMachineRemembersWhatItPromisedAndWhatItKept() {
        found();
        put("a", "one", -1);
        SEATS.forEach(down::add);
        SEATS.forEach(s -> start(s, "id-" + s));
        pass(2_000_000);
        SEATS.forEach(s -> assertThat(s, kinds(s), is(Set.of("one"))));
        quays.get("b").on(new Message.Prepare(2, 9 << 8), "operator", now);
        pump();
        assertThat(last(), instanceOf(Message.Promise.class));
        down.add("b");
        start("b", "id-b");
        quays.get("b").on(new Message.Prepare(2, 8 << 8), "operator", now);
        pump();
        assertThat(last(), is(new Message.Preempted(2, 9 << 8)));
    }

    @Test
    void aHeadWhoseClockIsBehindTheNewestChangeTakesNoneAndRejectsNone() {
        found();
        put("a", "one", -1);
        stamp = 0;
        final int before = told.size();
        put("a", "two", -1);
        assertThat(told.size(), is(before));
        assertThat(kinds("c"), is(Set.of("one")));
    }

    @Test
    void aRejectedChangeStaysRejectedWhenACopyOfItComesLate() {
        found();
        final Message.WriteRequest copy = new Message.WriteRequest(
                7,
                "operator",
                new Command.PutTable("late", List.of(silverlatch.state.TableRules.defaultRow("someone", "late")), -1));
        quays.get("a").on(copy, "operator", now);
        pump();
        assertThat(((CommandResult.Rejected) ((Message.WriteReply) last()).result()).code(), is(422));
        quays.get("a")
                .on(
                        new Message.WriteRequest(
                                8,
                                "operator",
                                new Command.PutTenant(
                                        "who", new Value.Tenant("someone", List.of(), 1, "0".repeat(64), "s"), -1)),
                        "operator",
                        now);
        pump();
        assertThat(((Message.WriteReply) last()).result(), instanceOf(CommandResult.Applied.class));
        quays.get("a").on(copy, "operator", now);
        pump();
        assertThat(((CommandResult.Rejected) ((Message.WriteReply) last()).result()).code(), is(422));
        assertThat(kinds("c"), is(Set.of()));
    }

    @Test
    void aDutyOfAnOldHolderIsRejected() {
        found();
        quays.get("a")
                .on(
                        new Message.WriteRequest(3, "operator", new Command.AdvanceEpoch("sweep-0", Long.MAX_VALUE, 0)),
                        "operator",
                        now);
        pump();
        assertThat(((CommandResult.Rejected) ((Message.WriteReply) last()).result()).code(), is(409));
    }

    @Test
    void aMachineThatLeavesNamesItsSuccessorAndTheChainGoesOn() {
        found();
        assertThat(quays.get("a").view().holder(), is("id-a"));
        quays.get("a").leave();
        pass(3_000_000);
        assertThat(quays.get("b").view().holder(), is("id-b"));
        assertThat(quays.get("b").view().place("id-a"), is(-1));
    }

    @Test
    void machinesThatAllLeaveKeepTwoCopiesInTheChain() {
        found();
        put("a", "one", -1);
        for (final String s : SEATS) {
            quays.get(s).leave();
            pass(3_000_000);
            assertThat(
                    s + ": only the first has left enough copies", quays.get(s).gone(), is(s.equals("a")));
            down.add(s);
        }
        disks.get("c").clear();
        start("b", "id-b");
        start("a", "id-a");
        start("c", "id-c2");
        pass(15_000_000);
        assertThat(kinds("b"), is(Set.of("one")));
        assertThat(quays.get("b").view().chain().size(), is(3));
    }

    @Test
    void aStalledDiskIsMendedOutAndComesBack() {
        found();
        stuck.add("b");
        put("a", "slow", -1);
        pass(5_000_000);
        assertThat(quays.get("a").view().place("id-b"), is(-1));
        assertThat(kinds("c"), is(Set.of("slow")));
        stuck.clear();
        unsynced.get("b").forEach(k -> sync("b", quays.get("b"), k));
        pass(5_000_000);
        assertThat(quays.get("a").view().place("id-b") >= 0, is(true));
        assertThat(kinds("b"), is(Set.of("slow")));
    }

    @Test
    void aHolderWhoseClockIsFarAheadForgetsNoClaimAndLetsNoChangeIn() {
        found();
        mail.add(() -> quays.get("a")
                .on(
                        new Message.WriteRequest(71, "operator", new Command.Claim("h", "key", "one", "p", 5)),
                        "operator",
                        now));
        pass(1_000_000);
        final long right = stamp;
        stamp = right + silverlatch.clock.NtpTime.fromMicros(30L * 86_400 * 1_000_000);
        start("a", "id-a");
        down.addAll(List.of("b", "c"));
        mail.add(() -> quays.get("a")
                .on(
                        new Message.WriteRequest(72, "operator", new Command.SetEvacuation("z", "syros", true, -1)),
                        "operator",
                        now));
        pass(500_000);
        stamp = right + 1_000_000;
        down.clear();
        pass(20_000_000);
        assertThat(quays.get("c").books().get("c/key").isPresent(), is(true));
        assertThat(quays.get("c").books().get("z/syros").isPresent(), is(false));
        mail.add(() -> quays.get("a")
                .on(
                        new Message.WriteRequest(73, "operator", new Command.SetEvacuation("y", "rhodes", true, -1)),
                        "operator",
                        now));
        pass(1_000_000);
        assertThat(quays.get("c").books().get("z/rhodes").isPresent(), is(true));
    }
}
