package dev.foxtailshed.bench.measure;

/**
 * A straight line fitted to points by least squares.
 *
 * @param intercept the value at size zero
 * @param slope the increase per unit of size
 */
public record LineFit(double intercept, double slope) {

    /**
     * Fits a line to points.
     *
     * @param sizes the size of each point
     * @param values the value of each point, in the same order
     * @return the fitted line
     * @throws IllegalArgumentException unless there are at least two different sizes
     */
    public static LineFit of(double[] sizes, double[] values) {
        double meanSize = mean(sizes);
        double meanValue = mean(values);
        double covariance = 0;
        double variance = 0;
        for (int i = 0; i < sizes.length; i++) {
            covariance += (sizes[i] - meanSize) * (values[i] - meanValue);
            variance += (sizes[i] - meanSize) * (sizes[i] - meanSize);
        }
        if (variance == 0) {
            throw new IllegalArgumentException("at least two different sizes are required");
        }
        double slope = covariance / variance;
        return new LineFit(meanValue - slope * meanSize, slope);
    }

    private static double mean(double[] values) {
        double sum = 0;
        for (double value : values) {
            sum += value;
        }
        return sum / values.length;
    }
}
