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

/**
 * Guards against configuration writes and evacuations of operators that are applied twice, out of order, or both acknowledged
 * and rejected, when they conflict, are retried late or lose their answers while machines and links fail.
 */
final class OperatorWritesTest {
    private static final List<String> ADDRESSES = List.of("a", "b", "c");
    private static final long SECOND = 1_000_000;
    private static final long CALL_TIMEOUT_MICROS = 880_000;
    private static final long LINK_DELAY_MICROS = 5_000;
    private static final int SEEDS_PER_SAFEGUARD = 60;

    private static ReplicaCluster startThree() {
        final ReplicaCluster cluster = new ReplicaCluster(ADDRESSES, LINK_DELAY_MICROS, s -> s.withCounts(2, 3));
        ADDRESSES.forEach(s -> cluster.start(s, true));
        cluster.advance(5 * SECOND);
        return cluster;
    }

    private static Object reply(final ReplicaCluster cluster, final String at, final Command command) {
        final PendingCall call = cluster.submit(at, command, CALL_TIMEOUT_MICROS);
        cluster.advance(SECOND);
        return call.answer().orElse("no answer");
    }

    private static void putAcknowledged(
            final ReplicaCluster cluster, final String at, final long number, final long expectedRevision) {
        final PendingCall call = cluster.putConfiguration(at, number, expectedRevision, CALL_TIMEOUT_MICROS);
        cluster.advance(SECOND);
        assertThat("write " + number + " on " + expectedRevision + cluster, call.isAcknowledged(), is(true));
    }

    private static Command.PutConfiguration retry(final long number, final long expectedRevision, final int attempt) {
        final Command.PutConfiguration first = ReplicaCluster.configuration(number, expectedRevision);
        return new Command.PutConfiguration(
                first.id() + "-call-" + attempt,
                first.configuration(),
                first.routes(),
                first.pools(),
                first.document(),
                expectedRevision);
    }

    @Test
    void aRetriedWriteIsAcknowledgedAgainAfterLaterWrites() {
        final ReplicaCluster cluster = startThree();
        putAcknowledged(cluster, "a", 5, 0);
        putAcknowledged(cluster, "b", 6, 5);
        putAcknowledged(cluster, "c", 9, 6);
        assertThat(reply(cluster, "b", retry(5, 0, 2)), is(instanceOf(CommandResult.Applied.class)));
        ADDRESSES.forEach(cluster::kill);
        ADDRESSES.forEach(s -> cluster.start(s, false));
        cluster.advance(5 * SECOND);
        assertThat("after a restart", reply(cluster, "c", retry(6, 5, 3)), is(instanceOf(CommandResult.Applied.class)));
        cluster.kill("a");
        cluster.loseDisk("a");
        cluster.start("a", false);
        cluster.advance(20 * SECOND);
        cluster.kill("b");
        cluster.advance(5 * SECOND);
        assertThat(
                "after a repair and a new view",
                reply(cluster, "a", retry(5, 0, 4)),
                is(instanceOf(CommandResult.Applied.class)));
        assertThat(
                "a number that was never accepted",
                reply(cluster, "a", retry(7, 5, 1)),
                is(instanceOf(CommandResult.Rejected.class)));
    }

    @Test
    void aRejectionDoesNotDependOnEntriesDroppedByAViewChange() {
        final ReplicaCluster cluster = startThree();
        putAcknowledged(cluster, "a", 5, 0);
        final String head = cluster.replica("a").view().head().orElseThrow().address();
        final List<String> others =
                ADDRESSES.stream().filter(s -> !s.equals(head)).toList();
        others.forEach(s -> cluster.setCut(head, s, true));
        final PendingCall dropped = cluster.submit(head, retry(6, 5, 1), CALL_TIMEOUT_MICROS);
        cluster.advance(20_000);
        final PendingCall conflicting = cluster.submit(head, retry(7, 5, 1), CALL_TIMEOUT_MICROS);
        cluster.advance(10 * SECOND);
        assertThat(dropped.answerOrThrow(), is(instanceOf(CommandResult.Unknown.class)));
        putAcknowledged(cluster, others.get(0), 7, 5);
        assertThat(
                "not rejected because of a dropped entry",
                conflicting.answerOrThrow(),
                is(instanceOf(CommandResult.Unknown.class)));
    }

    @Test
    void aWriteRejectedBeforeItsBaseExistedStaysRejected() {
        final ReplicaCluster cluster = startThree();
        putAcknowledged(cluster, "a", 5, 0);
        assertThat(reply(cluster, "b", retry(9, 8, 1)), is(instanceOf(CommandResult.Rejected.class)));
        putAcknowledged(cluster, "c", 8, 5);
        assertThat(reply(cluster, "a", retry(9, 8, 2)), is(instanceOf(CommandResult.Rejected.class)));
        assertThat(cluster.committedNumber("a"), is(8L));
    }

    @Test
    void theCurrentNumberOnTopOfItselfIsRejectedEvenWithTheSameText() {
        final ReplicaCluster cluster = startThree();
        putAcknowledged(cluster, "a", 5, 0);
        assertThat(reply(cluster, "b", retry(5, 5, 1)), is(instanceOf(CommandResult.Rejected.class)));
    }

