package org.almondslip.dispatch;

/** Recent demand and service of one organisation. */
final class OrganisationUsage {

  /** Time constant of the decay of demand and service, in milliseconds. */
  static final double DECAY_MILLIS = 1_500;

  /** Demand in tokens below which a usage is negligible. */
  private static final double NEGLIGIBLE_TOKENS = 0.01;

  /** Tokens requested at all routers. */
  private final DecayingSum requested = new DecayingSum(DECAY_MILLIS);

  /** Tokens served by all routers. */
  private final DecayingSum served = new DecayingSum(DECAY_MILLIS);

  /** Tokens requested at this router. */
  private final DecayingSum requestedLocally = new DecayingSum(DECAY_MILLIS);

  /**
   * Records a request at this router.
   *
   * @param tokens the cost of the request in tokens
   * @param now the current time in milliseconds
   */
  void onRequested(double tokens, long now) {
    requested.add(tokens, now);
    requestedLocally.add(tokens, now);
  }

  /**
   * Records a request that this router sent to a target.
   *
   * @param tokens the cost of the request in tokens
   * @param now the current time in milliseconds
   */
  void onServed(double tokens, long now) {
    served.add(tokens, now);
  }

  /**
   * Records demand and service at another router.
   *
   * @param requestedTokens the tokens requested
   * @param servedTokens the tokens served
   * @param now the current time in milliseconds
   */
  void onPeerUsage(double requestedTokens, double servedTokens, long now) {
    requested.add(requestedTokens, now);
    served.add(servedTokens, now);
  }

  /**
   * Returns the recent demand at all routers.
   *
   * @param now the current time in milliseconds
   * @return the tokens requested, at least those served
   */
  double requested(long now) {
    return Math.max(requested.at(now), served.at(now));
  }

  /**
   * Returns the recent service by all routers.
   *
   * @param now the current time in milliseconds
   * @return the tokens served
   */
  double served(long now) {
    return served.at(now);
  }

  /**
   * Returns the fraction of the demand that arrives at this router.
   *
   * @param now the current time in milliseconds
   * @return the fraction, from 0 to 1
   */
  double localFraction(long now) {
    double total = requested(now);
    return total <= 0 ? 0 : Math.min(1, requestedLocally.at(now) / total);
  }

  /**
   * Returns whether demand and service have decayed to almost nothing.
   *
   * @param now the current time in milliseconds
   * @return true if the usage can be discarded
   */
  boolean isNegligible(long now) {
    return requested(now) < NEGLIGIBLE_TOKENS;
  }
}
