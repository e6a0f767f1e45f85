package org.almondslip.bench.slopes;

import java.util.List;
import org.jfree.data.statistics.Regression;

/**
 * Straight line fitted by least squares.
 *
 * @param slope the growth for each unit
 * @param intercept the value at 0
 * @param points the measured points
 */
public record Line(double slope, double intercept, List<Point> points) {

  /**
   * Measured point.
   *
   * @param x the size
   * @param y the cost
   */
  public record Point(double x, double y) {}

  /**
   * Copies the points.
   *
   * @param slope the growth for each unit
   * @param intercept the value at 0
   * @param points the measured points
   */
  public Line {
    points = List.copyOf(points);
  }

  /**
   * Fits a line.
   *
   * @param points the points, at least two with different sizes
   * @return the line
   */
  public static Line of(List<Point> points) {
    if (points.stream().mapToDouble(Point::x).distinct().count() < 2) {
      throw new IllegalArgumentException("a line needs points with at least two sizes");
    }
    double[][] data =
        points.stream().map(point -> new double[] {point.x, point.y}).toArray(double[][]::new);
    double[] fit = Regression.getOLSRegression(data);
    return new Line(fit[1], fit[0], points);
  }

  /**
   * Returns the value of the line.
   *
   * @param x the size
   * @return the cost
   */
  public double at(double x) {
    return intercept + slope * x;
  }

  /**
   * Returns the largest distance of a point from the line.
   *
   * @return the distance, in the unit of the cost
   */
  public double largestResidual() {
    return points.stream().mapToDouble(point -> Math.abs(point.y - at(point.x))).max().orElse(0);
  }
}
