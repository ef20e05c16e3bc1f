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
import silverlatch.wire.ChainClientMessage;
import silverlatch.wire.Message;
import silverlatch.wire.ReplicationMessage;

/** Guards against lost writes, stale reads and forgotten promises of three replicas whose clock, crashes and disk stalls are controlled. */
final class ChainReplicaTest {
    private static final List<String> SEEDS = List.of("a", "b", "c");
    private final Map<String, ChainReplica> replicas = new LinkedHashMap<>();
    private final Map<String, List<LogRecord>> disks = new LinkedHashMap<>();
    private final Map<String, List<Effect.Persist>> unsynced = new LinkedHashMap<>();
    private final Set<String> down = new TreeSet<>();
    private final Set<String> stalledDisks = new TreeSet<>();
    private final List<Message> replies = new ArrayList<>();
    private final Deque<Runnable> deliveries = new ArrayDeque<>();
    private long now = 1_000_000;
    private long stamp = 1_000;

    private void start(final String address, final String id) {
        disks.putIfAbsent(address, new ArrayList<>());
        unsynced.put(address, new ArrayList<>());
        replicas.put(
                address,
                new ChainReplica(
                        ReplicaSettings.of(new Replica(id, address), SEEDS),
                        List.copyOf(disks.get(address)),
                        () -> new Stamp(++stamp),
                        now));
        down.remove(address);
    }

    private void bootstrap() {
        SEEDS.forEach(s -> start(s, "id-" + s));
        advance(3_000_000);
    }

    private void advance(final long span) {
        final long end = now + span;
        while (now < end) {
            now += 50_000;
            replicas.forEach((s, replica) -> {
                if (!down.contains(s)) {
                    replica.tick(now);
                }
            });
            deliverAll();
        }
    }

    private void deliverAll() {
        boolean more = true;
        while (more) {
            final int before = replies.size();
            replicas.forEach((s, replica) -> {
                if (!down.contains(s)) {
                    replica.drain().forEach(e -> performEffect(s, replica, e));
                }
            });
            more = !deliveries.isEmpty() || replies.size() > before;
            for (int i = deliveries.size(); i > 0; i--) {
                deliveries.poll().run();
            }
        }
    }

    private void performEffect(final String address, final ChainReplica replica, final Effect effect) {
        switch (effect) {
            case Effect.Send send -> {
                if (send.to().equals("operator")) {
                    replies.add(send.message());
                    return;
                }
                deliveries.add(() -> {
                    if (!down.contains(send.to()) && !down.contains(address) && replicas.containsKey(send.to())) {
                        replicas.get(send.to()).onMessage(send.message(), address, now);
                    }
                });
            }
            case Effect.Persist persist -> {
                if (stalledDisks.contains(address)) {
                    unsynced.get(address).add(persist);
                } else {
                    deliveries.add(() -> sync(address, replica, persist));
                }
            }
            default -> {}
        }
    }

    private void sync(final String address, final ChainReplica replica, final Effect.Persist write) {
        if (replicas.get(address) == replica && !down.contains(address)) {
            write.records().forEach(record -> {
                if (record instanceof LogRecord.Snapshot) {
                    disks.get(address).clear();
                }
                disks.get(address).add(record);
            });
            replica.onSynced(write.token(), now);
        }
    }

    private void put(final String at, final String id, final long expectedRevision) {
        replicas.get(at)
                .onMessage(
                        new ChainClientMessage.WriteRequest(
                                1,
                                "operator",
                                new Command.PutTable(
                                        id,
                                        List.of(silverlatch.state.TableRules.defaultRow("*", id)),
                                        expectedRevision)),
                        "operator",
                        now);
        deliverAll();
    }

    private Message lastReply() {
        return Lists.last(replies);
    }

    private Set<String> rowKinds(final String at) {
        final Set<String> kinds = new TreeSet<>();
        replicas.get(at).stateMachine().entriesWithPrefix("r/").values().stream()
                .filter(e -> !e.isDeleted())
                .forEach(e -> kinds.add(((Value.Row) e.value().get(0)).kind()));
        return kinds;
    }

    @Test
    void threeEmptyReplicasBootstrapOneChainAndAcknowledgeAWriteOnlyWhenAllSyncedIt() {
        bootstrap();
        assertThat(
                replicas.get("a").view().chain().stream().map(Replica::address).toList(), is(SEEDS));
        put("a", "one", -1);
        assertThat(((ChainClientMessage.WriteReply) lastReply()).result(), instanceOf(CommandResult.Applied.class));
        SEEDS.forEach(s -> assertThat(disks.get(s).stream().anyMatch(n -> n instanceof LogRecord.Appended), is(true)));
    }

    @Test
    void twoOfThreeSeedsDoNotBootstrap() {
        start("a", "id-a");
        start("b", "id-b");
        advance(5_000_000);
        assertThat(replicas.get("a").view().number(), is(0L));
        assertThat(replicas.get("b").view().number(), is(0L));
    }

