package dev.foxtailshed.bench.slopes;

import dev.foxtailshed.bench.measure.LineFit;
import dev.foxtailshed.bench.measure.Spread;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;

/** Collects figures by size and prints them as tables with fitted lines. Not thread-safe. */
final class ScalingReport {

    private static final int DECIMALS = 3;

    private final PrintStream out;
    private final Map<String, Map<Integer, List<Double>>> figures = new LinkedHashMap<>();

    ScalingReport(PrintStream out) {
        this.out = out;
    }

    void printLine(String line) {
        out.println(line);
    }

    void add(String figure, int size, double value) {
        figures.computeIfAbsent(figure, name -> new LinkedHashMap<>())
                .computeIfAbsent(size, at -> new ArrayList<>())
                .add(value);
    }

    /** Prints a table of the figures added since the last call, and clears them. */
    void print(String title, String unitOfSize) {
        out.println();
        out.println("### " + title);
        out.println();
        out.println(
                "| figure | " + unitOfSize + ": median (minimum to maximum) | slope | at zero |");
        out.println("| --- | --- | --- | --- |");
        figures.forEach((figure, bySize) -> out.println(row(figure, bySize)));
        figures.clear();
    }

    private static String row(String figure, Map<Integer, List<Double>> bySize) {
        List<String> cells = new ArrayList<>();
        bySize.forEach(
                (size, values) -> cells.add(size + ": " + Spread.of(values).format(DECIMALS)));
        String line = " | |";
        if (bySize.size() > 1) {
            double[] sizes = bySize.keySet().stream().mapToDouble(Integer::doubleValue).toArray();
            double[] medians =
                    bySize.values().stream().mapToDouble(v -> Spread.of(v).median()).toArray();
            LineFit fit = LineFit.of(sizes, medians);
            line = String.format(Locale.ROOT, " %.5f | %.3f |", fit.slope(), fit.intercept());
        }
        return "| " + figure + " | " + String.join("; ", cells) + " |" + line;
    }
}
