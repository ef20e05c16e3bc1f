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

/** Which view follows, for each number of voters and of dead ones. */
final class ViewPlannerTest {
    private static final long DEAD_SILENCE = 2_000_000;
    private static final long ALIVE_SILENCE = 100_000;

    private static Replica replica(final int index) {
        return new Replica("id-" + index, "address-" + index);
    }

    private static List<Replica> replicas(final int count) {
        return IntStream.range(0, count).mapToObj(ViewPlannerTest::replica).toList();
    }

    private static ViewPlanner planner(final View view, final ToLongFunction<String> silenceMicros, final int copies) {
        final ReplicaSettings settings =
                ReplicaSettings.of(replica(0), List.of()).withCounts(copies, 7);
        final Set<String> caughtUpMembers = new HashSet<>();
        view.chain().forEach(r -> caughtUpMembers.add(r.id()));
        return new ViewPlanner(settings, view, silenceMicros, caughtUpMembers);
    }

    private static View view(final int voters, final int chain) {
        return new View(5, 1, replicas(voters), replicas(chain), "id-0");
    }

    private static ToLongFunction<String> silentFrom(final int index) {
        return id -> Integer.parseInt(id.substring(3)) >= index ? DEAD_SILENCE : ALIVE_SILENCE;
    }

    @ParameterizedTest
    @CsvSource({"3,1,3", "4,1,3", "5,1,5", "5,2,3", "6,1,5", "6,2,5", "7,1,7", "7,2,5", "7,3,5"})
    void deadVotersAreRemovedAsLongAsTheMajorityShrinks(final int voters, final int dead, final int left) {
        final int alive = voters - dead;
        final View next = planner(view(voters, voters), silentFrom(alive), 2)
                .next(false, List.of())
                .orElseThrow();
        assertThat(next.chain(), is(replicas(alive)));
        assertThat(next.voters().size(), is(left));
        assertThat(next.voters().containsAll(next.chain()), is(true));
        final View before = planner(view(voters, alive), silentFrom(alive), 2)
                .next(false, List.of())
                .orElse(next);
        assertThat("the same where they are out of the chain already", before.voters(), is(next.voters()));
    }

    @ParameterizedTest
    @CsvSource({"3,2,3", "4,2,3", "5,2,4", "6,3,5", "7,3,6"})
    void aLeavingReplicaLosesItsVoteWhereThreeOrMoreVotersRemain(final int voters, final int copies, final int left) {
        final View next = planner(view(voters, voters), id -> ALIVE_SILENCE, copies)
                .next(true, List.of())
                .orElseThrow();
        assertThat(next.positionOf("id-0"), is(-1));
        assertThat(next.voters().size(), is(left));
        assertThat(next.chain().size(), greaterThanOrEqualTo(copies));
        assertThat(
                planner(view(voters, copies), id -> ALIVE_SILENCE, copies).next(true, List.of()), is(Optional.empty()));
    }

    @Test
    void aTakeoverIsPlannedOnlyWhereAllMembersOfAShortChainAreSilent() {
        final View lost = new View(5, 1, replicas(5), List.of(replica(4), replica(3)), "id-4");
        final View next = planner(lost, silentFrom(3), 3).takeover().orElseThrow();
        assertThat(next.number(), is(6L));
        assertThat(next.chain(), is(List.of(replica(0))));
        assertThat(next.singletonOwner(), is("id-0"));
        assertThat("one is heard", planner(lost, silentFrom(4), 3).takeover(), is(Optional.empty()));
        assertThat("it may acknowledge", planner(lost, silentFrom(3), 2).takeover(), is(Optional.empty()));
    }

    @Test
    void aJoiningReplicaReplacesADeadVoterAndIsAddedOnlyIfAllVotersAreAliveAndInTheChain() {
        final ReplicationMessage.JoinRequest join =
                new ReplicationMessage.JoinRequest(5, new Replica("id-9", "address-9"), 1);
        final ToLongFunction<String> dead = id -> id.equals("id-2") ? DEAD_SILENCE : ALIVE_SILENCE;
        final View replaced =
                planner(view(3, 2), dead, 2).next(false, List.of(join)).orElseThrow();
        assertThat(replaced.voters(), is(List.of(replica(0), replica(1), join.sender())));
        assertThat(replaced.chain(), is(List.of(replica(0), replica(1), join.sender())));
        final View added = planner(view(3, 3), id -> ALIVE_SILENCE, 2)
                .next(false, List.of(join))
                .orElseThrow();
        assertThat(added.voters().size(), is(4));
        assertThat(
                "one is out of the chain and may have left",
                planner(view(3, 2), id -> ALIVE_SILENCE, 2).next(false, List.of(join)),
                is(Optional.empty()));
        assertThat(
                "one may have died just now",
                planner(view(3, 3), id -> id.equals("id-2") ? 500_000 : ALIVE_SILENCE, 2)
                        .next(false, List.of(join)),
                is(Optional.empty()));
        assertThat(
                "the newcomer itself isn't heard any more",
                planner(view(3, 3), silentFrom(9), 2).next(false, List.of(join)),
                is(Optional.empty()));
    }

    @Test
    void aNewIdentityReplacesTheOldOneAsVoterOnlyOnceThatIsOutOfTheChain() {
        final ReplicationMessage.JoinRequest join =
                new ReplicationMessage.JoinRequest(5, new Replica("id-9", "address-2"), 1);
        assertThat(planner(view(3, 3), id -> ALIVE_SILENCE, 2).next(false, List.of(join)), is(Optional.empty()));
        final View next = planner(view(3, 2), id -> ALIVE_SILENCE, 2)
                .next(false, List.of(join))
                .orElseThrow();
        assertThat(next.voters(), is(List.of(replica(0), replica(1), join.sender())));
    }
}
