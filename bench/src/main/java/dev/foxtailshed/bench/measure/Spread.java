package dev.foxtailshed.bench.measure;

import java.util.Arrays;
import java.util.Collection;
import java.util.Locale;

/**
 * Minimum, median and maximum of the values of several repetitions.
 *
 * @param minimum the smallest value
 * @param median the middle value, or the mean of the two middle values
 * @param maximum the largest value
 */
public record Spread(double minimum, double median, double maximum) {

    /**
     * Computes the spread of some values.
     *
     * @param values one value per repetition
     * @return minimum, median and maximum
     * @throws IllegalArgumentException if there are no values
     */
    public static Spread of(Collection<Double> values) {
        double[] sorted = values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
        if (sorted.length == 0) {
            throw new IllegalArgumentException("at least one value is required");
        }
        int middleIndex = sorted.length / 2;
        double median =
                sorted.length % 2 == 1
                        ? sorted[middleIndex]
                        : (sorted[middleIndex - 1] + sorted[middleIndex]) / 2;
        return new Spread(sorted[0], median, Arrays.stream(sorted).max().orElseThrow());
    }

    /**
     * Formats the spread for a table cell.
     *
     * @param decimals the number of decimal places
     * @return the median and, in parentheses, minimum and maximum
     */
    public String format(int decimals) {
        String number = "%,." + decimals + "f";
        return String.format(
                Locale.ROOT,
                number + " (" + number + " to " + number + ")",
                median,
                minimum,
                maximum);
    }
}
