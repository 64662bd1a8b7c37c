package org.plantainshunt.cli;

import java.util.ArrayList;
import java.util.List;

/**
 * A table of text columns, aligned to the left and separated by two blanks.
 *
 * <p>Confined to one thread.
 */
final class TextTable {
    private static final String GAP = "  ";

    private final List<List<String>> rows = new ArrayList<>();

    TextTable(String... headings) {
        rows.add(List.of(headings));
    }

    /**
     * Adds a row with as many cells as there are headings.
     *
     * <p>Control characters become blanks, because cells can hold what a node answered, and escape sequences must not
     * reach the operator's terminal.
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
                line.append(GAP);
            }
            text.append(line.toString().stripTrailing()).append('\n');
        }
        return text.toString();
    }
}
