package silverlatch.simulation.explore;

import java.util.ArrayList;
import java.util.List;

/** Delta debugging: drops parts of a failing schedule, ever smaller, as long as the same property still breaks. */
final class ScheduleShrinker {
    private final WorldOptions options;
    private final Property property;
    private int remainingReplays;

    private ScheduleShrinker(final WorldOptions options, final Property property, final int replays) {
        this.options = options;
        this.property = property;
        this.remainingReplays = replays;
    }

    /** The shortest schedule found within a count of replays. */
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

    /** Tries to do without each part of a length, from the end. */
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
