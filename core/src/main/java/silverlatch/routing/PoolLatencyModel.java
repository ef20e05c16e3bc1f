package silverlatch.routing;

import silverlatch.util.Numbers;

/**
 * How long the workers of one pool take to the first event, as observed by this gateway: a fixed part, a time for each token
 * that they have to prefill, and the round trip to other regions.
 *
 * <p>Bayesian linear regression over the first events seen here, in milliseconds: the first guesses count as much as
 * {@link #PRIOR_SAMPLES} observations, so that a few change little, and older observations fade. One observation moves the
 * estimates by a bounded step only, and no estimate leaves a factor of {@link #MAX_RATIO} around its first guess: a worker that
 * hangs or lies can't bend the model. Owned by the routing event loop.
 */
final class PoolLatencyModel {
    private static final double[] FIRST_GUESS = {55, 27, 72};
    private static final double[] TYPICAL_SQUARE = {1, 4, 1};
    private static final double PRIOR_SAMPLES = 20;
    private static final double FADING = 0.995;
    private static final double MAX_RATIO = 8;
    private static final double MAX_DEVIATIONS = 3;
    private static final double INITIAL_DEVIATION_MS = 30;
    private static final double MIN_DEVIATION_MS = 5;
    private static final double DEVIATION_SMOOTHING = 0.05;
    private static final double MICROS_PER_MS = 1_000;
    private static final double TOKENS_PER_UNIT = 1_000;
    private static final int SIZE = 3;

    private final double[][] squares = new double[SIZE][SIZE];
    private final double[] products = new double[SIZE];
    private double[] estimates = FIRST_GUESS.clone();
    private double deviation = INITIAL_DEVIATION_MS;

    /**
     * What a prediction was made of.
     *
     * @param pace        how slow the worker is compared with its pool; multiplies the fixed part and the prefill
     * @param tokens      the tokens before the first event: those to prefill of this prompt and of others before it
     * @param isRemote    whether the worker is in another region
     * @param otherMicros what the prediction adds beside, in microseconds
     */
    record Features(double pace, double tokens, boolean isRemote, double otherMicros) {}

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
        return features.pace() * (baseMicros() + features.tokens() * microsPerToken())
                + (features.isRemote() ? roundTripMicros() : 0)
                + features.otherMicros();
    }

    /** The first event of an attempt came so many microseconds after it was sent. */
    void observe(final Features features, final long elapsedMicros) {
        final double[] inputs = {
            features.pace(), features.pace() * features.tokens() / TOKENS_PER_UNIT, features.isRemote() ? 1 : 0
        };
        final double expected = dot(inputs, estimates);
        final double residual = (elapsedMicros - features.otherMicros()) / MICROS_PER_MS - expected;
        final double bound = MAX_DEVIATIONS * deviation;
        final double bounded = Numbers.clamp(residual, -bound, bound);
        deviation = Math.max(
                MIN_DEVIATION_MS, deviation + DEVIATION_SMOOTHING * (Math.min(Math.abs(residual), bound) - deviation));
        for (int row = 0; row < SIZE; row++) {
            products[row] = FADING * products[row] + inputs[row] * (expected + bounded);
            for (int column = 0; column < SIZE; column++) {
                squares[row][column] = FADING * squares[row][column] + inputs[row] * inputs[column];
            }
        }
        estimates = solve();
    }

    /** The estimates that the observations and the first guesses lead to together, by Gaussian elimination. */
    private double[] solve() {
        final double[][] rows = new double[SIZE][SIZE + 1];
        for (int row = 0; row < SIZE; row++) {
            System.arraycopy(squares[row], 0, rows[row], 0, SIZE);
            final double prior = PRIOR_SAMPLES * TYPICAL_SQUARE[row];
            rows[row][row] += prior;
            rows[row][SIZE] = products[row] + prior * FIRST_GUESS[row];
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
                    rows[row][SIZE] / rows[row][row], FIRST_GUESS[row] / MAX_RATIO, FIRST_GUESS[row] * MAX_RATIO);
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
