package org.almondslip.placement;

import java.util.HashMap;
import java.util.Iterator;
import java.util.Map;

/**
 * Tokens that running requests of all routers hold in the memory of an engine.
 *
 * <p>An engine crashes when the requests that it runs exceed its memory. A request holds its prompt
 * and the output that is expected of it until it ends. Segments that several requests share are
 * counted for each of them.
 */
public final class HeldTokens {

  /**
   * Fraction of the memory that running requests may hold. The rest covers outputs that are longer
   * than expected and requests that other routers send at the same time.
   */
  static final double MEMORY_FRACTION = 0.9;

  /** Maximum number of tokens that running requests may hold, 0 without a limit. */
  private final long limit;

  private long own;

  private long peers;

  /** Latest reports of other routers by router name. */
  private final Map<String, Report> reports = new HashMap<>();

  /** Time at which the oldest report expires, in milliseconds. */
  private long reportsExpireAt = Long.MAX_VALUE;

  /**
   * Tokens that requests of another router hold.
   *
   * @param tokens the number of tokens
   * @param receivedAt the time of the report in milliseconds
   */
  private record Report(long tokens, long receivedAt) {}

  /**
   * Creates the empty memory of a target.
   *
   * @param capacityTokens the capacity in tokens, 0 if the target is not an engine
   */
  HeldTokens(long capacityTokens) {
    this.limit = (long) (capacityTokens * MEMORY_FRACTION);
  }

  /**
   * Returns the tokens that a request holds while it runs.
   *
   * @param prompt the prompt
   * @return the tokens of the prompt and of the expected output, 0 for a request without a prompt
   */
  public static long tokens(Prompt prompt) {
    return prompt.promptTokens() == 0
        ? 0
        : (long) prompt.promptTokens() + prompt.expectedOutputTokens();
  }

  /**
   * Returns the maximum number of tokens that running requests may hold.
   *
   * @return the number of tokens, 0 without a limit
   */
  public long limit() {
    return limit;
  }

  /**
   * Returns the tokens that requests of this router hold.
   *
   * @return the number of tokens
   */
  public long own() {
    return own;
  }

  /**
   * Returns the tokens that further requests may hold, as far as this router knows.
   *
   * @param now the current time in milliseconds
   * @return the number of tokens, negative if the limit is exceeded
   */
  public long free(long now) {
    expireReports(now);
    return limit - own - peers;
  }

  /**
   * Records that another router reported the tokens of its requests, which replaces its previous
   * report.
   *
   * @param router the name of the router
   * @param tokens the number of tokens
   * @param now the current time in milliseconds
   */
  public void onPeerReport(String router, long tokens, long now) {
    Report previous = reports.put(router, new Report(tokens, now));
    peers += tokens - (previous == null ? 0 : previous.tokens());
    reportsExpireAt = Math.min(reportsExpireAt, now + TargetLoad.REPORT_EXPIRY_MILLIS);
  }

  /** Adds a request of this router. */
  void onSent(Prompt prompt) {
    own += tokens(prompt);
  }

  /** Removes a request of this router that has ended. */
  void onEnded(Prompt prompt) {
    own = Math.max(0, own - tokens(prompt));
  }

  /** Removes all requests of this router, since none is running. */
  void clearOwn() {
    own = 0;
  }

  private void expireReports(long now) {
    if (now < reportsExpireAt) {
      return;
    }
    reportsExpireAt = Long.MAX_VALUE;
    for (Iterator<Report> all = reports.values().iterator(); all.hasNext(); ) {
      Report report = all.next();
      if (now - report.receivedAt() >= TargetLoad.REPORT_EXPIRY_MILLIS) {
        peers -= report.tokens();
        all.remove();
      } else {
        reportsExpireAt =
            Math.min(reportsExpireAt, report.receivedAt() + TargetLoad.REPORT_EXPIRY_MILLIS);
      }
    }
  }
}
