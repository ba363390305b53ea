package dev.foxtailshed.cli.internal;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;

/** A text table with aligned columns. Not thread-safe. */
final class Table {

    private static final String COLUMN_GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    Table(String... headings) {
        rows.add(List.of(headings));
    }

    /** Adds a row with one cell per heading; control characters are replaced. */
    Table addRow(Object... cells) {
        rows.add(Arrays.stream(cells).map(cell -> toPrintable(String.valueOf(cell))).toList());
        return this;
    }

    @Override
    public String toString() {
        int[] widths = new int[rows.get(0).size()];
        for (List<String> row : rows) {
            for (int i = 0; i < widths.length; i++) {
                widths[i] = Math.max(widths[i], row.get(i).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int i = 0; i < widths.length; i++) {
                line.append(row.get(i)).append(" ".repeat(widths[i] - row.get(i).length()));
                line.append(COLUMN_GAP);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }

    /** Replaces control characters, which could control the operator's terminal, with '?'. */
    static String toPrintable(String text) {
        return text.replaceAll("\\p{Cntrl}", "?");
    }
}
