package silverlatch.simulation.explore;

import java.util.ArrayList;
import java.util.List;

/**
 * The options of a world and the actions taken in it. Its text form has a line for the options and one for each action; lines
 * that begin with # are comments.
 */
public record Schedule(WorldOptions options, List<Action> actions) {
    private static final String HEADER = "world";
    private static final int HEADER_WORDS = 5;

    /** Copies the list of actions. */
    public Schedule {
        actions = List.copyOf(actions);
    }

    /** Runs the actions in a new world up to the first violation, and returns the world. */
    World replay() {
        final World world = new World(options);
        for (final Action action : actions) {
            if (world.violation().isPresent()) {
                return world;
            }
            world.apply(action);
        }
        world.checkHistory();
        return world;
    }

    /** Returns the text form of the schedule. */
    public String text() {
        final StringBuilder text = new StringBuilder(HEADER + " " + options.replicas() + " " + options.copies() + " "
                + options.driftPercent() + " " + options.mutant() + "\n");
        actions.forEach(action -> text.append(action).append('\n'));
        return text.toString();
    }

    /**
     * Parses the text form of a schedule.
     *
     * @throws IllegalArgumentException if the text isn't a schedule; its message names the fault
     */
    public static Schedule parse(final String text) {
        final List<String> lines = text.lines()
                .map(String::trim)
                .filter(line -> !line.isEmpty() && !line.startsWith("#"))
                .toList();
        final String[] header = lines.isEmpty() ? new String[0] : lines.get(0).split("\\s+");
        if (header.length != HEADER_WORDS || !header[0].equals(HEADER)) {
            throw new IllegalArgumentException("the first line must be: world REPLICAS COPIES DRIFT MUTANT");
        }
        final WorldOptions options = new WorldOptions(
                Integer.parseInt(header[1]),
                Integer.parseInt(header[2]),
                Integer.parseInt(header[3]),
                Mutant.valueOf(header[4]));
        final List<Action> actions = new ArrayList<>();
        lines.stream().skip(1).forEach(line -> actions.add(Action.parse(line)));
        return new Schedule(options, actions);
    }
}
