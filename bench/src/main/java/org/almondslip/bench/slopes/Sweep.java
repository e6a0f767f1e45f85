package org.almondslip.bench.slopes;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.function.IntFunction;

/**
 * Repeats a measurement at several sizes and fits a line through the medians.
 *
 * @param warmUps the rounds whose results are dropped because code is still being compiled
 * @param rounds the rounds that count
 */
record Sweep(int warmUps, int rounds) {

  /** Sweep of processor time. */
  static final Sweep TIMED = new Sweep(3, 7);

  /** Sweep of quantities that hardly vary, such as memory after a collection. */
  static final Sweep STEADY = new Sweep(1, 3);

  /**
   * Measures. The sizes take turns, so that a change of the machine's load affects all of them.
   *
   * @param name the prefix of the names of the series
   * @param size what grows
   * @param sizes the sizes
   * @param round yields the costs of one round by name
   * @return a series for each cost
   */
  List<Series> run(String name, String size, int[] sizes, IntFunction<Map<String, Double>> round) {
    Map<String, Map<Integer, List<Double>>> samples = new LinkedHashMap<>();
    for (int i = 0; i < warmUps + rounds; i++) {
      for (int at : sizes) {
        Map<String, Double> costs = round.apply(at);
        if (i >= warmUps) {
          costs.forEach((cost, value) -> add(samples, cost, at, value));
        }
      }
    }
    List<Series> series = new ArrayList<>();
    samples.forEach(
        (cost, bySize) -> {
          List<Line.Point> points = new ArrayList<>();
          bySize.forEach((at, values) -> points.add(new Line.Point(at, median(values))));
          series.add(new Series(name + "." + cost, size, Line.of(points)));
        });
    return series;
  }

  /**
   * Adds a sample.
   *
   * @param samples the samples by cost and size
   * @param cost the cost
   * @param at the size
   * @param value the sample
   */
  private static void add(
      Map<String, Map<Integer, List<Double>>> samples, String cost, int at, double value) {
    samples
        .computeIfAbsent(cost, key -> new TreeMap<>())
        .computeIfAbsent(at, key -> new ArrayList<>())
        .add(value);
  }

  /**
   * Returns the middle value.
   *
   * @param values the values, at least one
   * @return the median
   */
  static double median(List<Double> values) {
    double[] sorted = values.stream().mapToDouble(Double::doubleValue).sorted().toArray();
    return Arrays.stream(sorted, (sorted.length - 1) / 2, sorted.length / 2 + 1)
        .average()
        .orElseThrow();
  }
}
