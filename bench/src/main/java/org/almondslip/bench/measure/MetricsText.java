package org.almondslip.bench.measure;

import java.util.HashMap;
import java.util.Map;

/** Metrics of a process, for each set of labels and summed over the labels. */
public final class MetricsText {

  /** Values by name. */
  private final Map<String, Double> values;

  /**
   * Creates metrics.
   *
   * @param values the values by name
   */
  private MetricsText(Map<String, Double> values) {
    this.values = Map.copyOf(values);
  }

  /**
   * Reads the Prometheus text format.
   *
   * @param text the text
   * @return the metrics
   */
  public static MetricsText parse(String text) {
    Map<String, Double> values = new HashMap<>();
    text.lines()
        .filter(line -> !line.startsWith("#") && !line.isBlank())
        .forEach(line -> add(values, line));
    return new MetricsText(values);
  }

  /**
   * Returns a metric.
   *
   * @param name the name, with its labels as in the text or without the suffix {@code _total}
   * @return the value, or the sum over all labels; 0 when there is none
   */
  public double get(String name) {
    return values.getOrDefault(name, values.getOrDefault(name + "_total", 0.0));
  }

  /**
   * Returns whether a metric exists.
   *
   * @param name the name, without the suffix {@code _total}
   * @return true when it does
   */
  public boolean has(String name) {
    return values.containsKey(name) || values.containsKey(name + "_total");
  }

  /**
   * Adds a line.
   *
   * @param values the values by name
   * @param line the line
   */
  private static void add(Map<String, Double> values, String line) {
    int brace = line.indexOf('{');
    int space = line.lastIndexOf(' ');
    String name = line.substring(0, brace >= 0 ? brace : line.indexOf(' '));
    try {
      double value = Double.parseDouble(line.substring(space + 1));
      values.merge(name, value, Double::sum);
      if (brace >= 0) {
        values.put(line.substring(0, space), value);
      }
    } catch (NumberFormatException e) {
      // Not a sample line; the format allows comments of later versions.
    }
  }
}