    @Test
    void aWriteThatDidNotReachTheTailIsNotAcknowledgedAndIsLostWithTheHeadsDisk() {
        bootstrap();
        stalledDisks.add("a");
        put("a", "gone", -1);
        assertThat(replies.isEmpty(), is(true));
        down.add("a");
        disks.get("a").clear();
        advance(4_000_000);
        stalledDisks.clear();
        put("b", "next", -1);
        assertThat(((ChainClientMessage.WriteReply) lastReply()).result(), instanceOf(CommandResult.Applied.class));
        start("a", "id-a2");
        advance(12_000_000);
        assertThat(replicas.get("a").view().chain().size(), is(3));
        assertThat(rowKinds("a"), is(Set.of("next")));
        assertThat(replicas.get("a").view().isVoter("id-a"), is(false));
    }

    @Test
    void anEntryOfAHeadThatDiesBetweenSyncAndReplyIsCommittedByTheNextHead() {
        bootstrap();
        put("a", "one", -1);
        replicas.get("a")
                .onMessage(
                        new ChainClientMessage.WriteRequest(
                                2,
                                "operator",
                                new Command.PutTable(
                                        "two", List.of(silverlatch.state.TableRules.defaultRow("*", "two")), -1)),
                        "operator",
                        now);
        replicas.get("a").drain().forEach(e -> performEffect("a", replicas.get("a"), e));
        for (int i = deliveries.size(); i > 0; i--) {
            deliveries.poll().run();
        }
        replicas.get("a").drain().forEach(e -> performEffect("a", replicas.get("a"), e));
        deliveries.poll().run();
        down.add("a");
        advance(5_000_000);
        assertThat(rowKinds("b"), is(Set.of("two")));
        assertThat(rowKinds("c"), is(Set.of("two")));
    }

    @Test
    void theRejectedOfTwoConflictingWritesGetsTheSequenceOfTheAppliedOne() {
        bootstrap();
        put("a", "base", -1);
        final long match = ((CommandResult.Applied) ((ChainClientMessage.WriteReply) lastReply()).result()).sequence();
        put("a", "win", match);
        final long applied =
                ((CommandResult.Applied) ((ChainClientMessage.WriteReply) lastReply()).result()).sequence();
        put("a", "lose", match);
        final CommandResult.Rejected rejection =
                (CommandResult.Rejected) ((ChainClientMessage.WriteReply) lastReply()).result();
        assertThat(rejection.code(), is(409));
        assertThat(rejection.sequence(), is(applied));
        assertThat(rowKinds("c"), is(Set.of("win")));
    }

    @Test
    void anIsolatedTailLosesItsLeaseBeforeTheOthersInstallAViewWithoutIt() {
        bootstrap();
        put("a", "old", -1);
        down.add("c");
        boolean heldLeaseTooLong = false;
        for (int i = 0; i < 80; i++) {
            now += 50_000;
            replicas.get("a").tick(now);
            replicas.get("b").tick(now);
            deliverAll();
            final boolean isLeased = replicas.get("c").status(now).isLeased();
            final boolean installedLaterView = replicas.get("a").view().number() > 1
                    || replicas.get("b").view().number() > 1;
            heldLeaseTooLong |= isLeased && installedLaterView;
        }
        assertThat("the others installed a later view", replicas.get("b").view().number() > 1, is(true));
        assertThat("the isolated tail held its lease at the same time", heldLeaseTooLong, is(false));
    }

    @Test
    void aRestartedReplicaRecoversItsPromiseAndItsEntries() {
        bootstrap();
        put("a", "one", -1);
        SEEDS.forEach(down::add);
        SEEDS.forEach(s -> start(s, "id-" + s));
        advance(2_000_000);
        SEEDS.forEach(s -> assertThat(s, rowKinds(s), is(Set.of("one"))));
        replicas.get("b").onMessage(new ReplicationMessage.Prepare(2, 9 << 8), "operator", now);
        deliverAll();
        assertThat(lastReply(), instanceOf(ReplicationMessage.Promise.class));
        down.add("b");
        start("b", "id-b");
        replicas.get("b").onMessage(new ReplicationMessage.Prepare(2, 8 << 8), "operator", now);
        deliverAll();
        assertThat(lastReply(), is(new ReplicationMessage.Preempted(2, 9 << 8)));
    }

    @Test
    void aHeadWhoseClockIsBehindTheNewestEntryNeitherAcceptsNorRejectsWrites() {
        bootstrap();
        put("a", "one", -1);
        stamp = 0;
        final int before = replies.size();
        put("a", "two", -1);
        assertThat(replies.size(), is(before));
        assertThat(rowKinds("c"), is(Set.of("one")));
    }

