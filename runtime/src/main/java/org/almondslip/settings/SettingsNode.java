package org.almondslip.settings;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

/** Parsed YAML value with its line number. */
sealed interface SettingsNode {

  /**
   * Returns the line number of the value.
   *
   * @return the line number, starting at 1
   */
  int line();

  /**
   * A scalar.
   *
   * @param text the value as written in the file
   * @param line the line number of the value
   */
  record Scalar(String text, int line) implements SettingsNode {}

  /**
   * A list.
   *
   * @param items the items in the order of the file
   * @param line the line number of the list
   */
  record Sequence(List<SettingsNode> items, int line) implements SettingsNode {}

  /**
   * A mapping.
   *
   * @param fields the fields in the order of the file
   * @param line the line number of the mapping
   */
  record Mapping(Map<String, SettingsNode> fields, int line) implements SettingsNode {

    /**
     * Creates an empty mapping.
     *
     * @param line the line number of the mapping
     * @return the mapping
     */
    static Mapping empty(int line) {
      return new Mapping(new LinkedHashMap<>(), line);
    }
  }
}
