package org.plantainshunt.cli;

import java.util.ArrayList;
import java.util.List;

/**
 * A text table with left-aligned columns, separated by two spaces.
 *
 * <p>Confined to one thread.
 */
final class TextTable {
    private static final String COLUMN_SEPARATOR = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    TextTable(String... headings) {
        rows.add(List.of(headings));
    }

    /**
     * Adds a row. It must have one cell for each heading.
     *
     * <p>Control characters are replaced by spaces, because cells may contain text from a node's response, and escape
     * sequences must not reach the operator's terminal.
     */
    void add(Object... cells) {
        if (cells.length != rows.get(0).size()) {
            throw new IllegalArgumentException(
                    cells.length + " cells for " + rows.get(0).size() + " columns");
        }
        List<String> row = new ArrayList<>();
        for (Object cell : cells) {
            row.add(String.valueOf(cell).replaceAll("\\p{Cntrl}+", " "));
        }
        rows.add(row);
    }

    @Override
    public String toString() {
        int[] widths = new int[rows.get(0).size()];
        for (List<String> row : rows) {
            for (int column = 0; column < widths.length; column++) {
                widths[column] = Math.max(widths[column], row.get(column).length());
            }
        }
        StringBuilder text = new StringBuilder();
        for (List<String> row : rows) {
            StringBuilder line = new StringBuilder();
            for (int column = 0; column < widths.length; column++) {
                String cell = row.get(column);
                line.append(cell).append(" ".repeat(widths[column] - cell.length()));
                line.append(COLUMN_SEPARATOR);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }
}
