package org.almondslip.bench.slopes;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;

/**
 * Cost against one size.
 *
 * @param name the name, unique in a run
 * @param size what grows
 * @param line the fitted line with its points
 */
public record Series(String name, String size, Line line) {

  /**
   * Converts the series.
   *
   * @return the slope, the intercept and the points
   */
  public ObjectNode toJson() {
    ObjectNode json = JsonNodeFactory.instance.objectNode();
    json.put("name", name)
        .put("size", size)
        .put("slope", round(line.slope()))
        .put("intercept", round(line.intercept()))
        .put("largest_residual", round(line.largestResidual()));
    ArrayNode points = json.putArray("points");
    line.points().forEach(point -> points.addArray().add(round(point.x())).add(round(point.y())));
    return json;
  }

  /**
   * Rounds a number for the output.
   *
   * @param value the number
   * @return the number with four decimal places
   */
  private static double round(double value) {
    return Math.round(value * 1e4) / 1e4;
  }
}
