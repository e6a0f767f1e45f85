package org.almondslip.dispatch;

/** What one organisation asked for and was given lately. */
final class Account {

  /** Time constant of the service that counts, in milliseconds. */
  static final double WINDOW_MILLIS = 1_500;

  /** Tokens below which an account is forgotten. */
  private static final double FORGOTTEN_TOKENS = 0.01;

  /** Tokens asked for at all routers. */
  private final DecayingSum asked = new DecayingSum(WINDOW_MILLIS);

  /** Tokens given by all routers. */
  private final DecayingSum given = new DecayingSum(WINDOW_MILLIS);

  /** Tokens asked for at this router. */
  private final DecayingSum askedHere = new DecayingSum(WINDOW_MILLIS);

  /**
   * Notes a request at this router.
   *
   * @param tokens the tokens
   * @param now the current time in milliseconds
   */
  void onAsked(double tokens, long now) {
    asked.add(tokens, now);
    askedHere.add(tokens, now);
  }

  /**
   * Notes service of this router.
   *
   * @param tokens the tokens
   * @param now the current time in milliseconds
   */
  void onGiven(double tokens, long now) {
    given.add(tokens, now);
  }

  /**
   * Notes requests at another router and its service.
   *
   * @param askedTokens the tokens asked for
   * @param givenTokens the tokens given
   * @param now the current time in milliseconds
   */
  void onPeer(double askedTokens, double givenTokens, long now) {
    asked.add(askedTokens, now);
    given.add(givenTokens, now);
  }

  /**
   * Returns the tokens asked for.
   *
   * @param now the current time in milliseconds
   * @return the tokens, at least those that were given
   */
  double asked(long now) {
    return Math.max(asked.at(now), given.at(now));
  }

  /**
   * Returns the tokens given.
   *
   * @param now the current time in milliseconds
   * @return the tokens
   */
  double given(long now) {
    return given.at(now);
  }

  /**
   * Returns the part of the demand that comes to this router.
   *
   * @param now the current time in milliseconds
   * @return the part, from 0 to 1
   */
  double partHere(long now) {
    double all = asked(now);
    return all <= 0 ? 0 : Math.min(1, askedHere.at(now) / all);
  }

  /**
   * Returns whether the account can be forgotten.
   *
   * @param now the current time in milliseconds
   * @return true when nothing in it counts any more
   */
  boolean isForgotten(long now) {
    return asked(now) < FORGOTTEN_TOKENS;
  }
}