    @Test
    void aDelayedCopyOfAnEvacuationDoesNotUndoALaterCommand() {
        final ReplicaCluster cluster = startThree();
        final String head = cluster.replica("a").view().head().orElseThrow().address();
        final List<String> others =
                ADDRESSES.stream().filter(s -> !s.equals(head)).toList();
        cluster.setExtraDelay(others.get(0), head, 8 * SECOND);
        cluster.submit(others.get(0), evacuation("first", true), CALL_TIMEOUT_MICROS);
        cluster.advance(1_000);
        cluster.kill(others.get(0));
        cluster.heal();
        cluster.advance(3 * SECOND);
        assertThat(cluster.replica(head).view().head().orElseThrow().address(), is(head));
        assertThat(
                reply(cluster, others.get(1), evacuation("second", true)), is(instanceOf(CommandResult.Applied.class)));
        assertThat(reply(cluster, head, evacuation("back", false)), is(instanceOf(CommandResult.Applied.class)));
        cluster.advance(10 * SECOND);
        final PendingCall read = cluster.read(head, "z/", CALL_TIMEOUT_MICROS);
        cluster.advance(SECOND);
        final Value.Evacuation zone = (Value.Evacuation) ((ChainClient.ReadResult) read.answerOrThrow())
                .entries()
                .get(0)
                .value()
                .get(0);
        assertThat("the end of the evacuation was acknowledged last", zone.active(), is(false));
    }

    @Test
    void aWriteWithoutAMajorityEndsUnknownWithinOneSecond() {
        final ReplicaCluster cluster = startThree();
        putAcknowledged(cluster, "a", 5, 0);
        for (final String alone : ADDRESSES) {
            ADDRESSES.stream().filter(s -> !s.equals(alone)).forEach(s -> cluster.setCut(alone, s, true));
            for (int i = 0; i < 20; i++) {
                final List<PendingCall> calls = List.of(
                        cluster.submit(alone, retry(9, 5, i), CALL_TIMEOUT_MICROS),
                        cluster.submit(alone, retry(3, 2, i), CALL_TIMEOUT_MICROS),
                        cluster.submit(alone, retry(9, 7, i), CALL_TIMEOUT_MICROS));
                cluster.advance(SECOND);
                final boolean mayStillBeLeased = i == 0;
                for (final PendingCall call : calls) {
                    assertThat(call.latency() < SECOND, is(true));
                    if (!mayStillBeLeased) {
                        assertThat(alone, call.answerOrThrow(), is(instanceOf(CommandResult.Unknown.class)));
                    }
                }
            }
            cluster.heal();
            cluster.advance(20 * SECOND);
        }
        assertThat("no isolated write took effect", cluster.committedNumber("a"), is(5L));
    }

    private static Command.SetEvacuation evacuation(final String id, final boolean isActive) {
        return new Command.SetEvacuation(id, "zone", isActive, Command.SetEvacuation.LATEST);
    }

    @ParameterizedTest
    @ValueSource(ints = {2, 3})
    void noTwoWritesOfOneNumberAreAcknowledgedAndNoAcknowledgedWriteIsRejected(final int minReplicas) {
        long acknowledged = 0;
        long rejected = 0;
        long acknowledgedRepeatedly = 0;
        final long firstSeed = Long.getLong("silverlatch.orders.first", 1);
        final int count = Integer.getInteger("silverlatch.orders", 6);
        for (long seed = firstSeed; seed < firstSeed + count; seed++) {
            final OperatorWorkload workload = new OperatorWorkload(seed, minReplicas, Safeguards.ALL);
            workload.run();
            acknowledged += workload.acknowledged();
            rejected += workload.rejected();
            acknowledgedRepeatedly += workload.acknowledgedRepeatedly();
        }
        System.out.println("writes: " + acknowledged + " acknowledged, " + rejected + " rejected, "
                + acknowledgedRepeatedly + " acknowledged more than once");
        assertThat("acknowledged writes", acknowledged, greaterThan(15L * count));
        assertThat("rejected writes", rejected, greaterThan(30L * count));
        assertThat("writes acknowledged more than once", acknowledgedRepeatedly, greaterThan(10L * count));
    }

    @ParameterizedTest
    @CsvSource({
        "COMPARE_AND_SET, 1, both acknowledged",
        "ACCEPTED_REMEMBERED, 1, acknowledged and rejected",
        "COMMITTED_REFUSAL, 5, rejected",
        "LATEST_EVACUATION, 53, a read of the zone returned"
    })
    void theChecksDetectADisabledSafeguard(
            final Safeguard safeguard, final long firstSeed, final String expectedMessage) {
        final Safeguards safeguards = new Safeguards(Set.of(safeguard));
        final AssertionError error = assertThrows(AssertionError.class, () -> {
            for (long seed = firstSeed; seed < firstSeed + SEEDS_PER_SAFEGUARD; seed++) {
                new OperatorWorkload(seed, 2, safeguards).run();
            }
        });
        System.out.println(safeguard + " disabled: "
                + error.getMessage().lines().findFirst().orElse(""));
        assertThat(error.getMessage(), containsString(expectedMessage));
    }
}