    @Test
    void aRejectedWriteStaysRejectedWhenADuplicateArrivesLate() {
        bootstrap();
        final ChainClientMessage.WriteRequest copy = new ChainClientMessage.WriteRequest(
                7,
                "operator",
                new Command.PutTable("late", List.of(silverlatch.state.TableRules.defaultRow("someone", "late")), -1));
        replicas.get("a").onMessage(copy, "operator", now);
        deliverAll();
        assertThat(((CommandResult.Rejected) ((ChainClientMessage.WriteReply) lastReply()).result()).code(), is(422));
        replicas.get("a")
                .onMessage(
                        new ChainClientMessage.WriteRequest(
                                8,
                                "operator",
                                new Command.PutTenant(
                                        "who", new Value.Tenant("someone", List.of(), 1, "0".repeat(64), "s"), -1)),
                        "operator",
                        now);
        deliverAll();
        assertThat(((ChainClientMessage.WriteReply) lastReply()).result(), instanceOf(CommandResult.Applied.class));
        replicas.get("a").onMessage(copy, "operator", now);
        deliverAll();
        assertThat(((CommandResult.Rejected) ((ChainClientMessage.WriteReply) lastReply()).result()).code(), is(422));
        assertThat(rowKinds("c"), is(Set.of()));
    }

    @Test
    void aWriteUnderAnOldFencingTokenIsRejected() {
        bootstrap();
        replicas.get("a")
                .onMessage(
                        new ChainClientMessage.WriteRequest(
                                3, "operator", new Command.AdvanceEpoch("sweep-0", Long.MAX_VALUE, 0)),
                        "operator",
                        now);
        deliverAll();
        assertThat(((CommandResult.Rejected) ((ChainClientMessage.WriteReply) lastReply()).result()).code(), is(409));
    }

    @Test
    void aLeavingReplicaHandsOverTheSingletonRoleAndLeavesTheChain() {
        bootstrap();
        assertThat(replicas.get("a").view().singletonOwner(), is("id-a"));
        replicas.get("a").leave();
        advance(3_000_000);
        assertThat(replicas.get("b").view().singletonOwner(), is("id-b"));
        assertThat(replicas.get("b").view().positionOf("id-a"), is(-1));
    }

    @Test
    void leavingReplicasKeepTwoCopiesInTheChain() {
        bootstrap();
        put("a", "one", -1);
        for (final String address : SEEDS) {
            replicas.get(address).leave();
            advance(3_000_000);
            assertThat(
                    address + ": only the first one leaves enough replicas behind",
                    replicas.get(address).hasLeft(),
                    is(address.equals("a")));
            down.add(address);
        }
        disks.get("c").clear();
        start("b", "id-b");
        start("a", "id-a");
        start("c", "id-c2");
        advance(15_000_000);
        assertThat(rowKinds("b"), is(Set.of("one")));
        assertThat(replicas.get("b").view().chain().size(), is(3));
    }

    @Test
    void aReplicaWithAStalledDiskLeavesTheChainAndRejoins() {
        bootstrap();
        stalledDisks.add("b");
        put("a", "slow", -1);
        advance(5_000_000);
        assertThat(replicas.get("a").view().positionOf("id-b"), is(-1));
        assertThat(rowKinds("c"), is(Set.of("slow")));
        stalledDisks.clear();
        unsynced.get("b").forEach(k -> sync("b", replicas.get("b"), k));
        advance(5_000_000);
        assertThat(replicas.get("a").view().positionOf("id-b") >= 0, is(true));
        assertThat(rowKinds("b"), is(Set.of("slow")));
    }

    @Test
    void aReplicaWhoseClockIsFarAheadKeepsClaimsAndAdmitsNoWrite() {
        bootstrap();
        deliveries.add(() -> replicas.get("a")
                .onMessage(
                        new ChainClientMessage.WriteRequest(
                                71, "operator", new Command.Claim("h", "key", "one", "p", 5)),
                        "operator",
                        now));
        advance(1_000_000);
        final long correctStamp = stamp;
        stamp = correctStamp + silverlatch.clock.NtpTime.fromMicros(30L * 86_400 * 1_000_000);
        start("a", "id-a");
        down.addAll(List.of("b", "c"));
        deliveries.add(() -> replicas.get("a")
                .onMessage(
                        new ChainClientMessage.WriteRequest(
                                72, "operator", new Command.SetEvacuation("z", "syros", true, -1)),
                        "operator",
                        now));
        advance(500_000);
        stamp = correctStamp + 1_000_000;
        down.clear();
        advance(20_000_000);
        assertThat(replicas.get("c").stateMachine().get("c/key").isPresent(), is(true));
        assertThat(replicas.get("c").stateMachine().get("z/syros").isPresent(), is(false));
        deliveries.add(() -> replicas.get("a")
                .onMessage(
                        new ChainClientMessage.WriteRequest(
                                73, "operator", new Command.SetEvacuation("y", "rhodes", true, -1)),
                        "operator",
                        now));
        advance(1_000_000);
        assertThat(replicas.get("c").stateMachine().get("z/rhodes").isPresent(), is(true));
    }
}
