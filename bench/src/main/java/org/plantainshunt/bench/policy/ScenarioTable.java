package org.plantainshunt.bench.policy;

import java.util.ArrayList;
import java.util.List;

/**
 * The result of a scenario: one row per run, and the bounds that the project's own policies did not meet.
 *
 * <p>Immutable.
 *
 * @param title the name of the scenario
 * @param bound the bound, as text
 * @param columns the headings
 * @param rows the cells of each row
 * @param violations a description of each bound that was not met
 */
record ScenarioTable(
        String title, String bound, List<String> columns, List<List<String>> rows, List<String> violations) {

    /** Creates a table from the rows of individual runs, in the given order. */
    static ScenarioTable of(String title, String bound, List<String> columns, List<Row> rows) {
        List<List<String>> cells = new ArrayList<>();
        List<String> violations = new ArrayList<>();
        for (Row row : rows) {
            cells.add(row.cells());
            violations.addAll(row.violations());
        }
        return new ScenarioTable(title, bound, columns, cells, violations);
    }

    /** Returns the table in Markdown, padded so that it can be read as plain text. */
    String markdown() {
        StringBuilder text = new StringBuilder();
        text.append("### ").append(title).append("\n\nBound: ").append(bound).append(".\n\n");
        appendLine(text, columns);
        appendLine(
                text,
                columns.stream()
                        .map(column -> "-".repeat(width(columns.indexOf(column))))
                        .toList());
        rows.forEach(row -> appendLine(text, row));
        text.append('\n');
        if (violations.isEmpty()) {
            text.append("All bounds are met.\n");
        }
        violations.forEach(
                violation -> text.append("- Not met: ").append(violation).append('\n'));
        return text.toString();
    }

    private void appendLine(StringBuilder text, List<String> cells) {
        for (int column = 0; column < cells.size(); column++) {
            text.append(column == 0 ? "| " : " | ")
                    .append(cells.get(column))
                    .append(" ".repeat(width(column) - cells.get(column).length()));
        }
        text.append(" |\n");
    }

    private int width(int column) {
        int width = columns.get(column).length();
        for (List<String> row : rows) {
            width = Math.max(width, row.get(column).length());
        }
        return width;
    }

    /**
     * One row of the table, with the bounds that it violates.
     *
     * @param cells the cells
     * @param violations a description of each bound that was not met in this row
     */
    record Row(List<String> cells, List<String> violations) {}
}
