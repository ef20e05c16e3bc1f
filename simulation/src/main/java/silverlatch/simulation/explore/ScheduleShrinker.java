package silverlatch.simulation.explore;

import java.util.ArrayList;
import java.util.List;

/**
 * Shrinks a schedule by delta debugging: removes ever smaller parts of it as long as the rest still violates the same
 * property.
 */
final class ScheduleShrinker {
    private final WorldOptions options;
    private final Property property;
    private int remainingReplays;

    private ScheduleShrinker(final WorldOptions options, final Property property, final int replays) {
        this.options = options;
        this.property = property;
        this.remainingReplays = replays;
    }

    /** Returns the shortest schedule found with a limited number of replays. */
    static Schedule shrink(final Schedule schedule, final Property property, final int replays) {
        return new ScheduleShrinker(schedule.options(), property, replays).shrink(schedule.actions());
    }

    private Schedule shrink(final List<Action> all) {
        List<Action> actions = all;
        int part = Math.max(1, actions.size() / 2);
        while (remainingReplays > 0) {
            final List<Action> shorter = removeParts(actions, part);
            final boolean progress = shorter.size() < actions.size();
            actions = shorter;
            if (part == 1 && !progress) {
                break;
            }
            part = progress ? Math.min(part, Math.max(1, actions.size() / 2)) : Math.max(1, part / 2);
        }
        return new Schedule(options, actions);
    }

    /** Tries to remove each part of a length, from the end of the schedule to its start. */
    private List<Action> removeParts(final List<Action> all, final int part) {
        List<Action> actions = all;
        for (int from = actions.size() - part; from > -part && remainingReplays > 0; from -= part) {
            final List<Action> without = new ArrayList<>(actions);
            without.subList(Math.max(0, from), Math.min(actions.size(), from + part))
                    .clear();
            if (fails(without)) {
                actions = without;
            }
        }
        return actions;
    }

    private boolean fails(final List<Action> actions) {
        remainingReplays--;
        return new Schedule(options, actions)
                .replay()
                .violation()
                .map(violation -> violation.property() == property)
                .orElse(false);
    }
}
