package org.almondslip.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.PrintStream;
import java.util.ArrayList;
import java.util.List;

/** Prints JSON documents as aligned tables. */
final class Printer {

  private static final String COLUMN_SEPARATOR = "  ";

  private final PrintStream out;

  /**
   * Creates a printer.
   *
   * @param out the stream to print to
   */
  Printer(PrintStream out) {
    this.out = out;
  }

  /**
   * Prints a line.
   *
   * @param text the text of the line
   */
  void line(String text) {
    out.println(text);
  }

  /**
   * Prints a table with one row for each document and one column for each field.
   *
   * @param documents the documents
   * @param fields the names of the fields
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
    printRows(rows);
  }

  /**
   * Prints the fields of a document, one per line.
   *
   * @param document the document
   */
  void fields(JsonNode document) {
    List<List<String>> rows = new ArrayList<>();
    document
        .fields()
        .forEachRemaining(field -> rows.add(List.of(field.getKey(), text(field.getValue()))));
    printRows(rows);
  }

  /** Prints rows with aligned columns. */
  private void printRows(List<List<String>> rows) {
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
        line.append(column == 0 ? "" : COLUMN_SEPARATOR)
            .append(pad(row.get(column), widths[column]));
      }
      out.println(line.toString().stripTrailing());
    }
  }

  private static String pad(String cell, int width) {
    return cell + " ".repeat(width - cell.length());
  }

  /** Converts a value to text, which is empty for a missing value. */
  private static String text(JsonNode value) {
    return value.isMissingNode() || value.isNull()
        ? ""
        : value.isValueNode() ? value.asText() : value.toString();
  }
}
