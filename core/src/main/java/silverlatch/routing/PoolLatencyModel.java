package silverlatch.routing;

import silverlatch.util.Numbers;

/**
 * Models the time that the workers of one pool take to the first event, as observed by this gateway: a fixed part, a
 * time for each token to prefill, and the round trip to other regions.
 *
 * <p>Bayesian linear regression over the first events observed here, in milliseconds. The prior estimates weigh as much
 * as {@link #PRIOR_SAMPLES} observations, so that a few observations change little; older observations decay. A single
 * observation moves the estimates by a bounded step only, and each estimate stays within a factor of {@link
 * #MAX_PRIOR_RATIO} of its prior. So a worker that hangs or reports wrong data can't distort the model. Confined to the
 * routing event loop.
 */
final class PoolLatencyModel {
    private static final double[] PRIOR_ESTIMATES = {55, 27, 72};
    private static final double[] PRIOR_INPUT_SQUARES = {1, 4, 1};
    private static final double PRIOR_SAMPLES = 20;
    private static final double DECAY = 0.995;
    private static final double MAX_PRIOR_RATIO = 8;
    private static final double MAX_DEVIATIONS = 3;
    private static final double INITIAL_DEVIATION_MS = 30;
    private static final double MIN_DEVIATION_MS = 5;
    private static final double DEVIATION_SMOOTHING = 0.05;
    private static final double MICROS_PER_MS = 1_000;
    private static final double TOKENS_PER_UNIT = 1_000;
    private static final int SIZE = 3;

    private final double[][] inputProducts = new double[SIZE][SIZE];
    private final double[] targetProducts = new double[SIZE];
    private double[] estimates = PRIOR_ESTIMATES.clone();
    private double deviation = INITIAL_DEVIATION_MS;

    /**
     * The inputs of a prediction.
     *
     * @param latencyFactor    how slow the worker is compared with its pool; multiplies the fixed part and the prefill
     *                         time
     * @param tokens           the tokens to prefill before the first event: those of this prompt and of other requests
     *                         before it
     * @param isRemote         whether the worker is in another region
     * @param additionalMicros the part of the prediction that isn't fitted, in microseconds
     */
    record Features(double latencyFactor, double tokens, boolean isRemote, double additionalMicros) {}

    /** Returns the estimated fixed part, in microseconds. */
    double baseMicros() {
        return estimates[0] * MICROS_PER_MS;
    }

    /** Returns the estimated time to prefill one token, in microseconds. */
    double microsPerToken() {
        return estimates[1] * MICROS_PER_MS / TOKENS_PER_UNIT;
    }

    /** Returns the estimated round trip to another region, in microseconds. */
    double roundTripMicros() {
        return estimates[2] * MICROS_PER_MS;
    }

    /** Returns the predicted time to the first event, in microseconds. */
    double predictMicros(final Features features) {
        return features.latencyFactor() * (baseMicros() + features.tokens() * microsPerToken())
                + (features.isRemote() ? roundTripMicros() : 0)
                + features.additionalMicros();
    }

    /** Fits the model to the first event of an attempt, which arrived the given time after the attempt was sent. */
    void observe(final Features features, final long elapsedMicros) {
        final double[] inputs = {
            features.latencyFactor(),
            features.latencyFactor() * features.tokens() / TOKENS_PER_UNIT,
            features.isRemote() ? 1 : 0
        };
        final double expected = dot(inputs, estimates);
        final double residual = (elapsedMicros - features.additionalMicros()) / MICROS_PER_MS - expected;
        final double bound = MAX_DEVIATIONS * deviation;
        final double bounded = Numbers.clamp(residual, -bound, bound);
        deviation = Math.max(
                MIN_DEVIATION_MS, deviation + DEVIATION_SMOOTHING * (Math.min(Math.abs(residual), bound) - deviation));
        for (int row = 0; row < SIZE; row++) {
            targetProducts[row] = DECAY * targetProducts[row] + inputs[row] * (expected + bounded);
            for (int column = 0; column < SIZE; column++) {
                inputProducts[row][column] = DECAY * inputProducts[row][column] + inputs[row] * inputs[column];
            }
        }
        estimates = solve();
    }

    /** Returns the estimates that fit both the observations and the prior, by Gaussian elimination. */
    private double[] solve() {
        final double[][] rows = new double[SIZE][SIZE + 1];
        for (int row = 0; row < SIZE; row++) {
            System.arraycopy(inputProducts[row], 0, rows[row], 0, SIZE);
            final double prior = PRIOR_SAMPLES * PRIOR_INPUT_SQUARES[row];
            rows[row][row] += prior;
            rows[row][SIZE] = targetProducts[row] + prior * PRIOR_ESTIMATES[row];
        }
        for (int pivot = 0; pivot < SIZE; pivot++) {
            for (int row = 0; row < SIZE; row++) {
                if (row != pivot) {
                    subtract(rows[row], rows[pivot], rows[row][pivot] / rows[pivot][pivot]);
                }
            }
        }
        final double[] solution = new double[SIZE];
        for (int row = 0; row < SIZE; row++) {
            solution[row] = Numbers.clamp(
                    rows[row][SIZE] / rows[row][row],
                    PRIOR_ESTIMATES[row] / MAX_PRIOR_RATIO,
                    PRIOR_ESTIMATES[row] * MAX_PRIOR_RATIO);
        }
        return solution;
    }

    private static void subtract(final double[] from, final double[] row, final double factor) {
        for (int column = 0; column < from.length; column++) {
            from[column] -= factor * row[column];
        }
    }

    private static double dot(final double[] left, final double[] right) {
        double sum = 0;
        for (int i = 0; i < SIZE; i++) {
            sum += left[i] * right[i];
        }
        return sum;
    }
}
