package silverlatch.scaling;

import java.util.ArrayList;
import java.util.List;

/**
 * How the arrivals of a region have developed in the last seconds; immutable.
 *
 * @param samples in the order of time
 */
record ArrivalTrend(List<Sample> samples) {
    static final ArrivalTrend NONE = new ArrivalTrend(List.of());

    /** Long enough to tell growth from chance, short against a new worker's start. */
    private static final long WINDOW_MICROS = 5_000_000L;

    private static final long MIN_SPAN_MICROS = 3_000_000L;
    private static final double MICROS_PER_SECOND = 1_000_000.0;

    /** A step looks like steep growth while the averages follow it; beyond this what runs and waits tells how much is needed. */
    private static final double MAX_GROWTH = 1.5;

    /** The arrivals per second at a moment. */
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
     * By which factor the arrivals will have grown after so many microseconds if they go on as they did, at least 1. What chance
     * alone may do to the averages doesn't count as growth.
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
