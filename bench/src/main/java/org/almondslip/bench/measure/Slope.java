package org.almondslip.bench.measure;

import com.fasterxml.jackson.databind.JsonNode;

/**
 * Straight line fitted by least squares.
 *
 * @param intercept the value at 0
 * @param slope the growth for each unit
 */
public record Slope(double intercept, double slope) {

  /**
   * Fits a line through fields of reports.
   *
   * @param reports the reports
   * @param x the name of the field on the horizontal axis
   * @param y the name of the field on the vertical axis
   * @return the line; it is horizontal when all reports have the same x
   */
  public static Slope of(JsonNode reports, String x, String y) {
    double meanX = mean(reports, x);
    double meanY = mean(reports, y);
    double covariance = 0;
    double variance = 0;
    for (JsonNode report : reports) {
      double distance = report.path(x).asDouble() - meanX;
      covariance += distance * (report.path(y).asDouble() - meanY);
      variance += distance * distance;
    }
    double slope = variance == 0 ? 0 : covariance / variance;
    return new Slope(meanY - slope * meanX, slope);
  }

  /**
   * Returns the mean of a field.
   *
   * @param reports the reports
   * @param field the name of the field
   * @return the mean, 0 without reports
   */
  private static double mean(JsonNode reports, String field) {
    double sum = 0;
    for (JsonNode report : reports) {
      sum += report.path(field).asDouble();
    }
    return reports.isEmpty() ? 0 : sum / reports.size();
  }
}
