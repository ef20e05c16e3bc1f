package silverlatch.simulation.explore;

import java.util.Arrays;
import java.util.Locale;

/**
 * One step of a schedule. Machines are identified by their index. An action that isn't possible in the current state has no
 * effect, so that any subsequence of a schedule is a valid schedule.
 *
 * @param kind   the kind of action
 * @param first  the index of the machine, or of the sender of a message
 * @param second the index of the receiver of a message, or a value that the kind defines
 * @param third  the position of a message in its channel, or a value that the kind defines
 */
public record Action(Kind kind, int first, int second, int third) {
    /** The kinds of actions. */
    public enum Kind {
        /** Delivers the message at a position of the channel between two machines. */
        DELIVER,
        /** Drops the message at a position of the channel between two machines. */
        DROP,
        /** Appends a copy of the message at a position of the channel between two machines to the same channel. */
        DUPLICATE,
        /** Syncs the oldest pending write of a machine to its disk. */
        SYNC,
        /** Advances the time by {@code second} milliseconds and delivers a clock event to every running machine. */
        TICK,
        /** Delivers every message that is in flight at the start of the round, then syncs all pending writes once. */
        ROUND,
        /** Advances the time by {@code second} milliseconds and then runs four rounds without faults. */
        PERIOD,
        /** Crashes a machine's process; its first {@code second} unsynced writes reach the disk, the others are lost. */
        CRASH,
        /** Starts a machine's process from the content of its disk. */
        RESTART,
        /** Crashes a machine's process and erases its disk; the next start has a new identity. */
        LOSE_DISK,
        /** Suspends a machine: it handles no events, while its clock continues. */
        FREEZE,
        /** Resumes a frozen machine. */
        THAW,
        /** Cuts all links to a machine ({@code second} is 1), all links from it (2), or both (3). */
        ISOLATE,
        /** Cuts the link from one machine to another, in this direction only. */
        CUT,
        /** Restores all links. */
        HEAL,
        /** Ends all faults and requires that a write is then acknowledged in time; see {@link Recovery}. */
        RECOVER,
        /** Writes configuration number {@code second} through a machine, if the current number is {@code third}. */
        PUT,
        /** Sends the put with index {@code second} in the history once more, under a new request id. */
        RESEND,
        /** Reads the configuration. */
        READ,
        /** Evacuates the zone; if the machine is frozen, the command waits until it is resumed. */
        EVACUATE,
        /** Cancels the evacuation of the zone; if the machine is frozen, the command waits until it is resumed. */
        TAKE_BACK,
        /** Reads whether the zone is evacuated. */
        READ_ZONE,
        /** Sends a machine an evacuation of the zone, which the network holds. */
        HOLD_EVACUATE,
        /** Sends a machine the end of the zone's evacuation, which the network holds. */
        HOLD_TAKE_BACK,
        /** Delivers the commands that the network holds for a machine, and the close of their connections {@code second} milliseconds later. */
        RELEASE_HELD
    }

    private static final int WORDS = 4;

    static Action of(final Kind kind) {
        return new Action(kind, 0, 0, 0);
    }

    static Action of(final Kind kind, final int first) {
        return new Action(kind, first, 0, 0);
    }

    static Action of(final Kind kind, final int first, final int second) {
        return new Action(kind, first, second, 0);
    }

    static Action tick(final int milliseconds) {
        return new Action(Kind.TICK, 0, milliseconds, 0);
    }

    static Action period(final int milliseconds) {
        return new Action(Kind.PERIOD, 0, milliseconds, 0);
    }

    /**
     * Parses the form that {@link #toString} writes.
     *
     * @throws IllegalArgumentException if the line isn't an action
     */
    static Action parse(final String line) {
        final String[] words = line.trim().split("\\s+");
        if (words.length != WORDS) {
            throw new IllegalArgumentException("expected a kind and three numbers as action, not: " + line);
        }
        final int[] numbers =
                Arrays.stream(words).skip(1).mapToInt(Integer::parseInt).toArray();
        return new Action(Kind.valueOf(words[0].toUpperCase(Locale.ROOT)), numbers[0], numbers[1], numbers[2]);
    }

    @Override
    public String toString() {
        return kind.name().toLowerCase(Locale.ROOT) + " " + first + " " + second + " " + third;
    }
}
