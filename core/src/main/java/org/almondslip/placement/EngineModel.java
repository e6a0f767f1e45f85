package org.almondslip.placement;

/**
 * Performance model of an inference engine.
 *
 * @param prefillTokensPerMilli the prompt tokens that an idle engine prefills per millisecond
 * @param delayPerRequestMillis the delay that each running request adds to a new one, in
 *     milliseconds
 */
public record EngineModel(double prefillTokensPerMilli, double delayPerRequestMillis) {

  /**
   * Model of the deployed engines. The prefill rate is taken from their published data sheets; the
   * delay per request is the duration of one decoding step that is batched with a prompt chunk.
   */
  public static final EngineModel DEFAULT = new EngineModel(48.2, 4);

  /**
   * Returns the time that an idle engine takes to prefill prompt tokens.
   *
   * @param tokens the number of tokens
   * @return the time in milliseconds
   */
  public double prefillMillis(double tokens) {
    return tokens / prefillTokensPerMilli;
  }
}
