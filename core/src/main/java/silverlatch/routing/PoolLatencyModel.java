package silverlatch.routing;

import silverlatch.util.Numbers;

/**
 * How long the workers of one pool take to the first event, as observed by this gateway: a fixed part, a time for each token
 * that they have to prefill, and the round trip to other regions.
 *
 * <p>Bayesian linear regression over the first events seen here, in milliseconds: the first guesses count as much as
 * {@link #PRIOR_SAMPLES} observations, so that a few change little, and older observations fade. One observation moves the
 * estimates by a bounded step only, and no estimate leaves a factor of {@link #MAX_PRIOR_RATIO} around its first guess: a worker that
 * hangs or lies can't bend the model. Owned by the routing event loop.
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
     * What a prediction was made of.
     *
     * @param latencyFactor        how slow the worker is compared with its pool; multiplies the fixed part and the prefill
     * @param tokens      the tokens before the first event: those to prefill of this prompt and of others before it
     * @param isRemote    whether the worker is in another region
     * @param additionalMicros what the prediction adds beside, in microseconds
     */
    record Features(double latencyFactor, double tokens, boolean isRemote, double additionalMicros) {}

    /** The fixed part, in microseconds. */
    double baseMicros() {
        return estimates[0] * MICROS_PER_MS;
    }

    /** The time to prefill one token, in microseconds. */
    double microsPerToken() {
        return estimates[1] * MICROS_PER_MS / TOKENS_PER_UNIT;
    }

    /** The round trip to another region, in microseconds. */
    double roundTripMicros() {
        return estimates[2] * MICROS_PER_MS;
    }

    /** The time to the first event, in microseconds. */
    double predictMicros(final Features features) {
        return features.latencyFactor() * (baseMicros() + features.tokens() * microsPerToken())
                + (features.isRemote() ? roundTripMicros() : 0)
                + features.additionalMicros();
    }

    /** The first event of an attempt came so many microseconds after it was sent. */
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

    /** The estimates that the observations and the first guesses lead to together, by Gaussian elimination. */
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
