package silverlatch.gossip;

import java.util.List;
import java.util.OptionalLong;

/**
 * Packs how long ago each worker was heard into four bits each, for {@link silverlatch.wire.GossipMessage.HeartbeatAges}. Sender
 * and receiver must know the same incarnations of the same workers and use the same silence time-out: an age is found by
 * its position alone, in the order of the workers' names.
 */
final class HeartbeatAgePacker {
    private static final int BITS_PER_AGE = 4;
    private static final int AGES_PER_LONG = Long.SIZE / BITS_PER_AGE;

    /** The packed value of an age beyond all steps; also the mask of one age. */
    private static final int UNKNOWN = (1 << BITS_PER_AGE) - 1;

    /** The silence time-out is so many steps long. */
    private static final int STEPS_PER_TIMEOUT = 12;

    private final long stepMicros;

    /** Makes a packer for a silence time-out in microseconds. */
    HeartbeatAgePacker(final long silenceTimeout) {
        this.stepMicros = silenceTimeout / STEPS_PER_TIMEOUT;
    }

    /** Returns the packed ages of the workers as of now. */
    long[] pack(final List<TrackedReport> workers, final long now) {
        final long[] packed = new long[longsFor(workers.size())];
        for (int i = 0; i < workers.size(); i++) {
            final long age = Math.max(0, now - workers.get(i).lastHeartbeatAt());
            final long step = Math.min(UNKNOWN, age / stepMicros);
            packed[i / AGES_PER_LONG] |= step << i % AGES_PER_LONG * BITS_PER_AGE;
        }
        return packed;
    }

    /** Returns whether packed ages have the length that so many workers take. */
    boolean fits(final long[] packed, final int workerCount) {
        return packed.length == longsFor(workerCount);
    }

    /**
     * Returns the earliest moment at which the worker at a position can have been heard, or nothing where its age is
     * beyond all steps. The ages were packed after {@code askedAt}, so they are dated from then.
     */
    OptionalLong lastHeartbeatAt(final long[] packed, final int position, final long askedAt) {
        final long step = packed[position / AGES_PER_LONG] >>> position % AGES_PER_LONG * BITS_PER_AGE & UNKNOWN;
        return step < UNKNOWN ? OptionalLong.of(askedAt - (step + 1) * stepMicros) : OptionalLong.empty();
    }

    private static int longsFor(final int workerCount) {
        return (workerCount + AGES_PER_LONG - 1) / AGES_PER_LONG;
    }
}
