package silverlatch.simulation.explore;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks that the same state has the same digest by whichever order it is reached, and that any difference changes it. */
final class StateDigestTest {
    private static long digest(final Action... actions) {
        final World world = new World(WorldOptions.of(3, Mutant.NONE));
        new Moves(0, 0).initialActions().forEach(world::apply);
        world.apply(Action.tick(300));
        for (final Action action : actions) {
            world.apply(action);
        }
        return StateDigest.of(world);
    }

    @Test
    void independentStepsInEitherOrderGiveTheSameDigest() {
        final Action toFirst = Action.of(Action.Kind.DELIVER, 2, 0);
        final Action toSecond = Action.of(Action.Kind.DELIVER, 0, 1);
        assertThat(digest(toFirst, toSecond), is(digest(toSecond, toFirst)));
    }

    @Test
    void theSameStepsGiveTheSameDigest() {
        final Action put = new Action(Action.Kind.PUT, 1, 2, 1);
        assertThat(digest(put, Action.period(300)), is(digest(put, Action.period(300))));
    }

    @Test
    void eachKindOfDifferenceChangesTheDigest() {
        final List<Action> differences = List.of(
                Action.of(Action.Kind.DELIVER, 2, 0),
                Action.of(Action.Kind.DROP, 2, 0),
                Action.of(Action.Kind.DUPLICATE, 2, 0),
                Action.tick(300),
                Action.of(Action.Kind.CRASH, 1),
                Action.of(Action.Kind.LOSE_DISK, 1),
                Action.of(Action.Kind.FREEZE, 1),
                Action.of(Action.Kind.CUT, 0, 1),
                Action.of(Action.Kind.READ, 0),
                new Action(Action.Kind.PUT, 0, 2, 1));
        for (final Action one : differences) {
            assertThat(one.toString(), digest(one), is(not(digest())));
            for (final Action other : differences) {
                assertThat(one + " and " + other, digest(one) == digest(other), is(one.equals(other)));
            }
        }
    }
}
