package dev.foxtailshed.kernel.direct;

/**
 * A mean that follows the newest samples.
 *
 * <p>The initial value counts as some samples, so that the first samples replace it quickly; later
 * the mean covers about the last fifty samples. Not thread-safe.
 */
final class RunningMean {

    /** Lowest weight of the newest sample: averages about the last fifty. */
    private static final double MINIMUM_WEIGHT = 0.02;

    private double value;
    private double samples;

    /**
     * Creates a mean.
     *
     * @param initialValue the value until the first sample
     * @param initialSamples the number of samples that the initial value counts as
     */
    RunningMean(double initialValue, int initialSamples) {
        value = initialValue;
        samples = initialSamples;
    }

    /**
     * Adds a sample.
     *
     * @param sample the sample
     */
    void record(double sample) {
        samples++;
        value += Math.max(MINIMUM_WEIGHT, 1 / samples) * (sample - value);
    }

    /**
     * Returns the mean.
     *
     * @return the initial value if there was no sample
     */
    double value() {
        return value;
    }
}
