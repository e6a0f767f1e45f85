package org.almondslip.bench.slopes;

import java.util.ArrayList;
import java.util.List;

/** Costs of requests and tokens on the path of requests. */
final class RequestSlopes {

  /** Requests in each round of the sweep over tokens. */
  private static final int REQUESTS = 64;

  /** Tokens in each answer. */
  private static final int[] TOKENS = {0, 50, 100, 200};

  /** Requests in each round of the sweep over requests. */
  private static final int[] ROUND_REQUESTS = {160, 320, 640, 960};

  /** Requests before the measurement, so many that the code has been compiled by then. */
  private static final int WARM_UP_REQUESTS = 48_000;

  /** Not instantiable. */
  private RequestSlopes() {}

  /**
   * Measures.
   *
   * @return the costs of a round against its requests, and of a request against its tokens
   */
  static List<Series> measure() {
    RequestRig rig = new RequestRig();
    rig.run(WARM_UP_REQUESTS, 2);
    List<Series> series = new ArrayList<>();
    series.addAll(
        Sweep.TIMED.run(
            "request",
            "requests without tokens",
            ROUND_REQUESTS,
            requests -> {
              var costs = rig.run(requests, 0);
              costs.replaceAll((name, cost) -> cost * requests);
              return costs;
            }));
    series.addAll(
        Sweep.TIMED.run(
            "token", "tokens of one request", TOKENS, tokens -> rig.run(REQUESTS, tokens)));
    return series;
  }
}
