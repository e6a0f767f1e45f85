package org.almondslip.directory;

/** What a route allows to be repeated. */
public enum RouteKind {
  /** A request may run more than once. */
  IDEMPOTENT(true, false),
  /** A request runs at most once. */
  NON_IDEMPOTENT(false, false),
  /** The answer is a stream of events; the request runs at most once. */
  STREAMING(false, true),
  /** The answer is a stream of events that another target can continue. */
  RESUMABLE_STREAMING(true, true);

  /** Whether a request that may have run can be sent again. */
  private final boolean repeatable;

  /** Whether the answer is a stream of events. */
  private final boolean streaming;

  /**
   * Creates a kind.
   *
   * @param repeatable whether a request that may have run can be sent again
   * @param streaming whether the answer is a stream of events
   */
  RouteKind(boolean repeatable, boolean streaming) {
    this.repeatable = repeatable;
    this.streaming = streaming;
  }

  /**
   * Returns whether a request that may have run can be sent again.
   *
   * @return true when it can
   */
  public boolean repeatable() {
    return repeatable;
  }

  /**
   * Returns whether the answer is a stream of events.
   *
   * @return true when it is
   */
  public boolean streaming() {
    return streaming;
  }
}
