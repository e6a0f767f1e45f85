package org.almondslip.placement;

/**
 * Speed of a model engine.
 *
 * @param prefillTokensPerMilli the prompt tokens that an idle engine reads in a millisecond
 * @param delayPerRequestMillis the delay that each running request adds to a new one, in
 *     milliseconds
 */
public record EngineModel(double prefillTokensPerMilli, double delayPerRequestMillis) {

  /**
   * Engine of the deployments in use: the rate comes from their published sheets; the delay is that
   * of one decoding step of a running request beside a chunk of a prompt.
   */
  public static final EngineModel DEFAULT = new EngineModel(48.2, 4);

  /**
   * Returns the time to read prompt tokens.
   *
   * @param tokens the tokens
   * @return the time in milliseconds
   */
  public double prefillMillis(double tokens) {
    return tokens / prefillTokensPerMilli;
  }
}
