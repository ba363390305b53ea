package dev.foxtailshed.bench.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.ToDoubleFunction;
import java.util.stream.Collectors;
import org.knowm.xchart.BitmapEncoder;
import org.knowm.xchart.BitmapEncoder.BitmapFormat;
import org.knowm.xchart.XYChart;
import org.knowm.xchart.XYChartBuilder;
import org.knowm.xchart.XYSeries;

/** Writes the results of an experiment as CSV files, a Markdown table and plots. */
final class LoadReport {

    private static final int WIDTH_PIXELS = 900;
    private static final int HEIGHT_PIXELS = 520;

    private final Path folder;
    private final RequestMix mix;
    private final List<PointResult> results;

    LoadReport(Path folder, RequestMix mix, List<PointResult> results) {
        this.folder = folder;
        this.mix = mix;
        this.results = results;
    }

    void write() throws IOException {
        Files.createDirectories(folder);
        List<String> lines = new ArrayList<>(List.of(PointResult.CSV_HEADER));
        results.forEach(result -> lines.add(result.csv()));
        Files.write(folder.resolve("points.csv"), lines);
        Files.write(folder.resolve("table.md"), table());
        Files.write(folder.resolve("requests.csv"), requests());
        for (LoadFault fault : results.stream().map(r -> r.key().fault()).distinct().toList()) {
            plot(fault, "goodput", "requests a second", PointResult::goodputPerSecond);
            plot(fault, "wasted-prefill", "percent", PointResult::wastedPercent);
        }
    }

    private List<String> requests() {
        List<String> lines = new ArrayList<>(List.of(Outcome.CSV_HEADER));
        for (PointResult result : results) {
            result.outcomes().forEach(outcome -> lines.add(outcome.csv(result.key())));
        }
        return lines;
    }

    private List<String> table() {
        List<String> lines = new ArrayList<>();
        lines.add(
                "| mix | fault | load % | version | goodput/s (min-max) | wasted prefill %"
                        + " (min-max) | lookups met % | lookup p99 ms | patient lost | not run |"
                        + " failed | wrong |");
        lines.add("| --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- | --- |");
        groups().forEach((group, points) -> lines.add(row(group, points)));
        return lines;
    }

    private Map<Group, List<PointResult>> groups() {
        return results.stream()
                .collect(
                        Collectors.groupingBy(
                                r ->
                                        new Group(
                                                r.key().fault(),
                                                r.key().loadPercent(),
                                                r.key().router()),
                                TreeMap::new,
                                Collectors.toList()));
    }

    private String row(Group group, List<PointResult> points) {
        return String.format(
                Locale.ROOT,
                "| %s | %s | %d | %s | %s | %s | %.2f | %.0f | %d | %d | %d | %d |",
                mix.name(),
                group.fault().label,
                group.loadPercent(),
                group.router(),
                formatMeanAndRange(points, PointResult::goodputPerSecond),
                formatMeanAndRange(points, PointResult::wastedPercent),
                mean(points, PointResult::lookupsMetPercent),
                mean(points, PointResult::lookupP99Millis),
                points.stream().mapToLong(PointResult::patientLost).sum(),
                countEnds(points, Outcome.End.NOT_RUN),
                countEnds(points, Outcome.End.FAILED),
                countEnds(points, Outcome.End.WRONG));
    }

    private void plot(
            LoadFault fault, String name, String axis, ToDoubleFunction<PointResult> value)
            throws IOException {
        XYChart chart =
                new XYChartBuilder()
                        .width(WIDTH_PIXELS)
                        .height(HEIGHT_PIXELS)
                        .title(name + ", " + mix.name() + ", fault: " + fault.label)
                        .xAxisTitle("offered load, percent of computed capacity")
                        .yAxisTitle(axis)
                        .build();
        Map<String, Series> byRouter = new TreeMap<>();
        groups().forEach(
                        (group, points) -> {
                            if (group.fault() == fault) {
                                byRouter.computeIfAbsent(group.router(), r -> new Series())
                                        .add(group.loadPercent(), points, value);
                            }
                        });
        byRouter.forEach((router, series) -> series.addTo(chart, router));
        String file = folder.resolve(name + "-" + fault.label).toString();
        BitmapEncoder.saveBitmap(chart, file, BitmapFormat.PNG);
    }

    private static String formatMeanAndRange(
            List<PointResult> points, ToDoubleFunction<PointResult> value) {
        double minimum = points.stream().mapToDouble(value).min().orElse(0);
        double maximum = points.stream().mapToDouble(value).max().orElse(0);
        return String.format(
                Locale.ROOT, "%.1f (%.1f-%.1f)", mean(points, value), minimum, maximum);
    }

    private static double mean(List<PointResult> points, ToDoubleFunction<PointResult> value) {
        return points.stream().mapToDouble(value).average().orElse(0);
    }

    private static long countEnds(List<PointResult> points, Outcome.End end) {
        return points.stream()
                .flatMap(point -> point.outcomes().stream())
                .filter(outcome -> outcome.end() == end)
                .count();
    }

    /** The key of the points that differ only in their seed. */
    private record Group(LoadFault fault, int loadPercent, String router)
            implements Comparable<Group> {

        private static final Comparator<Group> ORDER =
                Comparator.comparing(Group::fault)
                        .thenComparingInt(Group::loadPercent)
                        .thenComparing(Group::router);

        @Override
        public int compareTo(Group other) {
            return ORDER.compare(this, other);
        }
    }

    /**
     * The line of one router in a plot, with the maximum deviation over the seeds as error bars.
     */
    private static final class Series {

        private final List<Double> loads = new ArrayList<>();
        private final List<Double> means = new ArrayList<>();
        private final List<Double> deviations = new ArrayList<>();

        void add(int load, List<PointResult> points, ToDoubleFunction<PointResult> value) {
            double mean = mean(points, value);
            double maximumDeviation =
                    points.stream().mapToDouble(value).map(v -> Math.abs(v - mean)).max().orElse(0);
            loads.add((double) load);
            means.add(mean);
            deviations.add(maximumDeviation);
        }

        void addTo(XYChart chart, String router) {
            XYSeries series = chart.addSeries(router, loads, means, deviations);
            series.setSmooth(false);
        }
    }
}
