package silverlatch.replication;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.ToLongFunction;
import java.util.stream.IntStream;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import silverlatch.wire.ReplicationMessage;

/** Guards against views that lose the majority or the required replicas: the next view for several numbers of voters and dead voters. */
final class ViewPlannerTest {
    private static final long DEAD_SILENCE_MICROS = 2_000_000;
    private static final long ALIVE_SILENCE_MICROS = 100_000;

    private static Replica replica(final int index) {
        return new Replica("id-" + index, "address-" + index);
    }

    private static List<Replica> replicas(final int count) {
        return IntStream.range(0, count).mapToObj(ViewPlannerTest::replica).toList();
    }

    private static ViewPlanner planner(
            final View view, final ToLongFunction<String> silenceMicros, final int minReplicas) {
        final ReplicaSettings settings =
                ReplicaSettings.of(replica(0), List.of()).withCounts(minReplicas, 7);
        final Set<String> caughtUpMembers = new HashSet<>();
        view.chain().forEach(r -> caughtUpMembers.add(r.id()));
        return new ViewPlanner(settings, view, silenceMicros, caughtUpMembers);
    }

    private static View view(final int voters, final int chain) {
        return new View(5, 1, replicas(voters), replicas(chain), "id-0");
    }

    private static ToLongFunction<String> silentFrom(final int index) {
        return id -> Integer.parseInt(id.substring(3)) >= index ? DEAD_SILENCE_MICROS : ALIVE_SILENCE_MICROS;
    }

    @ParameterizedTest
    @CsvSource({"3,1,3", "4,1,3", "5,1,5", "5,2,3", "6,1,5", "6,2,5", "7,1,7", "7,2,5", "7,3,5"})
    void deadVotersAreRemovedAsLongAsTheMajorityShrinks(final int voters, final int dead, final int remaining) {
        final int alive = voters - dead;
        final View next = planner(view(voters, voters), silentFrom(alive), 2)
                .next(false, List.of())
                .orElseThrow();
        assertThat(next.chain(), is(replicas(alive)));
        assertThat(next.voters().size(), is(remaining));
        assertThat(next.voters().containsAll(next.chain()), is(true));
        final View before = planner(view(voters, alive), silentFrom(alive), 2)
                .next(false, List.of())
                .orElse(next);
        assertThat("the same voters if the dead ones are already out of the chain", before.voters(), is(next.voters()));
    }

    @ParameterizedTest
    @CsvSource({"3,2,3", "4,2,3", "5,2,4", "6,3,5", "7,3,6"})
    void aLeavingReplicaLosesItsVoteWhereThreeOrMoreVotersRemain(
            final int voters, final int minReplicas, final int remaining) {
        final View next = planner(view(voters, voters), id -> ALIVE_SILENCE_MICROS, minReplicas)
                .next(true, List.of())
                .orElseThrow();
        assertThat(next.positionOf("id-0"), is(-1));
        assertThat(next.voters().size(), is(remaining));
        assertThat(next.chain().size(), greaterThanOrEqualTo(minReplicas));
        assertThat(
                planner(view(voters, minReplicas), id -> ALIVE_SILENCE_MICROS, minReplicas)
                        .next(true, List.of()),
                is(Optional.empty()));
    }

    @Test
    void aTakeoverIsPlannedOnlyWhereAllMembersOfAShortChainAreSilent() {
        final View lost = new View(5, 1, replicas(5), List.of(replica(4), replica(3)), "id-4");
        final View next = planner(lost, silentFrom(3), 3).takeover().orElseThrow();
        assertThat(next.number(), is(6L));
        assertThat(next.chain(), is(List.of(replica(0))));
        assertThat(next.singletonOwner(), is("id-0"));
        assertThat("one member is alive", planner(lost, silentFrom(4), 3).takeover(), is(Optional.empty()));
        assertThat(
                "the chain may acknowledge writes",
                planner(lost, silentFrom(3), 2).takeover(),
                is(Optional.empty()));
    }

    @Test
    void aJoiningReplicaReplacesADeadVoterAndIsAddedOnlyIfAllVotersAreAliveAndInTheChain() {
        final ReplicationMessage.JoinRequest join =
                new ReplicationMessage.JoinRequest(5, new Replica("id-9", "address-9"), 1);
        final ToLongFunction<String> dead = id -> id.equals("id-2") ? DEAD_SILENCE_MICROS : ALIVE_SILENCE_MICROS;
        final View replaced =
                planner(view(3, 2), dead, 2).next(false, List.of(join)).orElseThrow();
        assertThat(replaced.voters(), is(List.of(replica(0), replica(1), join.sender())));
        assertThat(replaced.chain(), is(List.of(replica(0), replica(1), join.sender())));
        final View added = planner(view(3, 3), id -> ALIVE_SILENCE_MICROS, 2)
                .next(false, List.of(join))
                .orElseThrow();
        assertThat(added.voters().size(), is(4));
        assertThat(
                "one voter is out of the chain and may have left",
                planner(view(3, 2), id -> ALIVE_SILENCE_MICROS, 2).next(false, List.of(join)),
                is(Optional.empty()));
        assertThat(
                "one voter may have just died",
                planner(view(3, 3), id -> id.equals("id-2") ? 500_000 : ALIVE_SILENCE_MICROS, 2)
                        .next(false, List.of(join)),
                is(Optional.empty()));
        assertThat(
                "the joining replica is silent",
                planner(view(3, 3), silentFrom(9), 2).next(false, List.of(join)),
                is(Optional.empty()));
    }

    @Test
    void aNewIdentityReplacesTheOldOneAsVoterOnlyOnceThatIsOutOfTheChain() {
        final ReplicationMessage.JoinRequest join =
                new ReplicationMessage.JoinRequest(5, new Replica("id-9", "address-2"), 1);
        assertThat(planner(view(3, 3), id -> ALIVE_SILENCE_MICROS, 2).next(false, List.of(join)), is(Optional.empty()));
        final View next = planner(view(3, 2), id -> ALIVE_SILENCE_MICROS, 2)
                .next(false, List.of(join))
                .orElseThrow();
        assertThat(next.voters(), is(List.of(replica(0), replica(1), join.sender())));
    }
}
