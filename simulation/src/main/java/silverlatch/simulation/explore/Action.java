package silverlatch.simulation.explore;

import java.util.Arrays;
import java.util.Locale;

/**
 * One step of a schedule. Machines are given by index. An action that isn't possible in the state at hand does nothing, so
 * that any part of a schedule is a schedule.
 *
 * @param kind   what is done
 * @param first  the machine, or the sender of a message
 * @param second the receiver of a message, or what the kind says
 * @param third  the position of a message in its channel, or what the kind says
 */
public record Action(Kind kind, int first, int second, int third) {
    /** The kinds of actions. */
    public enum Kind {
        /** Delivers the message at a position of the channel between two machines. */
        DELIVER,
        /** Loses such a message. */
        DROP,
        /** Puts a copy of such a message at the end of its channel. */
        DUPLICATE,
        /** The oldest pending write of a machine is synced. */
        SYNC,
        /** Time advances by {@code second} milliseconds, and every running machine has a clock event. */
        TICK,
        /** Delivers all that is in flight and syncs all that is pending, once. */
        ROUND,
        /** {@code second} milliseconds pass, and then four rounds: all goes as it should. */
        PERIOD,
        /** A machine's process ends; so many of its unsynced writes are on the disk all the same. */
        CRASH,
        /** A machine starts from its disk. */
        RESTART,
        /** A machine's process ends and its disk is lost; the next start has a new identity. */
        LOSE_DISK,
        /** A machine stops handling events; its clock goes on. */
        FREEZE,
        /** A frozen machine goes on. */
        THAW,
        /** Nothing reaches a machine any more (1), nothing leaves it (2), or both (3). */
        ISOLATE,
        /** Nothing goes from one machine to another any more. */
        CUT,
        /** All links are whole again. */
        HEAL,
        /** All faults end, and a write must be acknowledged in time; see {@link Recovery}. */
        RECOVER,
        /** An operator puts configuration {@code second} at a machine, with match {@code third}. */
        PUT,
        /** An operator sends the order once more whose index is {@code second}, under a new request id. */
        RESEND,
        /** An operator reads the configuration. */
        READ,
        /** An operator evacuates the zone. */
        EVACUATE,
        /** An operator takes the evacuation back. */
        TAKE_BACK,
        /** An operator reads whether the zone is evacuated. */
        READ_ZONE
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

    /** Reads the form that {@link #toString} writes. */
    static Action parse(final String line) {
        final String[] words = line.trim().split("\\s+");
        if (words.length != WORDS) {
            throw new IllegalArgumentException("an action has a kind and three numbers: " + line);
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
