package org.almondslip.directory;

/** Kind of the requests of a route, which determines whether a request may run repeatedly. */
public enum RouteKind {
  /** A request may run more than once. */
  IDEMPOTENT(true, false),
  /** A request runs at most once. */
  NON_IDEMPOTENT(false, false),
  /** The response is an event stream; a request runs at most once. */
  STREAMING(false, true),
  /** The response is an event stream that another target can resume. */
  RESUMABLE_STREAMING(true, true);

  private final boolean repeatable;

  private final boolean streaming;

  RouteKind(boolean repeatable, boolean streaming) {
    this.repeatable = repeatable;
    this.streaming = streaming;
  }

  /**
   * Returns whether a request that may already have run may be sent again.
   *
   * @return true if it may be sent again
   */
  public boolean repeatable() {
    return repeatable;
  }

  /**
   * Returns whether the response is an event stream.
   *
   * @return true for an event stream
   */
  public boolean streaming() {
    return streaming;
  }
}
