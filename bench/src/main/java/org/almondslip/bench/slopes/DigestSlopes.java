package org.almondslip.bench.slopes;

import java.util.HashMap;
import java.util.List;
import java.util.Map;

/** Costs of digest waves by active flows. */
final class DigestSlopes {

  /** Flows active. */
  private static final int[] FLOWS = {1, 25, 49, 73, 97};

  /** Not instantiable. */
  private DigestSlopes() {}

  /**
   * Measures.
   *
   * @return the costs
   */
  static List<Series> measure() {
    Map<Integer, DigestRig> rigs = new HashMap<>();
    return Sweep.TIMED.run(
        "digest",
        "active flows",
        FLOWS,
        flows -> rigs.computeIfAbsent(flows, DigestRig::new).run());
  }
}
