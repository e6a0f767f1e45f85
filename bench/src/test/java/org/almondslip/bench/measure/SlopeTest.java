package org.almondslip.bench.measure;

import static org.assertj.core.api.Assertions.assertThat;

import com.fasterxml.jackson.core.JsonProcessingException;
import com.fasterxml.jackson.databind.ObjectMapper;
import org.junit.jupiter.api.Test;

/** Guards the extrapolation of costs to the planned load. */
final class SlopeTest {

  @Test
  void lineThroughPointsIsFound() throws JsonProcessingException {
    String reports = "[{\"x\":1,\"y\":5},{\"x\":3,\"y\":9},{\"x\":5,\"y\":13}]";
    Slope slope = Slope.of(new ObjectMapper().readTree(reports), "x", "y");
    assertThat(slope).isEqualTo(new Slope(3, 2));
  }
}
