package org.almondslip.bench;

import com.fasterxml.jackson.databind.JsonNode;

/** Formats a result for people. */
final class Table {

  /** Not instantiable. */
  private Table() {}

  /**
   * Formats a result as one line for each value.
   *
   * @param result the result
   * @return the lines
   */
  static String of(JsonNode result) {
    StringBuilder text = new StringBuilder();
    append(text, "", result);
    return text.toString();
  }

  /**
   * Appends the values of an object or list.
   *
   * @param text receives the lines
   * @param path the path of the object
   * @param node the object, list or value
   */
  private static void append(StringBuilder text, String path, JsonNode node) {
    if (node.isValueNode()) {
      text.append(String.format("%-52s %s%n", path, node.asText()));
    }
    node.fields()
        .forEachRemaining(
            field ->
                append(
                    text,
                    path.isEmpty() ? field.getKey() : path + "." + field.getKey(),
                    field.getValue()));
    for (int i = 0; node.isArray() && i < node.size(); i++) {
      append(text, path + "[" + i + "]", node.get(i));
    }
  }
}
