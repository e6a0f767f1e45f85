package org.almondslip.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parsed YAML value with the line on which it stands. */
sealed interface SettingsNode {

  /**
   * Returns the line of the value.
   *
   * @return the line, starting at 1
   */
  int line();

  /**
   * A single value.
   *
   * @param text the value as written
   * @param line the line of the value
   */
  record Scalar(String text, int line) implements SettingsNode {}

  /**
   * A list.
   *
   * @param items the items in order
   * @param line the line of the first item
   */
  record Sequence(List<SettingsNode> items, int line) implements SettingsNode {}

  /**
   * A mapping.
   *
   * @param fields the fields in the order of the file
   * @param line the line of the first field
   */
  record Mapping(Map<String, SettingsNode> fields, int line) implements SettingsNode {

    /**
     * Creates an empty mapping.
     *
     * @param line the line where it stands
     * @return the mapping
     */
    static Mapping empty(int line) {
      return new Mapping(new LinkedHashMap<>(), line);
    }
  }
}
