package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.List;
import java.util.Set;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.ValueSource;
import silverlatch.safeguard.Safeguard;
import silverlatch.safeguard.Safeguards;
import silverlatch.state.Command;
import silverlatch.state.CommandResult;
import silverlatch.state.Value;

/** Orders of operators that race, are sent again late, and lose their answers, while machines and links fail. */
final class OrdersTest {
    private static final List<String> THREE = List.of("a", "b", "c");
    private static final long SECOND = 1_000_000;
    private static final long CALL = 880_000;
    private static final long HOP = 5_000;
    private static final int MUTANT_SEEDS = 60;

    private static ReplicaCluster three() {
        final ReplicaCluster cluster = new ReplicaCluster(THREE, HOP, s -> s.counts(2, 3));
        THREE.forEach(s -> cluster.start(s, true));
        cluster.pass(5 * SECOND);
        return cluster;
    }

    private static Object told(final ReplicaCluster cluster, final String at, final Command command) {
        final ReplicaCluster.Asked asked = cluster.order(at, command, CALL);
        cluster.pass(SECOND);
        return asked.answer().orElse("silence");
    }

    private static void taken(final ReplicaCluster cluster, final String at, final long number, final long match) {
        final ReplicaCluster.Asked asked = cluster.lay(at, number, match, CALL);
        cluster.pass(SECOND);
        assertThat("order " + number + " on " + match + cluster, asked.kept(), is(true));
    }

    private static Command.PutConfiguration again(final long number, final long match, final int call) {
        final Command.PutConfiguration first = ReplicaCluster.charter(number, match);
        return new Command.PutConfiguration(
                first.id() + "-call-" + call,
                first.configuration(),
                first.routes(),
                first.pools(),
                first.document(),
                match);
    }

    @Test
    void anOrderSentAgainAfterOthersFollowedIsAcknowledgedAgain() {
        final ReplicaCluster cluster = three();
        taken(cluster, "a", 5, 0);
        taken(cluster, "b", 6, 5);
        taken(cluster, "c", 9, 6);
        assertThat(told(cluster, "b", again(5, 0, 2)), is(instanceOf(CommandResult.Applied.class)));
        THREE.forEach(cluster::kill);
        THREE.forEach(s -> cluster.start(s, false));
        cluster.pass(5 * SECOND);
        assertThat("after a restart", told(cluster, "c", again(6, 5, 3)), is(instanceOf(CommandResult.Applied.class)));
        cluster.kill("a");
        cluster.wipe("a");
        cluster.start("a", false);
        cluster.pass(20 * SECOND);
        cluster.kill("b");
        cluster.pass(5 * SECOND);
        assertThat(
                "after a repair and a new view",
                told(cluster, "a", again(5, 0, 4)),
                is(instanceOf(CommandResult.Applied.class)));
        assertThat(
                "what was never taken",
                told(cluster, "a", again(7, 5, 1)),
                is(instanceOf(CommandResult.Rejected.class)));
    }

    @Test
    void aRefusalDoesNotRestOnWhatIsDroppedWithAView() {
        final ReplicaCluster cluster = three();
        taken(cluster, "a", 5, 0);
        final String head = cluster.quay("a").view().head().orElseThrow().address();
        final List<String> others = THREE.stream().filter(s -> !s.equals(head)).toList();
        others.forEach(s -> cluster.cut(head, s, true));
        final ReplicaCluster.Asked dropped = cluster.order(head, again(6, 5, 1), CALL);
        cluster.pass(20_000);
        final ReplicaCluster.Asked loser = cluster.order(head, again(7, 5, 1), CALL);
        cluster.pass(10 * SECOND);
        assertThat(dropped.reply(), is(instanceOf(CommandResult.Unknown.class)));
        taken(cluster, others.get(0), 7, 5);
        assertThat("refused for what never came to be", loser.reply(), is(instanceOf(CommandResult.Unknown.class)));
    }

    @Test
    void anOrderRefusedAheadOfItsBaseStaysRefused() {
        final ReplicaCluster cluster = three();
        taken(cluster, "a", 5, 0);
        assertThat(told(cluster, "b", again(9, 8, 1)), is(instanceOf(CommandResult.Rejected.class)));
        taken(cluster, "c", 8, 5);
        assertThat(told(cluster, "a", again(9, 8, 2)), is(instanceOf(CommandResult.Rejected.class)));
        assertThat(cluster.held("a"), is(8L));
    }

    @Test
    void theNumberInForceSentOnTopOfItselfIsInvalidThoughTheTextIsTheSame() {
        final ReplicaCluster cluster = three();
        taken(cluster, "a", 5, 0);
        assertThat(told(cluster, "b", again(5, 5, 1)), is(instanceOf(CommandResult.Rejected.class)));
    }

