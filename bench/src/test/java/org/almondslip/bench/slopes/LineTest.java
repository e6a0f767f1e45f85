package org.almondslip.bench.slopes;

import static org.assertj.core.api.Assertions.assertThat;
import static org.assertj.core.api.Assertions.assertThatThrownBy;
import static org.assertj.core.api.Assertions.within;

import java.util.List;
import org.almondslip.bench.slopes.Line.Point;
import org.junit.jupiter.api.Test;

/** Guards the fit from which all figures of the capacity page are worked out. */
final class LineTest {

  /** Guards against swapped slope and intercept. */
  @Test
  void lineThroughPointsIsFound() {
    Line line = Line.of(List.of(new Point(1, 5), new Point(3, 9), new Point(5, 13)));
    assertThat(line.slope()).isCloseTo(2, within(1e-9));
    assertThat(line.intercept()).isCloseTo(3, within(1e-9));
    assertThat(line.at(10)).isCloseTo(23, within(1e-9));
    assertThat(line.largestResidual()).isCloseTo(0, within(1e-9));
  }

  /** Guards against a fit that hides points off the line. */
  @Test
  void residualIsLargestDistance() {
    Line line = Line.of(List.of(new Point(0, 0), new Point(1, 3), new Point(2, 0)));
    assertThat(line.slope()).isCloseTo(0, within(1e-9));
    assertThat(line.largestResidual()).isCloseTo(2, within(1e-9));
  }

  /** Guards against a slope of infinity when a sweep has one size. */
  @Test
  void oneSizeIsRefused() {
    List<Point> points = List.of(new Point(2, 1), new Point(2, 3));
    assertThatThrownBy(() -> Line.of(points)).isInstanceOf(IllegalArgumentException.class);
  }
}
