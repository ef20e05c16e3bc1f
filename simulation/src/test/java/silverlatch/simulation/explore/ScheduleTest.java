package silverlatch.simulation.explore;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

/** Checks parsing, replaying and shrinking of schedules. */
final class ScheduleTest {
    private static final WorldOptions OPTIONS = WorldOptions.of(3, Mutant.SYNC);

    /** Returns actions with an acknowledged write that is on no disk, as the mutant reports writes before they are synced. */
    private static List<Action> failing() {
        final List<Action> actions = new ArrayList<>(new Moves(0, 0).initialActions());
        for (int i = 0; i < 5; i++) {
            actions.add(Action.of(Action.Kind.DUPLICATE, 0, 1));
            actions.add(Action.period(20));
        }
        actions.add(new Action(Action.Kind.PUT, 0, 2, 1));
        for (int hop = 0; hop < 2; hop++) {
            actions.add(Action.of(Action.Kind.DELIVER, hop, hop + 1));
        }
        actions.add(Action.of(Action.Kind.DELIVER, 2, 0));
        return actions;
    }

    @Test
    void textRoundTrips() {
        final Schedule schedule = new Schedule(OPTIONS, failing());
        assertThat(Schedule.parse("# a comment\n" + schedule.text()), is(schedule));
    }

    @Test
    void invalidTextIsRejected() {
        for (final String text :
                List.of("", "word 3 2 3 NONE", "world 3 2 3 NONE\nfly 1 2 3", "world 3 2 3 NONE\nput 1")) {
            assertThrows(IllegalArgumentException.class, () -> Schedule.parse(text), text);
        }
    }

    @Test
    void shrunkScheduleIsMinimalAndViolatesTheSameProperty() {
        final Schedule schedule = new Schedule(OPTIONS, failing());
        assertThat(schedule.replay().violation().map(Violation::property).orElseThrow(), is(Property.DURABLE));
        final Schedule shrunk = ScheduleShrinker.shrink(schedule, Property.DURABLE, 500);
        assertThat(shrunk.replay().violation().map(Violation::property).orElseThrow(), is(Property.DURABLE));
        assertThat(shrunk.actions().size(), is(lessThan(schedule.actions().size())));
        for (int i = 0; i < shrunk.actions().size(); i++) {
            final List<Action> without = new ArrayList<>(shrunk.actions());
            without.remove(i);
            assertThat(
                    "without action " + i,
                    new Schedule(OPTIONS, without).replay().violation().isPresent(),
                    is(false));
        }
    }

    @Test
    void impossibleActionsHaveNoEffect() {
        final World world = new World(WorldOptions.of(3, Mutant.NONE));
        final long before = StateDigest.of(world);
        final List<Action> impossible = List.of(
                Action.of(Action.Kind.DELIVER, 1, 1),
                Action.of(Action.Kind.SYNC, 0),
                Action.of(Action.Kind.RESTART, 0),
                Action.of(Action.Kind.THAW, 0),
                Action.of(Action.Kind.HEAL),
                Action.of(Action.Kind.RESEND, 0, 3));
        assertThat(impossible.stream().filter(world::apply).toList(), hasSize(0));
        assertThat(StateDigest.of(world), is(before));
    }
}