    @Test
    void aLateCopyOfAnEvacuationDoesNotUndoWhatWasOrderedAfterIt() {
        final ReplicaCluster cluster = three();
        final String head = cluster.quay("a").view().head().orElseThrow().address();
        final List<String> others = THREE.stream().filter(s -> !s.equals(head)).toList();
        cluster.slow(others.get(0), head, 8 * SECOND);
        cluster.order(others.get(0), evacuation("first", true), CALL);
        cluster.pass(1_000);
        cluster.kill(others.get(0));
        cluster.heal();
        cluster.pass(3 * SECOND);
        assertThat(cluster.quay(head).view().head().orElseThrow().address(), is(head));
        assertThat(
                told(cluster, others.get(1), evacuation("second", true)), is(instanceOf(CommandResult.Applied.class)));
        assertThat(told(cluster, head, evacuation("back", false)), is(instanceOf(CommandResult.Applied.class)));
        cluster.pass(10 * SECOND);
        final ReplicaCluster.Asked read = cluster.read(head, "z/", CALL);
        cluster.pass(SECOND);
        final Value.Evacuation zone = (Value.Evacuation)
                ((ChainClient.Page) read.reply()).entries().get(0).value().get(0);
        assertThat("the zone was taken back, and that was acknowledged", zone.active(), is(false));
    }

    @Test
    void anOrderWithoutAMajorityEndsWithoutAClearAnswerInsideTheCallersSecond() {
        final ReplicaCluster cluster = three();
        taken(cluster, "a", 5, 0);
        for (final String alone : THREE) {
            THREE.stream().filter(s -> !s.equals(alone)).forEach(s -> cluster.cut(alone, s, true));
            for (int i = 0; i < 20; i++) {
                final List<ReplicaCluster.Asked> calls = List.of(
                        cluster.order(alone, again(9, 5, i), CALL),
                        cluster.order(alone, again(3, 2, i), CALL),
                        cluster.order(alone, again(9, 7, i), CALL));
                cluster.pass(SECOND);
                final boolean mayStillBeLeased = i == 0;
                for (final ReplicaCluster.Asked call : calls) {
                    assertThat(call.span() < SECOND, is(true));
                    if (!mayStillBeLeased) {
                        assertThat(alone, call.reply(), is(instanceOf(CommandResult.Unknown.class)));
                    }
                }
            }
            cluster.heal();
            cluster.pass(20 * SECOND);
        }
        assertThat("nothing of it took effect", cluster.held("a"), is(5L));
    }

    private static Command.SetEvacuation evacuation(final String id, final boolean on) {
        return new Command.SetEvacuation(id, "zone", on, Command.SetEvacuation.LATEST);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3})
    void noOrderIsConfirmedTwiceUnderOneNumberNorRefusedAfterItWasTaken(final int copies) {
        long acknowledged = 0;
        long refused = 0;
        long repeated = 0;
        final long first = Long.getLong("silverlatch.orders.first", 1);
        final int count = Integer.getInteger("silverlatch.orders", 6);
        for (long seed = first; seed < first + count; seed++) {
            final OrderStorm storm = new OrderStorm(seed, copies, Safeguards.ALL);
            storm.run();
            acknowledged += storm.acknowledged();
            refused += storm.refused();
            repeated += storm.repeated();
        }
        System.out.println("orders: " + acknowledged + " acknowledged, " + refused + " refused, " + repeated
                + " acknowledged more than once");
        assertThat("orders were acknowledged", acknowledged, greaterThan(15L * count));
        assertThat("orders were refused", refused, greaterThan(30L * count));
        assertThat("orders were acknowledged again", repeated, greaterThan(10L * count));
    }

    @ParameterizedTest
    @CsvSource({
        "MATCH, 1, both acknowledged",
        "TAKEN, 1, acknowledged and refused",
        "SETTLED, 5, refused",
        "NEWEST, 53, the zone stands at"
    })
    void theCheckerNoticesASafeguardLetDown(final Safeguard safeguard, final long seed, final String told) {
        final Safeguards standing = new Safeguards(Set.of(safeguard));
        final AssertionError error = assertThrows(AssertionError.class, () -> {
            for (long s = seed; s < seed + MUTANT_SEEDS; s++) {
                new OrderStorm(s, 2, standing).run();
            }
        });
        System.out.println(safeguard + " let down: "
                + error.getMessage().lines().findFirst().orElse(""));
        assertThat(error.getMessage(), containsString(told));
    }
}
