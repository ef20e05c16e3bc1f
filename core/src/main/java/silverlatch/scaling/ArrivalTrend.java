package silverlatch.scaling;

import java.util.ArrayList;
import java.util.List;

/**
 * The arrival rate of a region in the last seconds; immutable.
 *
 * @param samples the samples in chronological order
 */
record ArrivalTrend(List<Sample> samples) {
    static final ArrivalTrend NONE = new ArrivalTrend(List.of());

    /** Long enough to distinguish growth from random variation, and short compared with the start of a new worker. */
    private static final long WINDOW_MICROS = 5_000_000L;

    private static final long MIN_SPAN_MICROS = 3_000_000L;
    private static final double MICROS_PER_SECOND = 1_000_000.0;

    /**
     * The maximum growth factor. While the averages follow a step in demand, it looks like steep growth; beyond this
     * factor the open requests determine how many workers are needed.
     */
    private static final double MAX_GROWTH = 1.5;

    /** The arrivals per second at a time. */
    record Sample(long at, double arrivals) {}

    ArrivalTrend {
        samples = List.copyOf(samples);
    }

    ArrivalTrend with(final double arrivals, final long now) {
        final List<Sample> kept = new ArrayList<>(samples);
        kept.removeIf(sample -> now - sample.at() > WINDOW_MICROS);
        kept.add(new Sample(now, arrivals));
        return new ArrivalTrend(kept);
    }

    /**
     * Returns the factor by which the arrivals will have grown after the given microseconds if the trend continues; at
     * least 1. Changes that random variation of the averages alone can explain don't count as growth.
     */
    double growth(final long horizon) {
        if (samples.isEmpty()) {
            return 1;
        }
        final Sample first = samples.get(0);
        final Sample last = samples.get(samples.size() - 1);
        final double seconds = (last.at() - first.at()) / MICROS_PER_SECOND;
        if (last.at() - first.at() < MIN_SPAN_MICROS || last.arrivals() <= 0) {
            return 1;
        }
        final double noise = Math.sqrt(2 * last.arrivals() / seconds);
        final double slope = Math.max(0, last.arrivals() - first.arrivals() - noise) / seconds;
        return Math.min(MAX_GROWTH, 1 + slope * horizon / MICROS_PER_SECOND / last.arrivals());
    }
}
