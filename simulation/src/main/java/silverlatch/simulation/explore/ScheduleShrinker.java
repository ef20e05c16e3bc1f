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
        int partLength = Math.max(1, actions.size() / 2);
        while (remainingReplays > 0) {
            final List<Action> shorter = removeParts(actions, partLength);
            final boolean progress = shorter.size() < actions.size();
            actions = shorter;
            if (partLength == 1 && !progress) {
                break;
            }
            partLength = progress ? Math.min(partLength, Math.max(1, actions.size() / 2)) : Math.max(1, partLength / 2);
        }
        return new Schedule(options, actions);
    }

    /** Tries to remove each part of a length, from the end of the schedule to its start. */
    private List<Action> removeParts(final List<Action> all, final int partLength) {
        List<Action> actions = all;
        for (int from = actions.size() - partLength; from > -partLength && remainingReplays > 0; from -= partLength) {
            final List<Action> without = new ArrayList<>(actions);
            without.subList(Math.max(0, from), Math.min(actions.size(), from + partLength))
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
