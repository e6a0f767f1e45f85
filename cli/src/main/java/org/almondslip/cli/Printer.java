package org.almondslip.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints documents as aligned tables. */
final class Printer {

  /** Space between two columns. */
  private static final String GAP = "  ";

  /** Where the output goes. */
  private final PrintStream out;

  /**
   * Creates a printer.
   *
   * @param out where the output goes
   */
  Printer(PrintStream out) {
    this.out = out;
  }

  /**
   * Prints a line.
   *
   * @param text the line
   */
  void line(String text) {
    out.println(text);
  }

  /**
   * Prints a list of documents with one column for each field.
   *
   * @param documents the list
   * @param fields the fields
   */
  void table(Iterable<JsonNode> documents, String... fields) {
    List<List<String>> rows = new ArrayList<>();
    rows.add(List.of(fields));
    for (JsonNode document : documents) {
      List<String> row = new ArrayList<>();
      for (String field : fields) {
        row.add(text(document.path(field)));
      }
      rows.add(row);
    }
    rows(rows);
  }

  /**
   * Prints the fields of a document, one a line.
   *
   * @param document the document
   */
  void fields(JsonNode document) {
    List<List<String>> rows = new ArrayList<>();
    document
        .fields()
        .forEachRemaining(field -> rows.add(List.of(field.getKey(), text(field.getValue()))));
    rows(rows);
  }

  /**
   * Prints rows with aligned columns.
   *
   * @param rows the rows, all of the same length
   */
  private void rows(List<List<String>> rows) {
    int columns = rows.stream().mapToInt(List::size).max().orElse(0);
    int[] widths = new int[columns];
    for (List<String> row : rows) {
      for (int column = 0; column < row.size(); column++) {
        widths[column] = Math.max(widths[column], row.get(column).length());
      }
    }
    for (List<String> row : rows) {
      StringBuilder line = new StringBuilder();
      for (int column = 0; column < row.size(); column++) {
        line.append(column == 0 ? "" : GAP).append(pad(row.get(column), widths[column]));
      }
      out.println(line.toString().stripTrailing());
    }
  }

  /**
   * Fills a cell with spaces.
   *
   * @param cell the cell
   * @param width the width of its column
   * @return the cell with the width
   */
  private static String pad(String cell, int width) {
    return cell + " ".repeat(width - cell.length());
  }

  /**
   * Converts a value to text.
   *
   * @param value the value
   * @return the text, empty for a missing value
   */
  private static String text(JsonNode value) {
    return value.isMissingNode() || value.isNull()
        ? ""
        : value.isValueNode() ? value.asText() : value.toString();
  }
}
