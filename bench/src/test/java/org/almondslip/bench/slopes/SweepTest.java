package org.almondslip.bench.slopes;

import static org.assertj.core.api.Assertions.assertThat;

import java.util.ArrayDeque;
import java.util.List;
import java.util.Map;
import java.util.Queue;
import org.junit.jupiter.api.Test;

/** Guards the choice of the samples that make a point. */
final class SweepTest {

  /** Guards against a wrong middle of an even number of samples. */
  @Test
  void medianOfEvenNumberIsMeanOfMiddle() {
    assertThat(Sweep.median(List.of(9.0, 1.0, 4.0, 2.0))).isEqualTo(3);
    assertThat(Sweep.median(List.of(9.0, 1.0, 4.0))).isEqualTo(4);
  }

  /** Guards against warm-up rounds and outliers in the result. */
  @Test
  void warmUpIsDropped() {
    Queue<Double> costs = new ArrayDeque<>(List.of(100.0, 100.0, 1.0, 2.0, 50.0, 2.0, 1.0, 2.0));
    List<Series> series =
        new Sweep(1, 3).run("a", "size", new int[] {1, 2}, at -> Map.of("cost", costs.remove()));
    assertThat(series).singleElement().extracting(Series::name).isEqualTo("a.cost");
    assertThat(series.get(0).line().points())
        .containsExactly(new Line.Point(1, 1), new Line.Point(2, 2));
  }
}
