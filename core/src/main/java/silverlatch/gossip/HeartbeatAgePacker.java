package silverlatch.gossip;

import java.util.List;
import java.util.OptionalLong;

/**
 * Packs the time since each worker's last heartbeat into four bits per worker, for {@link
 * silverlatch.wire.GossipMessage.HeartbeatAges}. An age is identified by its position alone, in the order of the
 * workers' ids. Sender and receiver must therefore know the same incarnations of the same workers, and use the same
 * silence time-out.
 */
final class HeartbeatAgePacker {
    private static final int BITS_PER_AGE = 4;
    private static final int AGES_PER_LONG = Long.SIZE / BITS_PER_AGE;

    /** The packed value of an age that exceeds the largest step; also the bit mask of one age. */
    private static final int UNKNOWN = (1 << BITS_PER_AGE) - 1;

    /** The number of steps into which the silence time-out is divided. */
    private static final int STEPS_PER_TIMEOUT = 12;

    private final long stepMicros;

    /** Creates a packer for a silence time-out in microseconds. */
    HeartbeatAgePacker(final long silenceTimeout) {
        this.stepMicros = silenceTimeout / STEPS_PER_TIMEOUT;
    }

    /** Returns the packed ages of the workers as of {@code now}. */
    long[] pack(final List<TrackedReport> workers, final long now) {
        final long[] packed = new long[longsFor(workers.size())];
        for (int i = 0; i < workers.size(); i++) {
            final long age = Math.max(0, now - workers.get(i).lastHeartbeatAt());
            final long step = Math.min(UNKNOWN, age / stepMicros);
            packed[i / AGES_PER_LONG] |= step << i % AGES_PER_LONG * BITS_PER_AGE;
        }
        return packed;
    }

    /** Returns whether the array has the length that packed ages of this number of workers have. */
    boolean fits(final long[] packed, final int workerCount) {
        return packed.length == longsFor(workerCount);
    }

    /**
     * Returns the earliest possible time of the last heartbeat of the worker at a position, or empty if its age
     * exceeds the largest step. The ages were packed after {@code pullSentAt}, so counting them from then never
     * yields too late a time.
     */
    OptionalLong lastHeartbeatAt(final long[] packed, final int position, final long pullSentAt) {
        final long step = packed[position / AGES_PER_LONG] >>> position % AGES_PER_LONG * BITS_PER_AGE & UNKNOWN;
        return step < UNKNOWN ? OptionalLong.of(pullSentAt - (step + 1) * stepMicros) : OptionalLong.empty();
    }

    private static int longsFor(final int workerCount) {
        return (workerCount + AGES_PER_LONG - 1) / AGES_PER_LONG;
    }
}
