package org.almondslip.bench.deployment;

/** Writes YAML settings line by line. */
final class SettingsText {

  /** Spaces of one level. */
  private static final String INDENT = "  ";

  /** Text so far. */
  private final StringBuilder text = new StringBuilder();

  /** Current level. */
  private int level;

  /**
   * Writes a field.
   *
   * @param key the key
   * @param value the value
   * @return this
   */
  SettingsText field(String key, Object value) {
    text.append(INDENT.repeat(level)).append(key).append(": ").append(value).append('\n');
    return this;
  }

  /**
   * Begins a section; fields belong to it until it ends.
   *
   * @param key the key
   * @return this
   */
  SettingsText begin(String key) {
    text.append(INDENT.repeat(level)).append(key).append(":\n");
    level++;
    return this;
  }

  /**
   * Ends the current section.
   *
   * @return this
   */
  SettingsText end() {
    level--;
    return this;
  }

  /**
   * Writes a list.
   *
   * @param key the key
   * @param values the values
   * @return this
   */
  SettingsText list(String key, Iterable<String> values) {
    text.append(INDENT.repeat(level)).append(key).append(":\n");
    for (String value : values) {
      text.append(INDENT.repeat(level + 1)).append("- \"").append(value).append("\"\n");
    }
    return this;
  }

  @Override
  public String toString() {
    return text.toString();
  }
}
