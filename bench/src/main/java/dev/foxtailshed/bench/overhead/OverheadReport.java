package dev.foxtailshed.bench.overhead;

import dev.foxtailshed.bench.measure.Spread;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Collects the figures of all rounds and formats them as a table. Not thread-safe. */
final class OverheadReport {

    private static final double NO_DECIMALS_FROM = 1_000;
    private static final double ONE_DECIMAL_FROM = 10;

    private final Map<String, List<Double>> figures = new LinkedHashMap<>();
    private final List<String> notes = new ArrayList<>();

    void add(String figure, double value) {
        figures.computeIfAbsent(figure, name -> new ArrayList<>()).add(value);
    }

    void addNote(String line) {
        notes.add(line);
    }

    List<String> lines() {
        List<String> lines = new ArrayList<>(notes);
        lines.add("");
        lines.add("| figure | median (minimum to maximum) |");
        lines.add("| --- | --- |");
        figures.forEach((figure, values) -> lines.add(row(figure, Spread.of(values))));
        return lines;
    }

    private static String row(String figure, Spread spread) {
        double size = Math.abs(spread.median());
        int decimals = size >= NO_DECIMALS_FROM ? 0 : size >= ONE_DECIMAL_FROM ? 1 : 3;
        return "| " + figure + " | " + spread.format(decimals) + " |";
    }
}
